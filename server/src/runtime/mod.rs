//! The runtime that all other layers use: time, coroutines, cancellation, resource limits, log, metrics, and the
//! two vocabularies for operators.

pub mod allocator;
pub mod cancellation;
pub mod clock;
pub mod descriptors;
pub mod event_loop;
pub mod idle_clients;
pub mod invariants;
pub mod log;
pub mod metrics;
pub mod read_buffer;
pub mod resident_memory;
pub mod resource_limits;
pub mod socket_errors;
pub mod sockets;
pub mod tasks;
pub mod terms;
