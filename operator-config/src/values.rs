//! Values: paths, numbers, lengths of time, sizes, and words from a list.

use crate::error::ValueError;
use bytesize::ByteSize;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

fn out_of_range(value: &str, least: impl Display, most: impl Display) -> ValueError {
    ValueError::OutOfRange { value: value.to_string(), least: least.to_string(), most: most.to_string() }
}

fn unreadable(value: &str, reason: impl Display) -> ValueError {
    ValueError::Unreadable { value: value.to_string(), reason: reason.to_string() }
}

/// An absolute path.
pub fn path(value: &str) -> Result<PathBuf, ValueError> {
    let path = PathBuf::from(value);
    path.is_absolute().then_some(path).ok_or_else(|| ValueError::NotAbsolute(value.to_string()))
}

/// A whole number within bounds.
pub fn number<T>(value: &str, bounds: RangeInclusive<T>) -> Result<T, ValueError>
where
    T: FromStr + PartialOrd + Display,
{
    let number = value.parse().ok().filter(|number| bounds.contains(number));
    number.ok_or_else(|| out_of_range(value, bounds.start(), bounds.end()))
}

/// A length of time within bounds, which are written as the value is.
pub fn duration(value: &str, least: &str, most: &str) -> Result<Duration, ValueError> {
    let parse = |value: &str| humantime::parse_duration(value).map_err(|error| unreadable(value, error));
    let duration = parse(value)?;
    let fits = (parse(least)?..=parse(most)?).contains(&duration);
    fits.then_some(duration).ok_or_else(|| out_of_range(value, least, most))
}

/// A size within bounds, in bytes.
pub fn size(value: &str, least: ByteSize, most: ByteSize) -> Result<usize, ValueError> {
    let size: ByteSize = value.parse().map_err(|error| unreadable(value, error))?;
    let fits = (least.as_u64()..=most.as_u64()).contains(&size.as_u64());
    let kilobytes = least.as_u64() / 1_000;
    let megabytes = most.as_u64() / 1_000_000;
    let error = || out_of_range(value, format!("{kilobytes}kB"), format!("{megabytes}MB"));
    fits.then_some(size.as_u64() as usize).ok_or_else(error)
}

/// A percentage.
pub fn percentage(value: &str) -> Result<u32, ValueError> {
    let percent = value.strip_suffix('%').ok_or_else(|| ValueError::NotAPercentage(value.to_string()))?;
    number(percent, 0..=100)
}

/// One of the words that are known.
pub fn one_of<T: Copy>(value: &str, known: &[(&str, T)]) -> Result<T, ValueError> {
    if let Some((_, value)) = known.iter().find(|(name, _)| *name == value) {
        return Ok(*value);
    }
    let names: Vec<&str> = known.iter().map(|(name, _)| *name).collect();
    Err(ValueError::NotOneOf { value: value.to_string(), known: names.join(", ") })
}

/// An item of a list that cannot be read.
pub fn unreadable_item(value: &str, reason: impl Display) -> ValueError {
    unreadable(value, reason)
}
