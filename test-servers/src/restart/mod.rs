//! Randomized runs of a start with discovery down and a cached list that may be outdated. Between the time of the
//! list and the start, faults are applied to the cluster; then the daemon and clients are started, and discovery
//! returns in one of several ways.

mod client_loop;
mod faults;
mod plan;
mod run;
mod scenario;
mod throughput;

pub use client_loop::FirstServed;
pub use plan::{DiscoveryReturn, Fault, Plan};
pub use run::{run_plan, Outcome, Phases};
pub use throughput::reads_per_second;
