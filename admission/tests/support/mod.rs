//! What the tests of admission share.

pub mod connections;
pub mod requests;

use routing::time::Timestamp;

/// A time in milliseconds.
pub fn at(ms: i64) -> Timestamp {
    Timestamp(ms * 1_000_000)
}
