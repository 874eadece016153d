//! Errors in the operators' file.

use crate::tokens::QuoteError;
use admission::ClassError;
use std::fmt;
use thiserror::Error;

/// An error in one line of the file. Displayed as `LINE: KEYWORD: KIND`, for use after the path of the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Number of the line, from 1.
    pub line: usize,
    /// Keyword of the line; empty if the line could not be split into tokens.
    pub keyword: String,
    /// What is wrong with the line.
    pub kind: ConfigErrorKind,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ConfigError { line, keyword, kind } = self;
        if keyword.is_empty() {
            write!(f, "{line}: {kind}")
        } else {
            write!(f, "{line}: {keyword}: {kind}")
        }
    }
}

impl std::error::Error for ConfigError {}

/// What is wrong with a line. The messages follow the keyword of the line.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ConfigErrorKind {
    /// The line cannot be split into tokens.
    #[error(transparent)]
    Quoting(#[from] QuoteError),
    /// The keyword is unknown and not similar to a known one.
    #[error("unknown keyword")]
    UnknownKeyword,
    /// The keyword is unknown and similar to this known one.
    #[error("unknown keyword; did you mean {0}?")]
    MisspeltKeyword(&'static str),
    /// The keyword, which may be used once, was already used on the line with this number.
    #[error("already set on line {0}; it may be set only once")]
    RepeatedKeyword(usize),
    /// The keyword takes one value and is followed by this number of values.
    #[error("expected one value, found {0}")]
    ValueCount(usize),
    /// The value of the keyword is invalid.
    #[error(transparent)]
    Value(#[from] ValueError),
    /// The name of a client class is missing.
    #[error("missing class name; expected admit NAME [PROPERTY VALUE]...")]
    MissingClassName,
    /// The name of a client class is invalid.
    #[error("{0:?} is not a class name; expected 1 to 32 ASCII letters, digits, - or _")]
    InvalidClassName(String),
    /// The last property on the line has no value.
    #[error("missing value of property {0:?}")]
    MissingPropertyValue(String),
    /// The property is unknown.
    #[error("unknown property {name:?}; expected one of {known}")]
    UnknownProperty {
        /// Name of the property as the file has it.
        name: String,
        /// The known properties, separated by commas.
        known: String,
    },
    /// The property is used more than once on the line.
    #[error("property {0:?} is set more than once")]
    RepeatedProperty(&'static str),
    /// The value of a property is invalid.
    #[error("{property}: {error}")]
    InvalidProperty {
        /// Name of the property.
        property: &'static str,
        /// Why the value of the property is invalid.
        error: ValueError,
    },
    /// The client classes of the file are inconsistent.
    #[error(transparent)]
    Classes(#[from] ClassError),
}

/// Why the value of a keyword or of a property is invalid. The messages follow the name of the keyword or property.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ValueError {
    /// The value is not an absolute path.
    #[error("{0:?} is not an absolute path")]
    NotAbsolutePath(String),
    /// The value is not an integer, or is out of range.
    #[error("{value:?} is not an integer between {min} and {max}")]
    NotIntegerInRange {
        /// The value as the file has it.
        value: String,
        /// Smallest allowed value.
        min: String,
        /// Largest allowed value.
        max: String,
    },
    /// The value is a duration or a size that is out of range.
    #[error("{value:?} is not between {min} and {max}")]
    OutOfRange {
        /// The value as the file has it.
        value: String,
        /// Smallest allowed value, with its unit.
        min: String,
        /// Largest allowed value, with its unit.
        max: String,
    },
    /// The value cannot be parsed.
    #[error("{value:?} is not {expected}: {reason}")]
    Unparsable {
        /// The value as the file has it.
        value: String,
        /// What the value must be, such as "a duration".
        expected: &'static str,
        /// What the parser found wrong, or an example of a valid value.
        reason: String,
    },
    /// The value is not one of the allowed words.
    #[error("{value:?} is not one of {allowed}")]
    NotOneOf {
        /// The value as the file has it.
        value: String,
        /// The allowed words, separated by commas.
        allowed: String,
    },
    /// The value is not an integer percentage, or is out of range.
    #[error("{0:?} is not an integer percentage between 0% and 100%")]
    NotPercentage(String),
    /// The value contains an invalid user name.
    #[error("{0:?} is not a user name; expected 1 to 63 bytes without control characters")]
    InvalidUserName(String),
    /// `burst` is not preceded by `rate`.
    #[error("must follow the property rate on the same line")]
    BurstWithoutRate,
}
