//! Recovery of an instance that has started from a cached endpoint list of uncertain age: how far the list is
//! trusted, which endpoints are queried, when an endpoint may be used, how a group's primary is verified, which
//! endpoint lists from discovery are accepted, and when the cache is saved. This package performs no I/O: the caller
//! passes events with their times and carries out the resulting actions.
//!
//! - [`primary_discovery`]: the state of recovery and its event handlers
//! - [`endpoint_state`], [`group_state`]: state machines of an endpoint and of a group, as transition tables
//! - [`primary_verification`]: the evidence that verifies a primary
//! - [`staleness`]: how far a cached list is trusted, by its age
//! - [`query_schedule`]: when endpoints are queried, with a limit on concurrent queries
//! - [`discovery_incarnation`]: which endpoint lists of discovery are accepted
//! - [`watch_schedule`]: timeouts and reconnection backoff of the watch on discovery
//! - [`save_schedule`]: when the cache file is saved
//!
//! `docs/recovery.md` describes the design.

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
