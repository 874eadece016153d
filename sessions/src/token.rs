//! Session token: the positions of a session, carried by its client. Tokens are authenticated, so that clients can
//! neither forge nor change them.
//!
//! Binary layout, encoded as base64 (URL alphabet, no padding):
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | format version, 1 |
//! | 1 | id of the key |
//! | 16 | session identifier |
//! | 4 | time of issue in Unix seconds, big-endian |
//! | 4 | time of expiry in Unix seconds, big-endian |
//! | 1 | 1 if a lower bound is present, otherwise 0 |
//! | 1 | number of positions |
//! | variable | lower bound if present, then the positions: group, epoch and position in milliseconds, as LEB128 |
//! | 16 | HMAC-SHA256, truncated, over the audience and all of the above |
//!
//! The audience identifies the client to which the token was issued. It is authenticated but not part of the token.

use crate::positions::{GroupNumber, GroupPosition, LogPosition, SessionPositions, MAX_POSITIONS};
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, Mac};
use routing::time::{TimeDelta, Timestamp};
use sha2::Sha256;
use std::collections::BTreeMap;
use std::fmt;
use thiserror::Error;

const FORMAT_VERSION: u8 = 1;
/// Domain separator at the start of the authenticated bytes: an authentication code computed with the same key for
/// another purpose is not valid for a token.
const MAC_DOMAIN: &[u8] = b"gingerwick session\0";
/// Length of the truncated authentication code in bytes.
const MAC_BYTES: usize = 16;
const SESSION_ID_BYTES: usize = 16;
const UNIX_SECONDS_BYTES: usize = 4;

// Offsets of the fields of the header, in bytes.
const FORMAT_OFFSET: usize = 0;
const KEY_ID_OFFSET: usize = 1;
const SESSION_OFFSET: usize = 2;
const ISSUED_OFFSET: usize = SESSION_OFFSET + SESSION_ID_BYTES;
const EXPIRES_OFFSET: usize = ISSUED_OFFSET + UNIX_SECONDS_BYTES;
const HAS_LOWER_BOUND_OFFSET: usize = EXPIRES_OFFSET + UNIX_SECONDS_BYTES;
const POSITION_COUNT_OFFSET: usize = HAS_LOWER_BOUND_OFFSET + 1;
const HEADER_BYTES: usize = POSITION_COUNT_OFFSET + 1;

/// Length of the longest LEB128 encoding of a 64-bit number, in bytes.
const MAX_LEB128_BYTES: u32 = 10;
/// Number of bits that each byte of a LEB128 encoding holds.
const LEB128_BITS: u32 = 7;
/// Flag that is set on every byte of a LEB128 encoding except the last.
const LEB128_CONTINUES: u8 = 0x80;

/// Length of the longest encoding of a position in bytes: group (64 bits), epoch (32 bits) and position (64 bits) as
/// LEB128.
const MAX_POSITION_BYTES: usize = 10 + 5 + 10;
/// Length in bytes of the longest token: one with all positions and a lower bound.
const MAX_TOKEN_BYTES: usize = HEADER_BYTES + (MAX_POSITIONS + 1) * MAX_POSITION_BYTES + MAC_BYTES;
/// Length of the longest token in base64 characters.
pub const MAX_TOKEN_CHARS: usize = MAX_TOKEN_BYTES.div_ceil(3) * 4;
/// Tolerance in seconds for clock differences between instances.
const MAX_CLOCK_SKEW_S: i64 = 5;
/// Exclusive upper bound of positions in Unix milliseconds. Below this bound, a position in nanoseconds fits into 64
/// bits.
const MAX_POSITION_MS: i64 = 9_000_000_000_000;
const NANOS_PER_MILLI: u64 = 1_000_000;
const NANOS_PER_SECOND: i64 = 1_000_000_000;
/// Minimum length of a key in bytes, equal to the length of an authentication code.
pub const MIN_KEY_BYTES: usize = 16;

/// Identifier of a session, chosen at random when the session begins.
pub type SessionId = [u8; SESSION_ID_BYTES];

/// Content of a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Identifier of the session.
    pub session: SessionId,
    /// Time of issue, in Unix seconds.
    pub issued: i64,
    /// Time of expiry, in Unix seconds.
    pub expires: i64,
    /// Positions of the session.
    pub positions: SessionPositions,
}

/// Why a token was rejected. Clients receive the texts, which are part of the wire format.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum TokenError {
    /// The token is truncated, too long, or not a token.
    #[error("it is no token")]
    Malformed,
    /// The token has a format that this program does not support.
    #[error("its format is not known here")]
    UnknownFormat,
    /// The token was authenticated with a key that is not configured.
    #[error("its key is not known here")]
    UnknownKey,
    /// The authentication code is wrong: the token was forged, changed, or issued to another client.
    #[error("its seal does not fit: changed, or another client's")]
    Unauthenticated,
    /// The token has expired.
    #[error("it has expired")]
    Expired,
    /// The time of issue is in the future, by more than the tolerated clock difference.
    #[error("it is from a time to come")]
    FromFuture,
}

