//! What a session has seen of the database, carried by its client from instance to instance and over restarts, so that
//! it reads its own writes and never older data than before. Free of I/O.
//!
//! - [`positions`]: what a session has seen of each group
//! - [`epochs`]: what is known of each group's log, and whether a position still lies on it
//! - [`token`]: the form in which a client carries a session's positions
//! - [`session_cache`]: what one instance remembers beside that
//!
//! `docs/sessions.md` states what is guaranteed.

#![warn(clippy::too_many_lines)]

pub mod epochs;
pub mod positions;
pub mod session_cache;
pub mod token;
