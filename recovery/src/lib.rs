//! Starting over from a list of unknown worth: what may be believed of it at its age, whom to ask, when a
//! store may be used, who is proved to be a group's primary, which life of discovery a list comes from, and
//! when what is known is saved again. Free of I/O: a host hands in events with the clock of its batch and
//! carries out the actions.
//!
//! [`regain`] holds the state and the loop, [`store`] and [`group`] the two tables, [`proof`] what proves a
//! primary, [`trust`] the steps of age, [`lives`] discovery's lists, [`watch`] the watch on them, [`pace`] the
//! saving.

pub mod group;
pub mod lives;
pub mod pace;
pub mod proof;
pub mod regain;
pub mod store;
pub mod trust;
pub mod watch;
