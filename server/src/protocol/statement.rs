//! The parser of clients' statements. Only this module uses the names of the keys in their comments: `id`, `c`, `d`,
//! `cluster`, `after` and `r` of a request, `fate` and `at` of a fate query.

use crate::protocol::sqlstate::{ClientError, SqlState};
use std::ops::Range;

/// The maximum length of an id; ids are kept in memory while their requests are open.
const MAX_ID_BYTES: usize = 64;
/// Begins a comment.
const COMMENT_START: &str = "/*";
/// Ends a comment.
const COMMENT_END: &str = "*/";
/// The maximum number of a comment's keys. The ones that have a meaning are fewer than ten.
const MAX_KEYS: usize = 64;
/// The group number of a comment without `cluster`. No group has this number, so the request is rejected.
const NO_GROUP: i64 = -1;
/// The commands that are acknowledged but not executed.
const COMMANDS_WITHOUT_EFFECT: [&str; 3] = ["SET", "RESET", "DISCARD"];
/// The statement of a fate query, after its comment.
const FATE_STATEMENT: &str = "SHOW gingerwick.fate";

/// The error message for a fate query whose comment is missing or invalid.
const FATE_SYNTAX: &str = "a fate is asked for by /* fate=ID,at=ORIGIN */ SHOW gingerwick.fate";
/// The error message for a Query whose string lacks its terminating zero byte.
const MISSING_TERMINATOR: &str = "query without its closing zero";
/// The error message for a Query that contains a zero byte before its last one.
const EMBEDDED_ZERO: &str = "zero byte inside a query";
/// The error message for a Query that is not valid UTF-8.
const NOT_UTF8: &str = "query is not UTF-8";
/// The error message for a statement that does not begin with a comment.
const NO_COMMENT: &str = "no comment at the head of the statement";
/// The error message for a comment that is not terminated.
const UNTERMINATED_COMMENT: &str = "comment without an end";
/// The error message for a comment whose parts are not all pairs of a key and a value.
const NOT_A_PAIR: &str = "comment holds more than names and values";
/// The error message for a comment with a repeated key.
const REPEATED_KEY: &str = "comment holds a name twice";
/// The error message for a comment with more than [`MAX_KEYS`] keys.
const TOO_MANY_KEYS: &str = "comment holds too many names";
/// The error message for a `cluster` that is not a decimal number.
const INVALID_CLUSTER: &str = "cluster is no number";
/// The error message for a `d` (timeout) that is not a decimal number.
const INVALID_TIMEOUT: &str = "d is no number";
/// The error message for an `after` (position of the last write) that is not a decimal number.
const INVALID_AFTER: &str = "after is no number";
/// The error message for an `r` (retry flag) other than 0 and 1.
const INVALID_RETRY_FLAG: &str = "r is neither 0 nor 1";
/// The error message for an `id` that is missing, too long, or not printable ASCII.
const INVALID_ID: &str = "comment without a fit id";
/// The error message for a missing `c` (method).
const MISSING_METHOD: &str = "comment without c";
/// The error message for a `d` (timeout) that is missing or zero.
const MISSING_TIMEOUT: &str = "comment without a d above 0";

/// The contents of the comment at the head of a request's statement.
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
    /// `after`: the position of the session's last write, in Unix milliseconds; `None` without one.
    pub after_ms: Option<i64>,
    /// `r`: the request is a retry by the client.
    pub is_retry: bool,
    /// The first string in single quotes after the comment, which may identify a session; `None` without one.
    pub key: Option<&'a str>,
}

/// A client's statement, parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement<'a> {
    /// A statement that consists only of white space and semicolons.
    Empty,
    /// A command without effect. The response has this command tag.
    NoEffect(&'static str),
    /// A request to be routed.
    Request(RequestHeader<'a>),
    /// A fate query: asks what became of a write.
    QueryFate {
        /// The write's id.
        id: &'a str,
        /// The origin of the write, which identifies the journal that recorded it; `None` if the query names no
        /// origin.
        origin: Option<&'a str>,
    },
    /// A statement that is rejected with this error.
    Invalid(ClientError),
}

/// Parses the body of a Query message without copying it.
pub fn parse(body: &[u8]) -> Statement<'_> {
    let text = match query_text(body) {
        Ok(text) => text,
        Err(error) => return Statement::Invalid(error),
    };
    let trimmed = trim_blanks(text);
    if trimmed.is_empty() {
        return Statement::Empty;
    }
    let first = trimmed.split_ascii_whitespace().next().unwrap_or_default();
    let mut commands = COMMANDS_WITHOUT_EFFECT.into_iter();
    if let Some(command) = commands.find(|command| first.eq_ignore_ascii_case(command)) {
        return Statement::NoEffect(command);
    }
    if let Some(comment) = trimmed.strip_suffix(FATE_STATEMENT) {
        return match parse_fate_comment(comment) {
            Some((id, origin)) => Statement::QueryFate { id, origin },
            None => Statement::Invalid(ClientError::new(SqlState::SYNTAX_ERROR, FATE_SYNTAX)),
        };
    }
    match parse_request_header(text) {
        Ok(header) => Statement::Request(header),
        Err(message) => Statement::Invalid(ClientError::new(SqlState::SYNTAX_ERROR, message)),
    }
}

/// The text without ASCII white space and semicolons at its ends.
fn trim_blanks(text: &str) -> &str {
    let is_blank = |byte: &u8| byte.is_ascii_whitespace() || *byte == b';';
    let bytes = text.as_bytes();
    let Some(first) = bytes.iter().position(|byte| !is_blank(byte)) else { return "" };
    let end = bytes.iter().rposition(|byte| !is_blank(byte)).map_or(first, |last| last + 1);
    &text[first..end]
}

