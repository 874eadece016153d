//! Randomized runs in which instances start while discovery is down, from a cached list that may be outdated. First,
//! faults are applied to a cluster whose endpoint list has been cached. Then the instances and their clients are
//! started, and discovery returns in one of several ways. The resulting history is checked.

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
