//! The commit positions of sessions' last writes, if clients do not carry them. Bounded, however many sessions never
//! come back; writes in flight are bounded by the open requests.

use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// Sessions whose positions are kept at most.
const MAX_SESSIONS: usize = 1 << 16;

/// Positions that sessions' reads must see because of their writes.
#[derive(Default)]
pub struct SessionWrites {
    positions: BTreeMap<u64, Timestamp>,
    by_position: BTreeSet<(Timestamp, u64)>,
    /// Writes in flight, by session. Each may have run and been answered, though the answer is still on its way, or
    /// lost.
    in_flight: BTreeMap<u64, u32>,
    /// The latest of the positions that were dropped: it counts for every session that has none.
    dropped: Option<Timestamp>,
}

impl SessionWrites {
    /// The position that a read of the session must see which arrives now.
    pub fn required_position(&self, session: Option<u64>, now: Timestamp) -> Option<Timestamp> {
        let key = session.unwrap_or_default();
        let written = self.positions.get(&key).copied();
        let pending = self.in_flight.contains_key(&key).then_some(now);
        written.max(pending).filter(|_| session.is_some()).max(self.dropped)
    }

    /// An attempt of a write has started.
    pub fn started(&mut self, session: u64) {
        *self.in_flight.entry(session).or_default() += 1;
    }

    /// An attempt of a write has ended. `committed` is a position that surely shows the write, none if it did not run.
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

    /// Drops positions that every usable endpoint has reached, since they bind nobody, and those beyond the limit, which
    /// then bind every session alike.
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

    /// Sessions whose positions are kept.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no session's position is kept.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }
}
