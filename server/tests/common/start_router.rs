//! Starts an instance of the router.

use super::router_program::ROUTER;
use std::net::SocketAddr;
use std::path::Path;
use test_servers::daemon::{Daemon, DaemonOptions};
use test_servers::settings::settings;

/// Starts an instance of the router with the test settings and `seed`. It listens on `listen` and watches discovery at
/// `discovery`. The bootstrap file and the operators' file, whose content is `operator_file`, are written to `folder`.
///
/// # Panics
/// Panics if the process cannot be started.
pub fn start_router(
    seed: usize,
    operator_file: &str,
    folder: &Path,
    listen: SocketAddr,
    discovery: SocketAddr,
) -> Daemon {
    let bootstrap = format!(r#"{{"seed":"{seed}","settings":{}}}"#, settings());
    let options = DaemonOptions {
        program: Path::new(ROUTER),
        bootstrap: &bootstrap,
        operator_file: Some(operator_file),
        folder,
        listen,
        discovery,
        environment: Vec::new(),
    };
    Daemon::start(&options).expect("the router did not start")
}
