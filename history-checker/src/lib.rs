//! Checks a history of client requests against the executions on endpoints and the forks of the groups' logs. The check
//! is independent of the router: it uses only what clients and endpoints recorded.
//!
//! - [`history`]: the recorded requests, executions and forks of logs
//! - [`verdict`]: the rules and their violations
//! - [`checker`]: the check of a history against all rules
//!
//! All times are in Unix milliseconds and from one clock, since clients and endpoints run on the same machine.

#![warn(clippy::too_many_lines)]

pub mod checker;
pub mod history;
mod session_checker;
pub mod verdict;

pub use checker::check;
pub use history::{
    log_includes, Answer, AnswerValue, Execution, FateAnswer, History, Kind, LogPoint, RequestRecord,
    FATE_UNKNOWN, SESSION_LOST,
};
pub use verdict::{Rule, Verdict, Violation};
