//! A primary discovery under test, with the state that its actions lead to: open queries, admitted endpoints, and the
//! eligibility of each group.

use recovery::discovery_incarnation::ReceivedList;
use recovery::endpoint_state::RoleReport;
use recovery::primary_discovery::{
    Action, DiscoverySettings, Event, Identity, Member, PrimaryDiscovery, QueryFailure,
};
use recovery::staleness::CacheTimes;
use routing::time::Timestamp;
use routing::{PrimaryEligibility, Role};
use std::collections::{BTreeMap, BTreeSet};

/// A day in milliseconds.
pub const DAY: i64 = 86_400_000;
/// When the instance starts, in Unix milliseconds: a day in 2026.
pub const START: i64 = 1_790_000_000_000;
/// Age of a list that counts as fresh, in milliseconds.
pub const FRESH: i64 = 5_000;
/// Number of endpoints in each group. Group `g` has the endpoints `3 * g` to `3 * g + 2`.
pub const GROUP_SIZE: usize = 3;

/// The time `ms`, which is in Unix milliseconds.
pub fn at_ms(ms: i64) -> Timestamp {
    Timestamp(ms * 1_000_000)
}

/// The report of a primary at a position, in Unix milliseconds, on a timeline.
pub fn primary(position: i64, timeline: u32) -> RoleReport {
    RoleReport { role: Some(Role::Primary), position: Some(at_ms(position)), timeline: Some(timeline) }
}

/// The report of a replica at a position, in Unix milliseconds, on a timeline.
pub fn replica(position: i64, timeline: u32) -> RoleReport {
    RoleReport { role: Some(Role::Replica), ..primary(position, timeline) }
}

/// The same report from an endpoint that does not report its timeline.
pub fn without_timeline(report: RoleReport) -> RoleReport {
    RoleReport { timeline: None, ..report }
}

/// A complete list of this version that is not empty.
pub fn complete_list(version: i64) -> ReceivedList {
    ReceivedList { version, complete: true, empty: false }
}

/// A primary discovery under test, and the state that its actions lead to.
pub struct Fixture {
    /// The discovery under test.
    pub discovery: PrimaryDiscovery,
    /// The current time in Unix milliseconds.
    pub now: i64,
    /// The endpoints with an open query.
    pub open_queries: BTreeSet<usize>,
    /// The admitted endpoints.
    pub admitted: BTreeSet<usize>,
    /// The largest number of queries that were open at a time.
    pub max_open_queries: usize,
    eligibility: BTreeMap<usize, PrimaryEligibility>,
}

impl Fixture {
    /// Starts from a cached list of `groups` groups that discovery confirmed `age` milliseconds ago.
    pub fn new(groups: usize, age: i64) -> Fixture {
        let confirmed = at_ms(START - age);
        let cache_times = Some(CacheTimes { confirmed, saved: confirmed });
        let settings = DiscoverySettings { cache_times, may_query: true, descriptors: usize::MAX };
        Fixture::with_settings(groups, settings)
    }

    /// Starts from a cached list of `groups` groups with these settings.
    pub fn with_settings(groups: usize, settings: DiscoverySettings) -> Fixture {
        let mut fixture = Fixture {
            discovery: PrimaryDiscovery::new(settings),
            now: START,
            open_queries: BTreeSet::new(),
            admitted: BTreeSet::new(),
            max_open_queries: 0,
            eligibility: BTreeMap::new(),
        };
        let members = members(0..groups * GROUP_SIZE);
        fixture.handle(Event::CachedListLoaded { members, minimum_positions: Vec::new() });
        fixture
    }

