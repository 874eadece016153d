//! Errors in the simulator's messages.

use host_support::routing_settings::SettingsError;
use thiserror::Error;

/// Why a message cannot be handled. The texts use the names on the wire.
#[derive(Debug, Error)]
pub enum HostError {
    /// The line is not a known message. The text names the invalid field.
    #[error("{0}")]
    Malformed(String),
    /// A batch was begun before the previous one was ended.
    #[error("Frame: the previous batch is still open, Go must end it first")]
    BatchOpen,
    /// The message is not part of a batch.
    #[error("message outside a batch, Frame must begin one first")]
    NoOpenBatch,
    /// The message names an endpoint list that was not defined.
    #[error("Discovery: page: list {0} was not defined by DefineList")]
    UnknownList(usize),
    /// The session key is not a hexadecimal number of 64 bits.
    #[error("Inbound: connKey: {0:?} is not a number of 1 to 16 hexadecimal digits")]
    InvalidSessionKey(String),
    /// The content of a peer's message is not in pairs of hexadecimal digits.
    #[error("Inbox: bytes: not in pairs of hexadecimal digits")]
    InvalidPeerMessage,
    /// The configuration of an instance is invalid.
    #[error("Start: {0}")]
    Settings(#[from] SettingsError),
    /// The replies cannot be written.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
