//! What the commands print.

use std::io::Write;

/// Prints to standard output. A reader that has closed it has seen what it wanted.
pub fn print(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Prints an error to standard error.
pub fn print_error(message: &str) {
    eprintln!("query-router: {message}");
}
