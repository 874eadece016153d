//! The timers of the routing policy, and the abort time of each request, which is after the policy's last decision on
//! the request and before the client's deadline.

use routing::time::Timestamp;
use routing::RequestId;
use std::collections::BTreeSet;

/// The timers of the routing policy and the abort times of open requests.
#[derive(Default)]
pub struct Deadlines {
    /// When each timer fires, and its tag.
    timers: BTreeSet<(Timestamp, u64)>,
    /// When each open request is aborted.
    abort_times: BTreeSet<(Timestamp, RequestId)>,
}

impl Deadlines {
    /// Sets a timer of the routing policy.
    pub fn set_timer(&mut self, at: Timestamp, tag: u64) {
        self.timers.insert((at, tag));
    }

    /// Removes the next timer that is due and returns its tag.
    pub fn next_timer(&mut self, now: Timestamp) -> Option<u64> {
        let first = self.timers.first().copied().filter(|timer| timer.0 <= now)?;
        self.timers.remove(&first);
        Some(first.1)
    }

    /// Sets when a request is aborted if the routing policy has not answered it.
    pub fn set_abort_time(&mut self, at: Timestamp, request: RequestId) {
        self.abort_times.insert((at, request));
    }

    /// Removes the abort time of a request that was answered.
    pub fn remove_abort_time(&mut self, at: Timestamp, request: RequestId) {
        self.abort_times.remove(&(at, request));
    }

    /// Removes the next abort time that is due and returns its request.
    pub fn next_overdue_request(&mut self, now: Timestamp) -> Option<RequestId> {
        let first = self.abort_times.first().copied().filter(|abort_at| abort_at.0 <= now)?;
        self.abort_times.remove(&first);
        Some(first.1)
    }

    /// When the next timer or abort time is due.
    pub fn due(&self) -> Option<Timestamp> {
        let timer = self.timers.first().map(|timer| timer.0);
        let abort_at = self.abort_times.first().map(|abort_at| abort_at.0);
        timer.into_iter().chain(abort_at).min()
    }
}
