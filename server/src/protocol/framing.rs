//! Framing: finding the boundaries of messages in a buffer.

use std::ops::Range;
use thiserror::Error;

/// The greatest length of a client's message in bytes. By the operators' page values have up to 64 KiB, and six
/// times as much was observed; a statement may contain a value in hexadecimal digits. The total of all buffers is
/// limited by [`ResourceLimits`](crate::runtime::resource_limits::ResourceLimits).
pub const MAX_QUERY_BYTES: usize = 1 << 20;
/// The greatest length of an endpoint's message in bytes.
pub const MAX_VALUE_BYTES: usize = 4 << 20;
/// The greatest length of a startup message in bytes, as in PostgreSQL.
const MAX_STARTUP_BYTES: usize = 10_000;

/// The major version of the protocol that is supported.
const MAJOR_VERSION: u32 = 3;
/// The bits of a protocol version that hold the minor version.
const MINOR_VERSION_BITS: u32 = 16;
/// Version 3.0 of the protocol.
pub const VERSION_3: u32 = MAJOR_VERSION << MINOR_VERSION_BITS;
/// The code of CancelRequest, in place of a version.
const CANCEL_REQUEST: u32 = 80_877_102;
/// The code of SSLRequest, in place of a version.
const SSL_REQUEST: u32 = 80_877_103;
/// The code of GSSENCRequest, in place of a version.
const GSSENC_REQUEST: u32 = 80_877_104;

/// Bytes before the body of a tagged message: its tag and its length.
pub const HEADER_BYTES: usize = 5;
/// Bytes before the body of a startup packet: its length and its version or request code.
pub const STARTUP_HEADER_BYTES: usize = 8;
/// Bytes of a message's length field, which counts itself but not the tag.
pub const LENGTH_BYTES: usize = 4;

/// A complete message in a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The tag of the message.
    pub tag: u8,
    /// The range of the message's body in the buffer.
    pub body: Range<usize>,
}

/// Why a message is invalid.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// The message is longer than the limit.
    #[error("message too long")]
    TooLong,
    /// The bytes are not a message.
    #[error("malformed message")]
    Malformed,
}

/// Reads a big-endian number from the first bytes.
fn read_u32(bytes: &[u8]) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?))
}

/// The message that begins at offset `from`; `None` if it is incomplete.
///
/// # Errors
/// The message's length is invalid, or greater than `max_bytes`.
pub fn parse_frame(bytes: &[u8], from: usize, max_bytes: usize) -> Result<Option<Frame>, FrameError> {
    let Some(header) = bytes.get(from..from + HEADER_BYTES) else { return Ok(None) };
    let Some(length) = read_u32(&header[1..]) else { return Ok(None) };
    let length = length as usize;
    if length < LENGTH_BYTES {
        return Err(FrameError::Malformed);
    }
    if length > max_bytes {
        return Err(FrameError::TooLong);
    }
    let body = from + HEADER_BYTES..from + 1 + length;
    Ok((body.end <= bytes.len()).then_some(Frame { tag: header[0], body }))
}

/// The kind of a startup packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupKind {
    /// StartupMessage of protocol version 3.
    Session {
        /// The minor version of the protocol.
        minor_version: u16,
    },
    /// SSLRequest or GSSENCRequest.
    Encryption,
    /// CancelRequest.
    Cancel,
    /// StartupMessage of another major version of the protocol.
    UnsupportedVersion,
}

/// A packet before the session has started. It has no tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartupPacket {
    /// The kind of the packet.
    pub kind: StartupKind,
    /// The length of the packet in bytes, including the header.
    pub length: usize,
}

/// The startup packet at the beginning of `bytes`; `None` if it is incomplete.
///
/// # Errors
/// The packet's length is invalid or too great.
pub fn parse_startup_packet(bytes: &[u8]) -> Result<Option<StartupPacket>, FrameError> {
    let (Some(length), Some(kind)) = (read_u32(bytes), bytes.get(LENGTH_BYTES..).and_then(read_u32)) else {
        return Ok(None);
    };
    let length = length as usize;
    if length < STARTUP_HEADER_BYTES {
        return Err(FrameError::Malformed);
    }
    if length > MAX_STARTUP_BYTES {
        return Err(FrameError::TooLong);
    }
    if bytes.len() < length {
        return Ok(None);
    }
    let kind = match kind {
        SSL_REQUEST | GSSENC_REQUEST => StartupKind::Encryption,
        CANCEL_REQUEST => StartupKind::Cancel,
        version if version >> MINOR_VERSION_BITS == MAJOR_VERSION => {
            StartupKind::Session { minor_version: version as u16 }
        }
        _ => StartupKind::UnsupportedVersion,
    };
    Ok(Some(StartupPacket { kind, length }))
}
