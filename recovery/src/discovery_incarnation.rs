//! Acceptance of endpoint lists from discovery. Versions only increase within one incarnation of discovery. A list of
//! a lower version comes either from a new incarnation (discovery was restored or set up again) or from an outdated
//! copy.
//!
//! A complete list of a lower version is accepted only after discovery has provided such a list on two watches at
//! least [`CONFIRMATION_INTERVAL`] apart. The second list must not be of a lower version than the first, and no list
//! of the current incarnation may arrive in between. An empty list of a lower version is never accepted.

use routing::time::{TimeDelta, Timestamp};

/// Minimum time between the two lists that confirm a new incarnation. An outdated copy, in flight or in a cache that
/// is being refreshed, is no longer provided after this time.
pub const CONFIRMATION_INTERVAL: TimeDelta = TimeDelta::from_millis(2_000);
/// Longest pause between two watches while discovery has not yet provided a list since the instance started. Recovery
/// cannot complete without such a list.
pub const MAX_PAUSE_WITHOUT_LIST: TimeDelta = TimeDelta::from_millis(500);

/// Decision on a list received from discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListDecision {
    /// Use the list.
    Accept,
    /// Discard the list: it is outdated or unusable.
    Ignore,
    /// Do not use the list yet: it may be of a new incarnation. Request a list again on a new watch.
    AwaitConfirmation,
}

/// Properties of a list received from discovery.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedList {
    /// Version of the list.
    pub version: i64,
    /// Whether the list is complete; otherwise it is a set of changes.
    pub complete: bool,
    /// Whether the list has no entries.
    pub empty: bool,
}

/// A possible new incarnation of discovery, known by the first list received from it.
#[derive(Clone, Copy, Debug)]
struct CandidateIncarnation {
    version: i64,
    first_seen: Timestamp,
}

/// Tracks the incarnation of discovery whose lists are accepted.
#[derive(Clone, Copy, Debug, Default)]
pub struct IncarnationTracker {
    /// Version of the last accepted list.
    version: i64,
    candidate: Option<CandidateIncarnation>,
    /// Whether the current list is from the cache: no list from discovery has been accepted since the instance
    /// started.
    from_cache: bool,
}

/// A decision rule: a list for which `matches` returns true at the time of receipt gets the decision `decision`.
struct Rule {
    matches: fn(&IncarnationTracker, &ReceivedList, Timestamp) -> bool,
    decision: ListDecision,
}

/// The first matching rule applies.
const RULES: &[Rule] = &[
    // An empty list after a start from the cache means that discovery has lost its data.
    Rule {
        matches: |tracker, list, _| tracker.from_cache && list.complete && list.empty,
        decision: ListDecision::Ignore,
    },
    Rule { matches: |tracker, list, _| list.version > tracker.version, decision: ListDecision::Accept },
    Rule {
        matches: |tracker, list, _| list.version == tracker.version && list.complete,
        decision: ListDecision::Accept,
    },
    Rule { matches: |_, list, _| !list.complete || list.empty, decision: ListDecision::Ignore },
    Rule {
        matches: |tracker, list, now| tracker.confirms_candidate(list, now),
        decision: ListDecision::Accept,
    },
    Rule { matches: |_, _, _| true, decision: ListDecision::AwaitConfirmation },
];

impl IncarnationTracker {
    /// Creates a tracker for a list of this version. `from_cache` means that discovery has not confirmed the list
    /// since the instance started.
    pub fn new(version: i64, from_cache: bool) -> IncarnationTracker {
        IncarnationTracker { version, candidate: None, from_cache }
    }

    /// Version of the last accepted list.
    pub fn version(&self) -> i64 {
        self.version
    }

    /// When to request a list again to confirm a possible new incarnation: the earliest time at which a second list
    /// counts. `None` if no confirmation is awaited.
    pub fn poll_again_at(&self) -> Option<Timestamp> {
        self.candidate.map(|candidate| candidate.first_seen + CONFIRMATION_INTERVAL)
    }

    fn confirms_candidate(&self, list: &ReceivedList, now: Timestamp) -> bool {
        self.candidate.is_some_and(|candidate| {
            let late_enough = now >= candidate.first_seen + CONFIRMATION_INTERVAL;
            list.version >= candidate.version && late_enough
        })
    }

    /// Decides on a list received at `now`.
    pub fn decide(&mut self, now: Timestamp, list: ReceivedList) -> ListDecision {
        let rule = RULES.iter().find(|rule| (rule.matches)(self, &list, now));
        let decision = rule.map_or(ListDecision::Ignore, |rule| rule.decision);
        match decision {
            ListDecision::Accept => *self = IncarnationTracker::new(list.version, false),
            ListDecision::AwaitConfirmation => {
                // The interval starts with the first list of the candidate. A list of an even lower version restarts
                // the interval.
                let earlier = self.candidate.filter(|candidate| list.version >= candidate.version);
                let first = CandidateIncarnation { version: list.version, first_seen: now };
                self.candidate = earlier.or(Some(first));
            }
            ListDecision::Ignore => {}
        }
        decision
    }
}
