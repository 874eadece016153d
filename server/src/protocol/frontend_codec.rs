//! An incremental decoder of a client's messages, without I/O. It accepts the bytes in pieces of any size.

use crate::protocol::decode::{parse_startup_parameters, StartupParameters};
use crate::protocol::framing::{
    parse_frame, parse_startup_packet, FrameError, StartupKind, HEADER_BYTES, LENGTH_BYTES,
    MALFORMED_MESSAGE, MAX_QUERY_BYTES, MESSAGE_TOO_LONG, STARTUP_HEADER_BYTES,
};
use crate::protocol::sqlstate::{ClientError, SqlState};
use admission::memory_plan::CONNECTION_BUFFER_BYTES;
use std::ops::Range;

/// The first size of the buffer in bytes, large enough for most queries.
const INITIAL_BUFFER_BYTES: usize = 512;
/// The buffer is shrunk to this size after it was larger, so that a busy client keeps a small buffer between its
/// queries. The body of a longer message keeps the buffer into which it was read, instead of being copied.
const RETAINED_BUFFER_BYTES: usize = CONNECTION_BUFFER_BYTES;
/// The error message for a StartupMessage of a major version other than 3.
const UNSUPPORTED_VERSION: &str = "only version 3 of the protocol is spoken";

/// A message from a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrontendMessage {
    /// SSLRequest or GSSENCRequest.
    EncryptionRequest,
    /// StartupMessage.
    Startup {
        /// The minor version of the protocol that the client requests.
        minor_version: u16,
        /// The parameters that the router uses.
        parameters: StartupParameters,
    },
    /// CancelRequest.
    CancelRequest,
    /// Query of the simple query protocol, with its body.
    Query(Vec<u8>),
    /// Sync, which ends a sequence of messages of the extended query protocol.
    Sync,
    /// A message of the extended query protocol, or a function call.
    Unsupported {
        /// Whether the message is a function call. A function call gets its own ReadyForQuery, because no Sync
        /// follows it.
        is_function_call: bool,
    },
    /// Terminate.
    Terminate,
    /// An invalid message, with the error for the client. No further messages are decoded.
    Invalid(ClientError),
}

/// How the next bytes are decoded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// As a startup packet: the StartupMessage has not arrived.
    #[default]
    Startup,
    /// As a message of the session.
    Ready,
    /// As a message to skip, until the next Sync, because a message of the extended query protocol was rejected.
    SkippingToSync,
    /// Not at all: after Terminate, CancelRequest or an invalid message, further bytes are discarded.
    Closed,
}

/// The decoder of one client's messages, with the bytes that have not yet been decoded.
#[derive(Default)]
pub struct FrontendCodec {
    bytes: Vec<u8>,
    /// The offset of the next message.
    offset: usize,
    phase: Phase,
}

impl FrontendCodec {
    /// Appends bytes that were read from the client.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.phase != Phase::Closed {
            self.grow_to(self.bytes.len() + bytes.len());
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// Enlarges the buffer so that it holds `length` bytes: in two steps while it is small, then to just that size.
    fn grow_to(&mut self, length: usize) {
        let size = match length {
            _ if length <= self.bytes.capacity() => return,
            _ if length <= INITIAL_BUFFER_BYTES => INITIAL_BUFFER_BYTES,
            _ if length <= RETAINED_BUFFER_BYTES => RETAINED_BUFFER_BYTES,
            _ => length,
        };
        self.bytes.reserve_exact(size - self.bytes.len());
    }

    /// Decodes the next message; `None` if it has not arrived completely.
    pub fn next_message(&mut self) -> Option<FrontendMessage> {
        let message = match self.phase {
            Phase::Closed => Ok(None),
            Phase::Startup => self.next_startup_message(),
            Phase::Ready | Phase::SkippingToSync => self.next_tagged_message(),
        };
        let message = message.unwrap_or_else(|error| Some(FrontendMessage::Invalid(client_error(error))));
        match &message {
            Some(
                FrontendMessage::CancelRequest | FrontendMessage::Terminate | FrontendMessage::Invalid(_),
            ) => {
                self.phase = Phase::Closed;
                self.offset = self.bytes.len();
            }
            Some(_) => {}
            None => self.compact(),
        }
        message
    }

    /// Removes the decoded bytes, and shrinks a large buffer to [`RETAINED_BUFFER_BYTES`].
    fn compact(&mut self) {
        self.bytes.drain(..self.offset);
        self.offset = 0;
        self.bytes.shrink_to(self.bytes.len().max(RETAINED_BUFFER_BYTES));
    }

    /// Decodes a startup packet.
    ///
    /// # Errors
    /// The packet's length is invalid or too great.
    fn next_startup_message(&mut self) -> Result<Option<FrontendMessage>, FrameError> {
        let Some(packet) = parse_startup_packet(&self.bytes[self.offset..])? else { return Ok(None) };
        let body = self.offset + STARTUP_HEADER_BYTES..self.offset + packet.length;
        self.offset += packet.length;
        Ok(Some(match packet.kind {
            StartupKind::Encryption => FrontendMessage::EncryptionRequest,
            StartupKind::Cancel => FrontendMessage::CancelRequest,
            StartupKind::UnsupportedVersion => {
                let code = SqlState::FEATURE_NOT_SUPPORTED;
                FrontendMessage::Invalid(ClientError::new(code, UNSUPPORTED_VERSION))
            }
            StartupKind::Session { minor_version } => {
                self.phase = Phase::Ready;
                let parameters = parse_startup_parameters(&self.bytes[body]);
                FrontendMessage::Startup { minor_version, parameters }
            }
        }))
    }

