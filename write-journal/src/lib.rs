//! The journal of writes. A write that must not run twice is recorded before its last byte leaves for an endpoint, and so
//! is what became of it; so an instance that was restarted can tell a client that asks again.
//!
//! - [`record_state`]: the decisions, free of I/O
//! - [`journal`]: the records, on an embedded key-value store
//!
//! `docs/sessions.md` states what is guaranteed.

#![warn(clippy::too_many_lines)]

mod encoding;
pub mod journal;
pub mod record_state;
