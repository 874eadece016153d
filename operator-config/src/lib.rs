//! Parser of the operators' file. Each line has a keyword and its values; `#` begins a comment, and a quoted value may
//! contain spaces. The crate performs no I/O: it converts the text of the file to settings, or to a list of all errors
//! in the text.

#![warn(clippy::too_many_lines)]

mod client_class_line;
mod error;
mod keywords;
mod parser;
mod settings;
mod tokens;
mod values;

pub use error::{ConfigError, ConfigErrorKind, ValueError};
pub use parser::parse;
pub use settings::{
    AdmissionSettings, EndpointIdentity, JournalMode, JournalSettings, LogFormat, LogSettings,
    OperatorSettings, RequestSettings, SessionSettings, StorageSettings,
};
pub use tokens::{tokenize, QuoteError};
