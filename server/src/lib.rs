//! The query router's server: client connections, endpoint connections and discovery around the routing policy.
//!
//! The modules form layers, listed here from the lowest to the highest. Each module uses only modules that are
//! listed before it:
//!
//! - [`runtime`]: clock, coroutines, cancellation, resource limits, log, metrics, vocabularies
//! - [`protocol`]: the wire protocol, without I/O
//! - [`messages`]: the messages between the components
//! - [`storage`]: the threads that write to disk
//! - [`endpoints`]: connections to endpoints, attempts, health checks, role queries
//! - [`discovery`]: the watch on the endpoint list
//! - [`control`]: the control loop around the routing policy
//! - [`clients`]: client connections
//! - [`admin`]: the admin socket
//! - [`config`]: the two configuration files
//! - [`exit_status`]: exit statuses of the process
//! - [`startup`]: start, reload and shutdown of the process
//! - [`cli`]: the command line

#![warn(clippy::too_many_lines)]

pub mod admin;
pub mod cli;
pub mod clients;
pub mod config;
pub mod control;
pub mod discovery;
pub mod endpoints;
pub mod exit_status;
pub mod messages;
pub mod protocol;
pub mod runtime;
pub mod startup;
pub mod storage;
