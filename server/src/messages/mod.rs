//! What the coroutines say to each other.

pub mod control;
pub mod endpoint_list;
pub mod journal_entry;
pub mod request;
pub mod response;
pub mod snapshot;
