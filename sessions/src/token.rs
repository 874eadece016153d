//! The token that a client carries: its session's marks, sealed so that no client can make or change one.
//!
//! Bytes, before base64 (URL alphabet, no padding): format 1, the key's id, 16 of the session, issued and
//! expiring in Unix seconds (4 each), a flag for the floor, the count of marks, then for each group, epoch,
//! position in milliseconds as LEB128, and 16 bytes of HMAC-SHA256 over all before and over the audience,
//! which is not in it.

use crate::marks::{Block, Mark, Marks, MOST_MARKS};
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, Mac};
use routing::time::{Moment, Span};
use sha2::Sha256;
use std::collections::BTreeMap;
use std::fmt;

const FORMAT: u8 = 1;
const SEAL: usize = 16;
const HEAD: usize = 1 + 1 + 16 + 4 + 4 + 1 + 1;
/// The longest token in bytes: sixteen marks and a floor, of 10 + 5 + 10 bytes at most each.
const MOST_BYTES: usize = HEAD + (MOST_MARKS + 1) * 25 + SEAL;
/// The same in base64.
pub const MOST_TEXT: usize = MOST_BYTES.div_ceil(3) * 4;
/// Clocks of fronts may lie so far apart.
const AHEAD_S: i64 = 5;

/// A session's name, drawn at its beginning.
pub type SessionId = [u8; 16];

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    pub session: SessionId,
    /// In Unix seconds.
    pub issued: i64,
    pub expires: i64,
    pub marks: Marks,
}

/// Why a token is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unfit {
    /// Cut, too long, or no token at all.
    Malformed,
    /// Of a format that this program does not know.
    Format,
    /// Sealed with a key that is not known here.
    Key,
    /// Forged, changed, or another client's.
    Seal,
    Expired,
    /// From a time to come.
    Future,
}

impl fmt::Display for Unfit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Unfit::Malformed => "it is no token",
            Unfit::Format => "its format is not known here",
            Unfit::Key => "its key is not known here",
            Unfit::Seal => "its seal does not fit: changed, or another client's",
            Unfit::Expired => "it has expired",
            Unfit::Future => "it is from a time to come",
        })
    }
}

/// Keys by their ids. The one with the highest id seals, all of them open.
#[derive(Clone, Default)]
pub struct Keys(BTreeMap<u8, Vec<u8>>);

impl fmt::Debug for Keys {
    /// Never the keys themselves.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.0.keys()).finish()
    }
}

/// The fewest bytes of a key: as many as its seals have.
pub const LEAST_KEY: usize = 16;

