//! Starting from a cached endpoint list of uncertain age: how far it is trusted, which endpoints are queried, when one may
//! be used, which is verified to be its group's primary, which endpoint lists of discovery are accepted, and when the cache
//! is saved again. Free of I/O: a host reports events with the time at which they happened and carries out the actions.
//!
//! - [`primary_discovery`]: the state and the event loop
//! - [`endpoint_state`], [`group_state`]: the states of one endpoint and of one group, as tables
//! - [`primary_verification`]: what verifies a primary
//! - [`staleness`]: how far a list is trusted at its age
//! - [`query_schedule`]: which endpoint is queried when
//! - [`discovery_incarnation`]: which lists of discovery are accepted
//! - [`watch_schedule`]: when a watch on discovery is broken, and when it is opened again
//! - [`save_schedule`]: when the cache is saved
//!
//! `docs/recovery.md` describes the whole.

#![warn(clippy::too_many_lines)]

pub mod discovery_incarnation;
pub mod endpoint_state;
pub mod group_state;
pub mod primary_discovery;
pub mod primary_verification;
pub mod query_schedule;
pub mod save_schedule;
pub mod staleness;
pub mod watch_schedule;
