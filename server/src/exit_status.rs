//! The exit statuses of the process, which follow sysexits.h, and the failure of a command.

use std::fmt::Display;
use std::process::ExitCode;

/// An exit status of the process, with its name in sysexits.h.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The command line is invalid, or lacks a required option (EX_USAGE).
    Usage = 64,
    /// A cached endpoint list is damaged or missing (EX_DATAERR).
    DataError = 65,
    /// A path on the command line cannot be read (EX_NOINPUT).
    NoInput = 66,
    /// The server whose admin socket was queried did not answer (EX_UNAVAILABLE).
    Unavailable = 69,
    /// The operating system refused a resource, such as a port or a thread (EX_OSERR).
    OsError = 71,
    /// Output could not be produced (EX_IOERR).
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
    /// The messages for standard error, one line each.
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
