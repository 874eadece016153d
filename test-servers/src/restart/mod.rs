//! Starts with discovery down and a cached list that may be wrong, drawn from a seed: faults between the list and the start, the
//! daemon, clients, and discovery's return in one of its ways.

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
