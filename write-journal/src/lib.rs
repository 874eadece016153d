//! Write journal. A write that must not be executed twice is recorded before its last byte is sent to an endpoint,
//! and its result is recorded afterwards. This allows an instance to report the fate of a write to its client even
//! after a restart.
//!
//! - [`record_state`]: state machine of a record, and the decision on the fate of a write, without I/O
//! - [`journal`]: storage of the records in an embedded key-value store
//!
//! `docs/sessions.md` states the guarantees.

#![warn(clippy::too_many_lines)]

mod encoding;
pub mod journal;
pub mod record_state;
