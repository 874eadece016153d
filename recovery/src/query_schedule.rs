//! Which endpoint is queried when: those for which a request waits first, and only so many at a time.

use routing::time::{TimeDelta, Timestamp};
use routing::EndpointIndex;
use std::collections::BTreeSet;

/// As many queries as may be in flight start within this time at most: refusals come back at once.
const BURST_INTERVAL: TimeDelta = TimeDelta::from_millis(20);

/// Queries that are due, and how many are in flight.
#[derive(Default)]
pub struct QuerySchedule {
    /// Of groups for which a request waits.
    urgent: BTreeSet<(Timestamp, EndpointIndex)>,
    other: BTreeSet<(Timestamp, EndpointIndex)>,
    in_flight: usize,
    burst_began: Timestamp,
    /// Queries started since then.
    started_in_burst: usize,
}

impl QuerySchedule {
    /// Schedules a query.
    pub fn insert(&mut self, at: Timestamp, endpoint: EndpointIndex, urgent: bool) {
        let queries = if urgent { &mut self.urgent } else { &mut self.other };
        queries.insert((at, endpoint));
    }

    /// Removes a scheduled query.
    pub fn remove(&mut self, at: Timestamp, endpoint: EndpointIndex) {
        self.urgent.remove(&(at, endpoint));
        self.other.remove(&(at, endpoint));
    }

    /// Removes all scheduled queries.
    pub fn clear(&mut self) {
        self.urgent.clear();
        self.other.clear();
    }

    /// When the next query can start, with at most `max_in_flight` at a time.
    pub fn due(&self, max_in_flight: usize) -> Option<Timestamp> {
        let first = self.urgent.first().into_iter().chain(self.other.first()).map(|query| query.0).min()?;
        let next_burst = if self.started_in_burst < max_in_flight {
            Timestamp::DISTANT_PAST
        } else {
            self.burst_began + BURST_INTERVAL
        };
        (self.in_flight < max_in_flight).then(|| first.max(next_burst))
    }

    /// Begins another burst if it is time for one.
    pub fn refresh_burst(&mut self, now: Timestamp) {
        if now >= self.burst_began + BURST_INTERVAL {
            self.burst_began = now;
            self.started_in_burst = 0;
        }
    }

    /// The next endpoint to query now, with at most `max_in_flight` at a time.
    pub fn next(&self, now: Timestamp, max_in_flight: usize) -> Option<EndpointIndex> {
        if self.in_flight >= max_in_flight || self.started_in_burst >= max_in_flight {
            return None;
        }
        let mut queries = self.urgent.first().into_iter().chain(self.other.first());
        queries.find(|query| query.0 <= now).map(|query| query.1)
    }

    /// A query has started.
    pub fn started(&mut self) {
        self.in_flight += 1;
        self.started_in_burst += 1;
    }

    /// A query has ended.
    pub fn ended(&mut self) {
        self.in_flight -= 1;
    }
}
