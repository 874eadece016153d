//! Messages as bytes, written out by hand: what the server's own encoder makes must agree with them.

/// The body of a RowDescription of one column.
#[allow(dead_code)] // Each test file uses a part of this module.
pub const ONE_COLUMN: &[u8] = b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";

/// A message with its tag and length.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[tag], &length[..], body].concat()
}

/// The messages of a value: RowDescription, DataRow and CommandComplete.
#[allow(dead_code)]
pub fn value_messages(value: &[u8]) -> Vec<u8> {
    let row = [&[0, 1], &(value.len() as u32).to_be_bytes()[..], value].concat();
    [message(b'T', ONE_COLUMN), message(b'D', &row), message(b'C', b"SELECT 1\0")].concat()
}
