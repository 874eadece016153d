//! The token that a client carries: its session's positions, authenticated so that no client can make or change one.
//!
//! Its bytes, before base64 (URL alphabet, no padding): format 1, the key's id, 16 of the session, issue and expiry in Unix
//! seconds (4 each), a flag for the lower bound, the count of positions, then for each its group, epoch and position in
//! milliseconds as LEB128, and 16 bytes of HMAC-SHA256 over all of that and over the audience, which is not in the token.

use crate::positions::{GroupNumber, LogPosition, SessionPositions, MAX_POSITIONS};
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, Mac};
use routing::time::{TimeDelta, Timestamp};
use sha2::Sha256;
use std::collections::BTreeMap;
use std::fmt;
use thiserror::Error;

const FORMAT: u8 = 1;
const MAC_BYTES: usize = 16;
const HEADER_BYTES: usize = 1 + 1 + 16 + 4 + 4 + 1 + 1;
/// A group, an epoch and a position as LEB128, at most.
const MAX_POSITION_BYTES: usize = 10 + 5 + 10;
/// The longest token: all positions and a lower bound.
const MAX_BYTES: usize = HEADER_BYTES + (MAX_POSITIONS + 1) * MAX_POSITION_BYTES + MAC_BYTES;
/// The longest token in base64.
pub const MAX_TEXT_BYTES: usize = MAX_BYTES.div_ceil(3) * 4;
/// The clocks of instances may lie this far apart.
const MAX_CLOCK_SKEW_S: i64 = 5;
/// Positions beyond this are no times.
const MAX_POSITION_MS: i64 = 9_000_000_000_000;
const NANOS_PER_MILLI: u64 = 1_000_000;
/// The fewest bytes of a key: as many as its authentication codes have.
pub const MIN_KEY_BYTES: usize = 16;

/// A session's identifier, drawn when it begins.
pub type SessionId = [u8; 16];

/// What a token says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// The session.
    pub session: SessionId,
    /// When it was issued, in Unix seconds.
    pub issued: i64,
    /// When it expires, in Unix seconds.
    pub expires: i64,
    /// What the session has seen.
    pub positions: SessionPositions,
}

/// Why a token is rejected. The texts are part of the wire.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum TokenError {
    /// Cut, too long, or no token at all.
    #[error("it is no token")]
    Malformed,
    /// Of a format that this program does not know.
    #[error("its format is not known here")]
    UnknownFormat,
    /// Authenticated with a key that is not known here.
    #[error("its key is not known here")]
    UnknownKey,
    /// Forged, changed, or another client's.
    #[error("its seal does not fit: changed, or another client's")]
    Unauthenticated,
    /// Its time is over.
    #[error("it has expired")]
    Expired,
    /// It was issued at a time to come.
    #[error("it is from a time to come")]
    FromFuture,
}

/// What is wrong with a file of keys.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum KeyFileError {
    /// A line is wrong; lines count from 1.
    #[error("{line}: {problem}")]
    Line {
        /// The line.
        line: usize,
        /// What is wrong with it.
        problem: KeyLineProblem,
    },
    /// It holds no key.
    #[error("1: no key")]
    Empty,
}

/// What is wrong with a line of a file of keys.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum KeyLineProblem {
    /// It does not have two parts.
    #[error("an id and a key are wanted")]
    NotAPair,
    /// Its id is none.
    #[error("the id is no number from 0 to 255")]
    BadId,
    /// Its key is none.
    #[error("the key is not 32 hex digits or more")]
    BadKey,
    /// Its id is another line's too.
    #[error("the id stands twice")]
    DuplicateId,
}

/// Keys by their ids. The one with the highest id issues tokens, all of them open tokens.
#[derive(Clone, Default)]
pub struct Keys(BTreeMap<u8, Vec<u8>>);

impl fmt::Debug for Keys {
    /// The ids, never the keys themselves.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.0.keys()).finish()
    }
}

impl Keys {
    /// Reads lines of an id (0 to 255) and at least 32 hex digits; `#` begins a comment.
    ///
    /// # Errors
    /// The first line that is wrong.
    pub fn parse(text: &str) -> Result<Keys, KeyFileError> {
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
        Ok(Keys(keys))
    }

