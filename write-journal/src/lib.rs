//! The journal of writes. A write that may not run twice is recorded before its last byte leaves for a store,
//! and what became of it when that is known; so a front that starts over can say what became of a write that
//! is asked about again.
//!
//! [`fate`] decides, free of I/O; [`journal`] keeps the records on an embedded store. `docs/sessions.md`
//! states what is guaranteed.

pub mod fate;
pub mod journal;
