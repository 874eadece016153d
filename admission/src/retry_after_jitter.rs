//! Retry-After times with jitter for rejected clients. The times become longer and more spread out as the number of
//! recent rejections grows, so that clients do not all return at once.

use routing::rng::Mwc;
use routing::time::{TimeDelta, Timestamp};

/// The shortest Retry-After time.
const MIN_WAIT: TimeDelta = TimeDelta::from_millis(200);
/// Ratio of the longest to the shortest Retry-After time within one jitter range.
const SPREAD_RATIO: i64 = 4;
/// Length of the windows in which rejections are counted.
const COUNT_WINDOW: TimeDelta = TimeDelta::from_millis(1_000);
const NANOS_PER_MILLI: i64 = 1_000_000;

/// Generator of Retry-After times.
pub struct RetryAfterJitter {
    /// Number of clients that the server can admit at the same time.
    capacity: usize,
    max_retry_after: TimeDelta,
    window_start: Timestamp,
    rejected_in_window: i64,
    rng: Mwc,
}

impl RetryAfterJitter {
    /// Creates the generator for a server that can admit `capacity` clients at the same time. Retry-After times are at
    /// most `max_retry_after`.
    pub fn new(capacity: usize, max_retry_after: TimeDelta, seed: u64) -> RetryAfterJitter {
        RetryAfterJitter {
            capacity,
            max_retry_after,
            window_start: Timestamp(0),
            rejected_in_window: 0,
            rng: Mwc::new(seed),
        }
    }

    /// The Retry-After time of the next rejected client: at least `min_wait`, unless `min_wait` exceeds a fourth of the
    /// configured maximum.
    pub fn next(&mut self, now: Timestamp, min_wait: TimeDelta) -> TimeDelta {
        if now - self.window_start >= COUNT_WINDOW {
            self.window_start = now;
            self.rejected_in_window = 0;
        }
        self.rejected_in_window += 1;
        // As many clients as the server can admit get the same multiple of the shortest wait.
        let multiple = 1 + self.rejected_in_window / (self.capacity.max(1) as i64);
        let wait = min_wait.max(MIN_WAIT) * multiple;
        // Limits the start of the jitter range instead of the result: if the results were clamped to the maximum, they
        // would have no jitter, and all clients would return at once.
        let wait = wait.min(self.max_retry_after / SPREAD_RATIO);
        let jitter_range_ms = (wait.0 / NANOS_PER_MILLI * (SPREAD_RATIO - 1)).max(1);
        wait + TimeDelta::from_millis(self.rng.below(jitter_range_ms as usize) as i64)
    }
}
