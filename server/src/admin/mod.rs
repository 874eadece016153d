//! The admin socket: a Unix socket from which operators request pages about the running server.

pub mod client_page;
pub mod endpoint_page;
pub mod limits_page;
mod metric_names;
pub mod metrics_page;
mod reasons;
pub mod request_page;
pub mod socket;
pub mod table;
pub mod view;
