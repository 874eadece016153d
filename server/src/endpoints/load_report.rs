//! Parses the load reports that endpoints send in answers and in response to `SHOW health`.

use crate::runtime::clock;
use routing::{EndpointReport, Role};

/// Parses a load report, a comma-separated list of `name=value` pairs.
///
/// `x0` is the endpoint's position in Unix seconds. `x1` is 1 for a primary and 0 for a replica. `util` and
/// `load_share` are two names for the fraction of the time that the endpoint is busy. Other names are ignored. If any
/// pair is invalid, the returned report is empty.
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

/// Parses a decimal number without a sign and an exponent. Rejects `nan` and `inf`.
pub fn parse_unsigned_decimal(text: &str) -> Option<f64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|_| is_plain)
}
