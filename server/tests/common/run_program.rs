//! Runs a command of the router's program.

use super::router_program::ROUTER;
use std::path::Path;
use std::process::Command;

/// Runs the router's program with the arguments `args` and the bootstrap file `bootstrap`. Returns its exit status, and
/// its output on stdout and stderr.
///
/// # Panics
/// Panics if the program cannot be run or its output is not UTF-8.
pub fn run_program(args: &[&str], bootstrap: &Path) -> (Option<i32>, String, String) {
    let mut command = Command::new(ROUTER);
    command.env_clear().env("ROUTER_CONFIG", bootstrap).env("ROUTER_LISTEN", "127.0.0.1:1");
    let output = command
        .env("ROUTER_DISCOVERY", "127.0.0.1:2")
        .args(args)
        .output()
        .expect("failed to run the program");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("the output is not UTF-8");
    (output.status.code(), text(output.stdout), text(output.stderr))
}
