//! How far a cached endpoint list is trusted at its age: the older, the fewer endpoints are queried and admitted at once,
//! and the more evidence is needed before anything is sent to a primary.

use routing::time::{TimeDelta, Timestamp};

/// How old a list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Staleness {
    /// A minute at most.
    Fresh,
    /// An hour at most.
    Recent,
    /// A day at most.
    Old,
    /// Older, from a time to come, or of no known age.
    Unknown,
}

impl Staleness {
    /// Its name in operators' texts.
    pub fn name(self) -> &'static str {
        match self {
            Staleness::Fresh => "fresh",
            Staleness::Recent => "recent",
            Staleness::Old => "old",
            Staleness::Unknown => "of unknown age",
        }
    }
}

/// How far a list is trusted; one row of the table on the operators' page.
#[derive(Debug)]
pub struct VerificationLevel {
    /// For lists this old.
    pub staleness: Staleness,
    /// The greatest age of such a list.
    pub max_age: TimeDelta,
    /// Endpoints that may be queried at the same time, and so admitted at once.
    pub max_queries: usize,
    /// Answers in which an endpoint must have said that it is primary before writes go there.
    pub claims_required: u32,
    /// An address is trusted to be that of the listed endpoint if that one cannot say who it is.
    pub identifies_by_address: bool,
    /// It is evidence enough that all other members have answered or refuse connections, none of them following another
    /// primary; otherwise a majority must be seen to follow.
    pub accounting_suffices: bool,
}

const SECOND: TimeDelta = TimeDelta::from_millis(1_000);
const MINUTE: TimeDelta = TimeDelta(SECOND.0 * 60);
const HOUR: TimeDelta = TimeDelta(MINUTE.0 * 60);
const DAY: TimeDelta = TimeDelta(HOUR.0 * 24);

/// From the youngest list to the oldest.
pub const LEVELS: [VerificationLevel; 4] = [
    VerificationLevel {
        staleness: Staleness::Fresh,
        max_age: MINUTE,
        max_queries: 64,
        claims_required: 1,
        identifies_by_address: true,
        accounting_suffices: true,
    },
    VerificationLevel {
        staleness: Staleness::Recent,
        max_age: HOUR,
        max_queries: 32,
        claims_required: 2,
        identifies_by_address: false,
        accounting_suffices: false,
    },
    VerificationLevel {
        staleness: Staleness::Old,
        max_age: DAY,
        max_queries: 16,
        claims_required: 2,
        identifies_by_address: false,
        accounting_suffices: false,
    },
    VerificationLevel {
        staleness: Staleness::Unknown,
        max_age: TimeDelta(i64::MAX),
        max_queries: 8,
        claims_required: 3,
        identifies_by_address: false,
        accounting_suffices: false,
    },
];

/// A list may lie this far ahead of the clock: clocks of one fleet differ a little.
const MAX_CLOCK_SKEW: TimeDelta = TimeDelta::from_millis(500);

/// The times in a cached list, by the wall clocks of then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheTimes {
    /// When discovery last confirmed it.
    pub confirmed: Timestamp,
    /// When it was last saved. Never before `confirmed`, or the wall clock was set back in between.
    pub saved: Timestamp,
}

/// How far a list is trusted at `now`. `latest_report` is the latest time that any endpoint has reported since this start:
/// a wall clock that was set back makes a list look young, but not the endpoints. Without times the age is not known.
pub fn verification_level(
    times: Option<CacheTimes>,
    now: Timestamp,
    latest_report: Option<Timestamp>,
) -> &'static VerificationLevel {
    let lowest = &LEVELS[LEVELS.len() - 1];
    let Some(times) = times else { return lowest };
    let from_future = times.confirmed.max(times.saved) > now + MAX_CLOCK_SKEW;
    let clock_set_back = times.saved + MAX_CLOCK_SKEW < times.confirmed;
    if from_future || clock_set_back {
        return lowest;
    }
    let age = now.max(latest_report.unwrap_or(now)) - times.confirmed;
    LEVELS.iter().find(|level| age <= level.max_age).unwrap_or(lowest)
}
