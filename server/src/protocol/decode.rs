//! Decoding and validation of message bodies.

use crate::protocol::encode::SESSION_PARAMETER;
use crate::protocol::framing::{parse_frame, MAX_VALUE_BYTES};

/// Bytes of the numbers that follow a column's name in a RowDescription: table, column, type, size, modifier and
/// format.
const COLUMN_NUMBER_BYTES: usize = 18;
/// Bytes of a SQLSTATE.
const SQLSTATE_BYTES: usize = 5;
/// The column count 1, as the first bytes of a RowDescription or DataRow.
const ONE_COLUMN: [u8; 2] = [0, 1];
/// The bytes of a DataRow's column count.
const COLUMN_COUNT_BYTES: usize = ONE_COLUMN.len();
/// The offset of the first column's value in a DataRow, after the column count and the value's length.
const FIRST_VALUE_AT: usize = COLUMN_COUNT_BYTES + 4;

/// The parameters of a startup message that the server uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StartupParameters {
    /// User and database in an unambiguous form, to which a session's token is bound.
    pub audience: String,
    /// The user.
    pub user: String,
    /// `gingerwick.session`: empty or `new` to start a session, or a token to resume one.
    pub session: Option<String>,
}

/// Decodes the names and values of a startup message; unknown names are ignored.
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

/// The value of a field of an ErrorResponse.
pub fn error_field(body: &[u8], wanted: u8) -> Option<&str> {
    let field = body.split(|&byte| byte == 0).find(|field| field.first() == Some(&wanted))?;
    std::str::from_utf8(&field[1..]).ok()
}

/// Whether a body is a valid ErrorResponse or NoticeResponse: UTF-8 fields, a SQLSTATE among them, and a closing
/// zero byte.
pub fn is_valid_error(body: &[u8]) -> bool {
    let Some(fields) = body.strip_suffix(&[0, 0]) else { return false };
    let is_text = |field: &[u8]| !field.is_empty() && std::str::from_utf8(field).is_ok();
    let code = error_field(body, b'C').unwrap_or_default();
    let is_code_byte = |byte: u8| byte.is_ascii_uppercase() || byte.is_ascii_digit();
    let has_code = code.len() == SQLSTATE_BYTES && code.bytes().all(is_code_byte);
    has_code && fields.split(|&byte| byte == 0).all(is_text)
}

/// Whether a body is one non-empty string of printable ASCII with its closing zero byte.
pub fn is_printable_string(body: &[u8]) -> bool {
    let is_printable = |text: &[u8]| text.iter().all(|byte| byte.is_ascii_graphic() || *byte == b' ');
    body.strip_suffix(&[0]).is_some_and(|text| !text.is_empty() && is_printable(text))
}

/// The name and the value of a ParameterStatus; `None` if the body is malformed.
pub fn parse_parameter_status(body: &[u8]) -> Option<(&str, &str)> {
    let (name, value) = std::str::from_utf8(body.strip_suffix(&[0])?).ok()?.split_once('\0')?;
    (!name.is_empty() && !value.contains('\0')).then_some((name, value))
}

/// Whether a body is a RowDescription of exactly one column.
pub fn describes_one_column(body: &[u8]) -> bool {
    let Some(column) = body.strip_prefix(&ONE_COLUMN) else { return false };
    let Some(end) = column.iter().position(|&byte| byte == 0) else { return false };
    column.len() == end + 1 + COLUMN_NUMBER_BYTES && std::str::from_utf8(&column[..end]).is_ok()
}

/// The value of a DataRow's only column; `None` if there is not exactly one column, or it is null.
pub fn single_column_value(body: &[u8]) -> Option<&[u8]> {
    let length = u32::from_be_bytes(body.get(COLUMN_COUNT_BYTES..FIRST_VALUE_AT)?.try_into().ok()?);
    let value = &body[FIRST_VALUE_AT..];
    (body[..COLUMN_COUNT_BYTES] == ONE_COLUMN && value.len() == length as usize).then_some(value)
}

/// The value of the only column of the first DataRow in a sequence of complete messages.
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
