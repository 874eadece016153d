//! PostgreSQL's messages, version 3, as bytes in memory: nothing here reads or writes a socket.
//!
//! What the operators' page words in its own way (`id`, `c`, `d`, `cluster`, `after`, `r`) is read here and
//! nowhere else.

use std::ops::Range;

/// Values are said to take 64 KiB, and were met with six times as many: room for more than that, in hex
/// digits where it comes in a statement. What all of them may take together is the ledger's.
pub const MOST_QUERY: usize = 1 << 20;
pub const MOST_VALUE: usize = 4 << 20;
const MOST_STARTUP: usize = 10_000;
/// The longest id that is kept for as long as its query is open.
const MOST_ID: usize = 64;

pub const VERSION_3: u32 = 196_608;
const CANCEL: u32 = 80_877_102;
const SSL: u32 = 80_877_103;
const GSSENC: u32 = 80_877_104;

/// A message in a buffer: its tag and where its body stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    pub tag: u8,
    pub body: Range<usize>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    TooLong,
    Malformed,
}

/// The message that begins at `from`, once it is there whole.
pub fn frame(bytes: &[u8], from: usize, most: usize) -> Result<Option<Frame>, Bad> {
    let Some(head) = bytes.get(from..from + 5) else { return Ok(None) };
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if length < 4 {
        return Err(Bad::Malformed);
    }
    if length > most {
        return Err(Bad::TooLong);
    }
    let body = from + 5..from + 1 + length;
    Ok((body.end <= bytes.len()).then_some(Frame { tag: head[0], body }))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    Start { minor: u16 },
    Encrypt,
    Cancel,
    OtherVersion,
}

/// The untagged first message of a connection, and its length.
pub fn opening(bytes: &[u8]) -> Result<Option<(Opening, usize)>, Bad> {
    let Some(head) = bytes.get(..8) else { return Ok(None) };
    let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    if length < 8 {
        return Err(Bad::Malformed);
    }
    if length > MOST_STARTUP {
        return Err(Bad::TooLong);
    }
    if bytes.len() < length {
        return Ok(None);
    }
    let kind = match u32::from_be_bytes([head[4], head[5], head[6], head[7]]) {
        SSL | GSSENC => Opening::Encrypt,
        CANCEL => Opening::Cancel,
        version if version >> 16 == 3 => Opening::Start { minor: version as u16 },
        _ => Opening::OtherVersion,
    };
    Ok(Some((kind, length)))
}

/// What a start-up message says that matters here.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hello {
    /// User and database: who a session's token is given to.
    pub audience: String,
    pub user: String,
    /// `routing.session`: empty or `new` to begin a session, a token to go on with one.
    pub session: Option<String>,
}

/// Reads the names and values of a start-up message; what is no pair of texts says nothing.
pub fn hello(body: &[u8]) -> Hello {
    let (mut hello, mut user, mut database) = (Hello::default(), String::new(), String::new());
    let mut texts = body.split(|&byte| byte == 0).map(|text| std::str::from_utf8(text).unwrap_or_default());
    while let (Some(name), Some(value)) = (texts.next().filter(|name| !name.is_empty()), texts.next()) {
        match name {
            "user" => user = value.to_string(),
            "database" => database = value.to_string(),
            SESSION => hello.session = Some(value.to_string()),
            _ => {}
        }
    }
    hello.audience = format!("{}:{user}/{database}", user.len());
    hello.user = user;
    hello
}

/// A ParameterStatus.
pub fn status(out: &mut Vec<u8>, name: &str, value: &str) {
    put(out, b'S', |out| {
        text(out, name);
        text(out, value);
    });
}

