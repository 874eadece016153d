//! Sessions that their clients carry: tokens opened and issued, and what this instance remembers beside them.

use crate::messages::response::{Response, SessionEvidence};
use crate::protocol::sqlstate::SqlState;
use routing::rng::Mwc;
use routing::time::{TimeDelta, Timestamp};
use sessions::positions::{GroupNumber, LogPosition, SessionPositions};
use sessions::session_cache::{SessionCache, MAX_SESSIONS};
use sessions::token::{lifetime_s, KeyFileError, Keys, SessionId, Token, TokenError};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard};
use thiserror::Error;

const NANOS_PER_SECOND: i64 = 1_000_000_000;
/// What a client gives to start a session, or nothing.
const NEW_SESSION: &str = "new";

/// One connection's session.
pub struct ClientSession {
    session: SessionId,
    audience: String,
    positions: SessionPositions,
}

/// The SQLSTATE of a token that is rejected.
pub fn rejection_code(error: TokenError) -> SqlState {
    match error {
        TokenError::Expired => SqlState::TOKEN_EXPIRED,
        _ => SqlState::TOKEN_REJECTED,
    }
}

/// Why a file of keys cannot be used.
#[derive(Debug, Error)]
pub enum ReadKeysError {
    /// It cannot be read.
    #[error("{}: {error}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// Why not.
        error: std::io::Error,
    },
    /// A line of it is wrong.
    #[error("{}:{error}", path.display())]
    Keys {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        error: KeyFileError,
    },
}

/// Reads a file of keys.
///
/// # Errors
/// It cannot be used.
pub fn read_keys(path: &Path) -> Result<Keys, ReadKeysError> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|error| ReadKeysError::Io { path: path.to_path_buf(), error })?;
    Keys::parse(&text).map_err(|error| ReadKeysError::Keys { path: path.to_path_buf(), error })
}

/// The sessions that clients carry.
pub struct SessionTokens {
    keys: Mutex<Keys>,
    lifetime: TimeDelta,
    cache: Mutex<SessionCache>,
    ids: Mutex<Mwc>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn unix_seconds(now: Timestamp) -> i64 {
    now.0.div_euclid(NANOS_PER_SECOND)
}

impl SessionTokens {
    /// With these keys; tokens are valid for `lifetime`.
    pub fn new(keys: Keys, lifetime: TimeDelta, seed: u64) -> SessionTokens {
        SessionTokens {
            keys: Mutex::new(keys),
            lifetime,
            cache: Mutex::new(SessionCache::new(MAX_SESSIONS, lifetime)),
            ids: Mutex::new(Mwc::new(seed)),
        }
    }

    /// Changes the keys.
    pub fn set_keys(&self, keys: Keys) {
        *lock(&self.keys) = keys;
    }

    /// Opens a token, or starts a session if none is given.
    ///
    /// # Errors
    /// The token is rejected.
    pub fn open(&self, now: Timestamp, token: &str, audience: &str) -> Result<ClientSession, TokenError> {
        let audience = audience.to_string();
        if token.is_empty() || token == NEW_SESSION {
            let session = self.new_session_id();
            return Ok(ClientSession { session, audience, positions: SessionPositions::default() });
        }
        let token = lock(&self.keys).open(token, &audience, unix_seconds(now))?;
        Ok(ClientSession { session: token.session, audience, positions: token.positions })
    }

    fn new_session_id(&self) -> SessionId {
        let mut id = SessionId::default();
        let mut rng = lock(&self.ids);
        for byte in &mut id {
            *byte = rng.below(256) as u8;
        }
        id
    }

    /// What the session has seen of a group, here or elsewhere.
    pub fn seen(
        &self,
        now: Timestamp,
        session: &mut ClientSession,
        group: GroupNumber,
    ) -> Option<LogPosition> {
        lock(&self.cache).merge(now, session.session, &mut session.positions);
        session.positions.get(group)
    }

    /// Takes what a response has shown; the token that goes with it, if that has changed.
    pub fn record_response(
        &self,
        now: Timestamp,
        session: &mut ClientSession,
        group: GroupNumber,
        response: &Response,
    ) -> Option<String> {
        match response {
            // A position that is lost stays until the client was told.
            Response::Value {
                evidence: SessionEvidence { position: Some(position), session_lost: false },
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

    /// The session's token.
    pub fn issue(&self, now: Timestamp, session: &ClientSession) -> Option<String> {
        let issued = unix_seconds(now);
        let token = Token {
            session: session.session,
            issued,
            expires: issued + lifetime_s(self.lifetime),
            positions: session.positions.clone(),
        };
        lock(&self.keys).seal(&token, &session.audience)
    }
}
