//! Encoding of messages.

use crate::protocol::framing::{LENGTH_BYTES, VERSION_3};
use crate::protocol::sqlstate::SqlState;

/// The parameter that carries a session's token to the client.
pub const SESSION_PARAMETER: &str = "gingerwick.session";
/// The parameter that carries the origin of a client's writes: the journal in which they are recorded.
const ORIGIN_PARAMETER: &str = "gingerwick.origin";
/// The parameters of a greeting that do not depend on the client.
const GREETING_PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "15.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];
/// The names and values of the parameters in a startup message to an endpoint, and the empty name that ends them.
const ENDPOINT_PARAMETERS: [&str; 5] = ["user", "backend", "database", "store", ""];
/// The secret key in BackendKeyData, which is not checked: cancel requests are not supported.
const CANCEL_KEY: [u8; 4] = [0; 4];
/// The placeholder of a length that is not known yet.
const NO_LENGTH: [u8; LENGTH_BYTES] = [0; LENGTH_BYTES];
/// The numbers of a RowDescription for a text column: no table (4 bytes) or column (2), type 25 (4), any size (2),
/// no modifier (4), text format (2).
const TEXT_COLUMN: [u8; 18] = [0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 255, 255, 255, 255, 255, 255, 0, 0];

/// The severity of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The statement has failed; the connection stays open.
    Error,
    /// The server closes the connection.
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

/// Appends a message: its tag, its length, and the bytes that `body` appends.
fn message(out: &mut Vec<u8>, tag: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(tag);
    let length_at = out.len();
    out.extend_from_slice(&NO_LENGTH);
    body(out);
    let length = (out.len() - length_at) as u32;
    out[length_at..length_at + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}

/// Appends a string with its closing zero byte.
fn text(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}

/// Appends a ParameterStatus.
pub fn parameter_status(out: &mut Vec<u8>, name: &str, value: &str) {
    message(out, b'S', |out| {
        text(out, name);
        text(out, value);
    });
}

/// Appends a ReadyForQuery outside a transaction.
pub fn ready_for_query(out: &mut Vec<u8>) {
    message(out, b'Z', |out| out.push(b'I'));
}

/// The contents of the response to a startup message.
pub struct Greeting<'a> {
    /// The minor version of the protocol that the client has requested.
    pub minor_version: u16,
    /// The id of the connection, sent as its process id.
    pub connection: u32,
    /// The session's token, if the client has a session.
    pub session_token: Option<&'a str>,
    /// The origin of the client's writes, if they are recorded.
    pub origin: Option<&'a str>,
}

/// Appends the response to a startup message: NegotiateProtocolVersion if a newer minor version was requested,
/// AuthenticationOk, ParameterStatus, BackendKeyData and ReadyForQuery.
pub fn greeting(out: &mut Vec<u8>, greeting: &Greeting) {
    if greeting.minor_version > 0 {
        message(out, b'v', |out| out.extend_from_slice(&[0; 8]));
    }
    message(out, b'R', |out| out.extend_from_slice(&[0; 4]));
    for (name, value) in GREETING_PARAMETERS {
        parameter_status(out, name, value);
    }
    if let Some(token) = greeting.session_token {
        parameter_status(out, SESSION_PARAMETER, token);
    }
    if let Some(origin) = greeting.origin {
        parameter_status(out, ORIGIN_PARAMETER, origin);
    }
    message(out, b'K', |out| {
        out.extend_from_slice(&greeting.connection.to_be_bytes());
        out.extend_from_slice(&CANCEL_KEY);
    });
    ready_for_query(out);
}

/// The startup message to an endpoint.
pub fn startup_message() -> Vec<u8> {
    let mut out = NO_LENGTH.to_vec();
    out.extend_from_slice(&VERSION_3.to_be_bytes());
    for parameter in ENDPOINT_PARAMETERS {
        text(&mut out, parameter);
    }
    let length = out.len() as u32;
    out[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    out
}

/// Appends a result of one row with one column of text: RowDescription, DataRow and CommandComplete.
pub fn text_row(out: &mut Vec<u8>, column: &str, value: &str) {
    message(out, b'T', |out| {
        out.extend_from_slice(&[0, 1]);
        text(out, column);
        out.extend_from_slice(&TEXT_COLUMN);
    });
    message(out, b'D', |out| {
        out.extend_from_slice(&[0, 1]);
        out.extend_from_slice(&(value.len() as u32).to_be_bytes());
        out.extend_from_slice(value.as_bytes());
    });
    command_complete(out, "SHOW");
}

/// Appends a Query.
pub fn query(out: &mut Vec<u8>, statement: &str) {
    message(out, b'Q', |out| text(out, statement));
}

/// Appends an EmptyQueryResponse.
pub fn empty_query_response(out: &mut Vec<u8>) {
    message(out, b'I', |_| ());
}

/// Appends a CommandComplete.
pub fn command_complete(out: &mut Vec<u8>, tag: &str) {
    message(out, b'C', |out| text(out, tag));
}

/// Appends an ErrorResponse; `detail` becomes its field D.
pub fn error_response(
    out: &mut Vec<u8>,
    severity: Severity,
    code: SqlState,
    reason: &str,
    detail: Option<&str>,
) {
    error_response_with_code(out, severity, code.as_str(), reason, detail);
}

/// Appends an ErrorResponse with any code, as an endpoint may send it.
pub fn error_response_with_code(
    out: &mut Vec<u8>,
    severity: Severity,
    code: &str,
    reason: &str,
    detail: Option<&str>,
) {
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
