//! Why a message cannot be taken.

use host_support::routing_settings::SettingsError;
use thiserror::Error;

/// Why a message cannot be handled.
#[derive(Debug, Error)]
pub enum HostError {
    /// It is not one of the wire's messages; the text names the field at fault.
    #[error("{0}")]
    Malformed(String),
    /// A batch began before the one before it was closed.
    #[error("Frame: the batch before it was not closed")]
    NestedFrame,
    /// It is outside any batch.
    #[error("a message outside any batch")]
    OutsideFrame,
    /// It names an endpoint list that was not defined.
    #[error("Discovery: page: no list {0} was defined")]
    UnknownList(usize),
    /// A session key is not sixteen hex digits.
    #[error("Inbound: connKey: {0} is no key")]
    BadSessionKey(String),
    /// A peer's message is not in hex digits.
    #[error("Inbox: bytes: not hex digits")]
    BadBytes,
    /// The configuration of an instance is invalid.
    #[error("Start: {0}")]
    Settings(#[from] SettingsError),
    /// The replies could not be written.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
