//! The main thread, which starts the server and then handles signals.

use crate::config::operator_file::log_style;
use crate::exit_status::{ExitStatus, Failure};
use crate::runtime::clock::Clock;
use crate::runtime::log;
use crate::startup::configuration::Configuration;
use crate::startup::server::Server;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::PathBuf;

/// Runs the server until a signal ends the process: SIGHUP reloads, SIGTERM and SIGINT begin the shutdown.
///
/// # Errors
/// The server could not be started, or signals cannot be received.
pub fn run(operator_file: Option<PathBuf>) -> Result<(), Failure> {
    let clock = Clock::start();
    // Registered first, so that a signal during the start is handled after it.
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
