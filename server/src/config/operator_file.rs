//! The operators' file, read from disk. Without one, everything that it sets is off.

use crate::runtime::log::LogStyle;
use operator_config::{ConfigError, LogFormat, OperatorSettings};
use std::path::{Path, PathBuf};
use thiserror::Error;

const MAX_BYTES: u64 = 1 << 20;

/// Why an operators' file cannot be used.
#[derive(Debug, Error)]
pub enum OperatorFileError {
    /// It cannot be read.
    #[error("{}: {error}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The system's error.
        error: std::io::Error,
    },
    /// It is too long.
    #[error("{}: {bytes} bytes, more than {MAX_BYTES}", path.display())]
    TooLong {
        /// The file.
        path: PathBuf,
        /// Its length.
        bytes: u64,
    },
    /// A line of it is wrong.
    #[error("{}:{error}", path.display())]
    Line {
        /// The file.
        path: PathBuf,
        /// The line, and what is wrong with it.
        error: Box<ConfigError>,
    },
}

/// Reads the file, if there is one.
///
/// # Errors
/// All that is wrong with it.
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

/// How the log is written.
pub fn log_style(settings: &OperatorSettings) -> LogStyle {
    LogStyle {
        json: settings.log.format == LogFormat::Json,
        level: settings.log.level.parse().unwrap_or(tracing::Level::INFO),
        max_queued_bytes: settings.log.max_queued_bytes,
    }
}
