//! `gingerwick`, the daemon and its command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    front::command::run().into()
}
