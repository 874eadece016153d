//! Support code for hosts of the routing policy, independent of their wire protocol. The crate makes no routing
//! decisions.
//!
//! - [`bootstrap_config`]: the bootstrap configuration of an instance, as deserialized from JSON
//! - [`routing_settings`]: validation of the bootstrap configuration and conversion to the policy's settings
//! - [`id_interner`]: mapping of identifiers to dense indices and back
//! - [`request_registry`]: the host's data of each request, until the request and its attempts have ended

#![warn(clippy::too_many_lines)]

pub mod bootstrap_config;
pub mod id_interner;
pub mod request_registry;
pub mod routing_settings;
