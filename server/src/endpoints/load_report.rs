//! Load reports of endpoints, as text.

use crate::runtime::clock;
use routing::{EndpointReport, Role};

/// Reads a load report, `name=value` pairs: `x0` is the position, `x1` is 1 for a primary, `util` the busy fraction. One that
/// cannot be read in any part reports nothing.
pub fn parse(fields: &str) -> EndpointReport {
    parse_fields(fields).unwrap_or_default()
}

fn parse_fields(fields: &str) -> Option<EndpointReport> {
    let mut report = EndpointReport::default();
    for pair in fields.split(',') {
        let (name, value) = pair.split_once('=')?;
        match (name.trim(), plain_number(value.trim())?) {
            ("x0", value) => report.position = Some(clock::from_unix_s(value)?),
            ("x1", 1.0) => report.role = Some(Role::Primary),
            ("x1", 0.0) => report.role = Some(Role::Replica),
            ("x1", _) => return None,
            ("util" | "load_share", value) => report.load = Some(value),
            _ => {}
        }
    }
    Some(report)
}

/// Digits with at most one point among them: no sign, no exponent, no `nan` or `inf`.
pub fn plain_number(text: &str) -> Option<f64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|_| is_plain)
}
