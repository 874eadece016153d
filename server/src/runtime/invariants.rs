//! Rules that the server keeps whatever fails around it. Each is checked where it could be broken; a violation is logged
//! and counted, and none is expected.

use crate::log;

/// The counter of violations, by invariant.
const VIOLATION_COUNTER: &str = "gingerwick_invariant_violations_total";

/// A rule that the server keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A client's connection is not closed by the server while a request that was read has no complete answer.
    AnswerBeforeClose,
    /// A request is answered at most half a second after its client's deadline.
    AnswerInTime,
}

impl Invariant {
    /// The value of the metric's label, also shown in the log.
    pub fn label(self) -> &'static str {
        match self {
            Invariant::AnswerBeforeClose => "answer_before_close",
            Invariant::AnswerInTime => "answer_in_time",
        }
    }
}

/// Logs and counts a violation. `count` is the number of requests that it concerns.
pub fn record_violation(invariant: Invariant, count: usize) {
    let name = invariant.label();
    log!(WARN, invariant = name, requests = count; "invariant violation");
    metrics::counter!(VIOLATION_COUNTER, "invariant" => name).increment(count as u64);
}
