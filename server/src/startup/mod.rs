//! The life cycle of the process: configuration, creation of the server's components, signals, reload and shutdown.

pub mod configuration;
mod initial_list;
mod pending_signals;
mod reload;
mod server;
mod shared_services;
mod signals;

pub use signals::run;
