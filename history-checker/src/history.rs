//! What is recorded of a run: requests, executions, and where logs forked.

use crate::verdict::Violation;
use std::collections::BTreeMap;

/// What kind of request it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A read of data that is no older than the bound.
    Read,
    /// A write that is not idempotent.
    Write,
    /// A write with an idempotency key: its group drops duplicates for a while.
    KeyedWrite,
}

/// What a client was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A value.
    Value(String),
    /// It did not run, or may run again; when to come back, in milliseconds.
    Rejected(Option<i64>),
    /// It may have run.
    Aborted,
    /// Another error, with this SQLSTATE.
    Error(String),
    /// The connection ended without an answer, or none came in time.
    Missing,
}

/// The SQLSTATE that a session is told once if a failover lost something that it saw.
pub const SESSION_LOST: &str = "ZG001";
/// The SQLSTATE if what became of a write is not known.
pub const FATE_UNKNOWN: &str = "40003";

/// One request as its client saw it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its id.
    pub id: String,
    /// Its group.
    pub group: i64,
    /// Its kind.
    pub kind: Kind,
    /// When it was sent.
    pub sent_ms: i64,
    /// When its answer came.
    pub answered_ms: i64,
    /// How long its client waits.
    pub timeout_ms: i64,
    /// Its answer.
    pub answer: Answer,
    /// Something came behind the answer that belongs to no request.
    pub surplus: bool,
    /// Its router was killed while it was open: no answer is owed.
    pub cut_off: bool,
}

/// A place on a group's log: which branch, and how far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogPoint {
    /// The branch: the first is 0, each failover begins another.
    pub branch: usize,
    /// How far.
    pub at_ms: i64,
}

impl LogPoint {
    /// The present end of a log that has forked so often.
    pub fn newest(forks: &[i64]) -> LogPoint {
        LogPoint { branch: forks.len().saturating_sub(1), at_ms: i64::MAX }
    }
}

/// What a value shows of the endpoint that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShownValue<'a> {
    /// The request that it was made for.
    pub id: &'a str,
    /// Up to when the endpoint's data is that of the log that goes on.
    pub consistent_until_ms: i64,
    /// Where the endpoint was on the log.
    pub point: LogPoint,
}

impl ShownValue<'_> {
    /// From `id consistent-until branch at`.
    pub fn parse(value: &str) -> Option<ShownValue<'_>> {
        let mut fields = value.split(' ');
        let id = fields.next()?;
        let mut number = || fields.next().and_then(|field| field.parse::<i64>().ok());
        let (consistent_until_ms, branch, at_ms) = (number()?, number()?, number()?);
        let point = LogPoint { branch: usize::try_from(branch).ok()?, at_ms };
        Some(ShownValue { id, consistent_until_ms, point })
    }
}

/// A write as an endpoint executed it.
#[derive(Clone, Debug)]
pub struct Execution {
    /// The id of its request.
    pub id: String,
    /// Its group.
    pub group: i64,
    /// Where it was committed.
    pub point: LogPoint,
    /// By the primary that the group had then.
    pub at_primary: bool,
}

/// What a client was told that asked what became of a write.
#[derive(Clone, Debug)]
pub struct FateAnswer {
    /// The id of the write.
    pub id: String,
    /// When it was told.
    pub answered_ms: i64,
    /// What it was told.
    pub answer: Answer,
}

/// A run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests of clients without sessions, in any order.
    pub without_session: Vec<RequestRecord>,
    /// The requests of each session, each sent after the answer to the one before.
    pub sessions: Vec<Vec<RequestRecord>>,
    /// What clients were told of writes.
    pub fates: Vec<FateAnswer>,
    /// What endpoints executed.
    pub executions: Vec<Execution>,
    /// By group, where each branch of the log left the one before it; the first did nowhere.
    pub forks: BTreeMap<i64, Vec<i64>>,
    /// Violations that endpoints have seen themselves.
    pub endpoint_violations: Vec<Violation>,
    /// How old the data of a read may be when the read is sent.
    pub bound_ms: i64,
    /// Added to a client's timeout: how long a busy machine may take to wake the client's own thread.
    pub scheduling_slack_ms: i64,
    /// Added to the bound, which counts from when the router sends: how long a request takes from its client to there.
    pub network_slack_ms: i64,
}

impl History {
    /// Where the log of a group forked.
    pub fn forks_of(&self, group: i64) -> &[i64] {
        self.forks.get(&group).map_or(&[], Vec::as_slice)
    }
}

/// Whether what is at `shown` has all that was seen at `seen`: both up to there on what their branches share.
pub fn includes(forks: &[i64], shown: LogPoint, seen: LogPoint) -> bool {
    let (low, high) = (shown.branch.min(seen.branch), shown.branch.max(seen.branch));
    let first_fork = forks.get(low + 1..=high).into_iter().flatten().min();
    shown.at_ms >= seen.at_ms && first_fork.is_none_or(|fork| seen.at_ms <= *fork)
}
