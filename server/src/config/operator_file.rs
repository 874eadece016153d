//! Reads the operators' file. Without one, all features that it configures are off.

use crate::runtime::log::LogOptions;
use operator_config::{ConfigError, LogFormat, OperatorSettings};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The maximum length of an operators' file, in bytes.
const MAX_BYTES: u64 = 1 << 20;

/// Why an operators' file cannot be used.
#[derive(Debug, Error)]
pub enum OperatorFileError {
    /// The file cannot be read.
    #[error("{}: {error}", path.display())]
    Io {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The file is too long.
    #[error("{}: the file has {bytes} bytes; the maximum is {MAX_BYTES}", path.display())]
    TooLong {
        /// The path of the file.
        path: PathBuf,
        /// The length of the file in bytes.
        bytes: u64,
    },
    /// A line of the file is invalid.
    #[error("{}:{error}", path.display())]
    Line {
        /// The path of the file.
        path: PathBuf,
        /// The number of the line, its keyword, and why it is invalid.
        error: Box<ConfigError>,
    },
}

/// Reads and parses the operators' file; without a path, returns the default settings.
///
/// # Errors
/// The file cannot be read or is too long; otherwise, the errors of all its lines.
pub fn read(path: Option<&Path>) -> Result<OperatorSettings, Vec<OperatorFileError>> {
    let Some(path) = path else { return Ok(OperatorSettings::default()) };
    let text = read_text(path).map_err(|error| vec![error])?;
    let line_error = |error| OperatorFileError::Line { path: path.to_path_buf(), error: Box::new(error) };
    operator_config::parse(&text).map_err(|errors| errors.into_iter().map(line_error).collect())
}

fn read_text(path: &Path) -> Result<String, OperatorFileError> {
    let io_error = |error| OperatorFileError::Io { path: path.to_path_buf(), error };
    let bytes = std::fs::metadata(path).map_err(io_error)?.len();
    if bytes > MAX_BYTES {
        return Err(OperatorFileError::TooLong { path: path.to_path_buf(), bytes });
    }
    std::fs::read_to_string(path).map_err(io_error)
}

/// The options of the log; the level is `info` if the configured level cannot be parsed.
pub fn log_options(settings: &OperatorSettings) -> LogOptions {
    LogOptions {
        json: settings.log.format == LogFormat::Json,
        level: settings.log.level.parse().unwrap_or(tracing::Level::INFO),
        max_queued_bytes: settings.log.max_queued_bytes,
    }
}
