//! Schedule of endpoint queries: queries that requests are waiting for come first, and the number of concurrent
//! queries is limited.

use routing::time::{TimeDelta, Timestamp};
use routing::EndpointIndex;
use std::collections::BTreeSet;

/// At most `max_in_flight` queries start per interval of this length: refused connections fail at once, so the limit
/// on queries in flight alone would not bound their rate.
const BURST_INTERVAL: TimeDelta = TimeDelta::from_millis(20);

/// Scheduled queries and the number of queries in flight.
#[derive(Default)]
pub struct QuerySchedule {
    /// Queries to groups that a request is waiting for, by time.
    urgent: BTreeSet<(Timestamp, EndpointIndex)>,
    /// All other queries, by time.
    other: BTreeSet<(Timestamp, EndpointIndex)>,
    in_flight: usize,
    /// Start of the current burst interval.
    burst_began: Timestamp,
    /// Queries started in the current burst interval.
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

    /// When the next query can start, with at most `max_in_flight` concurrent queries. `None` if none is scheduled or
    /// the limit is reached.
    pub fn due(&self, max_in_flight: usize) -> Option<Timestamp> {
        let first = self.urgent.first().into_iter().chain(self.other.first()).map(|query| query.0).min()?;
        let next_burst = if self.started_in_burst < max_in_flight {
            Timestamp::DISTANT_PAST
        } else {
            self.burst_began + BURST_INTERVAL
        };
        (self.in_flight < max_in_flight).then(|| first.max(next_burst))
    }

    /// Starts a new burst interval if the current one is over.
    pub fn refresh_burst(&mut self, now: Timestamp) {
        if now >= self.burst_began + BURST_INTERVAL {
            self.burst_began = now;
            self.started_in_burst = 0;
        }
    }

    /// The next endpoint to query now, with at most `max_in_flight` concurrent queries.
    pub fn next_due(&self, now: Timestamp, max_in_flight: usize) -> Option<EndpointIndex> {
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
