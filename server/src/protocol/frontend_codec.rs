//! A client's bytes, split anywhere, become complete messages in their order. No socket is used here.

use crate::protocol::decode::{startup_parameters, StartupParameters};
use crate::protocol::framing::{
    frame, startup_packet, FrameError, StartupKind, HEADER_BYTES, MAX_QUERY_BYTES, STARTUP_HEADER_BYTES,
};
use crate::protocol::sqlstate::{ClientError, SqlState};

/// Small buffers are retained between the queries of a busy client, larger ones are not.
const RETAINED_BUFFER_BYTES: usize = 1 << 12;

/// A message of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrontendMessage {
    /// SSLRequest or GSSENCRequest.
    EncryptionRequest,
    /// The startup message of a session.
    Startup {
        /// The minor version of the protocol.
        minor_version: u16,
        /// What else it says.
        parameters: StartupParameters,
    },
    /// A cancel request.
    CancelRequest,
    /// The body of a simple query.
    Query(Vec<u8>),
    /// Sync.
    Sync,
    /// A message of the extended protocol, or a function call.
    Unsupported {
        /// No Sync follows it.
        standalone: bool,
    },
    /// Terminate.
    Terminate,
    /// It cannot be taken, and nothing is taken behind it.
    Invalid(ClientError),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Startup,
    Ready,
    /// Behind a message of the extended protocol: everything up to a Sync is skipped.
    SkippingToSync,
    Closed,
}

/// The bytes of one client that were read and not taken yet.
#[derive(Default)]
pub struct FrontendCodec {
    bytes: Vec<u8>,
    /// The next message begins here.
    at: usize,
    phase: Phase,
}

impl FrontendCodec {
    /// Adds bytes that were read.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.phase != Phase::Closed {
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// The next complete message.
    pub fn next_message(&mut self) -> Option<FrontendMessage> {
        let message = match self.phase {
            Phase::Closed => Ok(None),
            Phase::Startup => self.next_startup_message(),
            Phase::Ready | Phase::SkippingToSync => self.next_tagged_message(),
        };
        let message = message.unwrap_or_else(|error| Some(FrontendMessage::Invalid(invalid(error))));
        match &message {
            Some(
                FrontendMessage::CancelRequest | FrontendMessage::Terminate | FrontendMessage::Invalid(_),
            ) => {
                self.phase = Phase::Closed;
                self.at = self.bytes.len();
            }
            Some(_) => {}
            None => self.compact(),
        }
        message
    }

    fn compact(&mut self) {
        self.bytes.drain(..self.at);
        self.at = 0;
        self.bytes.shrink_to(self.bytes.len().max(RETAINED_BUFFER_BYTES));
    }

    fn next_startup_message(&mut self) -> Result<Option<FrontendMessage>, FrameError> {
        let Some(packet) = startup_packet(&self.bytes[self.at..])? else { return Ok(None) };
        let body = self.at + STARTUP_HEADER_BYTES..self.at + packet.length;
        self.at += packet.length;
        Ok(Some(match packet.kind {
            StartupKind::Encryption => FrontendMessage::EncryptionRequest,
            StartupKind::Cancel => FrontendMessage::CancelRequest,
            StartupKind::OtherVersion => {
                let message = "only version 3 of the protocol is spoken";
                FrontendMessage::Invalid(ClientError::new(SqlState::FEATURE_NOT_SUPPORTED, message))
            }
            StartupKind::Session { minor_version } => {
                self.phase = Phase::Ready;
                let parameters = startup_parameters(&self.bytes[body]);
                FrontendMessage::Startup { minor_version, parameters }
            }
        }))
    }

    fn next_tagged_message(&mut self) -> Result<Option<FrontendMessage>, FrameError> {
        while let Some(frame) = frame(&self.bytes, self.at, MAX_QUERY_BYTES)? {
            self.at = frame.body.end;
            let skipping = self.phase == Phase::SkippingToSync;
            let message = match frame.tag {
                b'X' => FrontendMessage::Terminate,
                b'S' => {
                    self.phase = Phase::Ready;
                    FrontendMessage::Sync
                }
                b'Q' if !skipping => FrontendMessage::Query(self.bytes[frame.body].to_vec()),
                b'F' if !skipping => FrontendMessage::Unsupported { standalone: true },
                b'P' | b'B' | b'D' | b'E' | b'C' | b'H' if !skipping => {
                    self.phase = Phase::SkippingToSync;
                    FrontendMessage::Unsupported { standalone: false }
                }
                // What is skipped, and the data of a copy that was not asked for.
                b'Q' | b'F' | b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'd' | b'c' | b'f' => continue,
                _ => return Err(FrameError::Malformed),
            };
            return Ok(Some(message));
        }
        Ok(None)
    }

    /// How many bytes at the least are missing of the message that has begun; none if none has.
    pub fn missing_bytes(&self) -> usize {
        let rest = &self.bytes[self.at..];
        let header_bytes = if self.phase == Phase::Startup { 4 } else { HEADER_BYTES };
        if rest.is_empty() || self.phase == Phase::Closed {
            return 0;
        }
        let length = rest.get(header_bytes - 4..header_bytes).and_then(|bytes| bytes.try_into().ok());
        let message_bytes = match length.map(u32::from_be_bytes) {
            Some(length) => header_bytes - 4 + length as usize,
            None => header_bytes,
        };
        message_bytes.saturating_sub(rest.len()).max(1)
    }

    /// Whether no message has begun.
    pub fn is_empty(&self) -> bool {
        self.bytes.len() == self.at
    }

    /// Bytes of its buffer.
    pub fn buffer_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Frees the buffer if there is nothing in it.
    pub fn free_buffer(&mut self) {
        if self.is_empty() {
            self.bytes = Vec::new();
            self.at = 0;
        }
    }
}

fn invalid(error: FrameError) -> ClientError {
    match error {
        FrameError::TooLong => ClientError::new(SqlState::PROGRAM_LIMIT_EXCEEDED, "message too long"),
        FrameError::Malformed => ClientError::new(SqlState::PROTOCOL_VIOLATION, "malformed message"),
    }
}