/// The statement in the body of a Query message.
///
/// # Errors
/// The body is not UTF-8, does not end with a zero byte, or contains another one.
fn query_text(body: &[u8]) -> Result<&str, ClientError> {
    let violation = |message| ClientError::new(SqlState::PROTOCOL_VIOLATION, message);
    let Some((&0, bytes)) = body.split_last() else {
        return Err(violation(MISSING_TERMINATOR));
    };
    let not_utf8 = ClientError::new(SqlState::CHARACTER_NOT_IN_REPERTOIRE, NOT_UTF8);
    let text = std::str::from_utf8(bytes).map_err(|_| not_utf8)?;
    if text.contains('\0') {
        return Err(violation(EMBEDDED_ZERO));
    }
    Ok(text)
}

/// Parses the id and the origin in the comment of a fate query; `None` if the comment is missing or invalid.
fn parse_fate_comment(comment: &str) -> Option<(&str, Option<&str>)> {
    let inner = comment.trim().strip_prefix(COMMENT_START)?.strip_suffix(COMMENT_END)?;
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
    Some((id.filter(|id| is_valid_id(id))?, origin))
}

/// Whether an id has a valid length and only printable ASCII characters, without spaces.
fn is_valid_id(id: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(|byte| byte.is_ascii_graphic())
}

/// The range of the comment at the head of a statement, without its delimiters.
///
/// # Errors
/// The message for the client: there is no comment, or it is not terminated.
fn header_comment(text: &str) -> Result<Range<usize>, &'static str> {
    let blanks = text.len() - text.trim_start().len();
    if !text[blanks..].starts_with(COMMENT_START) {
        return Err(NO_COMMENT);
    }
    let start = blanks + COMMENT_START.len();
    let length = text[start..].find(COMMENT_END).ok_or(UNTERMINATED_COMMENT)?;
    Ok(start..start + length)
}

/// Parses the comment at the head of a request.
///
/// # Errors
/// The message for the client: the comment is missing or invalid.
fn parse_request_header(text: &str) -> Result<RequestHeader<'_>, &'static str> {
    let comment = header_comment(text)?;
    let mut header = RequestHeader { group: NO_GROUP, ..RequestHeader::default() };
    let mut seen = SeenKeys::new();
    let mut at = comment.start;
    for pair in text[comment.clone()].split(',') {
        let (name, value) = pair.split_once('=').ok_or(NOT_A_PAIR)?;
        let name = name.trim();
        seen.insert(name)?;
        let value_at = at + pair.len() - value.len();
        header.set_field(name, value.trim_end(), value_at)?;
        at += pair.len() + 1;
    }
    header.check_required_keys()?;
    header.key = text[comment.end..].split('\'').nth(1);
    Ok(header)
}

/// The keys of a comment that were seen so far, without memory that the client could make grow.
struct SeenKeys<'a> {
    keys: [&'a str; MAX_KEYS],
    count: usize,
}

impl<'a> SeenKeys<'a> {
    fn new() -> SeenKeys<'a> {
        SeenKeys { keys: [""; MAX_KEYS], count: 0 }
    }

    /// Adds a key.
    ///
    /// # Errors
    /// The message for the client: the key was seen before, or there are too many.
    fn insert(&mut self, key: &'a str) -> Result<(), &'static str> {
        if self.keys[..self.count].contains(&key) {
            return Err(REPEATED_KEY);
        }
        let free = self.keys.get_mut(self.count).ok_or(TOO_MANY_KEYS)?;
        *free = key;
        self.count += 1;
        Ok(())
    }
}

impl<'a> RequestHeader<'a> {
    /// Sets the field of the key `name`; unknown keys are ignored. `value_at` is the value's offset in the
    /// statement.
    ///
    /// # Errors
    /// The message for the client: the value is invalid.
    fn set_field(&mut self, name: &str, value: &'a str, value_at: usize) -> Result<(), &'static str> {
        match name {
            "id" => self.id = value,
            "c" => self.method = value,
            "cluster" => self.group = parse_number(value).ok_or(INVALID_CLUSTER)?,
            "d" => {
                self.timeout_ms = parse_number(value).ok_or(INVALID_TIMEOUT)?;
                self.timeout_digits = value_at..value_at + value.len();
            }
            "after" => self.after_ms = Some(parse_number(value).ok_or(INVALID_AFTER)?),
            "r" if value != "0" && value != "1" => return Err(INVALID_RETRY_FLAG),
            "r" => self.is_retry = value == "1",
            _ => {}
        }
        Ok(())
    }

    /// Checks that the required keys are present and valid.
    ///
    /// # Errors
    /// The message for the client, about the first key that is missing or invalid.
    fn check_required_keys(&self) -> Result<(), &'static str> {
        if !is_valid_id(self.id) {
            return Err(INVALID_ID);
        }
        if self.method.is_empty() {
            return Err(MISSING_METHOD);
        }
        if self.timeout_digits.is_empty() || self.timeout_ms <= 0 {
            return Err(MISSING_TIMEOUT);
        }
        Ok(())
    }
}

/// Parses a number of decimal digits without a sign; `None` if the text is no such number, or the number is too
/// large.
fn parse_number(text: &str) -> Option<i64> {
    text.parse().ok().filter(|_| text.bytes().all(|byte| byte.is_ascii_digit()))
}
