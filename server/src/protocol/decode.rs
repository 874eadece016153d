//! Bodies of messages: whether they are well-formed, and what they say.

use crate::protocol::encode::SESSION_PARAMETER;
use crate::protocol::framing::{frame, MAX_VALUE_BYTES};

/// Numbers of a RowDescription behind a column's name.
const COLUMN_NUMBER_BYTES: usize = 18;
const SQLSTATE_BYTES: usize = 5;

/// What a startup message says that matters here.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StartupParameters {
    /// User and database: whom a session's token is issued to.
    pub audience: String,
    /// The user.
    pub user: String,
    /// `gingerwick.session`: empty or `new` to start a session, a token to go on with one.
    pub session: Option<String>,
}

/// Reads the names and values of a startup message; what is not a pair of texts is ignored.
pub fn startup_parameters(body: &[u8]) -> StartupParameters {
    let mut parameters = StartupParameters::default();
    let mut database = String::new();
    let mut texts = body.split(|&byte| byte == 0).map(|text| std::str::from_utf8(text).unwrap_or_default());
    while let (Some(name), Some(value)) = (texts.next().filter(|name| !name.is_empty()), texts.next()) {
        match name {
            "user" => parameters.user = value.to_string(),
            "database" => database = value.to_string(),
            SESSION_PARAMETER => parameters.session = Some(value.to_string()),
            _ => {}
        }
    }
    parameters.audience = format!("{}:{}/{database}", parameters.user.len(), parameters.user);
    parameters
}

/// A field of an ErrorResponse.
pub fn error_field(body: &[u8], wanted: u8) -> Option<&str> {
    let field = body.split(|&byte| byte == 0).find(|field| field.first() == Some(&wanted))?;
    std::str::from_utf8(&field[1..]).ok()
}

/// Whether it is a complete ErrorResponse or NoticeResponse: named texts with a code among them, and a zero at its very end.
pub fn is_error(body: &[u8]) -> bool {
    let Some(fields) = body.strip_suffix(&[0, 0]) else { return false };
    let is_text = |field: &[u8]| !field.is_empty() && std::str::from_utf8(field).is_ok();
    let code = error_field(body, b'C').unwrap_or_default();
    let is_code_byte = |byte: u8| byte.is_ascii_uppercase() || byte.is_ascii_digit();
    let has_code = code.len() == SQLSTATE_BYTES && code.bytes().all(is_code_byte);
    has_code && fields.split(|&byte| byte == 0).all(is_text)
}

/// Whether it is one text of printable characters with its closing zero.
pub fn is_text(body: &[u8]) -> bool {
    let is_printable = |text: &[u8]| text.iter().all(|byte| byte.is_ascii_graphic() || *byte == b' ');
    body.strip_suffix(&[0]).is_some_and(|text| !text.is_empty() && is_printable(text))
}

/// The name and the value of a ParameterStatus.
pub fn parameter(body: &[u8]) -> Option<(&str, &str)> {
    let (name, value) = std::str::from_utf8(body.strip_suffix(&[0])?).ok()?.split_once('\0')?;
    (!name.is_empty() && !value.contains('\0')).then_some((name, value))
}

/// Whether it is a RowDescription of one column: its count, a name, and numbers.
pub fn describes_one_column(body: &[u8]) -> bool {
    let Some(column) = body.strip_prefix(&[0, 1]) else { return false };
    let Some(end) = column.iter().position(|&byte| byte == 0) else { return false };
    column.len() == end + 1 + COLUMN_NUMBER_BYTES && std::str::from_utf8(&column[..end]).is_ok()
}

/// The only column of a DataRow, if it has exactly one that is not null.
pub fn only_column(body: &[u8]) -> Option<&[u8]> {
    let length = u32::from_be_bytes(body.get(2..6)?.try_into().ok()?);
    let value = &body[6..];
    (body[..2] == [0, 1] && value.len() == length as usize).then_some(value)
}

/// The only column of the row among complete messages.
pub fn only_row(messages: &[u8]) -> Option<&[u8]> {
    let mut at = 0;
    loop {
        let frame = frame(messages, at, MAX_VALUE_BYTES).ok()??;
        if frame.tag == b'D' {
            return only_column(&messages[frame.body]);
        }
        at = frame.body.end;
    }
}
