//! Values: paths, numbers, lengths of time, sizes, and words from a list.

use crate::error::ValueError;
use bytesize::ByteSize;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

fn out_of_range(word: &str, least: impl Display, most: impl Display) -> ValueError {
    ValueError::OutOfRange { word: word.to_string(), least: least.to_string(), most: most.to_string() }
}

fn unreadable(word: &str, reason: impl Display) -> ValueError {
    ValueError::Unreadable { word: word.to_string(), reason: reason.to_string() }
}

/// An absolute path.
pub fn path(word: &str) -> Result<PathBuf, ValueError> {
    let path = PathBuf::from(word);
    path.is_absolute().then_some(path).ok_or_else(|| ValueError::NotAbsolute(word.to_string()))
}

/// A whole number within bounds.
pub fn number<T>(word: &str, bounds: RangeInclusive<T>) -> Result<T, ValueError>
where
    T: FromStr + PartialOrd + Display,
{
    let number = word.parse().ok().filter(|number| bounds.contains(number));
    number.ok_or_else(|| out_of_range(word, bounds.start(), bounds.end()))
}

/// A length of time within bounds, which are written as the value is.
pub fn duration(word: &str, least: &str, most: &str) -> Result<Duration, ValueError> {
    let parse = |word: &str| humantime::parse_duration(word).map_err(|error| unreadable(word, error));
    let duration = parse(word)?;
    let fits = (parse(least)?..=parse(most)?).contains(&duration);
    fits.then_some(duration).ok_or_else(|| out_of_range(word, least, most))
}

/// A size within bounds, in bytes.
pub fn size(word: &str, least: ByteSize, most: ByteSize) -> Result<usize, ValueError> {
    let size: ByteSize = word.parse().map_err(|error| unreadable(word, error))?;
    let fits = (least.as_u64()..=most.as_u64()).contains(&size.as_u64());
    let kilobytes = least.as_u64() / 1_000;
    let megabytes = most.as_u64() / 1_000_000;
    let error = || out_of_range(word, format!("{kilobytes}kB"), format!("{megabytes}MB"));
    fits.then_some(size.as_u64() as usize).ok_or_else(error)
}

/// A percentage.
pub fn percentage(word: &str) -> Result<u32, ValueError> {
    let percent = word.strip_suffix('%').ok_or_else(|| ValueError::NotAPercentage(word.to_string()))?;
    number(percent, 0..=100)
}

/// One of the words that are known.
pub fn one_of<T: Copy>(word: &str, known: &[(&str, T)]) -> Result<T, ValueError> {
    if let Some((_, value)) = known.iter().find(|(name, _)| *name == word) {
        return Ok(*value);
    }
    let names: Vec<&str> = known.iter().map(|(name, _)| *name).collect();
    Err(ValueError::NotOneOf { word: word.to_string(), known: names.join(", ") })
}

/// An item of a list that cannot be read.
pub fn unreadable_item(word: &str, reason: impl Display) -> ValueError {
    unreadable(word, reason)
}
