//! Support code for hosts of the routing policy, independent of their wire protocol. It makes no routing decisions.
//!
//! - [`bootstrap_config`]: the bootstrap configuration of an instance, with the key names of the operators' pages
//! - [`routing_settings`]: its validation and conversion to the settings of the routing policy
//! - [`id_interner`]: mapping of identifiers to dense indices and back
//! - [`request_registry`]: data of open requests and the life cycle of their attempts

#![warn(clippy::too_many_lines)]

pub mod bootstrap_config;
pub mod id_interner;
pub mod request_registry;
pub mod routing_settings;
