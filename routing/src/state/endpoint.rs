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

/// What the endpoint list says of an endpoint.
#[derive(Default)]
pub struct EndpointListing {
    pub group: GroupIndex,
    pub zone: usize,
    /// It may get new attempts, by the endpoint list.
    pub serving: bool,
    /// When its process last started, if that was recent.
    pub started_at: Option<Timestamp>,
    pub start_presumed: bool,
}

/// What an endpoint has reported of its data and its load.
#[derive(Default)]
pub struct ReportedState {
    /// The highest position ever reported. It never goes back.
    pub position: Option<Timestamp>,
    /// When a position was last reported, whatever it was.
    pub position_reported_at: Timestamp,
    pub load: Option<LoadReport>,
}

impl ReportedState {
    /// A position was reported.
    pub fn record_position(&mut self, position: Timestamp, now: Timestamp) {
        self.position = self.position.max(Some(position));
        self.position_reported_at = now;
    }

    /// How far the data was behind when a position was last reported.
    pub fn lag(&self) -> Option<TimeDelta> {
        self.position.map(|position| self.position_reported_at - position)
    }
}

/// Evidence for and against an endpoint being the primary of its group.
#[derive(Default)]
pub struct RoleEvidence {
    /// The time as of which it claims to be the primary.
    pub primary_claim: Option<Timestamp>,
    /// When an answer last said that it is not the primary.
    pub primary_denied_at: Timestamp,
}

impl RoleEvidence {
    /// The time of the latest evidence; [`Timestamp::DISTANT_PAST`] if there is none.
    pub fn latest_evidence_at(&self) -> Timestamp {
        self.primary_denied_at.max(self.primary_claim.unwrap_or_default())
    }
}

/// How attempts at an endpoint and its health checks have ended lately.
#[derive(Default)]
pub struct EndpointHealth {
    pub answered_at: Timestamp,
    pub consecutive_failures: u32,
    pub failed_at: Timestamp,
    /// It gets no attempts until then.
    pub ejected_until: Timestamp,
    pub check_in_flight: bool,
    pub checked_at: Timestamp,
}

/// Work of this instance at an endpoint, in seconds.
#[derive(Default)]
pub struct WorkEstimate {
    /// Outstanding when the last attempt started.
    pub at_last_attempt: f64,
    pub last_attempt_at: Timestamp,
    /// Done, decayed.
    pub completed: f64,
    pub completed_at: Timestamp,
}

/// What this instance has in flight at an endpoint, and how much it may have.
#[derive(Default)]
pub struct EndpointCapacity {
    /// Attempts of this instance in flight.
    pub in_flight: u32,
    /// Attempts of this instance that it may have in flight; below 1 a rate: seconds of work per second.
    pub concurrency_limit: f64,
    pub limit_reduced_at: Timestamp,
    pub work: WorkEstimate,
}

/// One endpoint. Times are those of this instance's clock.
#[derive(Default)]
pub struct Endpoint {
    pub listing: EndpointListing,
    pub reported: ReportedState,
    pub role: RoleEvidence,
    pub health: EndpointHealth,
    pub capacity: EndpointCapacity,
}

impl WorkEstimate {
    /// Work that is left if `rate` seconds of it are done per second, in seconds.
    pub fn outstanding(&self, rate: f64, now: Timestamp) -> f64 {
        (self.at_last_attempt - rate * (now - self.last_attempt_at).as_secs_f64()).max(0.0)
    }

    /// Work done for this instance lately, with exponential decay over `window`, in seconds.
    pub fn recent(&self, window: TimeDelta, now: Timestamp) -> f64 {
        let elapsed = (now - self.completed_at).as_secs_f64();
        self.completed * (-elapsed / window.as_secs_f64().max(1e-9)).exp()
    }
}

impl EndpointCapacity {
    /// An attempt starts that is expected to take this much work, in seconds.
    pub fn start_work(&mut self, work: f64, now: Timestamp) {
        self.work.at_last_attempt = self.work.outstanding(self.concurrency_limit, now) + work;
        self.work.last_attempt_at = now;
        self.in_flight += 1;
    }

    /// An attempt has ended with this much work done, in seconds.
    pub fn finish_work(&mut self, work: f64, window: TimeDelta, now: Timestamp) {
        self.work.completed = self.work.recent(window, now) + work;
        self.work.completed_at = now;
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

impl Endpoint {
    /// Whether it has reported since then that more than this fraction of its cores is busy.
    pub fn reported_busier_than(&self, busy: f64, since: Timestamp) -> bool {
        self.reported.load.is_some_and(|load| load.at > since && load.busy > busy)
    }

    /// Whether it has failed and answered nothing since.
    pub fn is_silent(&self) -> bool {
        self.health.consecutive_failures > 0 && self.health.answered_at <= self.health.failed_at
    }

    /// Whether it serves, has not failed lately, and its data is complete up to a later time.
    pub fn is_fresh_since(&self, position: Timestamp) -> bool {
        self.listing.serving
            && self.reported.position > Some(position)
            && self.health.consecutive_failures == 0
    }

    /// Whether no attempt of this instance is in flight at it.
    pub fn is_idle(&self) -> bool {
        self.capacity.in_flight == 0
    }

    /// Whether it has ever answered.
    pub fn has_answered(&self) -> bool {
        self.health.answered_at > Timestamp::DISTANT_PAST
    }
}
