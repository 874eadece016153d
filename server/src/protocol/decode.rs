//! Decodes and validates the bodies of messages.

use crate::protocol::encode::SESSION_PARAMETER;
use crate::protocol::framing::{parse_frame, MAX_VALUE_BYTES};

/// The bytes after a column's name in a RowDescription: the numbers of its table, column, type, size, modifier and
/// format.
const COLUMN_NUMBER_BYTES: usize = 18;
/// The length of a SQLSTATE.
const SQLSTATE_BYTES: usize = 5;
/// The column count 1, as it is encoded at the start of a RowDescription or DataRow.
const ONE_COLUMN: [u8; 2] = [0, 1];
/// The length of the column count in a RowDescription or DataRow.
const COLUMN_COUNT_BYTES: usize = ONE_COLUMN.len();
/// The offset of the first column's value in a DataRow, after the column count and the value's length.
const FIRST_VALUE_AT: usize = COLUMN_COUNT_BYTES + 4;

/// The parameters of a startup message that the router uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StartupParameters {
    /// User and database as `LENGTH:USER/DATABASE`, with the length of the user's name in bytes. A session token is
    /// valid only for the audience for which it was issued.
    pub audience: String,
    /// `user`; empty if the message has none.
    pub user: String,
    /// `gingerwick.session`: empty or `new` to start a session, or a token to resume one.
    pub session: Option<String>,
}

/// Decodes the parameters in the body of a startup message; unknown ones are ignored.
pub fn parse_startup_parameters(body: &[u8]) -> StartupParameters {
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

/// The value of the field `code` of an ErrorResponse, such as `C` for the SQLSTATE.
pub fn error_field(body: &[u8], code: u8) -> Option<&str> {
    let field = body.split(|&byte| byte == 0).find(|field| field.first() == Some(&code))?;
    std::str::from_utf8(&field[1..]).ok()
}

/// Whether a body is a valid ErrorResponse or NoticeResponse: fields of UTF-8, one of them a SQLSTATE, and a zero
/// byte at the end.
pub fn is_valid_error(body: &[u8]) -> bool {
    let Some(fields) = body.strip_suffix(&[0, 0]) else { return false };
    let is_text = |field: &[u8]| !field.is_empty() && std::str::from_utf8(field).is_ok();
    let code = error_field(body, b'C').unwrap_or_default();
    let is_code_byte = |byte: u8| byte.is_ascii_uppercase() || byte.is_ascii_digit();
    let has_code = code.len() == SQLSTATE_BYTES && code.bytes().all(is_code_byte);
    has_code && fields.split(|&byte| byte == 0).all(is_text)
}

/// Whether a body is a non-empty string of printable ASCII characters that ends with a zero byte.
pub fn is_printable_string(body: &[u8]) -> bool {
    let is_printable = |text: &[u8]| text.iter().all(|byte| byte.is_ascii_graphic() || *byte == b' ');
    body.strip_suffix(&[0]).is_some_and(|text| !text.is_empty() && is_printable(text))
}

/// Parses the name and the value of a ParameterStatus; `None` if the body is malformed.
pub fn parse_parameter_status(body: &[u8]) -> Option<(&str, &str)> {
    let (name, value) = std::str::from_utf8(body.strip_suffix(&[0])?).ok()?.split_once('\0')?;
    (!name.is_empty() && !value.contains('\0')).then_some((name, value))
}

/// Whether a body is a valid RowDescription of exactly one column.
pub fn describes_one_column(body: &[u8]) -> bool {
    let Some(column) = body.strip_prefix(&ONE_COLUMN) else { return false };
    let Some(end) = column.iter().position(|&byte| byte == 0) else { return false };
    column.len() == end + 1 + COLUMN_NUMBER_BYTES && std::str::from_utf8(&column[..end]).is_ok()
}

/// The value of a DataRow with one column; `None` if the body has another number of columns, or the value is null.
pub fn single_column_value(body: &[u8]) -> Option<&[u8]> {
    let length = u32::from_be_bytes(body.get(COLUMN_COUNT_BYTES..FIRST_VALUE_AT)?.try_into().ok()?);
    let value = &body[FIRST_VALUE_AT..];
    (body[..COLUMN_COUNT_BYTES] == ONE_COLUMN && value.len() == length as usize).then_some(value)
}

/// The value of the first DataRow in a sequence of complete messages; `None` if there is no DataRow, or the first one
/// does not have exactly one column.
pub fn first_row_value(messages: &[u8]) -> Option<&[u8]> {
    let mut at = 0;
    loop {
        let frame = parse_frame(messages, at, MAX_VALUE_BYTES).ok()??;
        if frame.tag == b'D' {
            return single_column_value(&messages[frame.body]);
        }
        at = frame.body.end;
    }
}
