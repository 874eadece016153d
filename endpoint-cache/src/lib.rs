//! Cache of the endpoint list on disk, for use after a restart. This package only stores the list; the `recovery`
//! package decides how far a cached list is trusted.
//!
//! Each save creates a generation, which is one file. The file is written completely under a temporary name, synced,
//! and renamed into place; the previous generation is kept until the next one is in place. A file is valid only if
//! the header line is well-formed and its length and checksum match the body. `docs/recovery.md` compares this with
//! embedded key-value stores.

#![warn(clippy::too_many_lines)]

mod cached_list;
mod directory;
mod encoding;

pub use cached_list::{CachedEndpoint, CachedEndpointList, CachedReport};
pub use directory::{CacheDirectory, CacheError, LoadedCache, LoadedList, MAX_DESCRIPTORS};
pub use encoding::{decode, encode, FileError, FORMAT_VERSION, MAX_FILE_BYTES};
