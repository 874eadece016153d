//! What can be wrong with an operators' file.

use crate::tokens::QuoteError;
use admission::ClassError;
use std::fmt;
use thiserror::Error;

/// What is wrong with one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The line, from 1.
    pub line: usize,
    /// Its keyword; empty if it could not be read.
    pub keyword: String,
    /// What is wrong.
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

/// What is wrong with a line.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Problem {
    /// Its words cannot be told apart.
    #[error(transparent)]
    Quotes(#[from] QuoteError),
    /// Its keyword is not known, and not like any that is.
    #[error("is no keyword")]
    UnknownKeyword,
    /// Its keyword is not known, and is like this one.
    #[error("is no keyword; is {0} meant?")]
    MisspeltKeyword(&'static str),
    /// Its keyword stands on this line before.
    #[error("stands on line {0} already")]
    Repeated(usize),
    /// It does not have one value.
    #[error("takes one value, not {0}")]
    ValueCount(usize),
    /// Its value is wrong.
    #[error(transparent)]
    Value(#[from] ValueError),
    /// It does not name a class of clients.
    #[error("names no class")]
    NoClassName,
    /// The name of a class is none.
    #[error("{0:?} is no name of 1 to 32 letters, digits, - and _")]
    BadClassName(String),
    /// A property of a class has no value.
    #[error("{0} has no value")]
    MissingValue(String),
    /// A property of a class is not known.
    #[error("{name:?} is none of {known}")]
    UnknownProperty {
        /// The word.
        name: String,
        /// The properties that are known.
        known: String,
    },
    /// A property of a class stands there twice.
    #[error("{0} stands there twice")]
    RepeatedProperty(&'static str),
    /// The value of a property of a class is wrong.
    #[error("{property}: {error}")]
    Property {
        /// The property.
        property: &'static str,
        /// What is wrong with its value.
        error: ValueError,
    },
    /// Classes contradict each other.
    #[error(transparent)]
    Classes(#[from] ClassError),
}

/// What is wrong with a value.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ValueError {
    /// It is not an absolute path.
    #[error("{0:?} is not an absolute path")]
    NotAbsolute(String),
    /// It is not within its bounds.
    #[error("{value:?} is not between {least} and {most}")]
    OutOfRange {
        /// The value.
        value: String,
        /// The least.
        least: String,
        /// The most.
        most: String,
    },
    /// It cannot be read.
    #[error("{value:?}: {reason}")]
    Unreadable {
        /// The value.
        value: String,
        /// Why not.
        reason: String,
    },
    /// It is not one of the words that are known.
    #[error("{value:?} is none of {known}")]
    NotOneOf {
        /// The value.
        value: String,
        /// The words.
        known: String,
    },
    /// It is not a percentage.
    #[error("{0:?} is no part, as 10% is")]
    NotAPercentage(String),
    /// It is not the name of a user.
    #[error("{0:?} is no name of 1 to 63 bytes")]
    BadUser(String),
    /// A burst stands without a rate before it.
    #[error("a burst stands behind its rate")]
    BurstWithoutRate,
    /// A weight is too large.
    #[error("is over 1000")]
    WeightTooLarge,
}
