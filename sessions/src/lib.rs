//! Session guarantees: a session reads its own writes, and never reads older data than it has read before. The client
//! carries the session's positions in a token, so the guarantees hold across instances and restarts. This package
//! performs no I/O.
//!
//! - [`positions`]: the position that a session has observed on each group's log
//! - [`epochs`]: the history of each group's log, and whether it still contains a position
//! - [`token`]: the authenticated token in which a client carries its session's positions
//! - [`session_cache`]: an instance's cache of session positions
//!
//! `docs/sessions.md` states the guarantees.

#![warn(clippy::too_many_lines)]

pub mod epochs;
pub mod positions;
pub mod session_cache;
pub mod token;
