//! Tokenizer for a line of the operators' file.

use std::iter::Peekable;
use std::str::Chars;
use thiserror::Error;

/// Why a line cannot be split into tokens.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum QuoteError {
    /// A backslash within quotes is followed by a character other than a quote or a backslash.
    #[error("in quotes a \\ stands before a quote or another \\ only")]
    BadEscape,
    /// A quote is not closed.
    #[error("a quote is not closed")]
    Unclosed,
    /// A closing quote is followed by a character other than a blank or `#`.
    #[error("a blank must stand behind a closing quote")]
    NoBlankBehind,
    /// A quote begins within a token.
    #[error("a quote may only stand at the beginning of a word")]
    WithinToken,
}

/// Splits a line into tokens. A token may be quoted, with `\"` and `\\` inside; outside quotes `#` begins a comment.
///
/// # Errors
/// A quote is misplaced.
pub fn split(line: &str) -> Result<Vec<String>, QuoteError> {
    let mut tokens = Vec::new();
    let mut chars = line.chars().peekable();
    while let Some(&first) = chars.peek() {
        match first {
            '#' => break,
            blank if blank.is_whitespace() => {
                chars.next();
            }
            '"' => tokens.push(quoted_token(&mut chars)?),
            _ => tokens.push(plain_token(&mut chars)?),
        }
    }
    Ok(tokens)
}

fn ends_token(char: char) -> bool {
    char.is_whitespace() || char == '#'
}

fn quoted_token(chars: &mut Peekable<Chars>) -> Result<String, QuoteError> {
    chars.next();
    let mut value = String::new();
    loop {
        match chars.next() {
            Some('"') => break,
            Some('\\') => match chars.next() {
                Some(escaped @ ('"' | '\\')) => value.push(escaped),
                _ => return Err(QuoteError::BadEscape),
            },
            Some(char) => value.push(char),
            None => return Err(QuoteError::Unclosed),
        }
    }
    match chars.peek() {
        Some(&next) if !ends_token(next) => Err(QuoteError::NoBlankBehind),
        _ => Ok(value),
    }
}

fn plain_token(chars: &mut Peekable<Chars>) -> Result<String, QuoteError> {
    let mut value = String::new();
    while let Some(&char) = chars.peek().filter(|char| !ends_token(**char)) {
        if char == '"' {
            return Err(QuoteError::WithinToken);
        }
        value.push(char);
        chars.next();
    }
    Ok(value)
}