impl Keys {
    /// Lines of an id (0 to 255) and at least 32 hex digits; `#` begins a comment. A fault names its line.
    pub fn parse(text: &str) -> Result<Keys, String> {
        let mut keys = BTreeMap::new();
        for (nth, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if line.is_empty() {
                continue;
            }
            let fault = |why: &str| format!("{}: {why}", nth + 1);
            let (id, hex) =
                line.split_once(char::is_whitespace).ok_or_else(|| fault("an id and a key are wanted"))?;
            let id: u8 = id.parse().map_err(|_| fault("the id is no number from 0 to 255"))?;
            let hex = hex.trim();
            let byte = |at: usize| hex.get(at..at + 2).and_then(|two| u8::from_str_radix(two, 16).ok());
            let key: Option<Vec<u8>> = (0..hex.len()).step_by(2).map(byte).collect();
            let key = key.filter(|key| key.len() >= LEAST_KEY && hex.bytes().all(|b| b.is_ascii_hexdigit()));
            let key = key.ok_or_else(|| fault("the key is not 32 hex digits or more"))?;
            if keys.insert(id, key).is_some() {
                return Err(fault("the id stands twice"));
            }
        }
        if keys.is_empty() {
            return Err("1: no key".into());
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

    /// Seals a token for an audience: who it was given to, so that nobody else can use it.
    pub fn seal(&self, token: &Token, audience: &str) -> Option<String> {
        let (id, key) = self.0.last_key_value()?;
        let mut bytes = vec![FORMAT, *id];
        bytes.extend(token.session);
        bytes.extend((token.issued.clamp(0, i64::from(u32::MAX)) as u32).to_be_bytes());
        bytes.extend((token.expires.clamp(0, i64::from(u32::MAX)) as u32).to_be_bytes());
        let floor = token.marks.floor();
        bytes.push(u8::from(floor.is_some()));
        bytes.push(token.marks.each().len() as u8);
        let mut put = |group: Block, mark: Mark| {
            put_number(&mut bytes, group as u64);
            put_number(&mut bytes, u64::from(mark.epoch));
            // Rounded up: what was seen must not look a little less.
            put_number(&mut bytes, (mark.position.0.max(0) as u64).div_ceil(1_000_000));
        };
        floor.into_iter().for_each(|floor| put(0, floor));
        token.marks.each().iter().for_each(|(group, mark)| put(*group, *mark));
        let seal = Keys::mac(key, &bytes, audience).finalize().into_bytes();
        bytes.extend(&seal[..SEAL]);
        Some(URL_SAFE_NO_PAD.encode(bytes))
    }

    /// Opens what a client carries. `now` is in Unix seconds.
    pub fn open(&self, text: &str, audience: &str, now: i64) -> Result<Token, Unfit> {
        if text.len() > MOST_TEXT {
            return Err(Unfit::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| Unfit::Malformed)?;
        if bytes.len() < HEAD + SEAL {
            return Err(Unfit::Malformed);
        }
        let (body, seal) = bytes.split_at(bytes.len() - SEAL);
        if body[0] != FORMAT {
            return Err(Unfit::Format);
        }
        let key = self.0.get(&body[1]).ok_or(Unfit::Key)?;
        Keys::mac(key, body, audience).verify_truncated_left(seal).map_err(|_| Unfit::Seal)?;
        let token = read(body).ok_or(Unfit::Malformed)?;
        if token.issued > now + AHEAD_S {
            return Err(Unfit::Future);
        }
        if token.expires <= now {
            return Err(Unfit::Expired);
        }
        Ok(token)
    }
}

fn put_number(out: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        out.push(number as u8 | 0x80);
        number >>= 7;
    }
    out.push(number as u8);
}

fn take_number(bytes: &mut &[u8]) -> Option<u64> {
    let mut number = 0u64;
    for nth in 0..10 {
        let (&first, rest) = bytes.split_first()?;
        *bytes = rest;
        number |= u64::from(first & 0x7f).checked_shl(nth * 7)?;
        if first < 0x80 {
            return Some(number);
        }
    }
    None
}

fn read(body: &[u8]) -> Option<Token> {
    let session = body[2..18].try_into().ok()?;
    let seconds = |at: usize| Some(i64::from(u32::from_be_bytes(body.get(at..at + 4)?.try_into().ok()?)));
    let (issued, expires) = (seconds(18)?, seconds(22)?);
    let (floor, many) = (body[26], usize::from(body[27]));
    let mut rest = &body[HEAD..];
    let mut take = || {
        let group = take_number(&mut rest)? as Block;
        let epoch = u32::try_from(take_number(&mut rest)?).ok()?;
        let ms = i64::try_from(take_number(&mut rest)?).ok().filter(|ms| *ms < 9_000_000_000_000)?;
        Some((group, Mark { epoch, position: Moment(ms * 1_000_000) }))
    };
    let mut marks = Marks::default();
    if floor > 1 || many > MOST_MARKS {
        return None;
    }
    if floor == 1 {
        marks.raise_floor(take()?.1);
    }
    for _ in 0..many {
        let (group, mark) = take()?;
        marks.see(group, mark);
    }
    rest.is_empty().then_some(Token { session, issued, expires, marks })
}

/// How long a token counts from its issue, in whole seconds.
pub fn lasts(span: Span) -> i64 {
    (span.0 / 1_000_000_000).max(1)
}
