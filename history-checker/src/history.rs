//! Recorded history of a run: requests, executions, and forks of logs.

use crate::verdict::Violation;
use std::collections::BTreeMap;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A read with a bound on staleness.
    Read,
    /// A write that is not idempotent.
    Write,
    /// A write with an idempotency key: its group drops duplicates within the deduplication window.
    KeyedWrite,
}

/// Answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request succeeded with this value.
    Value(String),
    /// The request was rejected and may be retried, after the Retry-After time in milliseconds if given.
    Rejected(Option<i64>),
    /// The request was aborted and may have been executed.
    Aborted,
    /// Another error, with this SQLSTATE.
    Error(String),
    /// No answer was received before the connection ended or the client's read timed out.
    Missing,
}

/// SQLSTATE reported once to a session if a failover lost data that the session had observed.
pub const SESSION_LOST: &str = "ZG001";
/// SQLSTATE reported if the fate of a write is not known.
pub const FATE_UNKNOWN: &str = "40003";

/// A request as recorded by its client.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Id of the request.
    pub id: String,
    /// Number of the group that it was sent to.
    pub group: i64,
    /// Kind of the request.
    pub kind: Kind,
    /// When it was sent.
    pub sent_ms: i64,
    /// When its answer was received.
    pub answered_ms: i64,
    /// Timeout of the client.
    pub timeout_ms: i64,
    /// The answer.
    pub answer: Answer,
    /// The answer was followed by another one that belongs to no request.
    pub has_extra_answer: bool,
    /// The router was killed while the request was open, so no answer is required.
    pub router_killed: bool,
}

/// A point on a group's log: a branch and a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogPoint {
    /// Index of the branch. The first one is 0, and each failover begins another.
    pub branch: usize,
    /// Position on the branch, in Unix milliseconds.
    pub position_ms: i64,
}

impl LogPoint {
    /// The current end of a log with these forks.
    pub fn current_end(forks: &[i64]) -> LogPoint {
        LogPoint { branch: forks.len().saturating_sub(1), position_ms: i64::MAX }
    }
}

/// The parsed value of an answer, which describes the state of the endpoint that created it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerValue<'a> {
    /// Id of the request that it was created for.
    pub id: &'a str,
    /// Up to when the endpoint's data is that of the live branch.
    pub consistent_until_ms: i64,
    /// The endpoint's point on the log.
    pub point: LogPoint,
}

impl AnswerValue<'_> {
    /// Parses `id consistent-until branch at`. Returns `None` if the value is malformed.
    pub fn parse(value: &str) -> Option<AnswerValue<'_>> {
        let mut fields = value.split(' ');
        let id = fields.next()?;
        let mut number = || fields.next().and_then(|field| field.parse::<i64>().ok());
        let (consistent_until_ms, branch, position_ms) = (number()?, number()?, number()?);
        let point = LogPoint { branch: usize::try_from(branch).ok()?, position_ms };
        Some(AnswerValue { id, consistent_until_ms, point })
    }
}

/// An execution of a write on an endpoint.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Id of the request.
    pub id: String,
    /// Number of the group.
    pub group: i64,
    /// Log point of the commit.
    pub point: LogPoint,
    /// The endpoint was the group's primary at that time.
    pub at_primary: bool,
}

/// The answer to a client's query for the fate of a write.
#[derive(Clone, Debug)]
pub struct FateAnswer {
    /// Id of the write.
    pub id: String,
    /// When the answer was received.
    pub answered_ms: i64,
    /// The answer.
    pub answer: Answer,
}

/// History of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests of clients without sessions, in any order.
    pub without_session: Vec<RequestRecord>,
    /// Requests of each session. Each request was sent after the answer to the previous one.
    pub sessions: Vec<Vec<RequestRecord>>,
    /// Answers to queries for the fate of writes.
    pub fates: Vec<FateAnswer>,
    /// Executions of writes on endpoints.
    pub executions: Vec<Execution>,
    /// By group, the position at which each branch of the log forked from the previous one; 0 for the first branch.
    pub forks: BTreeMap<i64, Vec<i64>>,
    /// Violations detected by the endpoints themselves.
    pub endpoint_violations: Vec<Violation>,
    /// Bound on the staleness of a read's data at the time the read is sent.
    pub staleness_bound_ms: i64,
    /// Tolerance added to a client's timeout for the time until a busy machine schedules the client's thread.
    pub scheduling_slack_ms: i64,
    /// Tolerance added to the bound on staleness for the time from the client to the router, since the bound applies
    /// when the router forwards the read.
    pub network_slack_ms: i64,
}

impl History {
    /// Positions at which the branches of a group's log forked.
    pub fn forks_of(&self, group: i64) -> &[i64] {
        self.forks.get(&group).map_or(&[], Vec::as_slice)
    }
}

/// Whether the log up to `shown` includes the log up to `seen`: `shown` is not earlier, and no fork between their
/// branches is before `seen`.
pub fn log_includes(forks: &[i64], shown: LogPoint, seen: LogPoint) -> bool {
    let (low, high) = (shown.branch.min(seen.branch), shown.branch.max(seen.branch));
    let first_fork = forks.get(low + 1..=high).into_iter().flatten().min();
    shown.position_ms >= seen.position_ms && first_fork.is_none_or(|fork| seen.position_ms <= *fork)
}
