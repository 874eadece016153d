//! Retry-After times with jitter for rejected clients. They grow and spread out with the number of recent
//! rejections, so that clients do not return all at once.

use routing::rng::Mwc;
use routing::time::{TimeDelta, Timestamp};

/// The shortest Retry-After time.
const MIN_WAIT: TimeDelta = TimeDelta::from_millis(200);
/// Ratio of the longest to the shortest Retry-After time of one range of jitter.
const SPREAD: i64 = 4;
/// Rejections are counted over windows of this length.
const COUNT_WINDOW: TimeDelta = TimeDelta::from_millis(1_000);
const NANOS_PER_MILLI: i64 = 1_000_000;

/// Generator of Retry-After times.
pub struct RetryAfterJitter {
    /// Clients that the server can admit at once.
    capacity: usize,
    max_retry_after: TimeDelta,
    window_began: Timestamp,
    rejected_in_window: i64,
    rng: Mwc,
}

impl RetryAfterJitter {
    /// Creates the generator of a server that admits `capacity` clients at once, with Retry-After times of at most
    /// `max_retry_after`.
    pub fn new(capacity: usize, max_retry_after: TimeDelta, seed: u64) -> RetryAfterJitter {
        RetryAfterJitter {
            capacity,
            max_retry_after,
            window_began: Timestamp(0),
            rejected_in_window: 0,
            rng: Mwc::new(seed),
        }
    }

    /// The Retry-After time of the next rejected client: at least `min_wait`, unless that exceeds the configured
    /// maximum.
    pub fn next(&mut self, now: Timestamp, min_wait: TimeDelta) -> TimeDelta {
        if now - self.window_began >= COUNT_WINDOW {
            self.window_began = now;
            self.rejected_in_window = 0;
        }
        self.rejected_in_window += 1;
        // One capacity's worth of clients may return within each multiple of the shortest wait.
        let multiple = 1 + self.rejected_in_window / (self.capacity.max(1) as i64);
        let wait = min_wait.max(MIN_WAIT) * multiple;
        // The start of the range is limited, not the result: clamping the result to the maximum would remove the
        // jitter, and all clients would return at once.
        let wait = wait.min(self.max_retry_after / SPREAD);
        let jitter_range_ms = (wait.0 / NANOS_PER_MILLI * (SPREAD - 1)).max(1);
        wait + TimeDelta::from_millis(self.rng.below(jitter_range_ms as usize) as i64)
    }
}
