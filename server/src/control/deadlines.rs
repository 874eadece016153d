//! The timers of the routing policy, and the abort times of open requests. The abort time of a request is after the
//! policy's last decision on the request and before the client's deadline.

use routing::time::Timestamp;
use routing::RequestId;
use std::collections::BTreeSet;

/// The timers of the routing policy and the abort times of open requests.
#[derive(Default)]
pub struct Deadlines {
    /// The time at which each timer fires, and the tag by which the routing policy recognizes the timer.
    timers: BTreeSet<(Timestamp, u64)>,
    /// The time at which each open request is aborted.
    abort_times: BTreeSet<(Timestamp, RequestId)>,
}

impl Deadlines {
    /// Adds a timer of the routing policy.
    pub fn set_timer(&mut self, at: Timestamp, tag: u64) {
        self.timers.insert((at, tag));
    }

    /// Removes the earliest timer that is due and returns its tag.
    pub fn next_timer(&mut self, now: Timestamp) -> Option<u64> {
        let first = self.timers.first().copied().filter(|timer| timer.0 <= now)?;
        self.timers.remove(&first);
        Some(first.1)
    }

    /// Adds the time at which a request is aborted if the routing policy has not answered it by then.
    pub fn set_abort_time(&mut self, at: Timestamp, request: RequestId) {
        self.abort_times.insert((at, request));
    }

    /// Removes the abort time of a request that was closed before that time.
    pub fn remove_abort_time(&mut self, at: Timestamp, request: RequestId) {
        self.abort_times.remove(&(at, request));
    }

    /// Removes the earliest abort time that is due and returns its request.
    pub fn next_overdue_request(&mut self, now: Timestamp) -> Option<RequestId> {
        let first = self.abort_times.first().copied().filter(|abort_at| abort_at.0 <= now)?;
        self.abort_times.remove(&first);
        Some(first.1)
    }

    /// When the next timer or abort time is due; `None` if there is none.
    pub fn due(&self) -> Option<Timestamp> {
        let timer = self.timers.first().map(|timer| timer.0);
        let abort_at = self.abort_times.first().map(|abort_at| abort_at.0);
        timer.into_iter().chain(abort_at).min()
    }
}
