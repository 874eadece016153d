//! The main thread: starts the server, then handles signals.

use crate::config::operator_file::log_options;
use crate::exit_status::{ExitStatus, Failure};
use crate::runtime::allocator;
use crate::runtime::clock::Clock;
use crate::runtime::log;
use crate::startup::configuration::Configuration;
use crate::startup::pending_signals::{PendingSignals, SignalRequest};
use crate::startup::server::Server;
use std::convert::Infallible;
use std::path::PathBuf;

/// Runs the server until the process exits. SIGHUP reloads the configuration; SIGTERM and SIGINT begin the graceful
/// shutdown, at whose end the process exits.
///
/// # Errors
/// The server could not be started, or signals cannot be received.
pub fn run(operator_file: Option<PathBuf>) -> Result<Infallible, Failure> {
    allocator::configure();
    let clock = Clock::start();
    // The handlers are registered before the server is started, so that a signal that arrives during the start is
    // handled afterwards.
    let mut signals = PendingSignals::register().map_err(|error| {
        Failure::new(ExitStatus::OsError, format!("cannot register the signal handlers: {error}"))
    })?;
    let configuration = Configuration::read(operator_file)?;
    log::start(&log_options(&configuration.operators));
    let mut server = Server::start(clock, configuration)?;
    loop {
        for request in signals.wait() {
            match request {
                SignalRequest::Reload => server.reload(),
                SignalRequest::ShutDown => server.shut_down(),
            }
        }
    }
}
