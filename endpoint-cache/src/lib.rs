//! The endpoint list, cached on disk over a restart. Storage only: how far it is trusted is decided elsewhere.
//!
//! A generation is one file, written whole beside the others, synced, and renamed into place; the one before stays until the
//! next has done so. A file counts only if its head line, its length and its checksum fit. `docs/recovery.md` weighs this
//! against embedded stores.

#![warn(clippy::too_many_lines)]

mod cached_list;
mod directory;
mod encoding;

pub use cached_list::{CachedEndpoint, CachedEndpointList, CachedReport};
pub use directory::{CacheDirectory, CacheError, LoadedCache, DESCRIPTORS};
pub use encoding::{decode, encode, FileError, FORMAT, MAX_FILE_BYTES};