/// Why a key file is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum KeyFileError {
    /// A line is invalid.
    #[error("{line}: {problem}")]
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// Why the line is invalid.
        problem: KeyLineProblem,
    },
    /// The file contains no key.
    #[error("1: the file contains no key; expected a line with an id and a key")]
    Empty,
}

/// Why a line of a key file is invalid.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum KeyLineProblem {
    /// The line does not consist of an id and a key.
    #[error("expected an id and a key, separated by white space")]
    NotAPair,
    /// The id is not a number from 0 to 255.
    #[error("the id is not a number from 0 to 255")]
    BadId,
    /// The key is not hexadecimal, has an odd number of digits, or is shorter than [`MIN_KEY_BYTES`].
    #[error("the key is not an even number of hexadecimal digits, at least 32")]
    BadKey,
    /// An earlier line has the same id.
    #[error("an earlier line has the same id; it may be used only once")]
    DuplicateId,
}

/// Authentication keys by id. Tokens are issued with the key of the highest id and accepted with any of them.
#[derive(Clone, Default)]
pub struct TokenKeys(BTreeMap<u8, Vec<u8>>);

impl fmt::Debug for TokenKeys {
    /// Shows the ids only, never the keys.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.0.keys()).finish()
    }
}

impl TokenKeys {
    /// Parses a key file. Each line has an id (0 to 255) and a key of at least 32 hexadecimal digits; `#` starts a
    /// comment.
    ///
    /// # Errors
    /// The first invalid line, or that the file contains no key.
    pub fn parse(text: &str) -> Result<TokenKeys, KeyFileError> {
        let mut keys = BTreeMap::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if line.is_empty() {
                continue;
            }
            let at_line = |problem| KeyFileError::Line { line: index + 1, problem };
            let (id, key) = parse_key_line(line).map_err(at_line)?;
            if keys.insert(id, key).is_some() {
                return Err(at_line(KeyLineProblem::DuplicateId));
            }
        }
        if keys.is_empty() {
            return Err(KeyFileError::Empty);
        }
        Ok(TokenKeys(keys))
    }

    /// Computes the authentication code over a token's bytes and its audience. The length of the audience is
    /// authenticated too, so that no two pairs of audience and token are authenticated as the same bytes.
    fn mac(key: &[u8], bytes: &[u8], audience: &str) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
        mac.update(MAC_DOMAIN);
        mac.update(&(audience.len() as u32).to_be_bytes());
        mac.update(audience.as_bytes());
        mac.update(bytes);
        mac
    }

    /// Encodes and authenticates a token that is valid only for the client `audience`. Returns `None` if there is no
    /// key.
    pub fn issue(&self, token: &Token, audience: &str) -> Option<String> {
        let (id, key) = self.0.last_key_value()?;
        let mut bytes = encode_body(token, *id);
        let mac = TokenKeys::mac(key, &bytes, audience).finalize().into_bytes();
        bytes.extend(&mac[..MAC_BYTES]);
        Some(URL_SAFE_NO_PAD.encode(bytes))
    }

    /// Verifies and decodes the token `text` of the client `audience`. `now` is in Unix seconds.
    ///
    /// # Errors
    /// Why the token is rejected.
    pub fn verify(&self, text: &str, audience: &str, now: i64) -> Result<Token, TokenError> {
        if text.len() > MAX_TOKEN_CHARS {
            return Err(TokenError::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| TokenError::Malformed)?;
        if bytes.len() < HEADER_BYTES + MAC_BYTES {
            return Err(TokenError::Malformed);
        }
        let (body, mac) = bytes.split_at(bytes.len() - MAC_BYTES);
        if body[FORMAT_OFFSET] != FORMAT_VERSION {
            return Err(TokenError::UnknownFormat);
        }
        let key = self.0.get(&body[KEY_ID_OFFSET]).ok_or(TokenError::UnknownKey)?;
        let authentic = TokenKeys::mac(key, body, audience).verify_truncated_left(mac);
        authentic.map_err(|_| TokenError::Unauthenticated)?;
        let token = decode_body(body).ok_or(TokenError::Malformed)?;
        if token.issued > now + MAX_CLOCK_SKEW_S {
            return Err(TokenError::FromFuture);
        }
        if token.expires <= now {
            return Err(TokenError::Expired);
        }
        Ok(token)
    }
}

