//! The recorded history of a run: requests, executions and forks of logs.

use crate::verdict::Violation;
use std::collections::BTreeMap;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A read, whose data must not be older than the staleness bound.
    Read,
    /// A write without an idempotency key.
    Write,
    /// A write with an idempotency key. Its group discards duplicates within the deduplication window.
    KeyedWrite,
}

/// Answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request succeeded with this value.
    Value(String),
    /// The request was rejected and may be retried, after the given Retry-After time in milliseconds if there is one.
    Rejected(Option<i64>),
    /// The request was aborted and may have been executed.
    Aborted,
    /// The request failed with another error, which has this SQLSTATE.
    Error(String),
    /// No answer was received before the connection ended or the client's read timed out.
    Missing,
}

/// SQLSTATE that a session receives once if a failover lost data that the session had observed.
pub const SESSION_LOST: &str = "ZG001";
/// SQLSTATE of the answer to a fate query if the fate of the write is not known.
pub const FATE_UNKNOWN: &str = "40003";

/// A request as recorded by its client.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Id of the request. Only a write with an idempotency key may be sent more than once with the same id.
    pub id: String,
    /// Number of the group that the request is addressed to.
    pub group: i64,
    /// Whether the request is a read, a write, or a write with an idempotency key.
    pub kind: Kind,
    /// Time at which the client sent the request.
    pub sent_ms: i64,
    /// Time at which the client received the answer, or stopped waiting for it.
    pub answered_ms: i64,
    /// The client's timeout for the request, in milliseconds.
    pub timeout_ms: i64,
    /// The answer, [`Answer::Missing`] if there was none.
    pub answer: Answer,
    /// Whether the answer was followed by a further one, which belongs to no request.
    pub has_extra_answer: bool,
    /// Whether the router was killed while the request was open, so that no answer is required.
    pub router_killed: bool,
}

/// A point on a group's log: a position on one of its branches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogPoint {
    /// Index of the branch: 0 for the first one; each failover begins a new branch.
    pub branch: usize,
    /// Position on the branch, in Unix milliseconds.
    pub position_ms: i64,
}

impl LogPoint {
    /// The current end of the log with these forks: the end of its newest branch.
    pub fn current_end(forks: &[i64]) -> LogPoint {
        LogPoint { branch: forks.len().saturating_sub(1), position_ms: i64::MAX }
    }
}

/// The parsed value of an answer. It describes the state of the endpoint that created it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerValue<'a> {
    /// Id of the request that the value was created for.
    pub id: &'a str,
    /// Time up to which the endpoint's data is the same as on the live branch, in Unix milliseconds.
    pub consistent_until_ms: i64,
    /// Point on the group's log up to which the endpoint has applied the log.
    pub point: LogPoint,
}

impl AnswerValue<'_> {
    /// Parses `ID CONSISTENT_UNTIL_MS BRANCH POSITION_MS`. Returns `None` if the value is malformed.
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
    /// Id of the write's request.
    pub id: String,
    /// Number of the group that executed the write.
    pub group: i64,
    /// Log point of the commit.
    pub point: LogPoint,
    /// Whether the endpoint was the primary of the group's live branch when it executed the write.
    pub at_primary: bool,
}

/// The answer to a client's fate query.
#[derive(Clone, Debug)]
pub struct FateAnswer {
    /// Id of the write whose fate was queried.
    pub id: String,
    /// Time at which the client received the answer.
    pub answered_ms: i64,
    /// The fate as text, or the error.
    pub answer: Answer,
}

/// The history of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests of clients without sessions, in any order.
    pub without_session: Vec<RequestRecord>,
    /// Requests of each session. Each request was sent after the answer to the previous one.
    pub sessions: Vec<Vec<RequestRecord>>,
    /// Answers to fate queries.
    pub fates: Vec<FateAnswer>,
    /// Executions of writes on endpoints.
    pub executions: Vec<Execution>,
    /// For each group, the positions at which each branch of its log forked from the previous one; 0 for the first.
    pub forks: BTreeMap<i64, Vec<i64>>,
    /// Violations detected by the endpoints themselves.
    pub endpoint_violations: Vec<Violation>,
    /// Maximum age of a read's data at the time when the read is sent.
    pub staleness_bound_ms: i64,
    /// Tolerance added to a client's timeout, for the time until a busy machine schedules the client's thread.
    pub scheduling_slack_ms: i64,
    /// Tolerance added to the staleness bound, for the time that a read takes from the client to the router: the bound
    /// applies at the time when the router forwards the read.
    pub network_slack_ms: i64,
}

impl History {
    /// The forks of a group's log, as in [`forks`](Self::forks). Empty if the group is not known.
    pub fn forks_of(&self, group: i64) -> &[i64] {
        self.forks.get(&group).map_or(&[], Vec::as_slice)
    }
}

/// Whether the log up to `end` includes `point`: the position of `end` is not less than that of `point`, and no fork
/// between their branches is before `point`.
pub fn log_includes(forks: &[i64], end: LogPoint, point: LogPoint) -> bool {
    let (older, newer) = (end.branch.min(point.branch), end.branch.max(point.branch));
    let first_fork = forks.get(older + 1..=newer).into_iter().flatten().min();
    end.position_ms >= point.position_ms && first_fork.is_none_or(|fork| point.position_ms <= *fork)
}