    /// Decodes the next message of a session, without those that are to be skipped.
    ///
    /// # Errors
    /// The message's length or tag is invalid, or the message is too long.
    fn next_tagged_message(&mut self) -> Result<Option<FrontendMessage>, FrameError> {
        while let Some(frame) = parse_frame(&self.bytes, self.offset, MAX_QUERY_BYTES)? {
            self.offset = frame.body.end;
            let skipping = self.phase == Phase::SkippingToSync;
            let message = match frame.tag {
                b'X' => FrontendMessage::Terminate,
                b'S' => {
                    self.phase = Phase::Ready;
                    FrontendMessage::Sync
                }
                b'Q' if !skipping => FrontendMessage::Query(self.take_body(frame.body)),
                b'F' if !skipping => FrontendMessage::Unsupported { is_function_call: true },
                b'P' | b'B' | b'D' | b'E' | b'C' | b'H' if !skipping => {
                    self.phase = Phase::SkippingToSync;
                    FrontendMessage::Unsupported { is_function_call: false }
                }
                // Skipped messages, and data of a COPY that was never started.
                b'Q' | b'F' | b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'd' | b'c' | b'f' => continue,
                _ => return Err(FrameError::Malformed),
            };
            return Ok(Some(message));
        }
        Ok(None)
    }

    /// Takes the body of a message out of the buffer. A large body keeps the buffer.
    fn take_body(&mut self, body: Range<usize>) -> Vec<u8> {
        if body.len() < RETAINED_BUFFER_BYTES {
            return self.bytes[body].to_vec();
        }
        let rest = self.bytes.split_off(body.end);
        let mut taken = std::mem::replace(&mut self.bytes, rest);
        taken.drain(..body.start);
        self.offset = 0;
        taken
    }

    /// The length of the partial message, with its header; `None` without one, or before its length has arrived.
    pub fn partial_message_bytes(&self) -> Option<usize> {
        let rest = &self.bytes[self.offset..];
        let tag_bytes = if self.phase == Phase::Startup { 0 } else { HEADER_BYTES - LENGTH_BYTES };
        let length = rest.get(tag_bytes..tag_bytes + LENGTH_BYTES)?;
        let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
        (self.phase != Phase::Closed).then_some(tag_bytes + length)
    }

    /// Makes room for the partial message of `bytes` bytes, so that the buffer does not grow beyond it.
    pub fn reserve_message(&mut self, bytes: usize) {
        self.compact();
        self.bytes.reserve_exact(bytes.saturating_sub(self.bytes.len()));
    }

    /// Whether [`FrontendCodec::next_message`] can proceed without further bytes, because a message is complete or is
    /// known to be invalid.
    pub fn has_complete_message(&self) -> bool {
        match self.phase {
            Phase::Closed => false,
            Phase::Startup => !matches!(parse_startup_packet(&self.bytes[self.offset..]), Ok(None)),
            Phase::Ready | Phase::SkippingToSync => {
                !matches!(parse_frame(&self.bytes, self.offset, MAX_QUERY_BYTES), Ok(None))
            }
        }
    }

    /// The minimum number of bytes by which a partial message is incomplete; 0 if there is no partial message.
    pub fn missing_bytes(&self) -> usize {
        if self.is_empty() || self.phase == Phase::Closed {
            return 0;
        }
        // The tag and the length; startup packets have no tag.
        let header_bytes = if self.phase == Phase::Startup { LENGTH_BYTES } else { HEADER_BYTES };
        let message_bytes = self.partial_message_bytes().unwrap_or(header_bytes);
        message_bytes.saturating_sub(self.bytes.len() - self.offset).max(1)
    }

    /// The number of bytes that have not been decoded.
    pub fn undecoded_bytes(&self) -> usize {
        self.bytes.len() - self.offset
    }

    /// Whether there are no undecoded bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.len() == self.offset
    }

    /// The allocated size of the buffer in bytes.
    pub fn buffer_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Discards all bytes that have not been decoded and frees the buffer. No further messages are decoded.
    pub fn discard(&mut self) {
        self.phase = Phase::Closed;
        self.bytes = Vec::new();
        self.offset = 0;
    }

    /// Frees the memory of the buffer if it has no undecoded bytes.
    pub fn free_buffer(&mut self) {
        if self.is_empty() {
            self.bytes = Vec::new();
            self.offset = 0;
        }
    }
}

/// The error for the client whose message cannot be parsed.
fn client_error(error: FrameError) -> ClientError {
    match error {
        FrameError::TooLong => ClientError::new(SqlState::PROGRAM_LIMIT_EXCEEDED, MESSAGE_TOO_LONG),
        FrameError::Malformed => ClientError::new(SqlState::PROTOCOL_VIOLATION, MALFORMED_MESSAGE),
    }
}
