//! Parsers of values: paths, numbers, durations, sizes, percentages, and words from a list.

use crate::error::ValueError;
use bytesize::ByteSize;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

const BYTES_PER_KILOBYTE: u64 = 1_000;
const BYTES_PER_MEGABYTE: u64 = 1_000_000;
const MAX_PERCENT: u32 = 100;

fn out_of_range(value: &str, min: impl Display, max: impl Display) -> ValueError {
    ValueError::OutOfRange { value: value.to_string(), min: min.to_string(), max: max.to_string() }
}

fn unreadable(value: &str, reason: impl Display) -> ValueError {
    ValueError::Unreadable { value: value.to_string(), reason: reason.to_string() }
}

/// Parses an absolute path.
pub fn path(value: &str) -> Result<PathBuf, ValueError> {
    let path = PathBuf::from(value);
    path.is_absolute().then_some(path).ok_or_else(|| ValueError::NotAbsolute(value.to_string()))
}

/// Parses an integer within bounds.
pub fn number<T>(value: &str, bounds: RangeInclusive<T>) -> Result<T, ValueError>
where
    T: FromStr + PartialOrd + Display,
{
    let number = value.parse().ok().filter(|number| bounds.contains(number));
    number.ok_or_else(|| out_of_range(value, bounds.start(), bounds.end()))
}

/// Parses a duration within bounds. The bounds are in the same notation as the value.
pub fn duration(value: &str, min: &str, max: &str) -> Result<Duration, ValueError> {
    let parse = |value: &str| humantime::parse_duration(value).map_err(|error| unreadable(value, error));
    let duration = parse(value)?;
    let is_in_range = (parse(min)?..=parse(max)?).contains(&duration);
    is_in_range.then_some(duration).ok_or_else(|| out_of_range(value, min, max))
}

/// Parses a size within bounds and returns it in bytes.
pub fn size(value: &str, min: ByteSize, max: ByteSize) -> Result<usize, ValueError> {
    let size: ByteSize = value.parse().map_err(|error| unreadable(value, error))?;
    let is_in_range = (min.as_u64()..=max.as_u64()).contains(&size.as_u64());
    let kilobytes = min.as_u64() / BYTES_PER_KILOBYTE;
    let megabytes = max.as_u64() / BYTES_PER_MEGABYTE;
    let error = || out_of_range(value, format!("{kilobytes}kB"), format!("{megabytes}MB"));
    is_in_range.then_some(size.as_u64() as usize).ok_or_else(error)
}

/// Parses a percentage from `0%` to `100%`.
pub fn percentage(value: &str) -> Result<u32, ValueError> {
    let percent = value.strip_suffix('%').ok_or_else(|| ValueError::NotAPercentage(value.to_string()))?;
    number(percent, 0..=MAX_PERCENT)
}

/// Parses a word and returns the value assigned to it in `known`.
pub fn one_of<T: Copy>(value: &str, known: &[(&str, T)]) -> Result<T, ValueError> {
    if let Some((_, value)) = known.iter().find(|(name, _)| *name == value) {
        return Ok(*value);
    }
    let names: Vec<&str> = known.iter().map(|(name, _)| *name).collect();
    Err(ValueError::NotOneOf { value: value.to_string(), known: names.join(", ") })
}

/// The error of an item in a list that cannot be parsed.
pub fn unreadable_item(value: &str, reason: impl Display) -> ValueError {
    unreadable(value, reason)
}
