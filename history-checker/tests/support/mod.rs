//! Requests, executions and points of the log, for histories.

use history_checker::{Answer, Execution, Kind, LogPoint, RequestRecord};

/// The value that an endpoint at this point of the log answers to the request.
pub fn value(id: &str, point: LogPoint) -> Answer {
    Answer::Value(format!("{id} {} {} {}", point.position_ms, point.branch, point.position_ms))
}

/// A request to group 1 that is answered after 5 ms of its 400.
pub fn record(id: &str, kind: Kind, sent_ms: i64, answer: Answer) -> RequestRecord {
    let (id, answered_ms) = (id.to_string(), sent_ms + 5);
    RequestRecord {
        id,
        group: 1,
        kind,
        sent_ms,
        answered_ms,
        timeout_ms: 400,
        answer,
        has_extra_answer: false,
        router_killed: false,
    }
}

/// The execution of a write at the primary of group 1.
pub fn execution(id: &str, point: LogPoint) -> Execution {
    Execution { id: id.to_string(), group: 1, point, at_primary: true }
}

/// A point on a branch of the log, in milliseconds.
pub fn at(branch: usize, position_ms: i64) -> LogPoint {
    LogPoint { branch, position_ms }
}
