//! Tokenizer of a line of the operators' file.

use std::iter::Peekable;
use std::str::Chars;
use thiserror::Error;

/// Why a line cannot be split into tokens.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum QuoteError {
    /// A backslash in a quoted value is followed by a character other than a quote or a backslash.
    #[error("invalid escape sequence in a quoted value; expected \\\" or \\\\")]
    InvalidEscape,
    /// A quoted value has no closing quote.
    #[error("missing closing quote")]
    MissingClosingQuote,
    /// A closing quote is followed by a character other than whitespace or `#`.
    #[error("unexpected character after a closing quote; expected a space, # or the end of the line")]
    TextAfterClosingQuote,
    /// A quote follows other characters of a token.
    #[error("unexpected quote within a value; expected quotes around the whole value")]
    QuoteWithinToken,
}

/// Splits a line into tokens. Whitespace separates tokens. A token may be quoted; the escape sequences `\"` and `\\`
/// are allowed within the quotes. Outside quotes `#` begins a comment.
///
/// # Errors
/// A quote or an escape sequence is misplaced.
pub fn tokenize(line: &str) -> Result<Vec<String>, QuoteError> {
    let mut tokens = Vec::new();
    let mut chars = line.chars().peekable();
    while let Some(&first) = chars.peek() {
        match first {
            '#' => break,
            space if space.is_whitespace() => {
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
    // Skips the opening quote.
    chars.next();
    let mut value = String::new();
    loop {
        match chars.next() {
            Some('"') => break,
            Some('\\') => match chars.next() {
                Some(escaped @ ('"' | '\\')) => value.push(escaped),
                _ => return Err(QuoteError::InvalidEscape),
            },
            Some(char) => value.push(char),
            None => return Err(QuoteError::MissingClosingQuote),
        }
    }
    match chars.peek() {
        Some(&next) if !ends_token(next) => Err(QuoteError::TextAfterClosingQuote),
        _ => Ok(value),
    }
}

fn plain_token(chars: &mut Peekable<Chars>) -> Result<String, QuoteError> {
    let mut value = String::new();
    while let Some(&char) = chars.peek().filter(|char| !ends_token(**char)) {
        if char == '"' {
            return Err(QuoteError::QuoteWithinToken);
        }
        value.push(char);
        chars.next();
    }
    Ok(value)
}