/// Appends a message: its tag, its length, and what `body` appends.
fn put(out: &mut Vec<u8>, tag: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(tag);
    let at = out.len();
    out.extend_from_slice(&[0; 4]);
    body(out);
    let length = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

fn text(out: &mut Vec<u8>, word: &str) {
    out.extend_from_slice(word.as_bytes());
    out.push(0);
}

pub fn ready(out: &mut Vec<u8>) {
    put(out, b'Z', |out| out.push(b'I'));
}

/// The parameter by which a client is given its session's token.
pub const SESSION: &str = "gingerwick.session";

/// The parameter that says where a client's writes will be on record.
const ORIGIN: &str = "gingerwick.origin";

/// What a client is told when its session begins.
pub fn greeting(out: &mut Vec<u8>, minor: u16, number: u32, session: Option<&str>, origin: Option<&str>) {
    if minor > 0 {
        put(out, b'v', |out| out.extend_from_slice(&[0; 8]));
    }
    put(out, b'R', |out| out.extend_from_slice(&[0; 4]));
    for (name, value) in [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        status(out, name, value);
    }
    if let Some(token) = session {
        status(out, SESSION, token);
    }
    if let Some(origin) = origin {
        status(out, ORIGIN, origin);
    }
    // A number to cancel by is part of the greeting; cancels are closed unread.
    put(out, b'K', |out| {
        out.extend_from_slice(&number.to_be_bytes());
        out.extend_from_slice(&[0; 4]);
    });
    ready(out);
}

/// A start-up message for a store.
pub fn start_up() -> Vec<u8> {
    let mut out = vec![0; 4];
    out.extend_from_slice(&VERSION_3.to_be_bytes());
    for word in ["user", "backend", "database", "store", ""] {
        text(&mut out, word);
    }
    let length = out.len() as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}

/// A result of one row with one column of text.
pub fn text_row(out: &mut Vec<u8>, column: &str, value: &str) {
    put(out, b'T', |out| {
        out.extend_from_slice(&[0, 1]);
        text(out, column);
        // No table, type 25 (text) of any length, as text.
        out.extend_from_slice(&[0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 255, 255, 255, 255, 255, 255, 0, 0]);
    });
    put(out, b'D', |out| {
        out.extend_from_slice(&[0, 1]);
        out.extend_from_slice(&(value.len() as u32).to_be_bytes());
        out.extend_from_slice(value.as_bytes());
    });
    complete(out, "SHOW");
}

pub fn query(out: &mut Vec<u8>, statement: &str) {
    put(out, b'Q', |out| text(out, statement));
}

pub fn empty(out: &mut Vec<u8>) {
    put(out, b'I', |_| ());
}

pub fn complete(out: &mut Vec<u8>, word: &str) {
    put(out, b'C', |out| text(out, word));
}

/// An ErrorResponse; `detail` goes into the field D.
pub fn error(out: &mut Vec<u8>, severity: &str, code: &str, message: &str, detail: Option<&str>) {
    put(out, b'E', |out| {
        for (field, value) in [(b'S', severity), (b'V', severity), (b'C', code), (b'M', message)] {
            out.push(field);
            text(out, value);
        }
        if let Some(detail) = detail {
            out.push(b'D');
            text(out, detail);
        }
        out.push(0);
    });
}

/// A field of an ErrorResponse's body.
pub fn field(body: &[u8], wanted: u8) -> Option<&str> {
    let named = body.split(|&byte| byte == 0).find(|part| part.first() == Some(&wanted))?;
    std::str::from_utf8(&named[1..]).ok()
}

/// A whole ErrorResponse or NoticeResponse: named texts with a code among them, and a zero at its very end.
pub fn is_error(body: &[u8]) -> bool {
    let Some(fields) = body.strip_suffix(&[0, 0]) else { return false };
    let sound = |field: &[u8]| !field.is_empty() && std::str::from_utf8(field).is_ok();
    let code = field(body, b'C').unwrap_or_default();
    let coded =
        code.len() == 5 && code.bytes().all(|byte| byte.is_ascii_uppercase() || byte.is_ascii_digit());
    coded && fields.split(|&byte| byte == 0).all(sound)
}

/// One text of printable characters with its closing zero.
pub fn is_text(body: &[u8]) -> bool {
    let printable = |text: &[u8]| text.iter().all(|byte| byte.is_ascii_graphic() || *byte == b' ');
    body.strip_suffix(&[0]).is_some_and(|text| !text.is_empty() && printable(text))
}

/// The name and the value of a ParameterStatus.
pub fn parameter(body: &[u8]) -> Option<(&str, &str)> {
    let (name, value) = std::str::from_utf8(body.strip_suffix(&[0])?).ok()?.split_once('\0')?;
    (!name.is_empty() && !value.contains('\0')).then_some((name, value))
}

/// A RowDescription of one column: its count, a name, and eighteen bytes of numbers.
pub fn describes_one_column(body: &[u8]) -> bool {
    let Some(column) = body.strip_prefix(&[0, 1]) else { return false };
    let name = column.iter().position(|&byte| byte == 0);
    name.is_some_and(|end| column.len() == end + 1 + 18 && std::str::from_utf8(&column[..end]).is_ok())
}

/// The only column of a DataRow, where it has just one that is not null.
pub fn only_column(body: &[u8]) -> Option<&[u8]> {
    let length = u32::from_be_bytes(body.get(2..6)?.try_into().ok()?);
    let value = &body[6..];
    (body[..2] == [0, 1] && value.len() == length as usize).then_some(value)
}

/// The only column of the row among whole messages.
pub fn only_row(messages: &[u8]) -> Option<&[u8]> {
    let mut at = 0;
    loop {
        let frame = frame(messages, at, MOST_VALUE).ok()??;
        if frame.tag == b'D' {
            return only_column(&messages[frame.body]);
        }
        at = frame.body.end;
    }
}

/// What the comment at the head of a statement says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub cluster: i64,
    pub patience_ms: i64,
    /// Where the digits of `d` stand in the statement.
    pub patience: Range<usize>,
    pub after_ms: Option<i64>,
    pub repeat: bool,
    /// The first quoted text behind the comment.
    pub key: Option<&'a str>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement<'a> {
    Empty,
    /// Answered at once by this word; without effect here.
    Vain(&'static str),
    Kv(Head<'a>),
    /// Asks what became of the write with this id, and says where it was sent.
    Fate(&'a str, Option<&'a str>),
    /// Why it can't be taken: SQLSTATE and message.
    Refused(&'static str, &'static str),
}

/// Reads a Query's body in place.
pub fn statement(body: &[u8]) -> Statement<'_> {
    use Statement::{Empty, Kv, Refused, Vain};
    let Some((&0, bytes)) = body.split_last() else {
        return Refused("08P01", "query without its closing zero");
    };
    let Ok(text) = std::str::from_utf8(bytes) else {
        return Refused("22021", "query is not UTF-8");
    };
    if text.contains('\0') {
        return Refused("08P01", "zero byte inside a query");
    }
    let trimmed = text.trim_matches(|c: char| c.is_ascii_whitespace() || c == ';');
    if trimmed.is_empty() {
        return Empty;
    }
    let first = trimmed.split_ascii_whitespace().next().unwrap_or_default();
    for word in ["SET", "RESET", "DISCARD"] {
        if first.eq_ignore_ascii_case(word) {
            return Vain(word);
        }
    }
    if let Some(comment) = trimmed.strip_suffix("SHOW gingerwick.fate") {
        return match fate(comment) {
            Some((id, at)) => Statement::Fate(id, at),
            None => Refused("42601", "a fate is asked for by /* fate=ID,at=ORIGIN */ SHOW gingerwick.fate"),
        };
    }
    match head(text) {
        Ok(head) => Kv(head),
        Err(why) => Refused("42601", why),
    }
}

fn fate(comment: &str) -> Option<(&str, Option<&str>)> {
    let inner = comment.trim().strip_prefix("/*")?.strip_suffix("*/")?;
    let (mut id, mut at) = (None, None);
    for pair in inner.split(',') {
        let (name, value) = pair.split_once('=')?;
        let place = match name.trim() {
            "fate" => &mut id,
            "at" => &mut at,
            _ => return None,
        };
        if place.replace(value.trim()).is_some() {
            return None;
        }
    }
    Some((id.filter(|id| fits(id))?, at))
}

fn fits(id: &str) -> bool {
    (1..=MOST_ID).contains(&id.len()) && id.bytes().all(|byte| byte.is_ascii_graphic())
}

fn head(text: &str) -> Result<Head<'_>, &'static str> {
    let open = text.find("/*").ok_or("no comment at the head of the statement")?;
    if !text[..open].trim().is_empty() {
        return Err("no comment at the head of the statement");
    }
    let inner = open + 2;
    let close = inner + text[inner..].find("*/").ok_or("comment without an end")?;
    let mut head = Head { cluster: -1, ..Head::default() };
    let (mut at, mut seen) = (inner, Vec::new());
    for pair in text[inner..close].split(',') {
        let (name, value) = pair.split_once('=').ok_or("comment holds more than names and values")?;
        let (name, start) = (name.trim(), at + pair.len() - value.len());
        let value = value.trim_end();
        if seen.contains(&name) {
            return Err("comment holds a name twice");
        }
        seen.push(name);
        match name {
            "id" => head.id = value,
            "c" => head.class = value,
            "cluster" => head.cluster = digits(value).ok_or("cluster is no number")?,
            "d" => {
                head.patience_ms = digits(value).ok_or("d is no number")?;
                head.patience = start..start + value.len();
            }
            "after" => head.after_ms = Some(digits(value).ok_or("after is no number")?),
            "r" if value != "0" && value != "1" => return Err("r is neither 0 nor 1"),
            "r" => head.repeat = value == "1",
            _ => {}
        }
        at += pair.len() + 1;
    }
    if !fits(head.id) {
        return Err("comment without a fit id");
    }
    if head.class.is_empty() {
        return Err("comment without c");
    }
    if head.patience.is_empty() || head.patience_ms <= 0 {
        return Err("comment without a d above 0");
    }
    head.key = text[close..].split('\'').nth(1);
    Ok(head)
}

/// A number in plain digits: no sign, and none that doesn't fit.
fn digits(word: &str) -> Option<i64> {
    word.parse().ok().filter(|_| word.bytes().all(|byte| byte.is_ascii_digit()))
}
