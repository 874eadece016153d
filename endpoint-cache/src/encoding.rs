//! One generation as bytes: a head line with name, format, length and checksum of what follows, then JSON.

use crate::cached_list::CachedEndpointList;
use thiserror::Error;

/// Raised whenever an older program would misread a newer file.
pub const FORMAT: u32 = 1;
/// Larger files are neither written nor read: about 60,000 endpoints.
pub const MAX_FILE_BYTES: usize = 16 << 20;
const MAGIC: &str = "gingerwick-list";
const CHECKSUM_DIGITS: usize = 8;

/// Why a file does not count.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FileError {
    /// It is not a file of this program.
    #[error("no list of ours")]
    Foreign,
    /// It was written by a newer program, in this format.
    #[error("of format {0}, newer than this program's {FORMAT}")]
    Newer(u32),
    /// It is shorter or longer than it says, or has other bytes than were written.
    #[error("torn: its length or checksum does not fit")]
    Torn,
    /// It is too large.
    #[error("{0} bytes, more than the {MAX_FILE_BYTES} that are taken")]
    TooLarge(usize),
    /// It is complete, and no list.
    #[error("whole, but no list: {0}")]
    Malformed(String),
}

/// Encodes a generation.
///
/// # Errors
/// It is too large.
pub fn encode(list: &CachedEndpointList) -> Result<Vec<u8>, FileError> {
    let body = serde_json::to_vec(list).map_err(|error| FileError::Malformed(error.to_string()))?;
    let head = format!("{MAGIC} {FORMAT} {} {:08x}\n", body.len(), crc32fast::hash(&body));
    let bytes = [head.as_bytes(), &body].concat();
    if bytes.len() > MAX_FILE_BYTES {
        return Err(FileError::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a generation.
///
/// # Errors
/// The file does not count.
pub fn decode(bytes: &[u8]) -> Result<CachedEndpointList, FileError> {
    if bytes.len() > MAX_FILE_BYTES {
        return Err(FileError::TooLarge(bytes.len()));
    }
    // A prefix of our own head line is torn, not foreign.
    let head = bytes.split(|&byte| byte == b'\n').next().unwrap_or_default();
    if !head.starts_with(MAGIC.as_bytes()) && !MAGIC.as_bytes().starts_with(head) {
        return Err(FileError::Foreign);
    }
    let body = bytes.get(head.len() + 1..);
    let head = std::str::from_utf8(head).map_err(|_| FileError::Torn)?;
    let tokens: Vec<&str> = head.split(' ').collect();
    let format: u32 = tokens.get(1).and_then(|token| token.parse().ok()).ok_or(FileError::Torn)?;
    if format > FORMAT {
        return Err(FileError::Newer(format));
    }
    let [_, _, length, checksum] = tokens[..] else { return Err(FileError::Torn) };
    let body = body.ok_or(FileError::Torn)?;
    if !fits(body, length, checksum) {
        return Err(FileError::Torn);
    }
    serde_json::from_slice(body).map_err(|error| FileError::Malformed(error.to_string()))
}

fn fits(body: &[u8], length: &str, checksum: &str) -> bool {
    length.parse() == Ok(body.len())
        && checksum.len() == CHECKSUM_DIGITS
        && u32::from_str_radix(checksum, 16) == Ok(crc32fast::hash(body))
}
