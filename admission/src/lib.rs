//! Admission control: decides which client connections and requests are admitted and which are rejected, for which
//! reason and with which Retry-After time. The crate performs no I/O and reads no clock: the caller passes the current
//! time.
//!
//! - [`client_class`]: client classes as configured by operators, their validation and the classification of clients
//! - [`client_address`]: connection counts and rate-limit states per client address
//! - [`connection_limiter`]: admission of connections
//! - [`handshake_queue`]: connections whose client has not sent its user name yet
//! - [`concurrency_limiter`]: admission and fair queueing of requests
//! - [`retry_budget`]: limit on retries as a fraction of first attempts
//! - [`turns`]: fair division of the worker thread among client connections
//! - [`memory_plan`]: division of the process's memory among connections and a pool
//! - [`memory_pressure`]: what to do when the resident memory comes near its limit
//! - [`arrival_time`]: when a client's bytes had arrived that were read later
//! - [`accept_backoff`]: backoff of the accept loop after errors

#![warn(clippy::too_many_lines)]

pub mod accept_backoff;
pub mod arrival_time;
pub mod client_address;
pub mod client_class;
pub mod concurrency_limiter;
pub mod connection_limiter;
pub mod handshake_queue;
pub mod memory_plan;
pub mod memory_pressure;
mod reason_counts;
mod retry_after_jitter;
pub mod retry_budget;
pub mod turns;

pub use client_address::{AddressConnections, AddressPrefixes, ClientAddress};
pub use client_class::{ClassError, ClientClass, ConnectionRate};
pub use connection_limiter::{
    AdmittedConnection, ClassConnections, ClassSettings, ConnectionLimiter, Rejection, RejectionCount,
    RejectionReason,
};
pub use reason_counts::ReasonCount;
