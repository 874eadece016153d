//! The messages between coroutines, and the types that they carry.

pub mod control;
pub mod endpoint_list;
pub mod journal_entry;
pub mod request;
pub mod response;
pub mod snapshot;
