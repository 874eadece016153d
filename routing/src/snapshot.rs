//! What the routing policy knows of an endpoint, for operators. No decision is made here.

use crate::events::EndpointIndex;
use crate::routing_policy::RoutingPolicy;
use crate::time::{TimeDelta, Timestamp};

/// One endpoint as the routing policy sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointSnapshot {
    /// It may get new attempts, by the endpoint list.
    pub serving: bool,
    /// It is taken for the primary of its group.
    pub primary: bool,
    /// Attempts of this instance in flight.
    pub in_flight: u32,
    /// Attempts of this instance that it may have in flight; below 1 a rate, in seconds of work per second.
    pub concurrency_limit: f64,
    /// How long it still gets no attempts because of failures.
    pub ejected_for: Option<TimeDelta>,
    /// How far its data was behind when it last reported its position.
    pub lag: Option<TimeDelta>,
    /// Time since it last reported its position.
    pub report_age: Option<TimeDelta>,
    /// Time since its last answer.
    pub answer_age: Option<TimeDelta>,
    /// The fraction of its cores that it last reported as busy.
    pub load: Option<f64>,
    /// In slow start: the fraction of its capacity that it has.
    pub slow_start_fraction: Option<f64>,
}

impl RoutingPolicy {
    /// Sessions whose last write is remembered.
    pub fn tracked_sessions(&self) -> usize {
        self.session_writes.len()
    }

    /// What is known of an endpoint; none if no list has named it.
    pub fn endpoint_snapshot(&self, now: Timestamp, index: EndpointIndex) -> Option<EndpointSnapshot> {
        let endpoint = self.endpoints.get(index)?;
        let age = |at: Timestamp| (at > Timestamp::DISTANT_PAST).then(|| now - at);
        Some(EndpointSnapshot {
            serving: endpoint.listing.serving,
            primary: self
                .groups
                .get(endpoint.listing.group)
                .is_some_and(|group| group.primary == Some(index)),
            in_flight: endpoint.capacity.in_flight,
            concurrency_limit: endpoint.capacity.concurrency_limit,
            ejected_for: (endpoint.health.ejected_until > now).then(|| endpoint.health.ejected_until - now),
            lag: endpoint.reported.lag(),
            report_age: age(endpoint.reported.position_reported_at),
            answer_age: age(endpoint.health.answered_at),
            load: endpoint.reported.load.map(|load| load.busy),
            slow_start_fraction: self.slow_start_fraction(endpoint),
        })
    }
}
