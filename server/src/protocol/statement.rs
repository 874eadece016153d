//! Statements of clients. What the operators' page words in its own way (`id`, `c`, `d`, `cluster`, `after`, `r`) is read here
//! and nowhere else.

use crate::protocol::sqlstate::{ClientError, SqlState};
use std::ops::Range;

/// The longest id that is kept for as long as its request is open.
const MAX_ID_BYTES: usize = 64;
const FATE_STATEMENT: &str = "SHOW gingerwick.fate";
const FATE_SYNTAX: &str = "a fate is asked for by /* fate=ID,at=ORIGIN */ SHOW gingerwick.fate";

/// What the comment at the head of a statement says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHeader<'a> {
    /// `id`: names the request among the open ones of all clients.
    pub id: &'a str,
    /// `c`: its method.
    pub method: &'a str,
    /// `cluster`: its group.
    pub group: i64,
    /// `d`: how long its client waits, in milliseconds.
    pub timeout_ms: i64,
    /// Where the digits of `d` are in the statement.
    pub timeout_digits: Range<usize>,
    /// `after`: the position of its session's last write, in Unix milliseconds.
    pub after_ms: Option<i64>,
    /// `r`: its client sent it before.
    pub is_retry: bool,
    /// The first quoted text behind the comment.
    pub key: Option<&'a str>,
}

/// A client's statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement<'a> {
    /// It is empty.
    Empty,
    /// It is answered by this command tag and has no effect.
    NoEffect(&'static str),
    /// It is to be routed.
    Request(RequestHeader<'a>),
    /// It asks what became of a write.
    QueryFate {
        /// The write's id.
        id: &'a str,
        /// Where it was sent.
        origin: Option<&'a str>,
    },
    /// It cannot be taken.
    Invalid(ClientError),
}

/// Reads the body of a Query message, in place.
pub fn parse(body: &[u8]) -> Statement<'_> {
    let text = match text(body) {
        Ok(text) => text,
        Err(error) => return Statement::Invalid(error),
    };
    let trimmed = text.trim_matches(|char: char| char.is_ascii_whitespace() || char == ';');
    if trimmed.is_empty() {
        return Statement::Empty;
    }
    let first = trimmed.split_ascii_whitespace().next().unwrap_or_default();
    if let Some(command) = ["SET", "RESET", "DISCARD"].into_iter().find(|it| first.eq_ignore_ascii_case(it)) {
        return Statement::NoEffect(command);
    }
    if let Some(comment) = trimmed.strip_suffix(FATE_STATEMENT) {
        return match fate_comment(comment) {
            Some((id, origin)) => Statement::QueryFate { id, origin },
            None => Statement::Invalid(ClientError::new(SqlState::SYNTAX_ERROR, FATE_SYNTAX)),
        };
    }
    match request_header(text) {
        Ok(header) => Statement::Request(header),
        Err(message) => Statement::Invalid(ClientError::new(SqlState::SYNTAX_ERROR, message)),
    }
}

fn text(body: &[u8]) -> Result<&str, ClientError> {
    let violation = |message| ClientError::new(SqlState::PROTOCOL_VIOLATION, message);
    let Some((&0, bytes)) = body.split_last() else {
        return Err(violation("query without its closing zero"));
    };
    let not_utf8 = ClientError::new(SqlState::CHARACTER_NOT_IN_REPERTOIRE, "query is not UTF-8");
    let text = std::str::from_utf8(bytes).map_err(|_| not_utf8)?;
    if text.contains('\0') {
        return Err(violation("zero byte inside a query"));
    }
    Ok(text)
}

fn fate_comment(comment: &str) -> Option<(&str, Option<&str>)> {
    let inner = comment.trim().strip_prefix("/*")?.strip_suffix("*/")?;
    let (mut id, mut origin) = (None, None);
    for pair in inner.split(',') {
        let (name, value) = pair.split_once('=')?;
        let target = match name.trim() {
            "fate" => &mut id,
            "at" => &mut origin,
            _ => return None,
        };
        if target.replace(value.trim()).is_some() {
            return None;
        }
    }
    Some((id.filter(|id| is_id(id))?, origin))
}

fn is_id(id: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Where the comment at the head of a statement is, without its delimiters.
fn header_comment(text: &str) -> Result<Range<usize>, &'static str> {
    const NO_COMMENT: &str = "no comment at the head of the statement";
    let open = text.find("/*").ok_or(NO_COMMENT)?;
    if !text[..open].trim().is_empty() {
        return Err(NO_COMMENT);
    }
    let start = open + 2;
    let length = text[start..].find("*/").ok_or("comment without an end")?;
    Ok(start..start + length)
}

fn request_header(text: &str) -> Result<RequestHeader<'_>, &'static str> {
    let comment = header_comment(text)?;
    let mut header = RequestHeader { group: -1, ..RequestHeader::default() };
    let mut seen = Vec::new();
    let mut at = comment.start;
    for pair in text[comment.clone()].split(',') {
        let (name, value) = pair.split_once('=').ok_or("comment holds more than names and values")?;
        let name = name.trim();
        if seen.contains(&name) {
            return Err("comment holds a name twice");
        }
        seen.push(name);
        let value_at = at + pair.len() - value.len();
        header.set(name, value.trim_end(), value_at)?;
        at += pair.len() + 1;
    }
    header.key = text[comment.end..].split('\'').nth(1);
    header.check()?;
    Ok(header)
}

impl<'a> RequestHeader<'a> {
    fn set(&mut self, name: &str, value: &'a str, value_at: usize) -> Result<(), &'static str> {
        match name {
            "id" => self.id = value,
            "c" => self.method = value,
            "cluster" => self.group = number(value).ok_or("cluster is no number")?,
            "d" => {
                self.timeout_ms = number(value).ok_or("d is no number")?;
                self.timeout_digits = value_at..value_at + value.len();
            }
            "after" => self.after_ms = Some(number(value).ok_or("after is no number")?),
            "r" if value != "0" && value != "1" => return Err("r is neither 0 nor 1"),
            "r" => self.is_retry = value == "1",
            _ => {}
        }
        Ok(())
    }

    fn check(&self) -> Result<(), &'static str> {
        if !is_id(self.id) {
            return Err("comment without a fit id");
        }
        if self.method.is_empty() {
            return Err("comment without c");
        }
        if self.timeout_digits.is_empty() || self.timeout_ms <= 0 {
            return Err("comment without a d above 0");
        }
        Ok(())
    }
}

/// A number in plain digits: no sign, and none that does not fit.
fn number(text: &str) -> Option<i64> {
    text.parse().ok().filter(|_| text.bytes().all(|byte| byte.is_ascii_digit()))
}
