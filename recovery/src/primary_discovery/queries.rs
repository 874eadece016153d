//! Scheduling of endpoint queries: intervals, backoff, and the start of due queries.

use super::PrimaryDiscovery;
use crate::endpoint_state::EndpointState;
use crate::group_state::GroupState;
use crate::primary_discovery::events::Action;
use routing::time::{TimeDelta, Timestamp};
use routing::EndpointIndex;

/// Exponential backoff with a longest pause.
struct Backoff {
    first: TimeDelta,
    max: TimeDelta,
}

/// Maximum exponent of the backoff, which prevents an overflow. The longest pause is reached with fewer doublings.
const MAX_DOUBLINGS: u32 = 16;

impl Backoff {
    /// Returns the pause after this many doublings.
    fn pause(&self, doublings: u32) -> TimeDelta {
        let pause = self.first.0.saturating_mul(1 << doublings.min(MAX_DOUBLINGS));
        TimeDelta(pause).min(self.max)
    }
}

/// Pause between two queries to an endpoint of a group without a verified primary.
const UNVERIFIED_BACKOFF: Backoff =
    Backoff { first: TimeDelta::from_millis(40), max: TimeDelta::from_millis(1_000) };
/// Number of rounds of queries to all members of a group before the pause grows.
const ROUNDS_WITHOUT_BACKOFF: u32 = 4;
/// Interval of queries to an endpoint of a group with a verified primary, until the group is settled.
const VERIFIED_INTERVAL: TimeDelta = TimeDelta::from_millis(2_000);
/// Pause after a failed query, if a request is waiting for the group.
const URGENT_FAILURE_BACKOFF: Backoff =
    Backoff { first: TimeDelta::from_millis(100), max: TimeDelta::from_millis(3_000) };
/// Pause after a failed query, if no request is waiting for the group.
const FAILURE_BACKOFF: Backoff =
    Backoff { first: TimeDelta::from_millis(100), max: TimeDelta::from_millis(20_000) };

impl PrimaryDiscovery {
    /// Schedules the next query to an endpoint after a query to it has ended.
    pub(super) fn schedule_next_query(&mut self, index: EndpointIndex, now: Timestamp) {
        let endpoint = &self.endpoints[index];
        let group = &mut self.groups[endpoint.group];
        if group.state == GroupState::Settled || endpoint.state == EndpointState::Removed {
            return;
        }
        let pause = if endpoint.consecutive_failures > 0 {
            let backoff = if group.request_waiting { URGENT_FAILURE_BACKOFF } else { FAILURE_BACKOFF };
            backoff.pause(endpoint.consecutive_failures - 1)
        } else if matches!(group.state, GroupState::Verified(_)) {
            VERIFIED_INTERVAL
        } else {
            group.unverified_queries = group.unverified_queries.saturating_add(1);
            let rounds = group.unverified_queries / group.members.len().max(1) as u32;
            UNVERIFIED_BACKOFF.pause(rounds.saturating_sub(ROUNDS_WITHOUT_BACKOFF))
        };
        self.schedule_query(index, now + pause);
    }

    /// Schedules a query at time `at`. It replaces a query to the same endpoint that is already scheduled.
    pub(super) fn schedule_query(&mut self, index: EndpointIndex, at: Timestamp) {
        self.unschedule_query(index);
        let endpoint = &mut self.endpoints[index];
        endpoint.query_due = Some(at);
        self.queries.insert(at, index, self.groups[endpoint.group].request_waiting);
    }

    /// Cancels the scheduled query to an endpoint. Returns the time for which the query was scheduled, if any.
    pub(super) fn unschedule_query(&mut self, index: EndpointIndex) -> Option<Timestamp> {
        let due = self.endpoints[index].query_due.take()?;
        self.queries.remove(due, index);
        Some(due)
    }

    /// Starts due queries, up to the number of concurrent queries that the verification level allows.
    pub(super) fn start_queries(&mut self, now: Timestamp) {
        if !self.may_query {
            return self.queries.clear();
        }
        let max_in_flight = self.max_in_flight(now);
        self.queries.refresh_burst(now);
        while let Some(index) = self.queries.next_endpoint(now, max_in_flight) {
            self.unschedule_query(index);
            if !std::mem::replace(&mut self.endpoints[index].query_in_flight, true) {
                self.queries.query_started();
                self.actions.push(Action::Query { endpoint: index });
            }
        }
    }
}
