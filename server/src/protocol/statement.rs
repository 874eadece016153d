//! Parsing of clients' statements. Only this module knows the names of the operators' page: `id`, `c`, `d`,
//! `cluster`, `after` and `r`.

use crate::protocol::sqlstate::{ClientError, SqlState};
use std::ops::Range;

/// The longest id in bytes; ids are kept in memory while their requests are open.
const MAX_ID_BYTES: usize = 64;
/// The group of a comment without `cluster`, which is rejected as unknown.
const NO_GROUP: i64 = -1;
/// The commands that are acknowledged without effect.
const COMMANDS_WITHOUT_EFFECT: [&str; 3] = ["SET", "RESET", "DISCARD"];
/// The statement that queries the fate of a write.
const FATE_STATEMENT: &str = "SHOW gingerwick.fate";
/// The error message for an invalid fate query.
const FATE_SYNTAX: &str = "a fate is asked for by /* fate=ID,at=ORIGIN */ SHOW gingerwick.fate";

/// The contents of the comment at the head of a statement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHeader<'a> {
    /// `id`: the request's id, unique among the open requests of all clients.
    pub id: &'a str,
    /// `c`: the name of the method.
    pub method: &'a str,
    /// `cluster`: the number of the group.
    pub group: i64,
    /// `d`: the client's timeout in milliseconds.
    pub timeout_ms: i64,
    /// The range of the digits of `d` in the statement.
    pub timeout_digits: Range<usize>,
    /// `after`: the position of the session's last write, in Unix milliseconds.
    pub after_ms: Option<i64>,
    /// `r`: the request is a retry by the client.
    pub is_retry: bool,
    /// The first quoted string after the comment.
    pub key: Option<&'a str>,
}

/// A client's statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement<'a> {
    /// An empty statement.
    Empty,
    /// A command without effect, answered by this command tag.
    NoEffect(&'static str),
    /// A request to be routed.
    Request(RequestHeader<'a>),
    /// A query for the fate of a write.
    QueryFate {
        /// The write's id.
        id: &'a str,
        /// The origin of the write: the journal in which it was recorded.
        origin: Option<&'a str>,
    },
    /// An invalid statement.
    Invalid(ClientError),
}

/// Parses the body of a Query message without copying it.
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
    let mut commands = COMMANDS_WITHOUT_EFFECT.into_iter();
    if let Some(command) = commands.find(|command| first.eq_ignore_ascii_case(command)) {
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

/// The text of a Query message's body.
///
/// # Errors
/// The text is not UTF-8, or does not have exactly one zero byte, at its end.
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

/// Parses the id and the origin in the comment of a fate query.
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

/// Whether an id has a valid length and only printable ASCII characters.
fn is_id(id: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(|byte| byte.is_ascii_graphic())
}

/// The range of the comment at the head of a statement, without its delimiters.
///
/// # Errors
/// The message for the client, if there is no such comment.
fn header_comment(text: &str) -> Result<Range<usize>, &'static str> {
    const NO_COMMENT: &str = "no comment at the head of the statement";
    const COMMENT_START: &str = "/*";
    let open = text.find(COMMENT_START).ok_or(NO_COMMENT)?;
    if !text[..open].trim().is_empty() {
        return Err(NO_COMMENT);
    }
    let start = open + COMMENT_START.len();
    let length = text[start..].find("*/").ok_or("comment without an end")?;
    Ok(start..start + length)
}

/// Parses the comment at the head of a request.
///
/// # Errors
/// The message for the client, if the comment is missing or invalid.
fn request_header(text: &str) -> Result<RequestHeader<'_>, &'static str> {
    let comment = header_comment(text)?;
    let mut header = RequestHeader { group: NO_GROUP, ..RequestHeader::default() };
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
    /// Sets the field of a name; unknown names are ignored. `value_at` is the offset of the value in the statement.
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

    /// Checks that the required fields are present and valid.
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

/// Parses a number in decimal digits without a sign; `None` if it is out of range.
fn number(text: &str) -> Option<i64> {
    text.parse().ok().filter(|_| text.bytes().all(|byte| byte.is_ascii_digit()))
}
