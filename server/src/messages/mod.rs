//! The messages that the coroutines of the server send to each other, and the types in them.

pub mod control;
pub mod endpoint_list;
pub mod journal_entry;
pub mod request;
pub mod response;
pub mod snapshot;
