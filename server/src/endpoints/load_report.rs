//! Parsing of endpoints' load reports.

use crate::runtime::clock;
use routing::{EndpointReport, Role};

/// Parses a load report, a comma-separated list of `name=value` pairs.
///
/// `x0` is the position in Unix seconds, `x1` is 1 for a primary and 0 for a replica, `util` or `load_share` is the
/// busy fraction; other names are ignored. If any part is invalid, the whole report is empty.
pub fn parse(fields: &str) -> EndpointReport {
    parse_fields(fields).unwrap_or_default()
}

fn parse_fields(fields: &str) -> Option<EndpointReport> {
    let mut report = EndpointReport::default();
    for pair in fields.split(',') {
        let (name, value) = pair.split_once('=')?;
        match (name.trim(), parse_unsigned_decimal(value.trim())?) {
            ("x0", value) => report.position = Some(clock::timestamp_from_unix_s(value)?),
            ("x1", 1.0) => report.role = Some(Role::Primary),
            ("x1", 0.0) => report.role = Some(Role::Replica),
            ("x1", _) => return None,
            ("util" | "load_share", value) => report.load = Some(value),
            _ => {}
        }
    }
    Some(report)
}

/// Parses a decimal number without sign and exponent; `nan` and `inf` are not numbers either.
pub fn parse_unsigned_decimal(text: &str) -> Option<f64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|_| is_plain)
}
