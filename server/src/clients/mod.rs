//! Client connections: accept loop, admission, message handling, sessions, and graceful close.

pub mod acceptor;
pub mod admission_control;
mod close_reason;
mod closing;
pub mod connection;
mod connection_limits;
pub mod context;
pub mod graceful_shutdown;
pub mod memory_guard;
mod rejection;
mod requests;
mod response_encoding;
mod response_queue;
pub mod session_tokens;
mod socket;
mod stall;
pub mod turn;
