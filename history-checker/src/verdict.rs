//! The rules that a history must satisfy, and their violations.

use std::collections::BTreeMap;

/// A rule for a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request has exactly one answer, and a value in it was created for this request.
    OneAnswer,
    /// Answers are received within the client's timeout.
    InTime,
    /// A write is executed at most once, and an executed write is not rejected.
    AtMostOnce,
    /// The data of a read is not older than the staleness bound.
    BoundedStaleness,
    /// Writes are executed only by the primary of their group.
    WritesAtPrimary,
    /// A session's reads include its own writes.
    ReadYourWrites,
    /// A session's reads include everything that its earlier reads observed.
    MonotonicReads,
    /// A session's writes are executed on a log that includes everything that the session has observed.
    WritesFollowReads,
    /// A session receives the error for lost data only if a failover lost data that the session had observed.
    LossReported,
    /// The reported fate of a write is correct and stays correct.
    FateCorrect,
    /// No endpoint is overloaded during its slow start. Checked by the endpoints.
    SlowStart,
    /// No statement arrives at a draining endpoint after the drain grace. Checked by the endpoints.
    DrainGrace,
}

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Id of the request, or name of the endpoint.
    pub subject: String,
    /// What was found and what is allowed, as a predicate to `subject`.
    pub detail: String,
}

/// Result of the check of one or more histories.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Number of requests that were checked.
    pub requests: usize,
    /// Number of requests that were answered with a value.
    pub succeeded: usize,
    /// All violations, including those that the endpoints detected.
    pub violations: Vec<Violation>,
}

impl Verdict {
    /// Number of violations of a rule.
    pub fn count(&self, rule: Rule) -> usize {
        self.violations.iter().filter(|violation| violation.rule == rule).count()
    }

    /// Adds the counts and violations of another history.
    pub fn add(&mut self, other: Verdict) {
        self.requests += other.requests;
        self.succeeded += other.succeeded;
        self.violations.extend(other.violations);
    }

    /// Number of violations of each violated rule.
    pub fn violation_counts(&self) -> BTreeMap<Rule, usize> {
        let mut counts = BTreeMap::new();
        self.violations.iter().for_each(|violation| *counts.entry(violation.rule).or_default() += 1);
        counts
    }

    pub(crate) fn add_violation(&mut self, rule: Rule, subject: &str, detail: String) {
        self.violations.push(Violation { rule, subject: subject.to_string(), detail });
    }
}
