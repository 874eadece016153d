//! Randomized runs of sessions and writes, during which instances are killed, clients move between instances, replicas
//! lag, and a failover loses the end of a log. The resulting history is checked.

mod client;
mod deployment;
mod plan;
mod run;

pub use plan::Plan;
pub use run::{run_plan, Outcome};
