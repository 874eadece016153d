//! Admission of connections: who gets one, who is turned away and why, and when those had better come back.
//! No I/O and no clock: the caller says what time it is.
//!
//! [`class`] has what operators say of their clients, [`source`] what is remembered of single addresses,
//! [`admission`] the decisions.

pub mod admission;
pub mod class;
pub mod source;

/// What the admission of connections decides by, and where it stands.
pub use admission::{Admission, Pass, Refusal, Why};
pub use class::{Class, Fault, Rate};
pub use source::Prefixes;
