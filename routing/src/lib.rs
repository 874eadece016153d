//! The routing policy of the query router: which endpoint of a sharded, replicated database each request goes to.
//!
//! [`RoutingPolicy`] is a state machine without I/O. A host reports [`Event`]s with the time at which they happened
//! and executes the [`Action`]s that are returned. The crate opens no socket and reads no clock, and all randomness
//! comes from one seed, so equal events give equal actions. `docs/design.md` describes the design.
//!
//! - [`settings`]: the settings of an instance, fixed when it starts
//! - [`events`]: events and actions, the interface between host and policy
//! - `routing_policy`: the policy's state and the dispatch of events
//! - `policy`: every decision
//! - `state`: state of requests, endpoints, groups and sessions, without decisions
//! - [`snapshot`]: the state of an endpoint as operators can query it

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
