//! The life cycle of the process: configuration, creation of the server's parts, signals, reload and shutdown.

pub mod configuration;
mod foundation;
mod initial_list;
mod reload;
mod server;
mod signals;

pub use signals::run;
