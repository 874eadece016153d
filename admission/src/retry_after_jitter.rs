//! When clients that are rejected may come back: the more there are, the later and the wider apart.

use routing::rng::Mwc;
use routing::time::{TimeDelta, Timestamp};

/// What a rejected client waits at the least.
const MIN_WAIT: TimeDelta = TimeDelta::from_millis(200);
/// The greatest wait is this many times the least.
const SPREAD: i64 = 4;
/// Rejections are counted over this time: the more there are, the longer each client waits.
const COUNT_WINDOW: TimeDelta = TimeDelta::from_millis(1_000);

/// Retry-After times that lie apart.
pub struct RetryAfterJitter {
    /// Clients that can be admitted in one wait.
    capacity: usize,
    max_retry_after: TimeDelta,
    window_began: Timestamp,
    rejected_in_window: i64,
    rng: Mwc,
}

impl RetryAfterJitter {
    /// For a server that can admit `capacity` clients at once and may tell them to stay away for `max_retry_after` at most.
    pub fn new(capacity: usize, max_retry_after: TimeDelta, seed: u64) -> RetryAfterJitter {
        RetryAfterJitter {
            capacity,
            max_retry_after,
            window_began: Timestamp(0),
            rejected_in_window: 0,
            rng: Mwc::new(seed),
        }
    }

    /// How long the next client should stay away: `least` at the least, if that may be told.
    pub fn next(&mut self, now: Timestamp, least: TimeDelta) -> TimeDelta {
        if now - self.window_began >= COUNT_WINDOW {
            self.window_began = now;
            self.rejected_in_window = 0;
        }
        self.rejected_in_window += 1;
        // As many as there is capacity for may come in one wait; beyond that, waits grow with their number.
        let waits = 1 + self.rejected_in_window / (self.capacity.max(1) as i64);
        let wait = least.max(MIN_WAIT) * waits;
        // Under the longest that may be told they still lie apart: cut off there, all would come back at once.
        let wait = wait.min(self.max_retry_after / SPREAD);
        let spread_ms = (wait.0 / 1_000_000 * (SPREAD - 1)).max(1);
        wait + TimeDelta::from_millis(self.rng.below(spread_ms as usize) as i64)
    }
}
