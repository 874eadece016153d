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

/// Why a file is invalid. The texts are part of the output of `query-router list verify`.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FileError {
    /// The header line does not start with the file type: another program wrote the file.
    #[error("no list of ours")]
    UnknownFileType,
    /// A newer version of this program wrote the file, in this format version.
    #[error("of format {0}, newer than this program's {FORMAT_VERSION}")]
    NewerFormat(u32),
    /// The file is incomplete or damaged: the header is incomplete, or its length or checksum does not match the
    /// body.
    #[error("torn: its length or checksum does not fit")]
    Torn,
    /// The file has this size in bytes, which exceeds [`MAX_FILE_BYTES`].
    #[error("{0} bytes, more than the {MAX_FILE_BYTES} that are taken")]
    TooLarge(usize),
    /// The file is complete, but the body is not a list in JSON, for this reason.
    #[error("whole, but no list: {0}")]
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
    let header = std::str::from_utf8(header).map_err(|_| FileError::Torn)?;
    let tokens: Vec<&str> = header.split(' ').collect();
    let format: u32 = tokens.get(1).and_then(|token| token.parse().ok()).ok_or(FileError::Torn)?;
    if format > FORMAT_VERSION {
        return Err(FileError::NewerFormat(format));
    }
    let [_, _, length, checksum] = tokens[..] else { return Err(FileError::Torn) };
    let body = body.ok_or(FileError::Torn)?;
    if !is_intact(body, length, checksum) {
        return Err(FileError::Torn);
    }
    serde_json::from_slice(body).map_err(|error| FileError::Malformed(error.to_string()))
}

/// Whether the body has the length and checksum of the header.
fn is_intact(body: &[u8], length: &str, checksum: &str) -> bool {
    length.parse() == Ok(body.len())
        && checksum.len() == CHECKSUM_DIGITS
        && u32::from_str_radix(checksum, 16) == Ok(crc32fast::hash(body))
}
