//! Snapshots of the routing policy's state of an endpoint, for operators. No decision is made here.

use crate::events::EndpointIndex;
use crate::routing_policy::RoutingPolicy;
use crate::state::endpoint::{EndpointCapacity, ReportedState};
use crate::time::{TimeDelta, Timestamp};

/// How much of an endpoint's capacity this instance uses and may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacitySnapshot {
    /// Number of attempts of this instance in flight.
    pub in_flight: u32,
    /// Maximum number of attempts of this instance in flight. A value below 1 is a rate, in seconds of work per
    /// second.
    pub concurrency_limit: f64,
    /// Fraction of its full capacity that the endpoint has in slow start; `None` if the endpoint is warm.
    pub slow_start_fraction: Option<f64>,
}

/// What an endpoint has last reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportSnapshot {
    /// Replication lag according to the last reported position; `None` if no position was reported.
    pub lag: Option<TimeDelta>,
    /// Time since a position was last reported; `None` if no position was reported.
    pub age: Option<TimeDelta>,
    /// Last reported load as a fraction of the endpoint's cores; `None` if no load was reported.
    pub load: Option<f64>,
}

/// The routing policy's state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointSnapshot {
    /// Whether the endpoint list allows new attempts.
    pub serving: bool,
    /// Whether the policy assumes the endpoint to be the primary of its group.
    pub primary: bool,
    /// Remaining time of the endpoint's ejection; `None` if the endpoint is not ejected.
    pub ejected_for: Option<TimeDelta>,
    /// Attempts in flight at the endpoint, and their limit.
    pub capacity: CapacitySnapshot,
    /// The endpoint's last report.
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
            load: reported.load.map(|load| load.busy_fraction),
        }
    }
}

impl RoutingPolicy {
    /// Number of sessions for which the policy keeps the position of the last write.
    pub fn tracked_sessions(&self) -> usize {
        self.session_writes.len()
    }

    /// Snapshot of an endpoint; `None` if no endpoint list has named the endpoint.
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
