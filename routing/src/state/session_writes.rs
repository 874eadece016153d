//! Commit positions of sessions' last writes, for deployments whose clients do not send them. Memory is bounded by a
//! maximum of sessions; writes in flight are bounded by the open requests.

use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of sessions whose positions are kept.
const MAX_SESSIONS: usize = 1 << 16;

/// Positions that sessions' reads must see because of the sessions' own writes.
#[derive(Default)]
pub struct SessionWrites {
    positions: BTreeMap<u64, Timestamp>,
    by_position: BTreeSet<(Timestamp, u64)>,
    /// Number of writes in flight by session. Each may already be committed, with its answer still in flight or lost.
    in_flight: BTreeMap<u64, u32>,
    /// The latest dropped position: it applies to every session without a position.
    dropped: Option<Timestamp>,
}

impl SessionWrites {
    /// Position that a read of the session must see if it arrives now.
    pub fn required_position(&self, session: Option<u64>, now: Timestamp) -> Option<Timestamp> {
        let key = session.unwrap_or_default();
        let written = self.positions.get(&key).copied();
        let pending = self.in_flight.contains_key(&key).then_some(now);
        written.max(pending).filter(|_| session.is_some()).max(self.dropped)
    }

    /// Records the start of an attempt of a write.
    pub fn started(&mut self, session: u64) {
        *self.in_flight.entry(session).or_default() += 1;
    }

    /// Records the end of an attempt of a write. `committed` is a position that surely includes the write, `None` if
    /// it was not executed.
    pub fn ended(&mut self, session: u64, committed: Option<Timestamp>) {
        if let Some(in_flight) = self.in_flight.get_mut(&session) {
            *in_flight -= 1;
            if *in_flight == 0 {
                self.in_flight.remove(&session);
            }
        }
        if let Some(position) = committed {
            self.raise(session, position);
        }
    }

    fn raise(&mut self, session: u64, position: Timestamp) {
        let known = self.positions.entry(session).or_insert(position);
        self.by_position.remove(&(*known, session));
        *known = position.max(*known);
        self.by_position.insert((*known, session));
    }

    /// Drops positions that every usable endpoint has reached, since they are always satisfied, and those beyond the
    /// maximum, which then apply to all sessions without a position.
    pub fn expire(&mut self, reached: Option<Timestamp>) {
        while let Some(&(position, session)) = self.by_position.first() {
            if reached < Some(position) && self.positions.len() <= MAX_SESSIONS {
                return;
            }
            self.by_position.pop_first();
            self.positions.remove(&session);
            self.dropped = self.dropped.max(Some(position));
        }
    }

    /// Number of sessions whose positions are kept.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no session's position is kept.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }
}
