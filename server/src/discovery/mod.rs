//! Discovery: the endpoint list as it is known at the start, then a watch that is opened again whenever it ends.

pub mod stream;
pub mod watch;
