//! Lines and words.

use std::fmt;

/// What is wrong with one line; `line` counts from 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub line: usize,
    pub keyword: String,
    pub why: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { line, keyword, why } = self;
        if keyword.is_empty() {
            write!(f, "{line}: {why}")
        } else {
            write!(f, "{line}: {keyword}: {why}")
        }
    }
}

/// The words of a line. A word may be quoted, with `\"` and `\\` inside; outside quotes `#` begins a comment.
pub fn split(text: &str) -> Result<Vec<String>, &'static str> {
    let (mut words, mut chars) = (Vec::new(), text.chars().peekable());
    while let Some(&first) = chars.peek() {
        match first {
            '#' => break,
            blank if blank.is_whitespace() => {
                chars.next();
            }
            '"' => {
                chars.next();
                let mut word = String::new();
                loop {
                    match chars.next() {
                        Some('"') => break,
                        Some('\\') => match chars.next() {
                            Some(escaped @ ('"' | '\\')) => word.push(escaped),
                            _ => return Err("in quotes a \\ stands before a quote or another \\ only"),
                        },
                        Some(char) => word.push(char),
                        None => return Err("a quote is not closed"),
                    }
                }
                if chars.peek().is_some_and(|next| !next.is_whitespace() && *next != '#') {
                    return Err("a blank must stand behind a closing quote");
                }
                words.push(word);
            }
            _ => {
                let mut word = String::new();
                while let Some(&char) = chars.peek().filter(|char| !char.is_whitespace() && **char != '#') {
                    if char == '"' {
                        return Err("a quote may only stand at the beginning of a word");
                    }
                    word.push(char);
                    chars.next();
                }
                words.push(word);
            }
        }
    }
    Ok(words)
}
