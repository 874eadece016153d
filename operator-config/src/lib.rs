//! Parser of the operators' file: a keyword and its values on each line, `#` begins a comment, quoted values may
//! contain blanks. No I/O: converts the text to settings or to a list of all errors.

#![warn(clippy::too_many_lines)]

mod client_class_line;
mod error;
mod keywords;
mod parser;
mod settings;
mod tokens;
mod values;

pub use error::{ConfigError, Problem, ValueError};
pub use parser::parse;
pub use settings::{
    AdmissionSettings, EndpointIdentity, JournalMode, JournalSettings, LogFormat, LogSettings,
    OperatorSettings, RequestSettings, SessionSettings, StorageSettings,
};
pub use tokens::{split, QuoteError};
