//! From the start of the process to its end: configuration, the parts of the server, and signals.

pub mod configuration;
mod foundation;
mod initial_list;
mod reload;
mod server;
mod signals;

pub use signals::run;
