//! Checks a history of client requests against the executions on endpoints and the forks of logs. It is independent of
//! the router and uses no data from it.
//!
//! - [`history`]: the recorded requests, executions and forks
//! - [`verdict`]: the rules and their violations
//! - [`checker`]: the check of a history
//!
//! Times are Unix milliseconds of one clock: clients and endpoints run on the same machine.

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
