//! Messages of version 3 of PostgreSQL's protocol.

use std::io::Read;
use std::net::TcpStream;

pub struct Message {
    pub tag: u8,
    pub body: Vec<u8>,
}

pub fn message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend(((body.len() + 4) as u32).to_be_bytes());
    out.extend(body);
}

pub fn query(statement: &str) -> Vec<u8> {
    let mut out = Vec::new();
    message(&mut out, b'Q', &[statement.as_bytes(), b"\0"].concat());
    out
}

/// RowDescription, DataRow and CommandComplete of one column.
pub fn row(out: &mut Vec<u8>, value: &str, tag: &str) {
    message(out, b'T', b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    message(out, b'D', &[&[0, 1], &(value.len() as u32).to_be_bytes()[..], value.as_bytes()].concat());
    message(out, b'C', &[tag.as_bytes(), b"\0"].concat());
}

pub fn parameter(out: &mut Vec<u8>, name: &str, value: &str) {
    message(out, b'S', &[name.as_bytes(), b"\0", value.as_bytes(), b"\0"].concat());
}

pub fn error(out: &mut Vec<u8>, code: &str, text: &str) {
    message(out, b'E', format!("SERROR\0C{code}\0M{text}\0\0").as_bytes());
}

pub fn ready(out: &mut Vec<u8>) {
    message(out, b'Z', b"I");
}

/// Reads a startup message; `None` if the connection ends.
pub fn read_startup(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut body = vec![0; (u32::from_be_bytes(length) as usize).checked_sub(4)?];
    stream.read_exact(&mut body).ok()?;
    Some(body)
}

/// Reads a message; `None` if the connection ends or its read times out.
pub fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.checked_sub(4)?];
    stream.read_exact(&mut body).ok()?;
    Some(Message { tag: head[0], body })
}
