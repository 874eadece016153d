//! Errors of an operators' file.

use crate::tokens::QuoteError;
use admission::ClassError;
use std::fmt;
use thiserror::Error;

/// An error in a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Number of the line, from 1.
    pub line: usize,
    /// Keyword of the line; empty if the line could not be split into tokens.
    pub keyword: String,
    /// Why the line is invalid.
    pub problem: Problem,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ConfigError { line, keyword, problem } = self;
        if keyword.is_empty() {
            write!(f, "{line}: {problem}")
        } else {
            write!(f, "{line}: {keyword}: {problem}")
        }
    }
}

impl std::error::Error for ConfigError {}

/// Why a line is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Problem {
    /// The line cannot be split into tokens.
    #[error(transparent)]
    Quotes(#[from] QuoteError),
    /// The keyword is unknown and not similar to a known one.
    #[error("is no keyword")]
    UnknownKeyword,
    /// The keyword is unknown and similar to this one.
    #[error("is no keyword; is {0} meant?")]
    MisspeltKeyword(&'static str),
    /// The keyword was already used on this line.
    #[error("stands on line {0} already")]
    Repeated(usize),
    /// The line has this number of values instead of one.
    #[error("takes one value, not {0}")]
    ValueCount(usize),
    /// The value is invalid.
    #[error(transparent)]
    Value(#[from] ValueError),
    /// The name of a client class is missing.
    #[error("names no class")]
    NoClassName,
    /// The name of a client class is invalid.
    #[error("{0:?} is no name of 1 to 32 letters, digits, - and _")]
    BadClassName(String),
    /// A property of a client class has no value.
    #[error("{0} has no value")]
    MissingValue(String),
    /// A property of a client class is unknown.
    #[error("{name:?} is none of {known}")]
    UnknownProperty {
        /// The unknown property.
        name: String,
        /// The known properties, separated by commas.
        known: String,
    },
    /// A property of a client class is repeated.
    #[error("{0} stands there twice")]
    RepeatedProperty(&'static str),
    /// The value of a property of a client class is invalid.
    #[error("{property}: {error}")]
    Property {
        /// The property.
        property: &'static str,
        /// Why its value is invalid.
        error: ValueError,
    },
    /// The client classes are inconsistent with each other.
    #[error(transparent)]
    Classes(#[from] ClassError),
}

/// Why a value is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ValueError {
    /// The path is not absolute.
    #[error("{0:?} is not an absolute path")]
    NotAbsolute(String),
    /// The value is out of range.
    #[error("{value:?} is not between {min} and {max}")]
    OutOfRange {
        /// The value.
        value: String,
        /// Lower bound.
        min: String,
        /// Upper bound.
        max: String,
    },
    /// The value cannot be parsed.
    #[error("{value:?}: {reason}")]
    Unreadable {
        /// The value.
        value: String,
        /// Error of the parser.
        reason: String,
    },
    /// The value is not one of the allowed words.
    #[error("{value:?} is none of {known}")]
    NotOneOf {
        /// The value.
        value: String,
        /// The allowed words, separated by commas.
        known: String,
    },
    /// The value is not a percentage.
    #[error("{0:?} is no part, as 10% is")]
    NotAPercentage(String),
    /// The value is not a valid user name.
    #[error("{0:?} is no name of 1 to 63 bytes")]
    BadUser(String),
    /// A burst is not preceded by a rate.
    #[error("a burst stands behind its rate")]
    BurstWithoutRate,
    /// A weight exceeds its maximum.
    #[error("is over 1000")]
    WeightTooLarge,
}
