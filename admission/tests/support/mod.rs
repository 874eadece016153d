//! Code that the tests of admission share.

pub mod connections;
pub mod requests;

use routing::time::Timestamp;

/// The time `ms` milliseconds after the start of a test.
pub fn at_ms(ms: i64) -> Timestamp {
    Timestamp(ms * 1_000_000)
}
