//! The SQLSTATEs that clients are told, and those of endpoints that mean something here. See PostgreSQL's documentation,
//! appendix A; `ZG` is this project's own class.

use std::fmt;

/// A SQLSTATE.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SqlState(&'static str);

impl SqlState {
    /// A message is malformed, or was begun and not ended.
    pub const PROTOCOL_VIOLATION: SqlState = SqlState("08P01");
    /// Something that is not supported.
    pub const FEATURE_NOT_SUPPORTED: SqlState = SqlState("0A000");
    /// A position is out of range.
    pub const DATETIME_FIELD_OVERFLOW: SqlState = SqlState("22008");
    /// A statement is not UTF-8.
    pub const CHARACTER_NOT_IN_REPERTOIRE: SqlState = SqlState("22021");
    /// What became of a write is not known.
    pub const STATEMENT_COMPLETION_UNKNOWN: SqlState = SqlState("40003");
    /// The comment of a statement cannot be read.
    pub const SYNTAX_ERROR: SqlState = SqlState("42601");
    /// A method or group is not known.
    pub const UNDEFINED_OBJECT: SqlState = SqlState("42704");
    /// An id is in use.
    pub const DUPLICATE_OBJECT: SqlState = SqlState("42710");
    /// There is no memory for buffers.
    pub const OUT_OF_MEMORY: SqlState = SqlState("53200");
    /// A connection or a request is rejected: it did not run, or may be sent again.
    pub const TOO_MANY_CONNECTIONS: SqlState = SqlState("53300");
    /// A message is too long.
    pub const PROGRAM_LIMIT_EXCEEDED: SqlState = SqlState("54000");
    /// A request is aborted: it may have run.
    pub const SYSTEM_ERROR: SqlState = SqlState("58000");
    /// A fault of this program.
    pub const INTERNAL_ERROR: SqlState = SqlState("XX000");
    /// What a session has seen is lost.
    pub const SESSION_LOST: SqlState = SqlState("ZG001");
    /// A session's token is rejected.
    pub const TOKEN_REJECTED: SqlState = SqlState("ZG002");
    /// A session's token has expired.
    pub const TOKEN_EXPIRED: SqlState = SqlState("ZG003");

    /// Its five characters.
    pub const fn as_str(self) -> &'static str {
        self.0
    }
}

impl fmt::Display for SqlState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// SQLSTATEs by which an endpoint says that a request did not run.
pub mod endpoint {
    /// It is not the primary.
    pub const READ_ONLY_SQL_TRANSACTION: &str = "25006";
    /// Its data is too stale.
    pub const SNAPSHOT_TOO_OLD: &str = "72000";
    /// It is overloaded or draining.
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
}

/// What a client is told is wrong. Code and message are part of the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code}: {message}")]
pub struct ClientError {
    /// The SQLSTATE.
    pub code: SqlState,
    /// The message.
    pub message: &'static str,
}

impl ClientError {
    /// An error with this code and message.
    pub const fn new(code: SqlState, message: &'static str) -> ClientError {
        ClientError { code, message }
    }
}
