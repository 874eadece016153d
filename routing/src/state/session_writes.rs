//! Commit positions of sessions' last writes, for deployments whose clients do not send them. The number of sessions
//! with a kept position has a maximum; the number of writes in flight is limited by the open requests.

use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of sessions for which a position is kept.
const MAX_SESSIONS: usize = 1 << 16;

/// The positions that reads of sessions must see because of the sessions' own writes.
#[derive(Default)]
pub struct SessionWrites {
    positions: BTreeMap<u64, Timestamp>,
    by_position: BTreeSet<(Timestamp, u64)>,
    /// Number of writes in flight by session. A write in flight may already be committed.
    in_flight: BTreeMap<u64, u32>,
    /// The latest dropped position. It applies to every session without a kept position.
    latest_dropped: Option<Timestamp>,
}

impl SessionWrites {
    /// The position that a read of a session must see if the read arrives at `now`. While a write of the session is in
    /// flight, the position is `now`, because the write may already be committed.
    pub fn required_position(&self, session: Option<u64>, now: Timestamp) -> Option<Timestamp> {
        let key = session.unwrap_or_default();
        let written = self.positions.get(&key).copied();
        let pending = self.in_flight.contains_key(&key).then_some(now);
        written.max(pending).filter(|_| session.is_some()).max(self.latest_dropped)
    }

    /// Records the start of an attempt of a write.
    pub fn write_started(&mut self, session: u64) {
        *self.in_flight.entry(session).or_default() += 1;
    }

    /// Records the end of an attempt of a write. `committed` is a position that is certain to include the write; `None`
    /// means that the attempt was not executed.
    pub fn write_ended(&mut self, session: u64, committed: Option<Timestamp>) {
        if let Some(in_flight) = self.in_flight.get_mut(&session) {
            *in_flight -= 1;
            if *in_flight == 0 {
                self.in_flight.remove(&session);
            }
        }
        if let Some(position) = committed {
            self.raise_position(session, position);
        }
    }

    fn raise_position(&mut self, session: u64, position: Timestamp) {
        let current = self.positions.entry(session).or_insert(position);
        self.by_position.remove(&(*current, session));
        *current = position.max(*current);
        self.by_position.insert((*current, session));
    }

    /// Drops the positions up to `reached`. Every serving endpoint has reached them, so every read sees them anyway.
    /// Beyond the maximum number of sessions the earliest positions are dropped too. The latest dropped position then
    /// applies to every session without a kept position.
    pub fn expire(&mut self, reached: Option<Timestamp>) {
        while let Some(&(position, session)) = self.by_position.first() {
            if reached < Some(position) && self.positions.len() <= MAX_SESSIONS {
                return;
            }
            self.by_position.pop_first();
            self.positions.remove(&session);
            self.latest_dropped = self.latest_dropped.max(Some(position));
        }
    }

    /// Number of sessions for which a position is kept.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no position is kept.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }
}
