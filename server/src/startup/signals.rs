//! The main thread: it starts the server and then waits for signals.

use crate::config::operator_file::log_style;
use crate::exit_status::{ExitStatus, Failure};
use crate::runtime::clock::Clock;
use crate::runtime::log;
use crate::startup::configuration::Configuration;
use crate::startup::server::Server;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::PathBuf;

/// Serves until a signal ends the process.
///
/// # Errors
/// The server could not be started.
pub fn run(operator_file: Option<PathBuf>) -> Result<(), Failure> {
    let clock = Clock::start();
    // First: a signal that comes while the server starts is handled once it has.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|error| Failure::new(ExitStatus::OsError, format!("signals: {error}")))?;
    let configuration = Configuration::read(operator_file)?;
    log::start(&log_style(&configuration.operators));
    let mut server = Server::start(clock, configuration)?;
    for signal in signals.forever() {
        match signal {
            SIGHUP => server.reload(),
            _ => server.shut_down(),
        }
    }
    Err(Failure::new(ExitStatus::OsError, "signals: no more can be received"))
}
