//! What the routing policy knows of an endpoint, for operators. No decision is made here.

use crate::events::EndpointIndex;
use crate::routing_policy::RoutingPolicy;
use crate::state::endpoint::{EndpointCapacity, ReportedState};
use crate::time::{TimeDelta, Timestamp};

/// What this instance has in flight at an endpoint, and how much it may have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacitySnapshot {
    /// Attempts of this instance in flight.
    pub in_flight: u32,
    /// Attempts of this instance that it may have in flight; below 1 a rate, in seconds of work per second.
    pub concurrency_limit: f64,
    /// In slow start: the fraction of its capacity that it has.
    pub slow_start_fraction: Option<f64>,
}

/// What an endpoint last reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportSnapshot {
    /// How far its data was behind when it last reported its position.
    pub lag: Option<TimeDelta>,
    /// Time since it last reported its position.
    pub age: Option<TimeDelta>,
    /// The fraction of its cores that it last reported as busy.
    pub load: Option<f64>,
}

/// One endpoint as the routing policy sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointSnapshot {
    /// It may get new attempts, by the endpoint list.
    pub serving: bool,
    /// It is taken for the primary of its group.
    pub primary: bool,
    /// How long it still gets no attempts because of failures.
    pub ejected_for: Option<TimeDelta>,
    /// The attempts at it.
    pub capacity: CapacitySnapshot,
    /// Its last reports.
    pub report: ReportSnapshot,
}

impl CapacitySnapshot {
    fn new(capacity: &EndpointCapacity, slow_start_fraction: Option<f64>) -> CapacitySnapshot {
        CapacitySnapshot {
            in_flight: capacity.in_flight,
            concurrency_limit: capacity.concurrency_limit,
            slow_start_fraction,
        }
    }
}

impl ReportSnapshot {
    fn new(reported: &ReportedState, now: Timestamp) -> ReportSnapshot {
        let reported_at = reported.position_reported_at;
        ReportSnapshot {
            lag: reported.lag(),
            age: (reported_at > Timestamp::DISTANT_PAST).then(|| now - reported_at),
            load: reported.load.map(|load| load.busy),
        }
    }
}

impl RoutingPolicy {
    /// Sessions whose last write is remembered.
    pub fn tracked_sessions(&self) -> usize {
        self.session_writes.len()
    }

    /// What is known of an endpoint; none if no list has named it.
    pub fn endpoint_snapshot(&self, now: Timestamp, index: EndpointIndex) -> Option<EndpointSnapshot> {
        let endpoint = self.endpoints.get(index)?;
        let group = self.groups.get(endpoint.listing.group);
        let ejected_until = endpoint.health.ejected_until;
        Some(EndpointSnapshot {
            serving: endpoint.listing.serving,
            primary: group.is_some_and(|group| group.primary == Some(index)),
            ejected_for: (ejected_until > now).then(|| ejected_until - now),
            capacity: CapacitySnapshot::new(&endpoint.capacity, self.slow_start_fraction(endpoint)),
            report: ReportSnapshot::new(&endpoint.reported, now),
        })
    }
}
