//! The routing policy of the query router: which endpoint of a sharded, replicated database each request goes to.
//!
//! [`RoutingPolicy`] is a state machine without I/O. A host reports [`Event`]s with the time at which they happened and
//! carries out the [`Action`]s that come back. Nothing here opens a socket or reads a clock, and all randomness comes
//! from one seed, so equal events give equal actions. `docs/design.md` describes the mechanism.
//!
//! - [`settings`]: what an instance is told once, when it starts
//! - [`events`]: what it is told afterwards, and what it asks for
//! - `policy`: every decision; `routing_policy`: which decision an event leads to
//! - `state`: what is known of requests, endpoints, groups and sessions, without decisions
//! - [`snapshot`]: what operators see of that state

#![warn(clippy::too_many_lines)]

pub mod events;
mod policy;
pub mod rng;
mod routing_policy;
pub mod settings;
pub mod snapshot;
mod state;
pub mod time;

pub use events::*;
pub use routing_policy::RoutingPolicy;
pub use settings::*;
pub use snapshot::{CapacitySnapshot, EndpointSnapshot, ReportSnapshot};
pub use state::session_writes::SessionWrites;
