//! The configuration with which the process starts: the bootstrap file, the operators' file and the session keys,
//! read and validated together.

use crate::clients::session_tokens::read_keys;
use crate::config::bootstrap::{Bootstrap, BootstrapError, ReadAt};
use crate::config::operator_file;
use crate::exit_status::{ExitStatus, Failure};
use operator_config::OperatorSettings;
use sessions::token::TokenKeys;
use std::path::{Path, PathBuf};

/// The validated configuration with which the server starts.
pub struct Configuration {
    /// The path of the operators' file, if one was given.
    pub operator_file: Option<PathBuf>,
    /// The settings of the bootstrap file.
    pub bootstrap: Bootstrap,
    /// The settings of the operators' file, or the defaults without one.
    pub operators: OperatorSettings,
    /// The keys of session tokens, if a key file is configured.
    pub session_keys: Option<TokenKeys>,
}

/// Reads the bootstrap file and the environment variables that override its settings.
///
/// # Errors
/// All problems of the file and of the variables.
pub fn read_bootstrap(at: ReadAt) -> Result<Bootstrap, Vec<BootstrapError>> {
    Bootstrap::read(at, |name| std::env::var(name).ok())
}

/// Reads the keys of session tokens.
///
/// # Errors
/// A message that starts with the keyword `session-keys`: the file cannot be read, or one of its lines is invalid.
pub fn read_session_keys(path: &Path) -> Result<TokenKeys, String> {
    read_keys(path).map_err(|error| format!("session-keys: {error}"))
}

impl Configuration {
    /// Reads all configuration files.
    ///
    /// # Errors
    /// All problems of the bootstrap file and the operators' file; if there are none, the problem of the key file.
    pub fn read(operator_file: Option<PathBuf>) -> Result<Configuration, Failure> {
        let bootstrap = read_bootstrap(ReadAt::Start);
        let operators = operator_file::read(operator_file.as_deref());
        let (bootstrap, operators) = match (bootstrap, operators) {
            (Ok(bootstrap), Ok(operators)) => (bootstrap, operators),
            (bootstrap, operators) => {
                let bootstrap = bootstrap.err().into_iter().flatten().map(|error| error.to_string());
                let operators = operators.err().into_iter().flatten().map(|error| error.to_string());
                return Err(Failure::all(ExitStatus::ConfigError, bootstrap.chain(operators)));
            }
        };
        let session_keys = operators.sessions.keys_path.as_deref().map(read_session_keys).transpose();
        let session_keys = session_keys.map_err(|error| Failure::new(ExitStatus::ConfigError, error))?;
        Ok(Configuration { operator_file, bootstrap, operators, session_keys })
    }

    /// Whether the instance has an operators' file. Without one, the process keeps the resource limits that the
    /// platform has set.
    pub fn has_operator_file(&self) -> bool {
        self.operator_file.is_some()
    }
}
