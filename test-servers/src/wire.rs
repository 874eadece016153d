//! PostgreSQL's messages, as much of them as endpoints and clients here need.

use std::io::Read;

const MAX_MESSAGE_BYTES: usize = 16 << 20;
const MAX_STARTUP_BYTES: usize = 10_000;
/// The length of a message counts itself.
const LENGTH_BYTES: usize = 4;
/// RowDescription of one column.
const ONE_COLUMN: &[u8] = b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";

/// A message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its tag.
    pub tag: u8,
    /// Its body.
    pub body: Vec<u8>,
}

/// Appends a message.
pub fn message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend(((body.len() + LENGTH_BYTES) as u32).to_be_bytes());
    out.extend(body);
}

/// Appends a simple query.
pub fn query(out: &mut Vec<u8>, statement: &str) {
    message(out, b'Q', &[statement.as_bytes(), b"\0"].concat());
}

/// Appends a row of one column, with its description and completion.
pub fn row(out: &mut Vec<u8>, value: &[u8]) {
    message(out, b'T', ONE_COLUMN);
    message(out, b'D', &[&[0, 1], &(value.len() as u32).to_be_bytes()[..], value].concat());
    message(out, b'C', b"SELECT 1\0");
}

/// Appends ParameterStatus.
pub fn parameter_status(out: &mut Vec<u8>, name: &str, value: &str) {
    message(out, b'S', &[name.as_bytes(), b"\0", value.as_bytes(), b"\0"].concat());
}

/// Appends ErrorResponse.
pub fn error(out: &mut Vec<u8>, code: &str) {
    let body = [b"SERROR\0C", code.as_bytes(), b"\0Mstand-in\0\0"].concat();
    message(out, b'E', &body);
}

/// Appends ReadyForQuery.
pub fn ready_for_query(out: &mut Vec<u8>) {
    message(out, b'Z', b"I");
}

/// Reads the next message; none if the stream has ended, or what came can be none.
pub fn read_message(stream: &mut impl Read) -> Option<Message> {
    let mut tag = [0];
    stream.read_exact(&mut tag).ok()?;
    let body = read_body(stream, MAX_MESSAGE_BYTES)?;
    Some(Message { tag: tag[0], body })
}

/// Reads the startup message, whatever it says.
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

/// A field of an ErrorResponse, by its letter.
pub fn error_field(body: &[u8], letter: u8) -> Option<String> {
    let field = body.split(|&byte| byte == 0).find(|field| field.first() == Some(&letter))?;
    Some(String::from_utf8_lossy(&field[1..]).into_owned())
}
