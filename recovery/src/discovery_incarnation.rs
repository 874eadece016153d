//! Which endpoint lists of discovery are accepted. A version only rises within one incarnation of discovery; one that was
//! restored or set up anew begins lower, and so does an old copy that a lagging agent hands out.
//!
//! The rule: a complete list of a lower version is accepted once discovery has given one on two watches that lie
//! [`CONFIRMATION_INTERVAL`] apart, the second no older than the first, with nothing of the present incarnation in between.
//! An empty one never is.

use routing::time::{TimeDelta, Timestamp};

/// An old copy is in flight, or in a cache that is just being filled, for less.
pub const CONFIRMATION_INTERVAL: TimeDelta = TimeDelta::from_millis(2_000);
/// The longest pause between two watches while no list of discovery is known since this start: everything else waits for
/// the first one.
pub const MAX_PAUSE_WITHOUT_LIST: TimeDelta = TimeDelta::from_millis(500);

/// What becomes of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListDecision {
    /// It is accepted.
    Accept,
    /// It says nothing new.
    Ignore,
    /// It may be of another incarnation: poll again, on a new watch.
    Suspect,
}

/// A list that discovery offers.
#[derive(Clone, Copy, Debug)]
pub struct OfferedList {
    /// Its version.
    pub version: i64,
    /// It is the whole list, not changes to it.
    pub complete: bool,
    /// It has no entries.
    pub empty: bool,
}

/// A list that may be of another incarnation.
#[derive(Clone, Copy, Debug)]
struct Suspected {
    version: i64,
    first_seen: Timestamp,
}

/// The incarnation of discovery whose lists are accepted.
#[derive(Clone, Copy, Debug, Default)]
pub struct IncarnationTracker {
    version: i64,
    suspected: Option<Suspected>,
    /// No list of discovery itself was accepted since this start.
    unconfirmed: bool,
}

type Row = (fn(&IncarnationTracker, &OfferedList, Timestamp) -> bool, ListDecision);

/// The first row that fits counts.
const TABLE: &[Row] = &[
    // A start from a cached list is not over because a discovery that has lost everything says so.
    (|tracker, list, _| tracker.unconfirmed && list.complete && list.empty, ListDecision::Ignore),
    (|tracker, list, _| list.version > tracker.version, ListDecision::Accept),
    (|tracker, list, _| list.version == tracker.version && list.complete, ListDecision::Accept),
    (|_, list, _| !list.complete || list.empty, ListDecision::Ignore),
    (|tracker, list, now| tracker.confirms_suspicion(list, now), ListDecision::Accept),
    (|_, _, _| true, ListDecision::Suspect),
];

impl IncarnationTracker {
    /// Starts with a list of this version; `cached`: one that discovery has not confirmed since this start.
    pub fn new(version: i64, cached: bool) -> IncarnationTracker {
        IncarnationTracker { version, suspected: None, unconfirmed: cached }
    }

    /// The version of the list that was accepted last.
    pub fn version(&self) -> i64 {
        self.version
    }

    /// When to poll again for a list that may be of another incarnation: sooner it would not count, and later is too late.
    pub fn poll_again_at(&self) -> Option<Timestamp> {
        self.suspected.map(|suspected| suspected.first_seen + CONFIRMATION_INTERVAL)
    }

    fn confirms_suspicion(&self, list: &OfferedList, now: Timestamp) -> bool {
        self.suspected.is_some_and(|suspected| {
            let late_enough = now >= suspected.first_seen + CONFIRMATION_INTERVAL;
            list.version >= suspected.version && late_enough
        })
    }

    /// Decides on a list.
    pub fn offer(&mut self, now: Timestamp, list: OfferedList) -> ListDecision {
        let row = TABLE.iter().find(|(fits, _)| fits(self, &list, now));
        let decision = row.map_or(ListDecision::Ignore, |(_, decision)| *decision);
        match decision {
            ListDecision::Accept => *self = IncarnationTracker::new(list.version, false),
            ListDecision::Suspect => {
                // The first sight counts, unless an older list comes: then that one starts anew.
                let known = self.suspected.filter(|suspected| list.version >= suspected.version);
                let new = Suspected { version: list.version, first_seen: now };
                self.suspected = known.or(Some(new));
            }
            ListDecision::Ignore => {}
        }
        decision
    }
}
