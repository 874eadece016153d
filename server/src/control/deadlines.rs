//! The timers of the routing policy, and the abort time of each request: past the policy's own last moment, before its
//! client's.

use routing::time::Timestamp;
use routing::RequestId;
use std::collections::BTreeSet;

/// Timers and abort times.
#[derive(Default)]
pub struct Deadlines {
    timers: BTreeSet<(Timestamp, u64)>,
    abort_times: BTreeSet<(Timestamp, RequestId)>,
}

impl Deadlines {
    /// Sets a timer of the policy.
    pub fn set_timer(&mut self, at: Timestamp, tag: u64) {
        self.timers.insert((at, tag));
    }

    /// The tag of the next timer that is due.
    pub fn next_timer(&mut self, now: Timestamp) -> Option<u64> {
        let first = self.timers.first().copied().filter(|timer| timer.0 <= now)?;
        self.timers.remove(&first);
        Some(first.1)
    }

    /// Sets when a request is aborted, whatever the policy does.
    pub fn set_abort_time(&mut self, at: Timestamp, request: RequestId) {
        self.abort_times.insert((at, request));
    }

    /// The request was answered.
    pub fn remove_abort_time(&mut self, at: Timestamp, request: RequestId) {
        self.abort_times.remove(&(at, request));
    }

    /// The next request whose abort time is due.
    pub fn next_overdue_request(&mut self, now: Timestamp) -> Option<RequestId> {
        let first = self.abort_times.first().copied().filter(|abort_at| abort_at.0 <= now)?;
        self.abort_times.remove(&first);
        Some(first.1)
    }

    /// When the next of both is due.
    pub fn due(&self) -> Option<Timestamp> {
        let timer = self.timers.first().map(|timer| timer.0);
        let abort_at = self.abort_times.first().map(|abort_at| abort_at.0);
        timer.into_iter().chain(abort_at).min()
    }
}
