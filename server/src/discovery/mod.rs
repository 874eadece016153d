//! Discovery: a watch on the endpoint list, which is reopened whenever it ends.

pub mod stream;
pub mod watch;
