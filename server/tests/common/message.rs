//! Encodes PostgreSQL protocol messages. It is independent of the server's own encoder, so that the tests check that
//! encoder as well.

/// Encodes a message with this tag and body.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[tag], &length[..], body].concat()
}
