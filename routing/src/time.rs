//! Points in time and signed time differences, as separate types.

use std::ops::{Add, AddAssign, Div, Mul, Sub};

const NANOS_PER_MICRO: i64 = 1_000;
const NANOS_PER_MILLI: i64 = 1_000_000;
const NANOS_PER_SEC: f64 = 1e9;

/// A point on the caller's monotonic clock, in nanoseconds from an arbitrary origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(pub i64);

/// A signed time difference in nanoseconds. Arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeDelta(pub i64);

impl Timestamp {
    /// A time earlier than any clock reading. It stands for the time of an event that has never happened.
    pub const DISTANT_PAST: Timestamp = Timestamp(i64::MIN / 4);
}

impl Default for Timestamp {
    fn default() -> Timestamp {
        Timestamp::DISTANT_PAST
    }
}

impl TimeDelta {
    /// The difference between equal points in time.
    pub const ZERO: TimeDelta = TimeDelta(0);

    /// Creates a difference of whole milliseconds.
    pub const fn from_millis(millis: i64) -> TimeDelta {
        TimeDelta(millis * NANOS_PER_MILLI)
    }

    /// Creates a difference of whole microseconds.
    pub const fn from_micros(micros: i64) -> TimeDelta {
        TimeDelta(micros * NANOS_PER_MICRO)
    }

    /// Creates a difference from seconds, truncated to whole nanoseconds.
    pub fn from_secs_f64(secs: f64) -> TimeDelta {
        TimeDelta((secs * NANOS_PER_SEC) as i64)
    }

    /// The difference in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / NANOS_PER_SEC
    }

    /// The difference multiplied by a factor, truncated to whole nanoseconds.
    pub fn mul_f64(self, factor: f64) -> TimeDelta {
        TimeDelta((self.0 as f64 * factor) as i64)
    }
}

/// Implements an operator on the nanoseconds of both operands, saturating at the bounds of `i64`.
macro_rules! saturating_operator {
    ($operator:ident, $method:ident, $saturating:ident: $left:ident, $right:ident => $output:ident) => {
        impl $operator<$right> for $left {
            type Output = $output;
            fn $method(self, other: $right) -> $output {
                $output(self.0.$saturating(other.0))
            }
        }
    };
}

saturating_operator!(Add, add, saturating_add: Timestamp, TimeDelta => Timestamp);
saturating_operator!(Sub, sub, saturating_sub: Timestamp, TimeDelta => Timestamp);
saturating_operator!(Sub, sub, saturating_sub: Timestamp, Timestamp => TimeDelta);
saturating_operator!(Add, add, saturating_add: TimeDelta, TimeDelta => TimeDelta);
saturating_operator!(Sub, sub, saturating_sub: TimeDelta, TimeDelta => TimeDelta);

impl AddAssign for TimeDelta {
    fn add_assign(&mut self, other: TimeDelta) {
        *self = *self + other;
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
