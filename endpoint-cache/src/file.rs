//! One generation as bytes: a line that says what follows, then JSON.

use crate::Kept;
use std::fmt;

/// Raised whenever an older program would misread a newer file.
pub const FORMAT: u32 = 1;
/// More is neither written nor read: about 60,000 stores.
pub const MOST_BYTES: usize = 16 << 20;
const MAGIC: &str = "gingerwick-list";

/// Why a file is not believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unfit {
    /// Not a file of ours.
    Foreign,
    /// Written by a newer program, in this format.
    Newer(u32),
    /// Shorter or longer than it says, or other bytes than were written.
    Torn,
    TooLarge(usize),
    /// Whole, and yet no list.
    Malformed(String),
}

impl fmt::Display for Unfit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unfit::Foreign => write!(f, "no list of ours"),
            Unfit::Newer(format) => {
                write!(f, "of format {format}, newer than this program's {FORMAT}")
            }
            Unfit::Torn => write!(f, "torn: its length or checksum does not fit"),
            Unfit::TooLarge(bytes) => write!(f, "{bytes} bytes, more than the {MOST_BYTES} that are taken"),
            Unfit::Malformed(why) => write!(f, "whole, but no list: {why}"),
        }
    }
}

pub fn encode(kept: &Kept) -> Result<Vec<u8>, Unfit> {
    let body = serde_json::to_vec(kept).map_err(|why| Unfit::Malformed(why.to_string()))?;
    let head = format!("{MAGIC} {FORMAT} {} {:08x}\n", body.len(), crc32fast::hash(&body));
    let bytes = [head.as_bytes(), &body].concat();
    if bytes.len() > MOST_BYTES {
        return Err(Unfit::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

pub fn decode(bytes: &[u8]) -> Result<Kept, Unfit> {
    if bytes.len() > MOST_BYTES {
        return Err(Unfit::TooLarge(bytes.len()));
    }
    // A prefix of our own first line is torn, not foreign.
    let head = bytes.split(|&byte| byte == b'\n').next().unwrap_or_default();
    let ours = head.starts_with(MAGIC.as_bytes()) || MAGIC.as_bytes().starts_with(head);
    if !ours {
        return Err(Unfit::Foreign);
    }
    let words: Vec<&str> = std::str::from_utf8(head).map_err(|_| Unfit::Torn)?.split(' ').collect();
    let format: u32 = words.get(1).and_then(|word| word.parse().ok()).ok_or(Unfit::Torn)?;
    if format > FORMAT {
        return Err(Unfit::Newer(format));
    }
    let [_, _, length, sum] = words[..] else { return Err(Unfit::Torn) };
    let body = bytes.get(head.len() + 1..).ok_or(Unfit::Torn)?;
    let fits = length.parse() == Ok(body.len())
        && sum.len() == 8
        && u32::from_str_radix(sum, 16) == Ok(crc32fast::hash(body));
    if !fits {
        return Err(Unfit::Torn);
    }
    serde_json::from_slice(body).map_err(|why| Unfit::Malformed(why.to_string()))
}
