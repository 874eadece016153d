//! The SQLSTATEs that are sent to clients, and those from endpoints that the router interprets. Class `ZG` is
//! specific to this router; the others are from appendix A of PostgreSQL's documentation.

use std::fmt;

/// A SQLSTATE: five digits and upper-case letters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SqlState(&'static str);

impl SqlState {
    /// A message is malformed, or was not complete in time.
    pub const PROTOCOL_VIOLATION: SqlState = SqlState("08P01");
    /// A protocol version, or a message of the extended query protocol, is not supported.
    pub const FEATURE_NOT_SUPPORTED: SqlState = SqlState("0A000");
    /// The position in the key `after` is out of range.
    pub const DATETIME_FIELD_OVERFLOW: SqlState = SqlState("22008");
    /// A statement is not UTF-8.
    pub const CHARACTER_NOT_IN_REPERTOIRE: SqlState = SqlState("22021");
    /// The fate of a write is not known to this instance: the write may have been executed.
    pub const STATEMENT_COMPLETION_UNKNOWN: SqlState = SqlState("40003");
    /// The comment at the head of a statement is missing or invalid.
    pub const SYNTAX_ERROR: SqlState = SqlState("42601");
    /// A request names a method or a group that does not exist.
    pub const UNDEFINED_OBJECT: SqlState = SqlState("42704");
    /// A request's id is in use by an open request or a recorded write.
    pub const DUPLICATE_OBJECT: SqlState = SqlState("42710");
    /// The memory for buffers is used up.
    pub const OUT_OF_MEMORY: SqlState = SqlState("53200");
    /// A connection or a request is rejected. A rejected request was not executed, or can safely be retried.
    pub const TOO_MANY_CONNECTIONS: SqlState = SqlState("53300");
    /// A message exceeds the maximum length.
    pub const PROGRAM_LIMIT_EXCEEDED: SqlState = SqlState("54000");
    /// A request is aborted: it may have been executed.
    pub const SYSTEM_ERROR: SqlState = SqlState("58000");
    /// The coroutine of the connection has panicked.
    pub const INTERNAL_ERROR: SqlState = SqlState("XX000");
    /// The log position that a session has seen was lost in a failover; the request was not executed.
    pub const SESSION_LOST: SqlState = SqlState("ZG001");
    /// A session token is invalid, or was issued for another audience.
    pub const TOKEN_REJECTED: SqlState = SqlState("ZG002");
    /// A session token has expired.
    pub const TOKEN_EXPIRED: SqlState = SqlState("ZG003");

    /// The code as it is written on the wire.
    pub const fn as_str(self) -> &'static str {
        self.0
    }
}

impl fmt::Display for SqlState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// SQLSTATEs in answers of endpoints, each of which proves that the request was not executed.
pub mod endpoint {
    /// The endpoint is not the primary.
    pub const READ_ONLY_SQL_TRANSACTION: &str = "25006";
    /// The endpoint's data is older than the request allows.
    pub const SNAPSHOT_TOO_OLD: &str = "72000";
    /// The endpoint is overloaded or draining.
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
}

/// An error that is sent to a client. Both fields are part of the interface to clients and must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code}: {message}")]
pub struct ClientError {
    /// The SQLSTATE, field `C`.
    pub code: SqlState,
    /// The message, field `M`.
    pub message: &'static str,
}

impl ClientError {
    /// Creates an error; `const`, so that errors can be constants.
    pub const fn new(code: SqlState, message: &'static str) -> ClientError {
        ClientError { code, message }
    }
}
