//! Where messages begin and end.

use std::ops::Range;
use thiserror::Error;

/// Values take up to 64 KiB by the operators' page, and were met with six times as many bytes: room for more than that, in hex
/// digits if it comes in a statement. What all of them may take together is limited elsewhere.
pub const MAX_QUERY_BYTES: usize = 1 << 20;
/// The longest message of an endpoint.
pub const MAX_VALUE_BYTES: usize = 4 << 20;
const MAX_STARTUP_BYTES: usize = 10_000;

/// Version 3.0 of the protocol.
pub const VERSION_3: u32 = 196_608;
const CANCEL_REQUEST: u32 = 80_877_102;
const SSL_REQUEST: u32 = 80_877_103;
const GSSENC_REQUEST: u32 = 80_877_104;

/// Bytes before the body of a tagged message: its tag and its length.
pub const HEADER_BYTES: usize = 5;
/// Bytes before the body of the first message of a connection: its length and its kind.
pub const STARTUP_HEADER_BYTES: usize = 8;
/// Bytes of a message's length field, which counts itself but not the tag.
pub const LENGTH_BYTES: usize = 4;

/// A message in a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Its tag.
    pub tag: u8,
    /// Where its body is.
    pub body: Range<usize>,
}

/// Why a message cannot be taken.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// It is too long.
    #[error("message too long")]
    TooLong,
    /// It is none.
    #[error("malformed message")]
    Malformed,
}

fn read_u32(bytes: &[u8]) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?))
}

/// The message that begins at `from`, once all of it is there.
///
/// # Errors
/// It cannot be a message of at most `max_bytes`.
pub fn frame(bytes: &[u8], from: usize, max_bytes: usize) -> Result<Option<Frame>, FrameError> {
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

/// What the first message of a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupKind {
    /// The start of a session, with this minor version of the protocol.
    Session {
        /// The minor version.
        minor_version: u16,
    },
    /// SSLRequest or GSSENCRequest.
    Encryption,
    /// A cancel request.
    Cancel,
    /// Another version of the protocol.
    OtherVersion,
}

/// The first message of a connection, which has no tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartupPacket {
    /// What it is.
    pub kind: StartupKind,
    /// Its length in bytes.
    pub length: usize,
}

/// The first message of a connection, once all of it is there.
///
/// # Errors
/// It cannot be one.
pub fn startup_packet(bytes: &[u8]) -> Result<Option<StartupPacket>, FrameError> {
    let (Some(length), Some(kind)) = (read_u32(bytes), bytes.get(4..).and_then(read_u32)) else {
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
        version if version >> 16 == 3 => StartupKind::Session { minor_version: version as u16 },
        _ => StartupKind::OtherVersion,
    };
    Ok(Some(StartupPacket { kind, length }))
}
