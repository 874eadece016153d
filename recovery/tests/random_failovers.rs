//! Primary discovery through random failovers, lost answers and list updates, against a model that knows the true
//! primary of each group.

#[allow(dead_code)] // Each test file uses a part of it.
mod support;

use proptest::prelude::*;
use proptest::test_runner::TestCaseResult;
use proptest_support::seeded_cases;
use recovery::endpoint_state::RoleReport;
use recovery::primary_discovery::{Event, Identity, QueryFailure};
use recovery::primary_verification::EVIDENCE_VALID_FOR;
use routing::{PrimaryEligibility, Role};
use support::{at, Fixture, DAY, GROUP_SIZE};

const GROUPS: usize = 3;
const ENDPOINTS: usize = GROUPS * GROUP_SIZE;
/// The age of the list in the cases where discovery never confirms it, in milliseconds.
const UNCONFIRMED_AGE: i64 = 1_000;
/// The ages of the cached list that a case draws from, in milliseconds; the last is of a list from the future.
const AGES: [i64; 5] = [UNCONFIRMED_AGE, 50_000, 600_000, 2 * DAY, -DAY];

/// A change of a group's primary.
#[derive(Clone, Copy, Debug)]
struct Failover {
    promoted: usize,
    /// The former primary goes on claiming on its own timeline.
    former_continues: bool,
    /// No other member follows the promoted one yet.
    others_lag: bool,
}

/// One step of a random sequence.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A failover, or so many milliseconds pass if the group had one within 3 s.
    FailoverOrAdvance(Failover, i64),
    Advance {
        ms: i64,
    },
    Answer {
        endpoint: usize,
    },
    /// A query fails; a member that does not run may refuse the connection.
    Fail {
        endpoint: usize,
        may_refuse: bool,
    },
    /// Discovery confirms the list once, or a request waits for the endpoint's group.
    ConfirmListOrRequest {
        endpoint: usize,
    },
    Request {
        endpoint: usize,
    },
}

fn any_step() -> impl Strategy<Value = Step> {
    (0..10u8, 0..ENDPOINTS, any::<u8>()).prop_map(|(kind, endpoint, detail)| {
        let ms = i64::from(detail) * 10;
        match kind {
            0 if detail < 60 => {
                let (former_continues, others_lag) = (detail % 2 == 0, detail % 4 == 3);
                Step::FailoverOrAdvance(Failover { promoted: endpoint, former_continues, others_lag }, ms)
            }
            0 | 1 => Step::Advance { ms },
            2..=7 => Step::Answer { endpoint },
            8 => Step::Fail { endpoint, may_refuse: detail % 3 == 0 },
            _ if detail < 10 => Step::ConfirmListOrRequest { endpoint },
            _ => Step::Request { endpoint },
        }
    })
}

/// What is true of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Endpoint {
    timeline: u32,
    claims_primary: bool,
    /// Where its position stays while no primary replicates to it.
    stalled_at: Option<i64>,
}

impl Endpoint {
    /// What it reports at this time; a replica is `lag` milliseconds behind.
    fn report(&self, now: i64, lag: i64) -> RoleReport {
        let (role, lag) = if self.claims_primary { (Role::Primary, 0) } else { (Role::Replica, lag) };
        let position = Some(at(self.stalled_at.unwrap_or(now - lag)));
        RoleReport { role: Some(role), position, timeline: Some(self.timeline) }
    }
}

/// What is true of a group, and the endpoint that the discovery last declared its only primary.
#[derive(Clone, Copy, Debug)]
struct Group {
    primary: usize,
    failover_at: i64,
    declared: Option<usize>,
}

/// A discovery, and the endpoints and groups that it is to find out about.
struct CheckedDiscovery {
    fixture: Fixture,
    endpoints: [Endpoint; ENDPOINTS],
    groups: [Group; GROUPS],
    /// Whether discovery may still send its list.
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
                declared: None,
            }),
            may_confirm: age != UNCONFIRMED_AGE,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::FailoverOrAdvance(failover, ms) => {
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
        for member in members_of(group).filter(|&member| member != former || !failover.former_continues) {
            let endpoint = &mut self.endpoints[member];
            if member != failover.promoted && failover.others_lag {
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

    /// An endpoint that becomes a group's only eligible primary is the true one, or was when it was last queried.
    fn check(&mut self) -> TestCaseResult {
        let now = at(self.fixture.now);
        for (number, group) in self.groups.iter_mut().enumerate() {
            let declared = match self.fixture.eligibility(number) {
                PrimaryEligibility::Only(endpoint) => Some(endpoint),
                _ => None,
            };
            if let Some(endpoint) = declared.filter(|_| declared != group.declared) {
                let was_primary =
                    endpoint == group.primary || now - EVIDENCE_VALID_FOR <= at(group.failover_at);
                prop_assert!(
                    was_primary,
                    "group {number}: {endpoint} is eligible, {} is primary",
                    group.primary
                );
            }
            group.declared = declared;
        }
        let max_queries = self.fixture.discovery.verification_level(now).max_queries;
        prop_assert!(self.fixture.queries.len() <= max_queries.max(64));
        Ok(())
    }

    /// Discovery is back, the failovers are over and all endpoints answer.
    fn settle(&mut self) {
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

    /// Each group has one true primary on the latest timeline, which may change at any time, and former ones that go
    /// on claiming on theirs. Whatever is queried, answered and lost in whatever order, no endpoint becomes eligible
    /// but one that was the true primary when it was last queried; and in the end each group has its primary.
    #[test]
    fn only_a_true_primary_becomes_eligible(
        age in (0..AGES.len()).prop_map(|nth| AGES[nth]),
        steps in prop::collection::vec(any_step(), 1..300),
    ) {
        let mut discovery = CheckedDiscovery::new(age);
        for step in steps {
            discovery.apply(step);
            discovery.check()?;
        }
        discovery.settle();
        prop_assert!(discovery.fixture.discovery.is_over(), "{:?}", discovery.groups);
    }
}
