//! `query-router show`: prints a page about a running server.

use crate::admin::socket::request_page;
use crate::cli::output::print;
use crate::config::operator_file;
use crate::exit_status::{ExitStatus, Failure};
use std::path::{Path, PathBuf};

/// The error if the path of the admin socket is not known.
const NO_SOCKET: &str =
    "no admin socket: pass --socket PATH, or pass --conf FILE with a file that sets operators-socket";

/// Requests a page and prints it. Without `socket`, the path is taken from the operators' file.
///
/// # Errors
/// The path of the socket is not known, the operators' file is invalid, or the server does not send the page.
pub fn run(operator_file: Option<&Path>, socket: Option<PathBuf>, page: &str) -> Result<(), Failure> {
    let path = match socket {
        Some(path) => path,
        None => configured_socket(operator_file)?,
    };
    let text = request_page(&path, page).map_err(|error| Failure::new(ExitStatus::Unavailable, error))?;
    print(text.trim_end());
    Ok(())
}

fn configured_socket(operator_file: Option<&Path>) -> Result<PathBuf, Failure> {
    let settings = operator_file::read(operator_file);
    let settings = settings.map_err(|errors| Failure::all(ExitStatus::ConfigError, errors))?;
    settings.admin_socket.ok_or_else(|| Failure::new(ExitStatus::Usage, NO_SOCKET))
}
