//! The SQLSTATEs that are sent to clients, and those of endpoints that the server interprets. See appendix A of
//! PostgreSQL's documentation; class `ZG` is this project's own.

use std::fmt;

/// A SQLSTATE.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SqlState(&'static str);

impl SqlState {
    /// A message is malformed, or was not completed in time.
    pub const PROTOCOL_VIOLATION: SqlState = SqlState("08P01");
    /// A feature of the protocol is not supported.
    pub const FEATURE_NOT_SUPPORTED: SqlState = SqlState("0A000");
    /// A position is out of range.
    pub const DATETIME_FIELD_OVERFLOW: SqlState = SqlState("22008");
    /// A statement is not UTF-8.
    pub const CHARACTER_NOT_IN_REPERTOIRE: SqlState = SqlState("22021");
    /// The fate of a write is unknown.
    pub const STATEMENT_COMPLETION_UNKNOWN: SqlState = SqlState("40003");
    /// The comment of a statement is invalid.
    pub const SYNTAX_ERROR: SqlState = SqlState("42601");
    /// A method or group is unknown.
    pub const UNDEFINED_OBJECT: SqlState = SqlState("42704");
    /// An id is in use by an open request or a recorded write.
    pub const DUPLICATE_OBJECT: SqlState = SqlState("42710");
    /// Buffer memory is used up.
    pub const OUT_OF_MEMORY: SqlState = SqlState("53200");
    /// A connection or a request is rejected: it was not executed, or is safe to retry.
    pub const TOO_MANY_CONNECTIONS: SqlState = SqlState("53300");
    /// A message is too long.
    pub const PROGRAM_LIMIT_EXCEEDED: SqlState = SqlState("54000");
    /// A request is aborted: it may have been executed.
    pub const SYSTEM_ERROR: SqlState = SqlState("58000");
    /// The server has a fault (a panic).
    pub const INTERNAL_ERROR: SqlState = SqlState("XX000");
    /// The position that a session has seen is lost.
    pub const SESSION_LOST: SqlState = SqlState("ZG001");
    /// A session's token is rejected.
    pub const TOKEN_REJECTED: SqlState = SqlState("ZG002");
    /// A session's token has expired.
    pub const TOKEN_EXPIRED: SqlState = SqlState("ZG003");

    /// The five characters of the code.
    pub const fn as_str(self) -> &'static str {
        self.0
    }
}

impl fmt::Display for SqlState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// The SQLSTATEs of endpoints that prove that a request was not executed.
pub mod endpoint {
    /// The endpoint is not the primary.
    pub const READ_ONLY_SQL_TRANSACTION: &str = "25006";
    /// The endpoint's data is too stale.
    pub const SNAPSHOT_TOO_OLD: &str = "72000";
    /// The endpoint is overloaded or draining.
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
}

/// An error that is sent to a client. Code and message are part of the wire protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code}: {message}")]
pub struct ClientError {
    /// The SQLSTATE.
    pub code: SqlState,
    /// The message.
    pub message: &'static str,
}

impl ClientError {
    /// Creates an error with this code and message.
    pub const fn new(code: SqlState, message: &'static str) -> ClientError {
        ClientError { code, message }
    }
}
