//! `routing`, the daemon and its command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    server::command::run().into()
}
