//! The list of stores kept on disk: storage only. What is believed of it is decided elsewhere.
//!
//! A generation is one file, written whole beside the others, synced, and renamed into place; the one before
//! stays until the next has done so. A file counts only if its first line, its length and its checksum fit:
//! it is never half believed. `docs/recovery.md` weighs this against embedded stores.

mod dir;
mod file;

pub use dir::{Dir, Fault, Loaded};
pub use file::{decode, encode, Unfit, FORMAT, MOST_BYTES};

use serde::{Deserialize, Serialize};

/// Descriptors that a directory takes at the most: its lock, the file that is written, the folder itself.
pub const DESCRIPTORS: usize = 3;

/// All that is kept. Times are Unix milliseconds by the wall clock of the front that wrote them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    /// Rises by one with every save; which of two files is the newer, whatever the clocks said.
    pub generation: u64,
    /// Discovery's version of the list.
    pub seq: i64,
    /// When discovery last stood by the list.
    pub confirmed_ms: i64,
    pub saved_ms: i64,
    pub stores: Vec<KeptStore>,
}

/// A store as the list had it, under discovery's own names.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KeptStore {
    pub host: String,
    pub dial: String,
    #[serde(default)]
    pub site: String,
    pub block: i64,
    pub health: String,
    /// The last start known, 0 where none is.
    #[serde(default)]
    pub born_ms: f64,
    #[serde(default)]
    pub recovery: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub said: Option<Said>,
}

/// What the store itself last said.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Said {
    pub primary: bool,
    #[serde(default)]
    pub position_ms: Option<i64>,
    #[serde(default)]
    pub timeline: Option<u32>,
    pub at_ms: i64,
}
