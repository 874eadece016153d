//! The rules, and what broke them.

use std::collections::BTreeMap;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request has one answer, with a value made for it.
    OneAnswer,
    /// It comes in time.
    InTime,
    /// A write is executed at most once, and none that was executed is rejected.
    AtMostOnce,
    /// A read's data is no older than allowed.
    BoundedStaleness,
    /// Writes are executed by their group's primary only.
    WritesAtPrimary,
    /// A session's reads show its own writes.
    ReadYourWrites,
    /// A session's reads show no less than those before.
    MonotonicReads,
    /// A session's write is on a log that has what the session saw.
    WritesFollowReads,
    /// Sessions that saw what a failover lost are told so, and no others.
    LossReported,
    /// What is said of a write is so, and stays so.
    FateCorrect,
    /// No endpoint in slow start gets more than it can take; endpoints see that themselves.
    SlowStart,
    /// Nothing new comes after the grace of a drain; endpoints see that themselves.
    DrainGrace,
}

/// A rule that was broken.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// The id of the request, or the name of the endpoint.
    pub subject: String,
    /// What happened.
    pub detail: String,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Requests.
    pub requests: usize,
    /// Requests that were answered by a value.
    pub succeeded: usize,
    /// The rules that were broken.
    pub violations: Vec<Violation>,
}

impl Verdict {
    /// How often a rule was broken.
    pub fn count(&self, rule: Rule) -> usize {
        self.violations.iter().filter(|violation| violation.rule == rule).count()
    }

    /// Adds the verdict on another run.
    pub fn add(&mut self, other: Verdict) {
        self.requests += other.requests;
        self.succeeded += other.succeeded;
        self.violations.extend(other.violations);
    }

    /// Each rule that was broken, with how often.
    pub fn broken_rules(&self) -> BTreeMap<Rule, usize> {
        let mut counts = BTreeMap::new();
        self.violations.iter().for_each(|violation| *counts.entry(violation.rule).or_default() += 1);
        counts
    }

    pub(crate) fn report(&mut self, rule: Rule, subject: &str, detail: String) {
        self.violations.push(Violation { rule, subject: subject.to_string(), detail });
    }
}
