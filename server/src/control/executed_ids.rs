//! The ids of writes that may have been executed, for some time after their requests have ended. A client that has left
//! may send one of them again on another connection; without this memory the write would be executed twice.
//!
//! Writes that the write journal records are not kept here: the journal checks their ids, also across restarts.

use crate::runtime::resource_limits::BufferCharge;
use routing::time::{TimeDelta, Timestamp};
use sessions::positions::GroupNumber;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use write_journal::record_state::Deduplication;

/// How long an id is kept after its request has ended.
const LIFETIME: TimeDelta = TimeDelta::from_millis(30_000);
/// The memory of one id, in bytes: the longest id itself, its entries in both collections, and the room for their growth.
const ID_BYTES: usize = 320;

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

/// The ids of writes that may have been executed. A place is reserved for each write when it is taken, so that none has to
/// be forgotten before its time.
pub struct ExecutedIds {
    writes: HashMap<Arc<str>, ExecutedWrite>,
    expiry: BTreeSet<(Timestamp, Arc<str>)>,
    /// The writes in progress, whose ids may have to be kept.
    reserved: usize,
    max_ids: usize,
    /// The memory of the ids.
    charge: BufferCharge,
}

impl ExecutedIds {
    /// Creates an empty memory of at most `max_bytes`, which are counted by `charge`.
    pub fn new(max_bytes: usize, charge: BufferCharge) -> ExecutedIds {
        ExecutedIds {
            writes: HashMap::new(),
            expiry: BTreeSet::new(),
            reserved: 0,
            max_ids: max_bytes / ID_BYTES,
            charge,
        }
    }

    /// Reserves a place for the id of a write that begins. Returns false if there is none: the write must be rejected.
    pub fn try_reserve(&mut self, now: Timestamp) -> bool {
        self.remove_expired(now);
        if self.writes.len() + self.reserved >= self.max_ids {
            return false;
        }
        self.reserved += 1;
        self.update_charge();
        true
    }

    /// Releases the place of a write that has ended. Its id may have been recorded.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
        self.update_charge();
    }

    /// Releases the places of all writes in progress, because their requests are dropped.
    pub fn release_all(&mut self) {
        self.reserved = 0;
        self.update_charge();
    }

    fn update_charge(&mut self) {
        self.charge.set((self.writes.len() + self.reserved) * ID_BYTES);
    }

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
        self.update_charge();
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
        if self.writes.is_empty() {
            self.writes.shrink_to_fit();
        }
        self.update_charge();
    }

    fn remove_first(&mut self) {
        if let Some((_, id)) = self.expiry.pop_first() {
            self.writes.remove(&id);
        }
    }
}
