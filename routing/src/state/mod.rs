//! State of requests, attempts, endpoints, groups and sessions. No decision is made here.

pub mod compiled_settings;
pub mod endpoint;
pub mod group;
pub mod request;
pub mod session_writes;
pub mod timer_tag;
