//! Output of the commands.

use std::io::Write;

/// Prints to standard output. A failure is ignored, because a reader that has closed the pipe needs no more output.
pub fn print(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Prints an error to standard error.
pub fn print_error(message: &str) {
    eprintln!("query-router: {message}");
}
