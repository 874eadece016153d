//! Soak runs under faults: several instances of the daemon as real processes on loopback, with endpoints that fail,
//! proxies that disturb connections, system calls that fail, clients of all habits, floods, and signals. Each run is planned
//! from its seed and judged by the ids of the requests.
//!
//! - [`plan`]: what happens in a run
//! - [`endpoint`]: endpoints that fail and that record what they are sent
//! - [`proxy`]: a TCP proxy that disturbs connections
//! - [`client`]: clients that record what becomes of their requests
//! - [`closed_connections`]: what an instance had read from the connections that it closed
//! - [`leavers`]: clients that leave many requests behind and send some of their ids again
//! - [`instance`]: an instance of the daemon with the fault library, and its signals
//! - [`verdict`]: the rules, applied to the records of a run
//! - [`run`]: a run from its plan to its verdict

pub mod client;
pub mod closed_connections;
pub mod endpoint;
pub mod instance;
pub mod leavers;
pub mod plan;
pub mod proxy;
pub mod run;
pub mod verdict;
