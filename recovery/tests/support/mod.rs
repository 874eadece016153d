//! A primary discovery with what its host would know of it: open queries, admitted endpoints, eligibility by group.

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
/// The time of the start: some day in 2026, in Unix milliseconds.
pub const START: i64 = 1_790_000_000_000;
/// The age of a list that counts as fresh at the start, in milliseconds.
pub const FRESH: i64 = 5_000;
/// Endpoints of each group; group `g` has the endpoints `3 * g` to `3 * g + 2`.
pub const GROUP_SIZE: usize = 3;

/// A time in Unix milliseconds.
pub fn at(ms: i64) -> Timestamp {
    Timestamp(ms * 1_000_000)
}

/// The report of a primary at this position of a timeline.
pub fn primary(position: i64, timeline: u32) -> RoleReport {
    RoleReport { role: Some(Role::Primary), position: Some(at(position)), timeline: Some(timeline) }
}

/// The report of a replica at this position of a timeline.
pub fn replica(position: i64, timeline: u32) -> RoleReport {
    RoleReport { role: Some(Role::Replica), ..primary(position, timeline) }
}

/// The same report from an endpoint that does not report its timeline.
pub fn without_timeline(report: RoleReport) -> RoleReport {
    RoleReport { timeline: None, ..report }
}

/// A complete list of this version with endpoints in it.
pub fn complete_list(version: i64) -> ReceivedList {
    ReceivedList { version, complete: true, empty: false }
}

/// A primary discovery under test, and the state that its actions lead to in its host.
pub struct Fixture {
    /// What is tested.
    pub discovery: PrimaryDiscovery,
    /// The time, in Unix milliseconds.
    pub now: i64,
    /// The endpoints that are being queried.
    pub queries: BTreeSet<usize>,
    /// The endpoints that are admitted.
    pub admitted: BTreeSet<usize>,
    /// The most queries that were open at once.
    pub most_queries: usize,
    eligibility: BTreeMap<usize, PrimaryEligibility>,
}

impl Fixture {
    /// A start with a cached list of so many groups, confirmed `age` milliseconds ago.
    pub fn new(groups: usize, age: i64) -> Fixture {
        let confirmed = at(START - age);
        let cache_times = Some(CacheTimes { confirmed, saved: confirmed });
        let settings = DiscoverySettings { cache_times, may_query: true, descriptors: usize::MAX };
        Fixture::with_settings(groups, settings)
    }

    /// A start with a cached list of so many groups and these settings.
    pub fn with_settings(groups: usize, settings: DiscoverySettings) -> Fixture {
        let mut fixture = Fixture {
            discovery: PrimaryDiscovery::new(settings),
            now: START,
            queries: BTreeSet::new(),
            admitted: BTreeSet::new(),
            most_queries: 0,
            eligibility: BTreeMap::new(),
        };
        let members = members(0..groups * GROUP_SIZE);
        fixture.handle(Event::CachedListLoaded { members, minimum_positions: Vec::new() });
        fixture
    }

    /// Hands the discovery an event, and carries out its actions.
    pub fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.discovery.on_event(at(self.now), event, &mut actions);
        for action in actions {
            match action {
                Action::Query { endpoint } => {
                    assert!(self.queries.insert(endpoint), "an endpoint has one query at a time");
                }
                Action::Admit { endpoint } => {
                    assert!(self.admitted.insert(endpoint), "an endpoint is admitted once");
                }
                Action::Withdraw { endpoint } => _ = self.admitted.remove(&endpoint),
                Action::SetEligibility { group, eligibility } => {
                    self.eligibility.insert(group, eligibility);
                }
            }
        }
        self.most_queries = self.most_queries.max(self.queries.len());
    }

    /// So many milliseconds pass.
    pub fn advance(&mut self, ms: i64) {
        self.now += ms;
        self.handle(Event::Tick);
    }

    /// The endpoint answers its next query under its own identity.
    pub fn answer(&mut self, endpoint: usize, report: RoleReport) {
        self.answer_as(endpoint, Identity::Confirmed, report);
    }

    /// The endpoints of the first group answer their next queries, one after the other.
    pub fn answer_in_order(&mut self, reports: [RoleReport; GROUP_SIZE]) {
        for (endpoint, report) in reports.into_iter().enumerate() {
            self.answer(endpoint, report);
        }
    }

    /// The endpoint's address answers its next query with this identity.
    pub fn answer_as(&mut self, endpoint: usize, identity: Identity, report: RoleReport) {
        for _ in 0..200 {
            if self.queries.contains(&endpoint) {
                break;
            }
            self.advance(100);
        }
        let is_answered = self.answer_open_query(endpoint, identity, report);
        assert!(is_answered, "endpoint {endpoint} is queried within 20 s");
    }

    /// Answers the endpoint's query 1 ms after it was sent, if there is one.
    pub fn answer_open_query(&mut self, endpoint: usize, identity: Identity, report: RoleReport) -> bool {
        let is_open = self.queries.remove(&endpoint);
        if is_open {
            let queried_at = at(self.now);
            self.now += 1;
            self.handle(Event::QueryAnswered { endpoint, queried_at, identity, report });
        }
        is_open
    }

    /// Answers all queries that are open now at once; returns the endpoints.
    pub fn answer_open_queries(&mut self, report: impl Fn(usize, i64) -> RoleReport) -> Vec<usize> {
        let queried: Vec<usize> = self.queries.iter().copied().collect();
        for &endpoint in &queried {
            self.queries.remove(&endpoint);
            let (queried_at, report) = (at(self.now), report(endpoint, self.now));
            let identity = Identity::Confirmed;
            self.handle(Event::QueryAnswered { endpoint, queried_at, identity, report });
        }
        queried
    }

    /// The endpoint's next query fails.
    pub fn fail(&mut self, endpoint: usize, failure: QueryFailure) {
        while !self.fail_open_query(endpoint, failure) {
            self.advance(100);
        }
    }

    /// Fails the endpoint's query, if there is one.
    pub fn fail_open_query(&mut self, endpoint: usize, failure: QueryFailure) -> bool {
        let is_open = self.queries.remove(&endpoint);
        if is_open {
            self.handle(Event::QueryFailed { endpoint, failure });
        }
        is_open
    }

    /// Discovery sends a complete list of these endpoints.
    pub fn confirm_list(&mut self, endpoints: impl IntoIterator<Item = usize>) {
        self.handle(Event::ListReceived { complete: true, members: members(endpoints), removed: Vec::new() });
    }

    /// Which endpoint of the group may serve as its primary.
    pub fn eligibility(&self, group: usize) -> PrimaryEligibility {
        self.eligibility.get(&group).copied().unwrap_or_default()
    }
}

fn members(endpoints: impl IntoIterator<Item = usize>) -> Vec<Member> {
    endpoints.into_iter().map(|endpoint| Member { endpoint, group: endpoint / GROUP_SIZE }).collect()
}
