//! The timers of the routing policy, and the last resort of each request: past the policy's own last moment, before its
//! client's.

use routing::time::Timestamp;
use routing::RequestId;
use std::collections::BTreeSet;

/// Timers and last resorts.
#[derive(Default)]
pub struct Deadlines {
    timers: BTreeSet<(Timestamp, u64)>,
    last_resorts: BTreeSet<(Timestamp, RequestId)>,
}

impl Deadlines {
    pub fn set_timer(&mut self, at: Timestamp, tag: u64) {
        self.timers.insert((at, tag));
    }

    /// The tag of the next timer that is due.
    pub fn next_timer(&mut self, now: Timestamp) -> Option<u64> {
        let first = self.timers.first().copied().filter(|timer| timer.0 <= now)?;
        self.timers.remove(&first);
        Some(first.1)
    }

    pub fn set_last_resort(&mut self, at: Timestamp, request: RequestId) {
        self.last_resorts.insert((at, request));
    }

    pub fn remove_last_resort(&mut self, at: Timestamp, request: RequestId) {
        self.last_resorts.remove(&(at, request));
    }

    /// The next request whose last resort is due.
    pub fn next_last_resort(&mut self, now: Timestamp) -> Option<RequestId> {
        let first = self.last_resorts.first().copied().filter(|last_resort| last_resort.0 <= now)?;
        self.last_resorts.remove(&first);
        Some(first.1)
    }

    /// When the next of both is due.
    pub fn due(&self) -> Option<Timestamp> {
        let timer = self.timers.first().map(|timer| timer.0);
        let last_resort = self.last_resorts.first().map(|last_resort| last_resort.0);
        timer.into_iter().chain(last_resort).min()
    }
}
