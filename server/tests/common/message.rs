//! Encoding of PostgreSQL protocol messages, independent of the server's own encoder so that the tests check that as
//! well.

/// Encodes a message from its tag and body.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[tag], &length[..], body].concat()
}
