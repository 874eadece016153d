//! Encodes the messages to clients and to endpoints.

use crate::protocol::framing::{LENGTH_BYTES, VERSION_3};
use crate::protocol::sqlstate::SqlState;

/// The parameter that carries a session token: from the client in its startup message, and to the client in
/// ParameterStatus.
pub const SESSION_PARAMETER: &str = "gingerwick.session";
/// The parameter that tells a client the origin of its writes, which identifies the journal that records them.
const ORIGIN_PARAMETER: &str = "gingerwick.origin";
/// The parameters that every client receives after its startup message.
const GREETING_PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "15.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];
/// The parameters of the startup message to an endpoint, as alternating names and values; the empty name ends them.
const ENDPOINT_PARAMETERS: [&str; 5] = ["user", "backend", "database", "store", ""];
/// The secret key in BackendKeyData. It is never checked, because cancel requests are not supported.
const CANCEL_KEY: [u8; 4] = [0; 4];
/// Stands in for a message's length until the length is known.
const LENGTH_PLACEHOLDER: [u8; LENGTH_BYTES] = [0; LENGTH_BYTES];
/// The numbers after the name of a text column in a RowDescription: table 0 (4 bytes), column 0 (2), type 25 (4),
/// size -1 (2), modifier -1 (4), format 0 (2). Type 25 is `text`; the others mean none, variable, or text format.
const TEXT_COLUMN_NUMBERS: [u8; 18] = [0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 255, 255, 255, 255, 255, 255, 0, 0];

/// The severity of an ErrorResponse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The statement has failed; the connection stays open.
    Error,
    /// The router closes the connection after the message.
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

/// Appends a message: its tag, its length, and the body that `body` appends.
fn append_message(out: &mut Vec<u8>, tag: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(tag);
    let length_at = out.len();
    out.extend_from_slice(&LENGTH_PLACEHOLDER);
    body(out);
    let length = (out.len() - length_at) as u32;
    out[length_at..length_at + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}

/// Appends a string and the zero byte that ends it.
fn append_string(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}

/// Appends a ParameterStatus, which tells the client the value of a parameter.
pub fn parameter_status(out: &mut Vec<u8>, name: &str, value: &str) {
    append_message(out, b'S', |out| {
        append_string(out, name);
        append_string(out, value);
    });
}

/// Appends a ReadyForQuery with the status "not in a transaction".
pub fn ready_for_query(out: &mut Vec<u8>) {
    append_message(out, b'Z', |out| out.push(b'I'));
}

/// The contents of the response to a startup message.
pub struct Greeting<'a> {
    /// The minor version of the protocol that the client has requested.
    pub minor_version: u16,
    /// The id of the connection, which BackendKeyData carries as the process id.
    pub connection: u32,
    /// The token of the client's session; `None` if it has no session.
    pub session_token: Option<&'a str>,
    /// The origin of the client's writes; `None` if they are not recorded.
    pub origin: Option<&'a str>,
}

/// Appends the response to a startup message: NegotiateProtocolVersion if a newer minor version was requested,
/// AuthenticationOk, ParameterStatus, BackendKeyData and ReadyForQuery.
pub fn greeting(out: &mut Vec<u8>, greeting: &Greeting) {
    if greeting.minor_version > 0 {
        // The newest supported minor version is 0, and the list of options that are not recognized is empty.
        append_message(out, b'v', |out| out.extend_from_slice(&[0; 8]));
    }
    append_message(out, b'R', |out| out.extend_from_slice(&[0; 4]));
    for (name, value) in GREETING_PARAMETERS {
        parameter_status(out, name, value);
    }
    if let Some(token) = greeting.session_token {
        parameter_status(out, SESSION_PARAMETER, token);
    }
    if let Some(origin) = greeting.origin {
        parameter_status(out, ORIGIN_PARAMETER, origin);
    }
    append_message(out, b'K', |out| {
        out.extend_from_slice(&greeting.connection.to_be_bytes());
        out.extend_from_slice(&CANCEL_KEY);
    });
    ready_for_query(out);
}

/// Encodes the startup message to an endpoint.
pub fn startup_message() -> Vec<u8> {
    let mut out = LENGTH_PLACEHOLDER.to_vec();
    out.extend_from_slice(&VERSION_3.to_be_bytes());
    for parameter in ENDPOINT_PARAMETERS {
        append_string(&mut out, parameter);
    }
    let length = out.len() as u32;
    out[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    out
}

/// Appends a result of one row with one column of text: RowDescription, DataRow and CommandComplete.
pub fn text_row(out: &mut Vec<u8>, column: &str, value: &str) {
    append_message(out, b'T', |out| {
        out.extend_from_slice(&[0, 1]);
        append_string(out, column);
        out.extend_from_slice(&TEXT_COLUMN_NUMBERS);
    });
    append_message(out, b'D', |out| {
        out.extend_from_slice(&[0, 1]);
        out.extend_from_slice(&(value.len() as u32).to_be_bytes());
        out.extend_from_slice(value.as_bytes());
    });
    command_complete(out, "SHOW");
}

/// Appends a Query with a statement.
pub fn query(out: &mut Vec<u8>, statement: &str) {
    append_message(out, b'Q', |out| append_string(out, statement));
}

/// Appends an EmptyQueryResponse, the response to an empty statement.
pub fn empty_query_response(out: &mut Vec<u8>) {
    append_message(out, b'I', |_| ());
}

/// Appends a CommandComplete with a command tag such as `SHOW`.
pub fn command_complete(out: &mut Vec<u8>, tag: &str) {
    append_message(out, b'C', |out| append_string(out, tag));
}

/// Appends an ErrorResponse with one of the router's own SQLSTATEs. `detail` becomes the field `D`, which carries the
/// Retry-After of rejections.
pub fn error_response(
    out: &mut Vec<u8>,
    severity: Severity,
    code: SqlState,
    reason: &str,
    detail: Option<&str>,
) {
    error_response_with_code(out, severity, code.as_str(), reason, detail);
}

/// Appends an ErrorResponse with any SQLSTATE, such as those of endpoints.
pub fn error_response_with_code(
    out: &mut Vec<u8>,
    severity: Severity,
    code: &str,
    reason: &str,
    detail: Option<&str>,
) {
    let severity = severity.as_str();
    append_message(out, b'E', |out| {
        for (field, value) in [(b'S', severity), (b'V', severity), (b'C', code), (b'M', reason)] {
            out.push(field);
            append_string(out, value);
        }
        if let Some(detail) = detail {
            out.push(b'D');
            append_string(out, detail);
        }
        out.push(0);
    });
}
