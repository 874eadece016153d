//! Messages as bytes.

use crate::protocol::framing::VERSION_3;
use crate::protocol::sqlstate::SqlState;

/// The parameter by which a client is given its session's token.
pub const SESSION_PARAMETER: &str = "gingerwick.session";
/// The parameter that says where a client's writes will be recorded.
const ORIGIN_PARAMETER: &str = "gingerwick.origin";

/// The severity of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The statement has failed.
    Error,
    /// The connection is closed.
    Fatal,
}

impl Severity {
    fn as_str(self) -> &'static str {
        match self {
            Severity::Error => "ERROR",
            Severity::Fatal => "FATAL",
        }
    }
}

/// Appends a message: its tag, its length, and what `body` appends.
fn message(out: &mut Vec<u8>, tag: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(tag);
    let length_at = out.len();
    out.extend_from_slice(&[0; 4]);
    body(out);
    let length = (out.len() - length_at) as u32;
    out[length_at..length_at + 4].copy_from_slice(&length.to_be_bytes());
}

fn text(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}

/// ParameterStatus.
pub fn parameter_status(out: &mut Vec<u8>, name: &str, value: &str) {
    message(out, b'S', |out| {
        text(out, name);
        text(out, value);
    });
}

/// ReadyForQuery, outside a transaction.
pub fn ready_for_query(out: &mut Vec<u8>) {
    message(out, b'Z', |out| out.push(b'I'));
}

/// What a client is told when its session starts.
pub struct Greeting<'a> {
    /// The minor version of the protocol that it asked for.
    pub minor_version: u16,
    /// The number of its connection.
    pub connection: u32,
    /// Its session's token.
    pub session_token: Option<&'a str>,
    /// Where its writes will be recorded.
    pub origin: Option<&'a str>,
}

/// The answer to a startup message.
pub fn greeting(out: &mut Vec<u8>, greeting: &Greeting) {
    if greeting.minor_version > 0 {
        message(out, b'v', |out| out.extend_from_slice(&[0; 8]));
    }
    message(out, b'R', |out| out.extend_from_slice(&[0; 4]));
    for (name, value) in [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        parameter_status(out, name, value);
    }
    if let Some(token) = greeting.session_token {
        parameter_status(out, SESSION_PARAMETER, token);
    }
    if let Some(origin) = greeting.origin {
        parameter_status(out, ORIGIN_PARAMETER, origin);
    }
    // A key to cancel by is part of the greeting; cancel requests are closed unread.
    message(out, b'K', |out| {
        out.extend_from_slice(&greeting.connection.to_be_bytes());
        out.extend_from_slice(&[0; 4]);
    });
    ready_for_query(out);
}

/// A startup message for an endpoint.
pub fn startup_message() -> Vec<u8> {
    let mut out = vec![0; 4];
    out.extend_from_slice(&VERSION_3.to_be_bytes());
    for parameter in ["user", "backend", "database", "store", ""] {
        text(&mut out, parameter);
    }
    let length = out.len() as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}

/// A result of one row with one column of text.
pub fn text_row(out: &mut Vec<u8>, column: &str, value: &str) {
    message(out, b'T', |out| {
        out.extend_from_slice(&[0, 1]);
        text(out, column);
        // No table, type 25 (text) of any length, as text.
        out.extend_from_slice(&[0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 255, 255, 255, 255, 255, 255, 0, 0]);
    });
    message(out, b'D', |out| {
        out.extend_from_slice(&[0, 1]);
        out.extend_from_slice(&(value.len() as u32).to_be_bytes());
        out.extend_from_slice(value.as_bytes());
    });
    command_complete(out, "SHOW");
}

/// Query.
pub fn query(out: &mut Vec<u8>, statement: &str) {
    message(out, b'Q', |out| text(out, statement));
}

/// EmptyQueryResponse.
pub fn empty_query_response(out: &mut Vec<u8>) {
    message(out, b'I', |_| ());
}

/// CommandComplete.
pub fn command_complete(out: &mut Vec<u8>, tag: &str) {
    message(out, b'C', |out| text(out, tag));
}

/// ErrorResponse; `detail` goes into its field D.
pub fn error_response(
    out: &mut Vec<u8>,
    severity: Severity,
    code: SqlState,
    reason: &str,
    detail: Option<&str>,
) {
    error_fields(out, severity, code.as_str(), reason, detail);
}

/// ErrorResponse with any code, as an endpoint may send it.
pub fn error_fields(out: &mut Vec<u8>, severity: Severity, code: &str, reason: &str, detail: Option<&str>) {
    let severity = severity.as_str();
    message(out, b'E', |out| {
        for (field, value) in [(b'S', severity), (b'V', severity), (b'C', code), (b'M', reason)] {
            out.push(field);
            text(out, value);
        }
        if let Some(detail) = detail {
            out.push(b'D');
            text(out, detail);
        }
        out.push(0);
    });
}
