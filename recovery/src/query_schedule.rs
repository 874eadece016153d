//! Schedule of endpoint queries. Queries to groups that requests are waiting for are started first, and the number of
//! concurrent queries is limited.

use routing::time::{TimeDelta, Timestamp};
use routing::EndpointIndex;
use std::collections::BTreeSet;

/// At most `max_in_flight` queries start per interval of this length. The limit on queries in flight alone would not
/// bound the rate of queries, because refused connections fail at once.
const BURST_INTERVAL: TimeDelta = TimeDelta::from_millis(20);

/// Scheduled queries and the number of queries in flight.
#[derive(Default)]
pub struct QuerySchedule {
    /// Queries to groups that a request is waiting for, in the order of their scheduled times.
    urgent: BTreeSet<(Timestamp, EndpointIndex)>,
    /// All other queries, in the order of their scheduled times.
    other: BTreeSet<(Timestamp, EndpointIndex)>,
    in_flight: usize,
    /// When the current burst interval started.
    burst_started_at: Timestamp,
    /// Number of queries started in the current burst interval.
    started_in_burst: usize,
}

impl QuerySchedule {
    /// Schedules a query at time `at`.
    pub fn insert(&mut self, at: Timestamp, endpoint: EndpointIndex, urgent: bool) {
        let queries = if urgent { &mut self.urgent } else { &mut self.other };
        queries.insert((at, endpoint));
    }

    /// Cancels a query that was scheduled at time `at`.
    pub fn remove(&mut self, at: Timestamp, endpoint: EndpointIndex) {
        self.urgent.remove(&(at, endpoint));
        self.other.remove(&(at, endpoint));
    }

    /// Cancels all scheduled queries.
    pub fn clear(&mut self) {
        self.urgent.clear();
        self.other.clear();
    }

    /// When the next query can start, with at most `max_in_flight` concurrent queries. `None` if no query is
    /// scheduled or the limit is reached.
    pub fn next_start_time(&self, max_in_flight: usize) -> Option<Timestamp> {
        let first = self.urgent.first().into_iter().chain(self.other.first()).map(|query| query.0).min()?;
        let next_burst = if self.started_in_burst < max_in_flight {
            Timestamp::DISTANT_PAST
        } else {
            self.burst_started_at + BURST_INTERVAL
        };
        (self.in_flight < max_in_flight).then(|| first.max(next_burst))
    }

    /// Starts a new burst interval if the current one is over.
    pub fn refresh_burst(&mut self, now: Timestamp) {
        if now >= self.burst_started_at + BURST_INTERVAL {
            self.burst_started_at = now;
            self.started_in_burst = 0;
        }
    }

    /// The next endpoint whose query is due, with at most `max_in_flight` concurrent queries. `None` if no query is
    /// due or the limit is reached.
    pub fn next_endpoint(&self, now: Timestamp, max_in_flight: usize) -> Option<EndpointIndex> {
        if self.in_flight >= max_in_flight || self.started_in_burst >= max_in_flight {
            return None;
        }
        let mut queries = self.urgent.first().into_iter().chain(self.other.first());
        queries.find(|query| query.0 <= now).map(|query| query.1)
    }

    /// Records the start of a query.
    pub fn query_started(&mut self) {
        self.in_flight += 1;
        self.started_in_burst += 1;
    }

    /// Records the end of a query.
    pub fn query_ended(&mut self) {
        self.in_flight -= 1;
    }
}
