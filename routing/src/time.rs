//! Points in time and lengths of time, kept apart by type.

use std::ops::{Add, AddAssign, Div, Mul, Sub};

/// A point on the caller's monotonic clock, in nanoseconds from an arbitrary origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(pub i64);

/// A length of time in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub i64);

impl Moment {
    /// Earlier than anything a clock will show.
    pub const DAWN: Moment = Moment(i64::MIN / 4);
}

/// What never happened lies at the dawn.
impl Default for Moment {
    fn default() -> Moment {
        Moment::DAWN
    }
}

impl Span {
    pub const ZERO: Span = Span(0);

    pub const fn millis(ms: i64) -> Span {
        Span(ms * 1_000_000)
    }

    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// The length scaled by a figure that is not a whole number.
    pub fn times(self, by: f64) -> Span {
        Span((self.0 as f64 * by) as i64)
    }
}

impl Add<Span> for Moment {
    type Output = Moment;
    fn add(self, by: Span) -> Moment {
        Moment(self.0.saturating_add(by.0))
    }
}

impl Sub<Span> for Moment {
    type Output = Moment;
    fn sub(self, by: Span) -> Moment {
        Moment(self.0.saturating_sub(by.0))
    }
}

impl Sub for Moment {
    type Output = Span;
    fn sub(self, from: Moment) -> Span {
        Span(self.0.saturating_sub(from.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, by: Span) -> Span {
        Span(self.0.saturating_add(by.0))
    }
}

impl AddAssign for Span {
    fn add_assign(&mut self, by: Span) {
        *self = *self + by;
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, by: Span) -> Span {
        Span(self.0.saturating_sub(by.0))
    }
}

impl Mul<i64> for Span {
    type Output = Span;
    fn mul(self, by: i64) -> Span {
        Span(self.0.saturating_mul(by))
    }
}

impl Div<i64> for Span {
    type Output = Span;
    fn div(self, by: i64) -> Span {
        Span(self.0 / by)
    }
}
