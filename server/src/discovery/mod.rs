//! The client of discovery, the service that provides the endpoint list: a watch on the list, which is reopened
//! whenever it ends.

pub mod stream;
pub mod watch;
