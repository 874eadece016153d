//! What is known of one endpoint.

use crate::events::GroupIndex;
use crate::time::{TimeDelta, Timestamp};

/// The load that an endpoint reported, and when.
#[derive(Clone, Copy)]
pub struct LoadReport {
    /// The fraction of its cores that is busy.
    pub busy: f64,
    pub at: Timestamp,
}

/// One endpoint. Times are those of this instance's clock.
#[derive(Default)]
pub struct Endpoint {
    pub group: GroupIndex,
    pub zone: usize,
    /// It may get new attempts, by the endpoint list.
    pub serving: bool,
    /// When its process last started, if that was recent.
    pub started_at: Option<Timestamp>,
    pub start_presumed: bool,
    /// The highest position ever reported. It never goes back.
    pub position: Option<Timestamp>,
    /// When a position was last reported, whatever it was.
    pub reported_at: Timestamp,
    pub load: Option<LoadReport>,
    /// The time as of which it claims to be the primary.
    pub primary_claim: Option<Timestamp>,
    /// When an answer last said that it is not the primary.
    pub primary_denied_at: Timestamp,
    /// Attempts of this instance in flight.
    pub in_flight: u32,
    pub answered_at: Timestamp,
    pub consecutive_failures: u32,
    pub failed_at: Timestamp,
    /// It gets no attempts until then.
    pub ejected_until: Timestamp,
    pub health_check_in_flight: bool,
    pub health_checked_at: Timestamp,
    /// Attempts of this instance that it may have in flight; below 1 a rate: seconds of work per second.
    pub concurrency_limit: f64,
    pub limit_reduced_at: Timestamp,
    /// Work of this instance that was outstanding when the last attempt started, in seconds.
    pub work_at_last_attempt: f64,
    pub last_attempt_at: Timestamp,
    /// Work done for this instance, decayed, in seconds.
    pub completed_work: f64,
    pub completed_work_at: Timestamp,
}

impl Endpoint {
    /// Work that is left if `rate` seconds of it are done per second, in seconds.
    pub fn outstanding_work(&self, rate: f64, now: Timestamp) -> f64 {
        (self.work_at_last_attempt - rate * (now - self.last_attempt_at).as_secs_f64()).max(0.0)
    }

    /// Work done for this instance lately, with exponential decay over `window`, in seconds.
    pub fn recent_work(&self, window: TimeDelta, now: Timestamp) -> f64 {
        let elapsed = (now - self.completed_work_at).as_secs_f64();
        self.completed_work * (-elapsed / window.as_secs_f64().max(1e-9)).exp()
    }

    /// An attempt starts that is expected to take this much work, in seconds.
    pub fn start_work(&mut self, work: f64, now: Timestamp) {
        self.work_at_last_attempt = self.outstanding_work(self.concurrency_limit, now) + work;
        self.last_attempt_at = now;
        self.in_flight += 1;
    }

    /// An attempt has ended with this much work done, in seconds.
    pub fn finish_work(&mut self, work: f64, window: TimeDelta, now: Timestamp) {
        self.completed_work = self.recent_work(window, now) + work;
        self.completed_work_at = now;
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Whether it has reported since then that more than this fraction of its cores is busy.
    pub fn reported_busier_than(&self, busy: f64, since: Timestamp) -> bool {
        self.load.is_some_and(|load| load.at > since && load.busy > busy)
    }

    /// Whether it has failed and answered nothing since.
    pub fn is_silent(&self) -> bool {
        self.consecutive_failures > 0 && self.answered_at <= self.failed_at
    }

    /// Whether it serves, has not failed lately, and its data is complete up to a later time.
    pub fn is_fresh_since(&self, position: Timestamp) -> bool {
        self.serving && self.position > Some(position) && self.consecutive_failures == 0
    }

    /// Whether it has ever answered.
    pub fn has_answered(&self) -> bool {
        self.answered_at > Timestamp::DISTANT_PAST
    }
}
