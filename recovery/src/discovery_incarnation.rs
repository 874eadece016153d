//! Acceptance of endpoint lists from discovery. Versions only increase within one incarnation of discovery. A lower
//! version comes either from a new incarnation (discovery was restored or set up again) or from an outdated copy.
//!
//! The rule: a complete list of a lower version is accepted once discovery has provided one on two watches that are
//! [`CONFIRMATION_INTERVAL`] apart, the second not of a lower version than the first, with no list of the current
//! incarnation in between. An empty list of a lower version is never accepted.

use routing::time::{TimeDelta, Timestamp};

/// Minimum time between the two lists that confirm a new incarnation. An outdated copy that is in flight or in a cache
/// that is being refreshed disappears sooner.
pub const CONFIRMATION_INTERVAL: TimeDelta = TimeDelta::from_millis(2_000);
/// The longest pause between two watches until discovery has provided the first list since this start: recovery cannot
/// complete before that.
pub const MAX_PAUSE_WITHOUT_LIST: TimeDelta = TimeDelta::from_millis(500);

/// Result of receiving a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListDecision {
    /// Use the list.
    Accept,
    /// Discard the list: it is outdated or cannot be used.
    Ignore,
    /// The list may be of another incarnation: poll again on a new watch.
    AwaitConfirmation,
}

/// Properties of a list received from discovery.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedList {
    /// Version of the list.
    pub version: i64,
    /// The list is complete, not a set of changes.
    pub complete: bool,
    /// The list has no entries.
    pub empty: bool,
}

/// The earlier list of a possible new incarnation.
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
    /// No list from discovery has been accepted since this start.
    unconfirmed: bool,
}

/// A list that `matches` accepts, received at the given time, gets this decision.
struct Rule {
    matches: fn(&IncarnationTracker, &ReceivedList, Timestamp) -> bool,
    decision: ListDecision,
}

/// The first rule that matches applies.
const RULES: &[Rule] = &[
    // An empty list after a start from the cache means that discovery has lost its data.
    Rule {
        matches: |tracker, list, _| tracker.unconfirmed && list.complete && list.empty,
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
    /// Starts with a list of this version. `cached` means that discovery has not confirmed it since this start.
    pub fn new(version: i64, cached: bool) -> IncarnationTracker {
        IncarnationTracker { version, candidate: None, unconfirmed: cached }
    }

    /// Version of the last accepted list.
    pub fn version(&self) -> i64 {
        self.version
    }

    /// When to poll again to confirm a possible new incarnation: the earliest time at which a second list counts.
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
                // The interval starts with the first list, and again with any list of a lower version.
                let earlier = self.candidate.filter(|candidate| list.version >= candidate.version);
                let first = CandidateIncarnation { version: list.version, first_seen: now };
                self.candidate = earlier.or(Some(first));
            }
            ListDecision::Ignore => {}
        }
        decision
    }
}
