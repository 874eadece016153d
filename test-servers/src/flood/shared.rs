//! What the clients of a flood share.

use std::sync::atomic::{AtomicBool, AtomicU64};

/// The startup message: user `backend`, database `store`.
pub(super) const STARTUP: &[u8] = b"\0\0\0\x25\0\x03\0\0user\0backend\0database\0store\0\0";

/// The state that the clients of a flood share.
#[derive(Default)]
pub(super) struct Shared {
    /// Whether the clients must end.
    pub is_over: AtomicBool,
    /// The chunks that were sent so far.
    pub chunks: AtomicU64,
    /// The bytes of answers that were received.
    pub received: AtomicU64,
}
