//! `gingerwick`, the daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    match front::start::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("gingerwick: {why}");
            ExitCode::FAILURE
        }
    }
}
