//! Admission: who gets a connection, whose RPCs are worked on, who is turned away and why, and when those had
//! better come back. No I/O and no clock: the caller says what time it is.
//!
//! [`class`] has what operators say of their clients, [`source`] what is remembered of single addresses,
//! [`admission`] the decisions on connections and [`lobby`] those on who has not said yet who he is,
//! [`turnstile`] the decisions on RPCs, [`repeats`] their budget, [`door`] what is done where a connection
//! can't be accepted.

pub mod admission;
pub mod class;
pub mod door;
pub mod lobby;
pub mod repeats;
pub mod source;
mod spread;
pub mod turnstile;

/// What the admission of connections decides by, and where it stands.
pub use admission::{Admission, Pass, Refusal, Why};
pub use class::{Class, Fault, Rate};
pub use source::Prefixes;