    fn mac(key: &[u8], bytes: &[u8], audience: &str) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes a key of any length");
        mac.update(b"gingerwick session\0");
        mac.update(&(audience.len() as u32).to_be_bytes());
        mac.update(audience.as_bytes());
        mac.update(bytes);
        mac
    }

    /// Issues a token for an audience: the client that it is given to, so that nobody else can use it.
    pub fn seal(&self, token: &Token, audience: &str) -> Option<String> {
        let (id, key) = self.0.last_key_value()?;
        let mut bytes = encode_body(token, *id);
        let mac = Keys::mac(key, &bytes, audience).finalize().into_bytes();
        bytes.extend(&mac[..MAC_BYTES]);
        Some(URL_SAFE_NO_PAD.encode(bytes))
    }

    /// Opens a token that a client carries. `now` is in Unix seconds.
    ///
    /// # Errors
    /// The token is rejected.
    pub fn open(&self, text: &str, audience: &str, now: i64) -> Result<Token, TokenError> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(TokenError::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| TokenError::Malformed)?;
        if bytes.len() < HEADER_BYTES + MAC_BYTES {
            return Err(TokenError::Malformed);
        }
        let (body, mac) = bytes.split_at(bytes.len() - MAC_BYTES);
        if body[0] != FORMAT {
            return Err(TokenError::UnknownFormat);
        }
        let key = self.0.get(&body[1]).ok_or(TokenError::UnknownKey)?;
        let authentic = Keys::mac(key, body, audience).verify_truncated_left(mac);
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
    let mut bytes = vec![FORMAT, key_id];
    bytes.extend(token.session);
    bytes.extend(unix_seconds(token.issued));
    bytes.extend(unix_seconds(token.expires));
    bytes.push(u8::from(positions.lower_bound().is_some()));
    bytes.push(positions.by_group().len() as u8);
    if let Some(lower_bound) = positions.lower_bound() {
        encode_position(&mut bytes, 0, lower_bound);
    }
    for (group, position) in positions.by_group() {
        encode_position(&mut bytes, *group, *position);
    }
    bytes
}

fn encode_position(bytes: &mut Vec<u8>, group: GroupNumber, position: LogPosition) {
    encode_leb128(bytes, group as u64);
    encode_leb128(bytes, u64::from(position.epoch));
    // Rounded up: a session must not seem to have seen less than it has.
    encode_leb128(bytes, (position.position.0.max(0) as u64).div_ceil(NANOS_PER_MILLI));
}

fn encode_leb128(out: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        out.push(number as u8 | 0x80);
        number >>= 7;
    }
    out.push(number as u8);
}

fn decode_leb128(bytes: &mut &[u8]) -> Option<u64> {
    let mut number = 0u64;
    for index in 0..10 {
        let (&first, rest) = bytes.split_first()?;
        *bytes = rest;
        number |= u64::from(first & 0x7f).checked_shl(index * 7)?;
        if first < 0x80 {
            return Some(number);
        }
    }
    None
}

fn decode_position(bytes: &mut &[u8]) -> Option<(GroupNumber, LogPosition)> {
    let group = decode_leb128(bytes)? as GroupNumber;
    let epoch = u32::try_from(decode_leb128(bytes)?).ok()?;
    let millis = i64::try_from(decode_leb128(bytes)?).ok().filter(|millis| *millis < MAX_POSITION_MS)?;
    let position = Timestamp(millis * NANOS_PER_MILLI as i64);
    Some((group, LogPosition { epoch, position }))
}

fn decode_body(body: &[u8]) -> Option<Token> {
    let unix_seconds =
        |at: usize| Some(i64::from(u32::from_be_bytes(body.get(at..at + 4)?.try_into().ok()?)));
    let session = body[2..18].try_into().ok()?;
    let (issued, expires) = (unix_seconds(18)?, unix_seconds(22)?);
    let (has_lower_bound, count) = (body[26], usize::from(body[27]));
    if has_lower_bound > 1 || count > MAX_POSITIONS {
        return None;
    }
    let mut rest = &body[HEADER_BYTES..];
    let mut positions = SessionPositions::default();
    if has_lower_bound == 1 {
        positions.raise_lower_bound(decode_position(&mut rest)?.1);
    }
    for _ in 0..count {
        let (group, position) = decode_position(&mut rest)?;
        positions.advance(group, position);
    }
    rest.is_empty().then_some(Token { session, issued, expires, positions })
}

/// How long a token is valid, in whole seconds.
pub fn lifetime_s(lifetime: TimeDelta) -> i64 {
    (lifetime.0 / 1_000_000_000).max(1)
}
