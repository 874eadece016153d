//! Output of the commands on the standard streams.

use std::io::Write;

/// Prints a line to standard output. A write error is ignored: a reader that has closed the pipe needs no more
/// output.
pub fn print(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Prints a line to standard error, with the name of the program.
pub fn print_error(message: &str) {
    eprintln!("query-router: {message}");
}
