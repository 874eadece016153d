//! Clients that flood an instance: they send as fast as the instance reads, or hold on to its memory.
//!
//! - [`kind`]: the kinds of floods and what their clients send
//! - [`flooder`]: the clients of a flood
//! - `paced`: the clients that send or read slowly
//! - `shared`: the state and the startup message that all clients use

pub mod flooder;
pub mod kind;
mod paced;
mod shared;
