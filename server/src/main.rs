//! The `query-router` program: the server and its command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    server::cli::run().into()
}