/// Parses a line of a key file into an id and a key.
fn parse_key_line(line: &str) -> Result<(u8, Vec<u8>), KeyLineProblem> {
    let (id, hex) = line.split_once(char::is_whitespace).ok_or(KeyLineProblem::NotAPair)?;
    let id = id.parse().map_err(|_| KeyLineProblem::BadId)?;
    let hex = hex.trim();
    let byte = |at: usize| hex.get(at..at + 2).and_then(|pair| u8::from_str_radix(pair, 16).ok());
    let key: Option<Vec<u8>> = (0..hex.len()).step_by(2).map(byte).collect();
    let only_digits = hex.bytes().all(|byte| byte.is_ascii_hexdigit());
    let key = key.filter(|key| key.len() >= MIN_KEY_BYTES && only_digits);
    Ok((id, key.ok_or(KeyLineProblem::BadKey)?))
}

fn encode_body(token: &Token, key_id: u8) -> Vec<u8> {
    let unix_seconds = |seconds: i64| (seconds.clamp(0, i64::from(u32::MAX)) as u32).to_be_bytes();
    let positions = &token.positions;
    let mut bytes = vec![FORMAT_VERSION, key_id];
    bytes.extend(token.session);
    bytes.extend(unix_seconds(token.issued));
    bytes.extend(unix_seconds(token.expires));
    bytes.push(u8::from(positions.lower_bound().is_some()));
    bytes.push(positions.by_group().len() as u8);
    if let Some(lower_bound) = positions.lower_bound() {
        encode_position(&mut bytes, GroupPosition { group: 0, position: lower_bound });
    }
    for position in positions.by_group() {
        encode_position(&mut bytes, *position);
    }
    bytes
}

fn encode_position(bytes: &mut Vec<u8>, GroupPosition { group, position }: GroupPosition) {
    encode_leb128(bytes, group as u64);
    encode_leb128(bytes, u64::from(position.epoch));
    // Rounded up, so that a decoded position is never earlier than the observed one.
    encode_leb128(bytes, (position.position.0.max(0) as u64).div_ceil(NANOS_PER_MILLI));
}

fn encode_leb128(out: &mut Vec<u8>, mut number: u64) {
    while number >= u64::from(LEB128_CONTINUES) {
        out.push(number as u8 | LEB128_CONTINUES);
        number >>= LEB128_BITS;
    }
    out.push(number as u8);
}

fn decode_leb128(bytes: &mut &[u8]) -> Option<u64> {
    let mut number = 0u64;
    for index in 0..MAX_LEB128_BYTES {
        let (&byte, rest) = bytes.split_first()?;
        *bytes = rest;
        number |= u64::from(byte & !LEB128_CONTINUES).checked_shl(index * LEB128_BITS)?;
        if byte < LEB128_CONTINUES {
            return Some(number);
        }
    }
    None
}

fn decode_position(bytes: &mut &[u8]) -> Option<GroupPosition> {
    let group = decode_leb128(bytes)? as GroupNumber;
    let epoch = u32::try_from(decode_leb128(bytes)?).ok()?;
    let millis = i64::try_from(decode_leb128(bytes)?).ok().filter(|millis| *millis < MAX_POSITION_MS)?;
    let position = Timestamp(millis * NANOS_PER_MILLI as i64);
    Some(GroupPosition { group, position: LogPosition { epoch, position } })
}

fn decode_body(body: &[u8]) -> Option<Token> {
    let unix_seconds = |offset: usize| {
        let bytes = body.get(offset..offset + UNIX_SECONDS_BYTES)?;
        Some(i64::from(u32::from_be_bytes(bytes.try_into().ok()?)))
    };
    let session = body[SESSION_OFFSET..ISSUED_OFFSET].try_into().ok()?;
    let (issued, expires) = (unix_seconds(ISSUED_OFFSET)?, unix_seconds(EXPIRES_OFFSET)?);
    let (has_lower_bound, count) = (body[HAS_LOWER_BOUND_OFFSET], usize::from(body[POSITION_COUNT_OFFSET]));
    if has_lower_bound > 1 || count > MAX_POSITIONS {
        return None;
    }
    let mut rest = &body[HEADER_BYTES..];
    let mut positions = SessionPositions::default();
    if has_lower_bound == 1 {
        positions.raise_lower_bound(decode_position(&mut rest)?.position);
    }
    for _ in 0..count {
        let GroupPosition { group, position } = decode_position(&mut rest)?;
        positions.advance(group, position);
    }
    rest.is_empty().then_some(Token { session, issued, expires, positions })
}

/// Converts the lifetime of a token to whole seconds, rounded down but at least one.
pub fn lifetime_s(lifetime: TimeDelta) -> i64 {
    (lifetime.0 / NANOS_PER_SECOND).max(1)
}
