//! State on disk, each part written by its own thread: the write journal and the cached endpoint list.

pub mod endpoint_cache_writer;
pub mod journal;
