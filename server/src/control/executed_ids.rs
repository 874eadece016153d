//! The ids of writes that may have been executed, for some time after their requests have ended. A client that has left
//! may send one of them again on another connection; without this memory the write would be executed twice.
//!
//! Writes that the write journal records are not kept here: the journal checks their ids, also across restarts.

use routing::time::{TimeDelta, Timestamp};
use sessions::positions::GroupNumber;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use write_journal::record_state::Deduplication;

/// How long an id is kept after its request has ended.
const LIFETIME: TimeDelta = TimeDelta::from_millis(30_000);
/// The maximum number of ids, which take about 5 MB. The ones that would expire first are dropped for new ones.
const MAX_IDS: usize = 1 << 15;

/// A write that may have been executed.
#[derive(Clone, Copy, Debug)]
struct ExecutedWrite {
    /// Before the first attempt of the write.
    received_at: Timestamp,
    /// The scope and window in which endpoints drop duplicates; `None` without an idempotency key.
    deduplication: Option<Deduplication>,
    expires_at: Timestamp,
}

/// A write whose id is checked.
#[derive(Clone, Copy, Debug)]
pub struct IncomingWrite<'a> {
    /// The client's id of the write.
    pub id: &'a str,
    /// The group to which it is sent.
    pub group: GroupNumber,
    /// When its last attempt has ended at the latest.
    pub deadline: Timestamp,
    /// The scope and window in which endpoints drop duplicates of it; `None` without an idempotency key.
    pub deduplication: Option<Deduplication>,
}

/// The ids of writes that may have been executed.
#[derive(Default)]
pub struct ExecutedIds {
    writes: HashMap<Arc<str>, ExecutedWrite>,
    expiry: BTreeSet<(Timestamp, Arc<str>)>,
}

impl ExecutedIds {
    /// Records the id of a write whose request has ended now. `received_at` is when the request was received.
    pub fn record(
        &mut self,
        now: Timestamp,
        id: Arc<str>,
        received_at: Timestamp,
        deduplication: Option<Deduplication>,
    ) {
        self.remove_expired(now);
        let mut write = ExecutedWrite { received_at, deduplication, expires_at: now + LIFETIME };
        if let Some(earlier) = self.writes.get(&id) {
            // The deduplication window begins with the first execution.
            write.received_at = earlier.received_at;
            self.expiry.remove(&(earlier.expires_at, id.clone()));
        }
        self.expiry.insert((write.expires_at, id.clone()));
        self.writes.insert(id, write);
        if self.writes.len() > MAX_IDS {
            self.remove_first();
        }
    }

    /// Whether a write may be sent: its id is not known, or the endpoints drop duplicates of it until its deadline.
    pub fn allows(&mut self, now: Timestamp, write: &IncomingWrite) -> bool {
        self.remove_expired(now);
        let Some(executed) = self.writes.get(write.id) else { return true };
        let (Some(before), Some(requested)) = (executed.deduplication, write.deduplication) else {
            return false;
        };
        let is_in_scope = before == requested && before.group.is_none_or(|group| group == write.group);
        let window_end = executed.received_at + TimeDelta::from_millis(before.window_ms);
        is_in_scope && write.deadline <= window_end
    }

    /// The number of ids.
    pub fn len(&self) -> usize {
        self.writes.len()
    }

    /// Whether there are no ids.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while self.expiry.first().is_some_and(|(expires_at, _)| *expires_at <= now) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, id)) = self.expiry.pop_first() {
            self.writes.remove(&id);
        }
    }
}
