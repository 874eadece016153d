//! Exit statuses of the process, after sysexits.h, and what a command reports when it fails.

use std::fmt::Display;
use std::process::ExitCode;

/// The exit status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// All went well.
    Success = 0,
    /// The command line is wrong (EX_USAGE).
    Usage = 64,
    /// A file's content is wrong (EX_DATAERR).
    DataError = 65,
    /// A file cannot be opened (EX_NOINPUT).
    NoInput = 66,
    /// Another process does not answer (EX_UNAVAILABLE).
    Unavailable = 69,
    /// The operating system does not give what is needed (EX_OSERR).
    OsError = 71,
    /// Writing failed (EX_IOERR).
    IoError = 74,
    /// The configuration is wrong (EX_CONFIG).
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
    /// The exit status that it ends with.
    pub status: ExitStatus,
    /// What is written to standard error, a line each.
    pub messages: Vec<String>,
}

impl Failure {
    /// With one message.
    pub fn new(status: ExitStatus, message: impl Display) -> Failure {
        Failure { status, messages: vec![message.to_string()] }
    }

    /// With several messages.
    pub fn all<M: Display>(status: ExitStatus, messages: impl IntoIterator<Item = M>) -> Failure {
        Failure { status, messages: messages.into_iter().map(|message| message.to_string()).collect() }
    }
}
