//! Code that the tests of admission share.

pub mod connections;
pub mod requests;

use routing::time::Timestamp;

/// The time this many milliseconds after the start of a test.
pub fn at(ms: i64) -> Timestamp {
    Timestamp(ms * 1_000_000)
}
