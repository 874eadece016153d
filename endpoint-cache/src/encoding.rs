//! Encoding of a generation: a header line with the file type, the format version, the body length and the CRC-32
//! checksum of the body, then the body in JSON.

use crate::cached_list::CachedEndpointList;
use thiserror::Error;

/// Format version, increased whenever an older program would misread a newer file.
pub const FORMAT_VERSION: u32 = 1;
/// Maximum size of a file that is written or read, in bytes. It is enough for about 60,000 endpoints.
pub const MAX_FILE_BYTES: usize = 16 << 20;
/// First token of the header line. It identifies the file type.
const MAGIC: &str = "gingerwick-list";
/// Number of hexadecimal digits of the checksum.
const CHECKSUM_DIGITS: usize = 8;

/// Why a file is invalid. The messages follow the path of the file.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FileError {
    /// The header line does not start with the file type: another program wrote the file.
    #[error("the file is not a cached endpoint list; such a list starts with {MAGIC:?}")]
    UnknownFileType,
    /// A newer version of this program wrote the file, in this format version.
    #[error("the file has format version {0}; this program reads versions up to {FORMAT_VERSION}")]
    NewerFormat(u32),
    /// The file is incomplete or damaged: the header is incomplete, or its length or checksum does not match the
    /// body.
    #[error(
        "the file is incomplete or damaged: the length and checksum in its header do not match its body"
    )]
    Damaged,
    /// The file has at least this size in bytes, which exceeds [`MAX_FILE_BYTES`].
    #[error("the file has at least {0} bytes; the maximum is {MAX_FILE_BYTES}")]
    TooLarge(usize),
    /// The file is complete, but the body is not a list in JSON, for this reason.
    #[error("the body of the file is not an endpoint list in JSON: {0}")]
    Malformed(String),
}

/// Encodes a generation.
///
/// # Errors
/// The encoded list exceeds [`MAX_FILE_BYTES`] or cannot be represented in JSON.
pub fn encode(list: &CachedEndpointList) -> Result<Vec<u8>, FileError> {
    let body = serde_json::to_vec(list).map_err(|error| FileError::Malformed(error.to_string()))?;
    let header = format!("{MAGIC} {FORMAT_VERSION} {} {:08x}\n", body.len(), crc32fast::hash(&body));
    let bytes = [header.as_bytes(), &body].concat();
    if bytes.len() > MAX_FILE_BYTES {
        return Err(FileError::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a generation.
///
/// # Errors
/// The file is invalid.
pub fn decode(bytes: &[u8]) -> Result<CachedEndpointList, FileError> {
    if bytes.len() > MAX_FILE_BYTES {
        return Err(FileError::TooLarge(bytes.len()));
    }
    // A prefix of a valid header line means an incomplete file, not one of another type.
    let header = bytes.split(|&byte| byte == b'\n').next().unwrap_or_default();
    if !header.starts_with(MAGIC.as_bytes()) && !MAGIC.as_bytes().starts_with(header) {
        return Err(FileError::UnknownFileType);
    }
    let body = bytes.get(header.len() + 1..);
    let header = std::str::from_utf8(header).map_err(|_| FileError::Damaged)?;
    let tokens: Vec<&str> = header.split(' ').collect();
    let format: u32 = tokens.get(1).and_then(|token| token.parse().ok()).ok_or(FileError::Damaged)?;
    if format > FORMAT_VERSION {
        return Err(FileError::NewerFormat(format));
    }
    let [_, _, length, checksum] = tokens[..] else { return Err(FileError::Damaged) };
    let body = body.ok_or(FileError::Damaged)?;
    if !is_intact(body, length, checksum) {
        return Err(FileError::Damaged);
    }
    serde_json::from_slice(body).map_err(|error| FileError::Malformed(error.to_string()))
}

/// Whether the body has the length and checksum of the header.
fn is_intact(body: &[u8], length: &str, checksum: &str) -> bool {
    length.parse() == Ok(body.len())
        && checksum.len() == CHECKSUM_DIGITS
        && u32::from_str_radix(checksum, 16) == Ok(crc32fast::hash(body))
}
