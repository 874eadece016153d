//! Client sessions, whose state clients carry as authenticated tokens: opening and issuing tokens, and this
//! instance's cache of session positions.

use crate::messages::response::{Response, SessionUpdate};
use crate::protocol::sqlstate::SqlState;
use crate::runtime::clock::NANOS_PER_SECOND;
use routing::rng::Mwc;
use routing::time::{TimeDelta, Timestamp};
use sessions::positions::{GroupNumber, LogPosition, SessionPositions};
use sessions::session_cache::{SessionCache, MAX_SESSIONS};
use sessions::token::{lifetime_s, KeyFileError, SessionId, Token, TokenError, TokenKeys};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard};
use thiserror::Error;

/// The value of the session parameter by which a client starts a session; an empty value does the same.
const NEW_SESSION: &str = "new";
/// The number of values of a byte.
const BYTE_VALUES: usize = 1 << u8::BITS;

/// The session of one connection: resumed from the client's token, or new.
pub struct ClientSession {
    session: SessionId,
    audience: String,
    positions: SessionPositions,
}

/// The SQLSTATE of the error for a token that was not accepted.
pub fn rejection_sqlstate(error: TokenError) -> SqlState {
    match error {
        TokenError::Expired => SqlState::TOKEN_EXPIRED,
        _ => SqlState::TOKEN_REJECTED,
    }
}

/// An error in reading a key file.
#[derive(Debug, Error)]
pub enum ReadKeysError {
    /// The key file cannot be read.
    #[error("{}: {error}", path.display())]
    Io {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// A line of the file is invalid.
    #[error("{}:{error}", path.display())]
    Keys {
        /// The path of the file.
        path: PathBuf,
        /// The number of the line, and why it is invalid.
        error: KeyFileError,
    },
}

/// Reads the keys of session tokens from a file.
///
/// # Errors
/// The file cannot be read, or one of its lines is invalid.
pub fn read_keys(path: &Path) -> Result<TokenKeys, ReadKeysError> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|error| ReadKeysError::Io { path: path.to_path_buf(), error })?;
    TokenKeys::parse(&text).map_err(|error| ReadKeysError::Keys { path: path.to_path_buf(), error })
}

/// Opens and issues session tokens. Holds their keys and the cache of session positions.
pub struct SessionTokens {
    keys: Mutex<TokenKeys>,
    lifetime: TimeDelta,
    cache: Mutex<SessionCache>,
    /// The random numbers from which session ids are generated.
    id_rng: Mutex<Mwc>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// A timestamp in whole Unix seconds, rounded down.
fn unix_seconds(now: Timestamp) -> i64 {
    now.0.div_euclid(NANOS_PER_SECOND)
}

impl SessionTokens {
    /// Creates an issuer of tokens that are valid for `lifetime`; `seed` is for the random session ids.
    pub fn new(keys: TokenKeys, lifetime: TimeDelta, seed: u64) -> SessionTokens {
        SessionTokens {
            keys: Mutex::new(keys),
            lifetime,
            cache: Mutex::new(SessionCache::new(MAX_SESSIONS, lifetime)),
            id_rng: Mutex::new(Mwc::new(seed)),
        }
    }

    /// Replaces the keys with which tokens are sealed and opened.
    pub fn set_keys(&self, keys: TokenKeys) {
        *lock(&self.keys) = keys;
    }

    /// Opens a client's token, or starts a new session if `token` is empty or `new`.
    ///
    /// # Errors
    /// The token is invalid, has expired, or was issued for another audience.
    pub fn open(&self, now: Timestamp, token: &str, audience: &str) -> Result<ClientSession, TokenError> {
        let audience = audience.to_string();
        if token.is_empty() || token == NEW_SESSION {
            let session = self.new_session_id();
            return Ok(ClientSession { session, audience, positions: SessionPositions::default() });
        }
        let token = lock(&self.keys).verify(token, &audience, unix_seconds(now))?;
        Ok(ClientSession { session: token.session, audience, positions: token.positions })
    }

    /// Generates a random session id.
    fn new_session_id(&self) -> SessionId {
        let mut id = SessionId::default();
        let mut rng = lock(&self.id_rng);
        for byte in &mut id {
            *byte = rng.below(BYTE_VALUES) as u8;
        }
        id
    }

    /// The position in a group's log that the session has seen, according to its token and to this instance's
    /// cache; `None` if it has seen none.
    pub fn seen_position(
        &self,
        now: Timestamp,
        session: &mut ClientSession,
        group: GroupNumber,
    ) -> Option<LogPosition> {
        lock(&self.cache).merge(now, session.session, &mut session.positions);
        session.positions.get(group)
    }

    /// Updates the session's positions from a response; returns a new token if the response carries a position.
    pub fn record_response(
        &self,
        now: Timestamp,
        session: &mut ClientSession,
        group: GroupNumber,
        response: &Response,
    ) -> Option<String> {
        match response {
            // If the session's position is lost, it is kept until `Response::SessionLost` has told the client.
            Response::Value {
                session_update: SessionUpdate { position: Some(position), session_lost: false },
                ..
            } => {
                session.positions.advance(group, *position);
                lock(&self.cache).merge(now, session.session, &mut session.positions);
            }
            Response::SessionLost { restart_position } => {
                session.positions.remove(group);
                session.positions.advance(group, *restart_position);
                lock(&self.cache).remove_position(&session.session, group);
            }
            _ => return None,
        }
        self.issue(now, session)
    }

    /// Issues a token with the session's current positions; `None` if it cannot be sealed.
    pub fn issue(&self, now: Timestamp, session: &ClientSession) -> Option<String> {
        let issued = unix_seconds(now);
        let token = Token {
            session: session.session,
            issued,
            expires: issued + lifetime_s(self.lifetime),
            positions: session.positions.clone(),
        };
        lock(&self.keys).issue(&token, &session.audience)
    }
}
