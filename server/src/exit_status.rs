//! Exit statuses of the process, after sysexits.h, and the failure of a command.

use std::fmt::Display;
use std::process::ExitCode;

/// An exit status of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The command line is invalid (EX_USAGE).
    Usage = 64,
    /// The content of a file is invalid (EX_DATAERR).
    DataError = 65,
    /// A file cannot be opened (EX_NOINPUT).
    NoInput = 66,
    /// Another process does not respond (EX_UNAVAILABLE).
    Unavailable = 69,
    /// A resource of the operating system is not available (EX_OSERR).
    OsError = 71,
    /// Writing failed (EX_IOERR).
    IoError = 74,
    /// The configuration is invalid (EX_CONFIG).
    ConfigError = 78,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}

/// Why a command failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The exit status of the process.
    pub status: ExitStatus,
    /// The lines that are written to standard error.
    pub messages: Vec<String>,
}

impl Failure {
    /// Creates a failure with one message.
    pub fn new(status: ExitStatus, message: impl Display) -> Failure {
        Failure { status, messages: vec![message.to_string()] }
    }

    /// Creates a failure with several messages.
    pub fn all<M: Display>(status: ExitStatus, messages: impl IntoIterator<Item = M>) -> Failure {
        Failure { status, messages: messages.into_iter().map(|message| message.to_string()).collect() }
    }
}
