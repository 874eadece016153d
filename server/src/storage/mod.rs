//! The data that the server stores on disk: the write journal and the cached endpoint list. Each is written by its own
//! thread.

pub mod endpoint_cache_writer;
pub mod journal;
mod reopened_journal;