    /// Passes an event to the discovery and carries out the resulting actions.
    pub fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.discovery.on_event(at_ms(self.now), event, &mut actions);
        for action in actions {
            match action {
                Action::Query { endpoint } => {
                    assert!(
                        self.open_queries.insert(endpoint),
                        "endpoint {endpoint} was queried while a query to it was open"
                    );
                }
                Action::Admit { endpoint } => {
                    assert!(self.admitted.insert(endpoint), "endpoint {endpoint} was admitted twice");
                }
                Action::Withdraw { endpoint } => _ = self.admitted.remove(&endpoint),
                Action::SetEligibility { group, eligibility } => {
                    self.eligibility.insert(group, eligibility);
                }
            }
        }
        self.max_open_queries = self.max_open_queries.max(self.open_queries.len());
    }

    /// Advances the time by `ms` milliseconds.
    pub fn advance(&mut self, ms: i64) {
        self.now += ms;
        self.handle(Event::Tick);
    }

    /// Answers the next query to an endpoint with the identity of that endpoint.
    pub fn answer(&mut self, endpoint: usize, report: RoleReport) {
        self.answer_as(endpoint, Identity::Confirmed, report);
    }

    /// Answers the next query to each endpoint of the first group, one after the other.
    pub fn answer_in_order(&mut self, reports: [RoleReport; GROUP_SIZE]) {
        for (endpoint, report) in reports.into_iter().enumerate() {
            self.answer(endpoint, report);
        }
    }

    /// Answers the next query to an endpoint with `identity`. Waits for the query for up to 20 s.
    pub fn answer_as(&mut self, endpoint: usize, identity: Identity, report: RoleReport) {
        for _ in 0..200 {
            if self.open_queries.contains(&endpoint) {
                break;
            }
            self.advance(100);
        }
        let is_answered = self.answer_open_query(endpoint, identity, report);
        assert!(is_answered, "endpoint {endpoint} was not queried within 20 s");
    }

    /// Answers an endpoint's open query, 1 ms after the current time. Returns false if there is no open query.
    pub fn answer_open_query(&mut self, endpoint: usize, identity: Identity, report: RoleReport) -> bool {
        let is_open = self.open_queries.remove(&endpoint);
        if is_open {
            let queried_at = at_ms(self.now);
            self.now += 1;
            self.handle(Event::QueryAnswered { endpoint, queried_at, identity, report });
        }
        is_open
    }

    /// Answers all open queries at the current time. Returns the queried endpoints.
    pub fn answer_open_queries(&mut self, report: impl Fn(usize, i64) -> RoleReport) -> Vec<usize> {
        let queried: Vec<usize> = self.open_queries.iter().copied().collect();
        for &endpoint in &queried {
            self.open_queries.remove(&endpoint);
            let (queried_at, report) = (at_ms(self.now), report(endpoint, self.now));
            let identity = Identity::Confirmed;
            self.handle(Event::QueryAnswered { endpoint, queried_at, identity, report });
        }
        queried
    }

    /// Fails the next query to an endpoint, however late the query is made.
    pub fn fail(&mut self, endpoint: usize, failure: QueryFailure) {
        while !self.fail_open_query(endpoint, failure) {
            self.advance(100);
        }
    }

    /// Fails an endpoint's open query. Returns false if there is no open query.
    pub fn fail_open_query(&mut self, endpoint: usize, failure: QueryFailure) -> bool {
        let is_open = self.open_queries.remove(&endpoint);
        if is_open {
            self.handle(Event::QueryFailed { endpoint, failure });
        }
        is_open
    }

    /// Provides a complete list of these endpoints from discovery.
    pub fn confirm_list(&mut self, endpoints: impl IntoIterator<Item = usize>) {
        self.handle(Event::ListReceived { complete: true, members: members(endpoints), removed: Vec::new() });
    }

    /// Which endpoint of a group may be treated as its primary.
    pub fn eligibility(&self, group: usize) -> PrimaryEligibility {
        self.eligibility.get(&group).copied().unwrap_or_default()
    }
}

fn members(endpoints: impl IntoIterator<Item = usize>) -> Vec<Member> {
    endpoints.into_iter().map(|endpoint| Member { endpoint, group: endpoint / GROUP_SIZE }).collect()
}
