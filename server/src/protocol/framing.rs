//! Framing: finds the boundaries of messages in a buffer.

use std::ops::Range;
use thiserror::Error;

/// The maximum length of a client's message. Values are specified as up to 64 KiB, but values six times as large
/// were observed, and a statement may contain a value in hexadecimal digits, which doubles the length. The total of
/// all buffers is limited by [`ResourceLimits`](crate::runtime::resource_limits::ResourceLimits).
pub const MAX_QUERY_BYTES: usize = 1 << 20;
/// The maximum length of an endpoint's message.
pub const MAX_VALUE_BYTES: usize = 4 << 20;
/// The maximum length of a startup packet, as in PostgreSQL.
const MAX_STARTUP_BYTES: usize = 10_000;

/// The major version of the protocol that is supported.
const MAJOR_VERSION: u32 = 3;
/// The number of low bits of a protocol version that are the minor version.
const MINOR_VERSION_BITS: u32 = 16;
/// Version 3.0 of the protocol.
pub const VERSION_3: u32 = MAJOR_VERSION << MINOR_VERSION_BITS;
/// The code of a CancelRequest, in place of a protocol version.
const CANCEL_REQUEST: u32 = 80_877_102;
/// The code of an SSLRequest, in place of a protocol version.
const SSL_REQUEST: u32 = 80_877_103;
/// The code of a GSSENCRequest, in place of a protocol version.
const GSSENC_REQUEST: u32 = 80_877_104;

/// The bytes before the body of a tagged message: tag and length.
pub const HEADER_BYTES: usize = 5;
/// The bytes before the body of a startup packet: length, and protocol version or request code.
pub const STARTUP_HEADER_BYTES: usize = 8;
/// The size of a message's length field. The length includes the field itself, but not the tag.
pub const LENGTH_BYTES: usize = 4;

/// The position of a complete message in a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The first byte, which is the type of the message, such as `Q`.
    pub tag: u8,
    /// The range of the message's body in the buffer.
    pub body: Range<usize>,
}

/// The error message for a message that exceeds the maximum length of its kind.
pub const MESSAGE_TOO_LONG: &str = "message too long";
/// The error message for bytes that are not a message of the protocol.
pub const MALFORMED_MESSAGE: &str = "malformed message";

/// Why a message cannot be parsed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// The message is longer than the limit.
    #[error("{MESSAGE_TOO_LONG}")]
    TooLong,
    /// The length or the tag is invalid.
    #[error("{MALFORMED_MESSAGE}")]
    Malformed,
}

/// Reads a big-endian number from the first four bytes; `None` if there are fewer.
fn read_u32(bytes: &[u8]) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?))
}

/// Finds the end of the message that begins at offset `from`; `None` if the message is incomplete.
///
/// # Errors
/// The length is below its minimum, or greater than `max_bytes`.
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

/// The kind of a startup packet, from its protocol version or request code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupKind {
    /// StartupMessage of protocol version 3.
    Session {
        /// The minor version that the client requests.
        minor_version: u16,
    },
    /// SSLRequest or GSSENCRequest.
    Encryption,
    /// CancelRequest.
    Cancel,
    /// StartupMessage of another major version of the protocol.
    UnsupportedVersion,
}

/// A packet that a client sends before its session has started. It has no tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartupPacket {
    /// The kind of the packet.
    pub kind: StartupKind,
    /// The length of the packet in bytes, with its header.
    pub length: usize,
}

/// Parses the header of the startup packet at the beginning of `bytes`; `None` if the packet is incomplete.
///
/// # Errors
/// The length is below its minimum, or greater than `MAX_STARTUP_BYTES`.
pub fn parse_startup_packet(bytes: &[u8]) -> Result<Option<StartupPacket>, FrameError> {
    let (Some(length), Some(version_or_code)) =
        (read_u32(bytes), bytes.get(LENGTH_BYTES..).and_then(read_u32))
    else {
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
    let kind = match version_or_code {
        SSL_REQUEST | GSSENC_REQUEST => StartupKind::Encryption,
        CANCEL_REQUEST => StartupKind::Cancel,
        version if version >> MINOR_VERSION_BITS == MAJOR_VERSION => {
            StartupKind::Session { minor_version: version as u16 }
        }
        _ => StartupKind::UnsupportedVersion,
    };
    Ok(Some(StartupPacket { kind, length }))
}
