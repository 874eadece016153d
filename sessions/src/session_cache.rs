//! What one instance remembers of sessions beside what their clients carry, so that two connections of one session see
//! the same. No guarantee on one connection, or on one that moved, depends on it, and it is bounded however many sessions
//! there are.

use crate::positions::{GroupNumber, SessionPositions};
use crate::token::SessionId;
use routing::time::{TimeDelta, Timestamp};
use std::collections::{BTreeSet, HashMap};

/// Sessions that an instance remembers at most, some 200 bytes each.
pub const MAX_SESSIONS: usize = 20_000;
/// A table with this capacity or less is never shrunk.
const MIN_CAPACITY: usize = 64;

struct CachedSession {
    positions: SessionPositions,
    used_at: Timestamp,
}

/// Sessions by their identifiers. The least recently used go first if there are too many, and all after a time.
pub struct SessionCache {
    max_sessions: usize,
    time_to_live: TimeDelta,
    sessions: HashMap<SessionId, CachedSession>,
    by_use: BTreeSet<(Timestamp, SessionId)>,
}

impl SessionCache {
    /// A cache for at most so many sessions, each for so long after its last use.
    pub fn new(max_sessions: usize, time_to_live: TimeDelta) -> SessionCache {
        SessionCache { max_sessions, time_to_live, sessions: HashMap::new(), by_use: BTreeSet::new() }
    }

    /// Sessions remembered.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Merges what a client carries with what is remembered, both ways.
    pub fn merge(&mut self, now: Timestamp, session: SessionId, presented: &mut SessionPositions) {
        self.expire(now);
        if let Some(cached) = self.sessions.get_mut(&session) {
            cached.positions.merge(presented);
            presented.clone_from(&cached.positions);
            self.by_use.remove(&(cached.used_at, session));
            cached.used_at = now;
        } else if presented.is_empty() {
            return;
        } else {
            self.sessions.insert(session, CachedSession { positions: presented.clone(), used_at: now });
        }
        self.by_use.insert((now, session));
        while self.sessions.len() > self.max_sessions {
            let Some((_, oldest)) = self.by_use.pop_first() else { break };
            self.sessions.remove(&oldest);
        }
    }

    /// A position of the session was lost, and its client is told so. Nothing takes its place: a client that was not
    /// reached comes again with the token that it had, and must be told again.
    pub fn remove_position(&mut self, session: &SessionId, group: GroupNumber) {
        if let Some(cached) = self.sessions.get_mut(session) {
            cached.positions.remove(group);
        }
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some(&(used_at, session)) = self.by_use.first() {
            if used_at + self.time_to_live > now {
                break;
            }
            self.by_use.remove(&(used_at, session));
            self.sessions.remove(&session);
        }
        let capacity = self.sessions.capacity();
        if capacity > MIN_CAPACITY && self.sessions.len() < capacity / 4 {
            self.sessions.shrink_to(self.sessions.len() * 2);
        }
    }
}
