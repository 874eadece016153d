//! Encoding and decoding of the PostgreSQL protocol messages that the endpoints and clients of the tests use.

use std::io::Read;

/// Maximum length of a message. Longer ones are treated as malformed.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Maximum length of a startup message, as in PostgreSQL. Longer ones are treated as malformed.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Size of a message's length field. The length includes the field itself.
pub(crate) const LENGTH_BYTES: usize = 4;
/// Body of a RowDescription message for one column, `content`.
const ONE_COLUMN: &[u8] = b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";
/// Body of an ErrorResponse message before the SQLSTATE: the severity `ERROR` and the type of the next field.
const ERROR_PREFIX: &[u8] = b"SERROR\0C";
/// Body of an ErrorResponse message after the SQLSTATE: the message text, which is the same for all errors.
const ERROR_SUFFIX: &[u8] = b"\0Mstand-in\0\0";

/// A protocol message other than the startup message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The ASCII letter that identifies the type of the message.
    pub tag: u8,
    /// Content after the length field.
    pub body: Vec<u8>,
}

/// Appends a message to `out`.
pub fn append_message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend(((body.len() + LENGTH_BYTES) as u32).to_be_bytes());
    out.extend(body);
}

/// Appends a Query message of the simple query protocol.
pub fn append_query(out: &mut Vec<u8>, statement: &str) {
    append_message(out, b'Q', &[statement.as_bytes(), b"\0"].concat());
}

/// Appends a result of one row with one column, without the ReadyForQuery message that ends the answer.
pub fn append_single_value(out: &mut Vec<u8>, value: &[u8]) {
    append_message(out, b'T', ONE_COLUMN);
    append_message(out, b'D', &[&[0, 1], &(value.len() as u32).to_be_bytes()[..], value].concat());
    append_message(out, b'C', b"SELECT 1\0");
}

/// Appends a ParameterStatus message.
pub fn append_parameter_status(out: &mut Vec<u8>, name: &str, value: &str) {
    append_message(out, b'S', &[name.as_bytes(), b"\0", value.as_bytes(), b"\0"].concat());
}

/// Appends an ErrorResponse message with the SQLSTATE `code`.
pub fn append_error(out: &mut Vec<u8>, code: &str) {
    let body = [ERROR_PREFIX, code.as_bytes(), ERROR_SUFFIX].concat();
    append_message(out, b'E', &body);
}

/// Appends a ReadyForQuery message for a connection outside a transaction.
pub fn append_ready_for_query(out: &mut Vec<u8>) {
    append_message(out, b'Z', b"I");
}

/// Reads the next message. Returns `None` if the stream has ended or the message is malformed.
pub fn read_message(stream: &mut impl Read) -> Option<Message> {
    let mut tag = [0];
    stream.read_exact(&mut tag).ok()?;
    let body = read_body(stream, MAX_MESSAGE_BYTES)?;
    Some(Message { tag: tag[0], body })
}

/// Reads and discards the startup message. Returns `None` if the stream has ended or the message is malformed.
pub fn read_startup(stream: &mut impl Read) -> Option<()> {
    read_body(stream, MAX_STARTUP_BYTES).map(drop)
}

fn read_body(stream: &mut impl Read, max_bytes: usize) -> Option<Vec<u8>> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).ok()?;
    let length = u32::from_be_bytes(length) as usize;
    if !(LENGTH_BYTES..=max_bytes).contains(&length) {
        return None;
    }
    let mut body = vec![0; length - LENGTH_BYTES];
    stream.read_exact(&mut body).ok()?;
    Some(body)
}

/// Returns the value of a field in the body of an ErrorResponse message. `letter` identifies the type of the field:
/// `C` for the SQLSTATE, `D` for the detail.
pub fn error_field(body: &[u8], letter: u8) -> Option<String> {
    let field = body.split(|&byte| byte == 0).find(|field| field.first() == Some(&letter))?;
    Some(String::from_utf8_lossy(&field[1..]).into_owned())
}
