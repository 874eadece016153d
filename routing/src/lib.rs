//! gingerwick decides where each RPC of a sharded, replicated database goes.
//!
//! The decisions stand in [`choice`]; what they are told and what they ask for in [`iface`]. Nothing
//! here opens a socket or reads a clock, so any protocol can be put before the same decisions.

pub mod choice;
pub mod iface;
pub mod remembered;
pub mod rng;
pub mod time;
