//! Admission control: decides which client connections and requests are admitted, which are rejected and why,
//! and the Retry-After time of rejected ones. No I/O and no clock: the caller passes the current time.
//!
//! - [`client_class`]: client classes as configured by operators, and their validation
//! - [`client_address`]: connection counts and rates per client address
//! - [`connection_limiter`]: admission of connections
//! - [`handshake_queue`]: connections whose client has not identified itself yet
//! - [`concurrency_limiter`]: admission and fair queueing of requests
//! - [`retry_budget`]: limit on the fraction of requests that are retries
//! - [`accept_backoff`]: backoff of the accept loop after an error

#![warn(clippy::too_many_lines)]

pub mod accept_backoff;
pub mod client_address;
pub mod client_class;
pub mod concurrency_limiter;
pub mod connection_limiter;
pub mod handshake_queue;
mod reason_counts;
mod retry_after_jitter;
pub mod retry_budget;

pub use client_address::{AddressConnections, AddressPrefixes, ClientAddress};
pub use client_class::{ClassError, ClientClass, ConnectionRate};
pub use connection_limiter::{
    AdmittedConnection, ClassConnections, ClassSettings, ConnectionLimiter, Rejection, RejectionCount,
    RejectionReason,
};
pub use reason_counts::ReasonCount;
