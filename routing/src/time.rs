//! Points in time and signed time differences, kept apart by type.

use std::ops::{Add, AddAssign, Div, Mul, Sub};

const NANOS_PER_MILLI: i64 = 1_000_000;
const NANOS_PER_SEC: f64 = 1e9;

/// A point on the caller's monotonic clock, in nanoseconds from an arbitrary origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(pub i64);

/// A signed time difference in nanoseconds. Arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeDelta(pub i64);

impl Timestamp {
    /// Earlier than any time that a clock shows: the time of what has never happened.
    pub const DISTANT_PAST: Timestamp = Timestamp(i64::MIN / 4);
}

impl Default for Timestamp {
    fn default() -> Timestamp {
        Timestamp::DISTANT_PAST
    }
}

impl TimeDelta {
    /// No time at all.
    pub const ZERO: TimeDelta = TimeDelta(0);

    /// A difference of whole milliseconds.
    pub const fn from_millis(millis: i64) -> TimeDelta {
        TimeDelta(millis * NANOS_PER_MILLI)
    }

    /// A difference in seconds, cut off to whole nanoseconds.
    pub fn from_secs_f64(secs: f64) -> TimeDelta {
        TimeDelta((secs * NANOS_PER_SEC) as i64)
    }

    /// The difference in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / NANOS_PER_SEC
    }

    /// The difference scaled by a factor, cut off to whole nanoseconds.
    pub fn mul_f64(self, factor: f64) -> TimeDelta {
        TimeDelta((self.0 as f64 * factor) as i64)
    }
}

impl Add<TimeDelta> for Timestamp {
    type Output = Timestamp;
    fn add(self, delta: TimeDelta) -> Timestamp {
        Timestamp(self.0.saturating_add(delta.0))
    }
}

impl Sub<TimeDelta> for Timestamp {
    type Output = Timestamp;
    fn sub(self, delta: TimeDelta) -> Timestamp {
        Timestamp(self.0.saturating_sub(delta.0))
    }
}

impl Sub for Timestamp {
    type Output = TimeDelta;
    fn sub(self, earlier: Timestamp) -> TimeDelta {
        TimeDelta(self.0.saturating_sub(earlier.0))
    }
}

impl Add for TimeDelta {
    type Output = TimeDelta;
    fn add(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0.saturating_add(other.0))
    }
}

impl AddAssign for TimeDelta {
    fn add_assign(&mut self, other: TimeDelta) {
        *self = *self + other;
    }
}

impl Sub for TimeDelta {
    type Output = TimeDelta;
    fn sub(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0.saturating_sub(other.0))
    }
}

impl Mul<i64> for TimeDelta {
    type Output = TimeDelta;
    fn mul(self, factor: i64) -> TimeDelta {
        TimeDelta(self.0.saturating_mul(factor))
    }
}

impl Div<i64> for TimeDelta {
    type Output = TimeDelta;
    fn div(self, divisor: i64) -> TimeDelta {
        TimeDelta(self.0 / divisor)
    }
}
