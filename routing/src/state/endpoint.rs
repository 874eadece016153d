//! State of an endpoint.

use crate::events::GroupIndex;
use crate::time::{TimeDelta, Timestamp};

/// Load reported by an endpoint, and when.
#[derive(Clone, Copy)]
pub struct LoadReport {
    /// Fraction of its cores that is busy.
    pub busy: f64,
    pub at: Timestamp,
}

/// Entry of the endpoint list for an endpoint.
#[derive(Default)]
pub struct EndpointListing {
    pub group: GroupIndex,
    pub zone: usize,
    /// The endpoint list allows new attempts.
    pub serving: bool,
    /// When its process last started, if that was recent.
    pub started_at: Option<Timestamp>,
    /// `started_at` is only the latest possible start.
    pub start_is_upper_bound: bool,
}

/// Position and load reported by an endpoint.
#[derive(Default)]
pub struct ReportedState {
    /// The highest position ever reported; it never decreases.
    pub position: Option<Timestamp>,
    /// When a position was last reported, even if it was not the highest.
    pub position_reported_at: Timestamp,
    pub load: Option<LoadReport>,
}

impl ReportedState {
    /// Records a reported position.
    pub fn record_position(&mut self, position: Timestamp, now: Timestamp) {
        self.position = self.position.max(Some(position));
        self.position_reported_at = now;
    }

    /// Replication lag at the last reported position.
    pub fn lag(&self) -> Option<TimeDelta> {
        self.position.map(|position| self.position_reported_at - position)
    }
}

/// Evidence for and against an endpoint being the primary of its group.
#[derive(Default)]
pub struct RoleEvidence {
    /// Time as of which it claims to be the primary.
    pub primary_claim: Option<Timestamp>,
    /// When an answer last denied that it is the primary.
    pub primary_denied_at: Timestamp,
}

impl RoleEvidence {
    /// Time of the latest evidence; [`Timestamp::DISTANT_PAST`] if there is none.
    pub fn latest_evidence_at(&self) -> Timestamp {
        self.primary_denied_at.max(self.primary_claim.unwrap_or_default())
    }
}

/// Health of an endpoint by its recent attempts and health checks.
#[derive(Default)]
pub struct EndpointHealth {
    pub answered_at: Timestamp,
    pub consecutive_failures: u32,
    pub failed_at: Timestamp,
    /// It gets no attempts until this time.
    pub ejected_until: Timestamp,
    pub check_in_flight: bool,
    pub checked_at: Timestamp,
}

/// Work of this instance at an endpoint, in seconds.
#[derive(Default)]
pub struct WorkEstimate {
    /// Outstanding work when the last attempt started.
    pub at_last_attempt: f64,
    pub last_attempt_at: Timestamp,
    /// Completed work, with exponential decay.
    pub completed: f64,
    pub completed_at: Timestamp,
}

/// Attempts of this instance in flight at an endpoint, and their limit.
#[derive(Default)]
pub struct EndpointCapacity {
    /// Attempts of this instance in flight.
    pub in_flight: u32,
    /// Maximum attempts of this instance in flight; below 1 it is a rate, in seconds of work per second.
    pub concurrency_limit: f64,
    pub limit_reduced_at: Timestamp,
    pub work: WorkEstimate,
}

/// An endpoint. Times are by this instance's clock.
#[derive(Default)]
pub struct Endpoint {
    pub listing: EndpointListing,
    pub reported: ReportedState,
    pub role: RoleEvidence,
    pub health: EndpointHealth,
    pub capacity: EndpointCapacity,
}

impl WorkEstimate {
    /// Outstanding work in seconds, if `rate` seconds of it are completed per second.
    pub fn outstanding(&self, rate: f64, now: Timestamp) -> f64 {
        (self.at_last_attempt - rate * (now - self.last_attempt_at).as_secs_f64()).max(0.0)
    }

    /// Work recently completed for this instance in seconds, with exponential decay over `window`.
    pub fn recent(&self, window: TimeDelta, now: Timestamp) -> f64 {
        let elapsed = (now - self.completed_at).as_secs_f64();
        self.completed * (-elapsed / window.as_secs_f64().max(1e-9)).exp()
    }
}

impl EndpointCapacity {
    /// Records the start of an attempt with an expected work in seconds.
    pub fn start_work(&mut self, work: f64, now: Timestamp) {
        self.work.at_last_attempt = self.work.outstanding(self.concurrency_limit, now) + work;
        self.work.last_attempt_at = now;
        self.in_flight += 1;
    }

    /// Records the end of an attempt that completed `work` seconds of work.
    pub fn finish_work(&mut self, work: f64, window: TimeDelta, now: Timestamp) {
        self.work.completed = self.work.recent(window, now) + work;
        self.work.completed_at = now;
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

impl Endpoint {
    /// Whether it has reported, since a time, a load above this fraction of its cores.
    pub fn reported_busier_than(&self, busy: f64, since: Timestamp) -> bool {
        self.reported.load.is_some_and(|load| load.at > since && load.busy > busy)
    }

    /// Whether it has failed and has not answered since.
    pub fn is_silent(&self) -> bool {
        self.health.consecutive_failures > 0 && self.health.answered_at <= self.health.failed_at
    }

    /// Whether it serves, has not failed recently, and its data is complete beyond a position.
    pub fn is_fresh_since(&self, position: Timestamp) -> bool {
        self.listing.serving
            && self.reported.position > Some(position)
            && self.health.consecutive_failures == 0
    }

    /// Whether this instance has no attempt in flight at it.
    pub fn is_idle(&self) -> bool {
        self.capacity.in_flight == 0
    }

    /// Whether it has ever answered.
    pub fn has_answered(&self) -> bool {
        self.health.answered_at > Timestamp::DISTANT_PAST
    }
}
