//! Judges what clients sent and saw by what endpoints executed, and by where logs forked. It knows nothing of the router, and
//! takes none of its words for anything.
//!
//! - [`history`]: what was recorded
//! - [`verdict`]: the rules, and what broke them
//! - [`checker`]: the judgement
//!
//! Times are Unix milliseconds of one clock, that of the machine on which clients and endpoints ran.

#![warn(clippy::too_many_lines)]

pub mod checker;
pub mod history;
mod session_checker;
pub mod verdict;

pub use checker::check;
pub use history::{
    includes, Answer, Execution, FateAnswer, History, Kind, LogPoint, RequestRecord, ShownValue,
    FATE_UNKNOWN, SESSION_LOST,
};
pub use verdict::{Rule, Verdict, Violation};
