//! What every host of the routing policy needs, whatever its wire. No decision is made here.
//!
//! - [`bootstrap_config`]: the configuration that an instance is started with, as the operators' pages word it
//! - [`routing_settings`]: the same, checked and converted to the policy's own settings
//! - [`id_interner`]: identifiers to dense indices and back
//! - [`request_registry`]: what a host keeps of each open request

#![warn(clippy::too_many_lines)]

pub mod bootstrap_config;
pub mod id_interner;
pub mod request_registry;
pub mod routing_settings;
