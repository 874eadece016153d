//! How much of the worker a client has used lately. Clients that have used little get their turns first.

use routing::time::{TimeDelta, Timestamp};

/// After this time a use counts half.
const HALF_LIFE: TimeDelta = TimeDelta::from_millis(1_000);

/// The time of the worker that a client has used, in which earlier use counts less.
#[derive(Clone, Copy, Debug)]
pub struct RecentUse {
    used: TimeDelta,
    decayed_at: Timestamp,
}

impl RecentUse {
    /// A new client has used nothing.
    pub fn new(now: Timestamp) -> RecentUse {
        RecentUse { used: TimeDelta::ZERO, decayed_at: now }
    }

    /// Adds the time `used`.
    pub fn add(&mut self, now: Timestamp, used: TimeDelta) {
        self.used = self.at(now) + used;
    }

    /// The use as it counts at `now`.
    pub fn at(&mut self, now: Timestamp) -> TimeDelta {
        let half_lives = (now - self.decayed_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.used = self.used.mul_f64((-half_lives).exp2());
        self.decayed_at = now;
        self.used
    }
}
