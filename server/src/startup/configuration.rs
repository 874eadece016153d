//! Everything that a start is told, read and checked as a whole.

use crate::clients::session_tokens::read_keys;
use crate::config::bootstrap::{Bootstrap, BootstrapError, ReadAt};
use crate::config::operator_file;
use crate::exit_status::{ExitStatus, Failure};
use operator_config::OperatorSettings;
use sessions::token::Keys;
use std::path::{Path, PathBuf};

/// What a start is told.
pub struct Configuration {
    /// Where the operators' file is, if there is one.
    pub operator_file: Option<PathBuf>,
    /// The bootstrap file.
    pub bootstrap: Bootstrap,
    /// The operators' file.
    pub operators: OperatorSettings,
    /// The keys of session tokens, if clients may carry their sessions.
    pub session_keys: Option<Keys>,
}

/// Reads the bootstrap file that the environment names.
///
/// # Errors
/// All that is wrong with it.
pub fn read_bootstrap(at: ReadAt) -> Result<Bootstrap, Vec<BootstrapError>> {
    Bootstrap::read(at, |name| std::env::var(name).ok())
}

/// Reads the keys of session tokens.
///
/// # Errors
/// What is wrong with their file, as a line that names its keyword.
pub fn read_session_keys(path: &Path) -> Result<Keys, String> {
    read_keys(path).map_err(|error| format!("session-keys: {error}"))
}

impl Configuration {
    /// Reads all files.
    ///
    /// # Errors
    /// All that is wrong with them.
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
        let session_keys = operators.sessions.keys.as_deref().map(read_session_keys).transpose();
        let session_keys = session_keys.map_err(|error| Failure::new(ExitStatus::ConfigError, error))?;
        Ok(Configuration { operator_file, bootstrap, operators, session_keys })
    }

    /// Whether operators run this instance by a file of their own. Without one the platform has seen to the machine's limits.
    pub fn has_operator_file(&self) -> bool {
        self.operator_file.is_some()
    }
}
