//! Parsers of values: paths, integers, durations, sizes, percentages, and words from a fixed set.

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

/// The error of a value that cannot be parsed. `expected` is what the value must be, such as "a duration".
pub fn unparsable(value: &str, expected: &'static str, reason: impl Display) -> ValueError {
    ValueError::Unparsable { value: value.to_string(), expected, reason: reason.to_string() }
}

/// Parses an absolute path.
pub fn absolute_path(value: &str) -> Result<PathBuf, ValueError> {
    let path = PathBuf::from(value);
    path.is_absolute().then_some(path).ok_or_else(|| ValueError::NotAbsolutePath(value.to_string()))
}

/// Parses an integer within bounds.
pub fn integer<T>(value: &str, bounds: RangeInclusive<T>) -> Result<T, ValueError>
where
    T: FromStr + PartialOrd + Display,
{
    let integer = value.parse().ok().filter(|integer| bounds.contains(integer));
    integer.ok_or_else(|| ValueError::NotIntegerInRange {
        value: value.to_string(),
        min: bounds.start().to_string(),
        max: bounds.end().to_string(),
    })
}

/// Parses a duration within bounds. The bounds are in the same notation as the value.
pub fn duration(value: &str, min: &str, max: &str) -> Result<Duration, ValueError> {
    let parse =
        |text: &str| humantime::parse_duration(text).map_err(|error| unparsable(text, "a duration", error));
    let duration = parse(value)?;
    let is_in_range = (parse(min)?..=parse(max)?).contains(&duration);
    is_in_range.then_some(duration).ok_or_else(|| out_of_range(value, min, max))
}

/// Parses a size within bounds and returns it in bytes. Error messages state `min` in kB and `max` in MB.
pub fn size(value: &str, min: ByteSize, max: ByteSize) -> Result<usize, ValueError> {
    // The parser's own message names a Rust type, so operators get this one instead.
    let parse_error =
        |_| unparsable(value, "a size", "expected a number and a unit, for example 64kB or 1MB");
    let size: ByteSize = value.parse().map_err(parse_error)?;
    let is_in_range = (min.as_u64()..=max.as_u64()).contains(&size.as_u64());
    let kilobytes = min.as_u64() / BYTES_PER_KILOBYTE;
    let megabytes = max.as_u64() / BYTES_PER_MEGABYTE;
    let error = || out_of_range(value, format!("{kilobytes}kB"), format!("{megabytes}MB"));
    is_in_range.then_some(size.as_u64() as usize).ok_or_else(error)
}

/// Parses an integer percentage from `0%` to `100%`.
pub fn percentage(value: &str) -> Result<u32, ValueError> {
    let percent = value.strip_suffix('%').and_then(|percent| integer(percent, 0..=MAX_PERCENT).ok());
    percent.ok_or_else(|| ValueError::NotPercentage(value.to_string()))
}

/// Parses a word and returns the value assigned to it in `allowed`.
pub fn one_of<T: Copy>(value: &str, allowed: &[(&str, T)]) -> Result<T, ValueError> {
    if let Some((_, value)) = allowed.iter().find(|(word, _)| *word == value) {
        return Ok(*value);
    }
    let words: Vec<&str> = allowed.iter().map(|(word, _)| *word).collect();
    Err(ValueError::NotOneOf { value: value.to_string(), allowed: words.join(", ") })
}
