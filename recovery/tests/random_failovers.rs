//! Primary discovery during random failovers, lost answers and list updates, compared with a model that knows the
//! true primary of each group.

#[allow(dead_code)] // Each test file uses only a part of the support code.
mod support;

use proptest::prelude::*;
use proptest::test_runner::TestCaseResult;
use proptest_support::seeded_cases;
use recovery::endpoint_state::RoleReport;
use recovery::primary_discovery::{Event, Identity, QueryFailure};
use recovery::primary_verification::EVIDENCE_VALID_FOR;
use routing::{PrimaryEligibility, Role};
use support::{at_ms, Fixture, DAY, GROUP_SIZE};

const GROUPS: usize = 3;
const ENDPOINTS: usize = GROUPS * GROUP_SIZE;
/// Age of the list in the test cases in which discovery confirms the list only at the end, in milliseconds.
const UNCONFIRMED_AGE: i64 = 1_000;
/// Ages of the cached list in the test cases, in milliseconds. The last one is that of a list dated in the future.
const AGES: [i64; 5] = [UNCONFIRMED_AGE, 50_000, 600_000, 2 * DAY, -DAY];

/// A change of a group's primary.
#[derive(Clone, Copy, Debug)]
struct Failover {
    promoted: usize,
    /// Whether the former primary still claims to be primary, on its own timeline.
    former_still_claims: bool,
    /// Whether no other member follows the promoted one yet.
    others_stall: bool,
}

/// One step of a random sequence.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A failover. If the last failover of the group was at most 3 s ago, time advances by `ms` milliseconds instead.
    FailoverOrAdvance { failover: Failover, ms: i64 },
    /// Time advances by `ms` milliseconds.
    Advance { ms: i64 },
    /// The endpoint answers its open query.
    Answer { endpoint: usize },
    /// The endpoint's open query fails. The connection is refused if `may_refuse` is set and the endpoint does not
    /// claim to be primary. Otherwise the query gets no answer.
    Fail { endpoint: usize, may_refuse: bool },
    /// Discovery confirms the list if it has not done so before. Otherwise a request waits for the endpoint's group.
    ConfirmListOrRequest { endpoint: usize },
    /// A request waits for the endpoint's group.
    Request { endpoint: usize },
}

fn any_step() -> impl Strategy<Value = Step> {
    (0..10u8, 0..ENDPOINTS, any::<u8>()).prop_map(|(kind, endpoint, detail)| {
        let ms = i64::from(detail) * 10;
        match kind {
            0 if detail < 60 => {
                let (former_still_claims, others_stall) = (detail % 2 == 0, detail % 4 == 3);
                Step::FailoverOrAdvance {
                    failover: Failover { promoted: endpoint, former_still_claims, others_stall },
                    ms,
                }
            }
            0 | 1 => Step::Advance { ms },
            2..=7 => Step::Answer { endpoint },
            8 => Step::Fail { endpoint, may_refuse: detail % 3 == 0 },
            _ if detail < 10 => Step::ConfirmListOrRequest { endpoint },
            _ => Step::Request { endpoint },
        }
    })
}

/// True state of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Endpoint {
    timeline: u32,
    claims_primary: bool,
    /// The position at which the endpoint stays while no primary replicates to it, in Unix milliseconds.
    stalled_at: Option<i64>,
}

impl Endpoint {
    /// The endpoint's report at the time `now`. A replica is `lag` milliseconds behind.
    fn report(&self, now: i64, lag: i64) -> RoleReport {
        let (role, lag) = if self.claims_primary { (Role::Primary, 0) } else { (Role::Replica, lag) };
        let position = Some(at_ms(self.stalled_at.unwrap_or(now - lag)));
        RoleReport { role: Some(role), position, timeline: Some(self.timeline) }
    }
}

/// True state of a group, and the only eligible endpoint after the last step, if any.
#[derive(Clone, Copy, Debug)]
struct Group {
    primary: usize,
    failover_at: i64,
    only_eligible: Option<usize>,
}

/// A discovery under test, and the true state of the endpoints and groups.
struct CheckedDiscovery {
    fixture: Fixture,
    endpoints: [Endpoint; ENDPOINTS],
    groups: [Group; GROUPS],
    /// Whether a later step may confirm the list.
    may_confirm: bool,
}

fn members_of(group: usize) -> std::ops::Range<usize> {
    group * GROUP_SIZE..(group + 1) * GROUP_SIZE
}

