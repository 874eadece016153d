//! State of an endpoint. Times are by this instance's clock.

use crate::events::GroupIndex;
use crate::time::{TimeDelta, Timestamp};

/// Load reported by an endpoint.
#[derive(Clone, Copy)]
pub struct LoadReport {
    /// Fraction of the endpoint's cores that is busy.
    pub busy_fraction: f64,
    pub received_at: Timestamp,
}

/// What the endpoint list states about an endpoint.
#[derive(Default)]
pub struct EndpointListing {
    pub group: GroupIndex,
    pub zone: usize,
    /// Whether the endpoint may get new attempts.
    pub serving: bool,
    /// When the endpoint's process last started; `None` if that is unknown or too long ago to matter.
    pub started_at: Option<Timestamp>,
    /// Whether `started_at` is only the latest possible start time.
    pub start_is_upper_bound: bool,
}

/// Position and load reported by an endpoint.
#[derive(Default)]
pub struct ReportedState {
    /// The highest position that the endpoint has ever reported.
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

    /// Replication lag according to the last reported position; `None` if no position was reported.
    pub fn lag(&self) -> Option<TimeDelta> {
        self.position.map(|position| self.position_reported_at - position)
    }
}

/// Evidence for and against an endpoint being the primary of its group.
#[derive(Default)]
pub struct RoleEvidence {
    /// The latest time for which the endpoint has claimed to be the primary; `None` without a claim.
    pub primary_claim: Option<Timestamp>,
    /// When the endpoint last denied in an answer that it is the primary.
    pub primary_denied_at: Timestamp,
}

impl RoleEvidence {
    /// Time of the latest claim or denial; [`Timestamp::DISTANT_PAST`] if there is none.
    pub fn latest_evidence_at(&self) -> Timestamp {
        self.primary_denied_at.max(self.primary_claim.unwrap_or_default())
    }
}

/// Health of an endpoint according to attempts and health checks.
#[derive(Default)]
pub struct EndpointHealth {
    /// When the endpoint last answered an attempt or a health check.
    pub answered_at: Timestamp,
    /// Number of ejections since the last answered attempt, counted up to a maximum.
    pub consecutive_failures: u32,
    /// When the endpoint last failed, whether or not the failure caused an ejection.
    pub failed_at: Timestamp,
    /// The endpoint gets no attempts until this time.
    pub ejected_until: Timestamp,
    pub check_in_flight: bool,
    /// When the last health check started.
    pub checked_at: Timestamp,
}

/// Estimated work of this instance at an endpoint, in seconds.
#[derive(Default)]
pub struct WorkEstimate {
    /// Work that was outstanding after the last attempt started, including that attempt.
    pub outstanding_at_last_attempt: f64,
    pub last_attempt_at: Timestamp,
    /// Work completed until `completed_at`, with exponential decay over the overload window.
    pub completed: f64,
    pub completed_at: Timestamp,
}

/// How much of an endpoint's capacity this instance uses and may use.
#[derive(Default)]
pub struct EndpointCapacity {
    /// Number of attempts of this instance in flight.
    pub in_flight: u32,
    /// Maximum number of attempts of this instance in flight. A value below 1 is a rate, in seconds of work per
    /// second.
    pub concurrency_limit: f64,
    /// When a late answer last reduced the limit.
    pub limit_reduced_at: Timestamp,
    pub work: WorkEstimate,
}

/// Everything that the policy knows about an endpoint.
#[derive(Default)]
pub struct Endpoint {
    pub listing: EndpointListing,
    pub reported: ReportedState,
    pub role: RoleEvidence,
    pub health: EndpointHealth,
    pub capacity: EndpointCapacity,
}

impl WorkEstimate {
    /// Outstanding work in seconds, assuming that the endpoint completes `rate` seconds of work per second.
    pub fn outstanding(&self, rate: f64, now: Timestamp) -> f64 {
        (self.outstanding_at_last_attempt - rate * (now - self.last_attempt_at).as_secs_f64()).max(0.0)
    }

    /// Work in seconds that was completed for this instance until `now`, with exponential decay over `window`.
    pub fn recent(&self, window: TimeDelta, now: Timestamp) -> f64 {
        let elapsed = (now - self.completed_at).as_secs_f64();
        self.completed * (-elapsed / window.as_secs_f64().max(1e-9)).exp()
    }
}

impl EndpointCapacity {
    /// Records the start of an attempt that is expected to take `work` seconds of work.
    pub fn start_work(&mut self, work: f64, now: Timestamp) {
        self.work.outstanding_at_last_attempt = self.work.outstanding(self.concurrency_limit, now) + work;
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
    /// Whether the last load report arrived after `since` and states that more than `busy_fraction` of the
    /// endpoint's cores are busy.
    pub fn reported_busier_than(&self, busy_fraction: f64, since: Timestamp) -> bool {
        self.reported.load.is_some_and(|load| load.received_at > since && load.busy_fraction > busy_fraction)
    }

    /// Whether the endpoint has failed and has not answered since then.
    pub fn silent_since_failure(&self) -> bool {
        self.health.consecutive_failures > 0 && self.health.answered_at <= self.health.failed_at
    }

    /// Whether the endpoint is serving, has not failed recently, and has reported a position later than `position`.
    pub fn is_fresh_since(&self, position: Timestamp) -> bool {
        self.listing.serving
            && self.reported.position > Some(position)
            && self.health.consecutive_failures == 0
    }

    /// Whether this instance has no attempt in flight at the endpoint.
    pub fn is_idle(&self) -> bool {
        self.capacity.in_flight == 0
    }

    /// Whether the endpoint has ever answered an attempt or a health check.
    pub fn has_answered(&self) -> bool {
        self.health.answered_at > Timestamp::DISTANT_PAST
    }
}
