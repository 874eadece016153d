//! Randomized runs of sessions and writes during kills of instances, moves of clients between instances, replication
//! lag, and a failover that loses the end of a log. The resulting history is checked.

mod client;
mod deployment;
mod plan;
mod run;

pub use plan::Plan;
pub use run::{run_plan, Outcome};
