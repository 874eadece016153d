//! `query-router check`: reports all errors of the configuration files at once.

use crate::cli::output::print;
use crate::config::bootstrap::ReadAt;
use crate::config::operator_file;
use crate::exit_status::{ExitStatus, Failure};
use crate::startup::configuration::{read_bootstrap, read_session_keys};
use operator_config::OperatorSettings;
use std::path::Path;

/// The output if no error was found.
const VALID: &str = "the configuration is valid";

/// Checks the bootstrap file, the operators' file, and the state directory and session keys that the operators'
/// file names.
///
/// # Errors
/// All problems that were found.
pub fn run(operator_file: Option<&Path>) -> Result<(), Failure> {
    let bootstrap = read_bootstrap(ReadAt::Start);
    let mut problems: Vec<String> = Vec::new();
    problems.extend(bootstrap.err().into_iter().flatten().map(|error| error.to_string()));
    match operator_file::read(operator_file) {
        Ok(settings) => {
            problems.extend(state_dir_problem(&settings));
            problems.extend(
                settings.sessions.keys_path.as_deref().and_then(|path| read_session_keys(path).err()),
            );
        }
        Err(errors) => problems.extend(errors.iter().map(|error| error.to_string())),
    }
    if !problems.is_empty() {
        return Err(Failure::all(ExitStatus::ConfigError, problems));
    }
    print(VALID);
    Ok(())
}

fn state_dir_problem(settings: &OperatorSettings) -> Option<String> {
    let path = settings.storage.state_dir.as_ref()?;
    match std::fs::metadata(path) {
        Ok(found) if found.is_dir() => None,
        Ok(_) => Some(format!("state-dir: {}: not a directory", path.display())),
        Err(error) => Some(format!("state-dir: {}: {error}", path.display())),
    }
}
