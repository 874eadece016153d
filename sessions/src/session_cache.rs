//! Session cache of one instance, through which concurrent connections of the same session share its positions. The
//! guarantees for a client with one connection at a time, on any instance, depend on its token only. The number of
//! cached sessions is limited.

use crate::positions::{GroupNumber, SessionPositions};
use crate::token::SessionId;
use routing::time::{TimeDelta, Timestamp};
use std::collections::{BTreeSet, HashMap};

/// Maximum number of sessions in the cache of an instance. A session takes about 200 bytes.
pub const MAX_SESSIONS: usize = 20_000;
/// The session table is not shrunk at this capacity (entries) or below: shrinking would release too little memory.
const MIN_SHRINK_CAPACITY: usize = 64;

struct CachedSession {
    positions: SessionPositions,
    used_at: Timestamp,
}

/// Cache of sessions with least-recently-used eviction and a time to live.
pub struct SessionCache {
    max_sessions: usize,
    time_to_live: TimeDelta,
    sessions: HashMap<SessionId, CachedSession>,
    /// All cached sessions in the order of their last use.
    by_last_use: BTreeSet<(Timestamp, SessionId)>,
}

impl SessionCache {
    /// Creates a cache of at most `max_sessions`, each kept for `time_to_live` after its last use.
    pub fn new(max_sessions: usize, time_to_live: TimeDelta) -> SessionCache {
        SessionCache { max_sessions, time_to_live, sessions: HashMap::new(), by_last_use: BTreeSet::new() }
    }

    /// Number of cached sessions.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether no session is cached.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Merges the positions in a client's token with the cached ones, and updates both. Evicts the least recently
    /// used sessions if the cache is full.
    pub fn merge(&mut self, now: Timestamp, session: SessionId, presented: &mut SessionPositions) {
        self.remove_expired(now);
        if let Some(cached) = self.sessions.get_mut(&session) {
            cached.positions.merge(presented);
            presented.clone_from(&cached.positions);
            self.by_last_use.remove(&(cached.used_at, session));
            cached.used_at = now;
        } else if presented.is_empty() {
            return;
        } else {
            self.sessions.insert(session, CachedSession { positions: presented.clone(), used_at: now });
        }
        self.by_last_use.insert((now, session));
        while self.sessions.len() > self.max_sessions {
            let Some((_, oldest)) = self.by_last_use.pop_first() else { break };
            self.sessions.remove(&oldest);
        }
    }

    /// Removes the lost position of a session when its client is notified of the loss. No new position is stored in
    /// the cache: if the notification does not arrive, the client presents its old token again and must be notified
    /// again.
    pub fn remove_position(&mut self, session: &SessionId, group: GroupNumber) {
        if let Some(cached) = self.sessions.get_mut(session) {
            cached.positions.remove(group);
        }
    }

    /// Removes the sessions whose time to live has passed, and shrinks the table if most of it is unused.
    fn remove_expired(&mut self, now: Timestamp) {
        while let Some(&(used_at, session)) = self.by_last_use.first() {
            if used_at + self.time_to_live > now {
                break;
            }
            self.by_last_use.remove(&(used_at, session));
            self.sessions.remove(&session);
        }
        let capacity = self.sessions.capacity();
        if capacity > MIN_SHRINK_CAPACITY && self.sessions.len() < capacity / 4 {
            self.sessions.shrink_to(self.sessions.len() * 2);
        }
    }
}