impl CheckedDiscovery {
    fn new(age: i64) -> CheckedDiscovery {
        CheckedDiscovery {
            fixture: Fixture::new(GROUPS, age),
            endpoints: std::array::from_fn(|endpoint| Endpoint {
                timeline: 1,
                claims_primary: endpoint % GROUP_SIZE == 0,
                stalled_at: None,
            }),
            groups: std::array::from_fn(|group| Group {
                primary: group * GROUP_SIZE,
                failover_at: 0,
                only_eligible: None,
            }),
            may_confirm: age != UNCONFIRMED_AGE,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::FailoverOrAdvance { failover, ms } => {
                let group = &self.groups[failover.promoted / GROUP_SIZE];
                if self.fixture.now - group.failover_at > 3_000 {
                    self.fail_over(failover);
                } else {
                    self.fixture.advance(ms);
                }
            }
            Step::Advance { ms } => self.fixture.advance(ms),
            Step::Answer { endpoint } => {
                let report = self.endpoints[endpoint].report(self.fixture.now, 5);
                self.fixture.answer_open_query(endpoint, Identity::Confirmed, report);
            }
            Step::Fail { endpoint, may_refuse } => {
                let is_refused = may_refuse && !self.endpoints[endpoint].claims_primary;
                let failure = if is_refused { QueryFailure::Refused } else { QueryFailure::NoAnswer };
                self.fixture.fail_open_query(endpoint, failure);
            }
            Step::ConfirmListOrRequest { .. } if self.may_confirm => {
                self.may_confirm = false;
                self.fixture.confirm_list(0..ENDPOINTS);
            }
            Step::ConfirmListOrRequest { endpoint } | Step::Request { endpoint } => {
                self.fixture.handle(Event::RequestWaiting { group: endpoint / GROUP_SIZE });
            }
        }
    }

    fn fail_over(&mut self, failover: Failover) {
        let group = failover.promoted / GROUP_SIZE;
        let former = self.groups[group].primary;
        if failover.promoted == former {
            return;
        }
        let latest = members_of(group).map(|member| self.endpoints[member].timeline).max().unwrap_or(1);
        for member in members_of(group).filter(|&member| member != former || !failover.former_still_claims) {
            let endpoint = &mut self.endpoints[member];
            if member != failover.promoted && failover.others_stall {
                endpoint.claims_primary = false;
                endpoint.stalled_at = Some(self.fixture.now - 10);
            } else {
                let claims_primary = member == failover.promoted;
                *endpoint = Endpoint { timeline: latest + 1, claims_primary, stalled_at: None };
            }
        }
        self.groups[group].primary = failover.promoted;
        self.groups[group].failover_at = self.fixture.now;
    }

    /// Checks that an endpoint that becomes a group's only eligible primary is the true one, or was the true one
    /// while the evidence for it was collected.
    fn check(&mut self) -> TestCaseResult {
        let now = at_ms(self.fixture.now);
        for (number, group) in self.groups.iter_mut().enumerate() {
            let only_eligible = match self.fixture.eligibility(number) {
                PrimaryEligibility::Only(endpoint) => Some(endpoint),
                _ => None,
            };
            if let Some(endpoint) = only_eligible.filter(|_| only_eligible != group.only_eligible) {
                let was_primary =
                    endpoint == group.primary || now - EVIDENCE_VALID_FOR <= at_ms(group.failover_at);
                prop_assert!(
                    was_primary,
                    "group {number}: endpoint {endpoint} is eligible, but endpoint {} is the primary",
                    group.primary
                );
            }
            group.only_eligible = only_eligible;
        }
        let max_queries = self.fixture.discovery.verification_level(now).max_queries;
        prop_assert!(self.fixture.open_queries.len() <= max_queries.max(64));
        Ok(())
    }

    /// Confirms the list, ends all failovers and lets all endpoints answer.
    fn recover(&mut self) {
        self.fixture.confirm_list(0..ENDPOINTS);
        for (number, group) in self.groups.iter().enumerate() {
            let timeline = self.endpoints[group.primary].timeline;
            for member in members_of(number) {
                let claims_primary = member == group.primary;
                self.endpoints[member] = Endpoint { timeline, claims_primary, stalled_at: None };
            }
        }
        for _ in 0..400 {
            let endpoints = &self.endpoints;
            self.fixture.answer_open_queries(|endpoint, now| endpoints[endpoint].report(now, 0));
            self.fixture.advance(50);
        }
    }
}

proptest! {
    #![proptest_config(seeded_cases(256, 20_26))]

    /// Each group has one true primary on the latest timeline, which may change at any time, and former primaries
    /// that still claim the role on their own timelines. Queries are answered or lost in any order. Only the endpoint
    /// that was the true primary while the evidence was collected may become eligible, and in the end each group has
    /// a primary.
    #[test]
    fn only_the_true_primary_becomes_eligible(
        age in (0..AGES.len()).prop_map(|index| AGES[index]),
        steps in prop::collection::vec(any_step(), 1..300),
    ) {
        let mut discovery = CheckedDiscovery::new(age);
        for step in steps {
            discovery.apply(step);
            discovery.check()?;
        }
        discovery.recover();
        prop_assert!(discovery.fixture.discovery.is_complete(), "{:?}", discovery.groups);
    }
}
