//! What operators may ask of a running instance, on a Unix socket of its own.

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
