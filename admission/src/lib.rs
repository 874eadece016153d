//! Admission control: which connections and requests of clients are admitted, which are rejected and why, and when those
//! may come back. No I/O and no clock: the caller passes the time.
//!
//! - [`client_class`]: classes of clients, as operators set them
//! - [`client_address`]: what is remembered of single addresses
//! - [`connection_limiter`]: the decisions on connections
//! - [`handshake_queue`]: connections whose client is not known yet
//! - [`concurrency_limiter`]: the decisions on requests
//! - [`retry_budget`]: how many of them may be retries
//! - [`accept_backoff`]: what is done if a connection cannot be accepted

#![warn(clippy::too_many_lines)]

pub mod accept_backoff;
pub mod client_address;
pub mod client_class;
pub mod concurrency_limiter;
pub mod connection_limiter;
pub mod handshake_queue;
mod retry_after_jitter;
pub mod retry_budget;

pub use client_address::{AddressPrefixes, ClientAddress};
pub use client_class::{ClassError, ClassSettings, ClientClass, ConnectionRate};
pub use connection_limiter::{AdmittedConnection, ConnectionLimiter, Rejection, RejectionReason};
