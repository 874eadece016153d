//! Encoding of a query result that contains one value.

use super::message::message;

/// The body of a RowDescription message of one column.
pub const ONE_COLUMN: &[u8] = b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";

/// Encodes a result of one row with one column: RowDescription, DataRow and CommandComplete.
pub fn value_messages(value: &[u8]) -> Vec<u8> {
    let row = [&[0, 1], &(value.len() as u32).to_be_bytes()[..], value].concat();
    [message(b'T', ONE_COLUMN), message(b'D', &row), message(b'C', b"SELECT 1\0")].concat()
}
