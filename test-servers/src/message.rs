//! PostgreSQL's messages, as much of them as stores and clients here need.

use std::io::Read;

pub fn message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
}

pub fn row(out: &mut Vec<u8>, value: &[u8]) {
    message(out, b'T', b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    message(out, b'D', &[&[0, 1], &(value.len() as u32).to_be_bytes()[..], value].concat());
    message(out, b'C', b"SELECT 1\0");
}

pub fn parameter(out: &mut Vec<u8>, name: &str, value: &str) {
    message(out, b'S', &[name.as_bytes(), b"\0", value.as_bytes(), b"\0"].concat());
}

pub fn error(out: &mut Vec<u8>, code: &str) {
    let body = [b"SERROR\0C", code.as_bytes(), b"\0Mstand-in\0\0"].concat();
    message(out, b'E', &body);
}

pub fn ready(out: &mut Vec<u8>) {
    message(out, b'Z', b"I");
}

/// The next message; none where the stream ended or what came can be none.
pub fn next(stream: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if !(4..=16 << 20).contains(&length) {
        return None;
    }
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

/// The start-up message, whatever it says.
pub fn start_up(stream: &mut impl Read) -> Option<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let length = u32::from_be_bytes(length) as usize;
    if !(8..=10_000).contains(&length) {
        return None;
    }
    stream.read_exact(&mut vec![0; length - 4]).ok()
}

/// A field of an error, by its letter.
pub fn field(body: &[u8], letter: u8) -> Option<String> {
    let part = body.split(|&byte| byte == 0).find(|part| part.first() == Some(&letter))?;
    Some(String::from_utf8_lossy(&part[1..]).into_owned())
}
