//! What is kept on disk, by threads of their own: the journal of writes and the cached endpoint list.

pub mod endpoint_cache_writer;
pub mod journal;
