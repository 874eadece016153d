//! Constructors of requests, executions and log points for the tests' histories.

use history_checker::{Answer, Execution, Kind, LogPoint, RequestRecord};

/// The value with which an endpoint at this point on the log answers the request. Its data is consistent up to there.
pub fn value(id: &str, point: LogPoint) -> Answer {
    Answer::Value(format!("{id} {} {} {}", point.position_ms, point.branch, point.position_ms))
}

/// A request to group 1 that is answered after 5 ms, with a timeout of 400 ms.
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

/// An execution of a write by the primary of group 1.
pub fn execution(id: &str, point: LogPoint) -> Execution {
    Execution { id: id.to_string(), group: 1, point, at_primary: true }
}

/// A point on a branch of the log. The position is in milliseconds.
pub fn at(branch: usize, position_ms: i64) -> LogPoint {
    LogPoint { branch, position_ms }
}
