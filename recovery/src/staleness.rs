//! Trust in a cached endpoint list according to its age: the older the list, the fewer endpoints are queried and
//! admitted at a time, and the more evidence is required before requests are sent to a primary.

use routing::time::{TimeDelta, Timestamp};

/// Age class of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Staleness {
    /// At most a minute old.
    Fresh,
    /// At most an hour old.
    Recent,
    /// At most a day old.
    Old,
    /// Older than a day, dated in the future, or of unknown age.
    Unknown,
}

impl Staleness {
    /// Name of the age class in logs and on the admin socket.
    pub fn name(self) -> &'static str {
        match self {
            Staleness::Fresh => "fresh",
            Staleness::Recent => "recent",
            Staleness::Old => "old",
            Staleness::Unknown => "of unknown age",
        }
    }
}

/// The evidence required and the queries allowed for an age class of the list. The operators' documentation has the
/// levels as the rows of a table.
#[derive(Debug)]
pub struct VerificationLevel {
    /// The age class that the level applies to.
    pub staleness: Staleness,
    /// Maximum age of a list of that class.
    pub max_age: TimeDelta,
    /// Maximum number of concurrent endpoint queries. It also bounds how many endpoints are admitted at a time.
    pub max_queries: usize,
    /// Number of consecutive answers in which an endpoint must claim to be primary before writes are sent to it.
    pub claims_required: u32,
    /// Whether an endpoint that does not report its identity is assumed to be the one listed at its address.
    pub identifies_by_address: bool,
    /// Whether a primary is verified once every other member has answered or refused the connection. If not, a
    /// majority of members must follow the primary.
    pub accepts_without_majority: bool,
}

const SECOND: TimeDelta = TimeDelta::from_millis(1_000);
const MINUTE: TimeDelta = TimeDelta(SECOND.0 * 60);
const HOUR: TimeDelta = TimeDelta(MINUTE.0 * 60);
const DAY: TimeDelta = TimeDelta(HOUR.0 * 24);

/// All levels, by ascending age.
pub const VERIFICATION_LEVELS: [VerificationLevel; 4] = [
    VerificationLevel {
        staleness: Staleness::Fresh,
        max_age: MINUTE,
        max_queries: 64,
        claims_required: 1,
        identifies_by_address: true,
        accepts_without_majority: true,
    },
    VerificationLevel {
        staleness: Staleness::Recent,
        max_age: HOUR,
        max_queries: 32,
        claims_required: 2,
        identifies_by_address: false,
        accepts_without_majority: false,
    },
    VerificationLevel {
        staleness: Staleness::Old,
        max_age: DAY,
        max_queries: 16,
        claims_required: 2,
        identifies_by_address: false,
        accepts_without_majority: false,
    },
    VerificationLevel {
        staleness: Staleness::Unknown,
        max_age: TimeDelta(i64::MAX),
        max_queries: 8,
        claims_required: 3,
        identifies_by_address: false,
        accepts_without_majority: false,
    },
];

/// Tolerance for clock differences between the machines of a deployment.
const MAX_CLOCK_SKEW: TimeDelta = TimeDelta::from_millis(500);

/// The timestamps in a cached list, by the wall clock at the time of writing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheTimes {
    /// When discovery last confirmed the list.
    pub confirmed: Timestamp,
    /// When the list was last saved. Earlier than `confirmed` only if the wall clock was set back in between.
    pub saved: Timestamp,
}

/// Returns the level for a list at the wall-clock time `now`. `latest_report` is the latest position that any
/// endpoint has reported since the instance started; this position reveals the true age if the local clock is
/// behind. Without `times`, the age is unknown.
pub fn verification_level(
    times: Option<CacheTimes>,
    now: Timestamp,
    latest_report: Option<Timestamp>,
) -> &'static VerificationLevel {
    let least_trusted = &VERIFICATION_LEVELS[VERIFICATION_LEVELS.len() - 1];
    let Some(times) = times else { return least_trusted };
    let from_future = times.confirmed.max(times.saved) > now + MAX_CLOCK_SKEW;
    let clock_set_back = times.saved + MAX_CLOCK_SKEW < times.confirmed;
    if from_future || clock_set_back {
        return least_trusted;
    }
    let age = now.max(latest_report.unwrap_or(now)) - times.confirmed;
    VERIFICATION_LEVELS.iter().find(|level| age <= level.max_age).unwrap_or(least_trusted)
}
