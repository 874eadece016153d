//! Recovery under seeded random news, its rules checked after every step, and plain cases for what each guard
//! is for.

use proptest::prelude::*;
use proptest_support::seeded_cases;
use recovery::discovery_incarnation::{IncarnationTracker, ListDecision, OfferedList, CONFIRMATION_INTERVAL};
use recovery::endpoint_state::{EndpointState, RoleReport};
use recovery::group_state::GroupState;
use recovery::primary_discovery::{
    Action, DiscoverySettings, Event, Identity, Member, PrimaryDiscovery, QueryFailure,
};
use recovery::primary_verification::{MinimumPosition, EVIDENCE_VALID_FOR};
use recovery::save_schedule::{is_worth_saving, SaveSchedule};
use recovery::staleness::{verification_level, CacheTimes, Staleness};
use routing::time::{TimeDelta, Timestamp};
use routing::{EndpointReport, PrimaryEligibility, Role};
use std::collections::{BTreeMap, BTreeSet};

const DAY: i64 = 86_400_000;
/// Some day in 2026, in Unix milliseconds.
const START: i64 = 1_790_000_000_000;

fn at(ms: i64) -> Timestamp {
    Timestamp(ms * 1_000_000)
}

fn primary(position: i64, timeline: u32) -> RoleReport {
    RoleReport { role: Some(Role::Primary), position: Some(at(position)), timeline: Some(timeline) }
}

fn replica(position: i64, timeline: u32) -> RoleReport {
    RoleReport { role: Some(Role::Replica), ..primary(position, timeline) }
}

/// A recovery, and what its host has been told by it.
struct Rig {
    discovery: PrimaryDiscovery,
    now: i64,
    out: BTreeSet<usize>,
    open: BTreeSet<usize>,
    cleared: BTreeMap<usize, PrimaryEligibility>,
    queried_at: usize,
    most_out: usize,
}

impl Rig {
    /// `groups` groups of three endpoints each, listed `age` milliseconds ago.
    fn new(groups: usize, age: i64) -> Rig {
        let confirmed = at(START - age);
        let times = Some(CacheTimes { confirmed, saved: confirmed });
        let mut rig = Rig {
            discovery: PrimaryDiscovery::new(DiscoverySettings {
                cache_times: times,
                may_query: true,
                descriptors: usize::MAX,
            }),
            now: START,
            out: BTreeSet::new(),
            open: BTreeSet::new(),
            cleared: BTreeMap::new(),
            queried_at: 0,
            most_out: 0,
        };
        let members = (0..groups * 3).map(|endpoint| Member { endpoint, group: endpoint / 3 }).collect();
        rig.give(Event::CachedList { members, minimum_positions: Vec::new() });
        rig
    }

    fn give(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.discovery.on_event(at(self.now), event, &mut actions);
        for action in actions {
            match action {
                Action::Query { endpoint } => {
                    assert!(self.out.insert(endpoint), "an endpoint has one question at a time");
                    self.queried_at += 1;
                }
                Action::Admit { endpoint } => assert!(self.open.insert(endpoint), "admitted once"),
                Action::Withdraw { endpoint } => {
                    self.open.remove(&endpoint);
                }
                Action::SetEligibility { group, eligibility } => {
                    self.cleared.insert(group, eligibility);
                }
            }
        }
        self.most_out = self.most_out.max(self.out.len());
    }

    fn pass(&mut self, ms: i64) {
        self.now += ms;
        self.give(Event::Tick);
    }

    fn answer(&mut self, endpoint: usize, report: RoleReport) {
        self.say(endpoint, Identity::Confirmed, report);
    }

    fn say(&mut self, endpoint: usize, identity: Identity, report: RoleReport) {
        for _ in 0..200 {
            if self.out.contains(&endpoint) {
                break;
            }
            self.pass(100);
        }
        assert!(self.out.remove(&endpoint), "endpoint {endpoint} is asked in the end");
        let queried_at = at(self.now);
        self.now += 1;
        self.give(Event::Answered { endpoint, queried_at, identity, report });
    }

    fn fail(&mut self, endpoint: usize, why: QueryFailure) {
        while !self.out.remove(&endpoint) {
            self.pass(100);
        }
        self.give(Event::Failed { endpoint, failure: why });
    }

    fn vouch(&mut self, endpoints: impl IntoIterator<Item = usize>) {
        let members =
            endpoints.into_iter().map(|endpoint| Member { endpoint, group: endpoint / 3 }).collect();
        self.give(Event::Listed { complete: true, members, removed: Vec::new() });
    }

    fn eligibility(&self, group: usize) -> PrimaryEligibility {
        self.cleared.get(&group).copied().unwrap_or_default()
    }
}

#[test]
fn nobody_is_cleared_before_a_primary_has_proved_itself() {
    let mut rig = Rig::new(1, 5_000);
    assert_eq!(rig.eligibility(0), PrimaryEligibility::Nobody);
    rig.answer(0, primary(START, 1));
    assert_eq!(rig.eligibility(0), PrimaryEligibility::Nobody, "a claim alone, the others not heard");
    rig.answer(1, replica(START - 20, 1));
    assert_eq!(rig.eligibility(0), PrimaryEligibility::Nobody);
    rig.answer(2, replica(START - 20, 1));
    assert_eq!(
        rig.eligibility(0),
        PrimaryEligibility::Only(0),
        "all are accounted for, and the list is fresh"
    );
}

#[test]
fn on_an_old_list_a_majority_must_follow() {
    let mut rig = Rig::new(1, 2 * DAY);
    for _ in 0..6 {
        rig.answer(0, primary(rig.now, 1));
        rig.answer(1, replica(START - 5_000, 1));
        rig.answer(2, replica(START - 5_000, 1));
    }
    assert_eq!(rig.eligibility(0), PrimaryEligibility::Nobody, "its replicas stand still: it may be cut off");
    rig.answer(1, replica(rig.now, 1));
    rig.answer(0, primary(rig.now, 1));
    assert_eq!(
        rig.eligibility(0),
        PrimaryEligibility::Only(0),
        "one of two replicas has passed what it told"
    );
}

#[test]
fn who_follows_another_log_is_no_follower() {
    let mut rig = Rig::new(1, 2 * DAY);
    for _ in 0..6 {
        rig.answer(0, primary(rig.now, 2));
        // It follows a former primary that goes on, and so stands ahead of most that is true.
        rig.answer(1, replica(rig.now + 5, 1));
        rig.fail(2, QueryFailure::NoAnswer);
        assert_eq!(rig.eligibility(0), PrimaryEligibility::Nobody);
    }
    rig.answer(1, replica(rig.now, 2));
    rig.answer(0, primary(rig.now, 2));
    assert_eq!(rig.eligibility(0), PrimaryEligibility::Only(0));
}

#[test]
fn the_older_the_list_the_more_often_a_primary_must_have_said_so() {
    for (age, claims_required) in [(5_000, 1), (600_000, 2), (DAY / 2, 2), (2 * DAY, 3)] {
        let mut rig = Rig::new(1, age);
        rig.fail(2, QueryFailure::NoAnswer);
        for round in 1..=claims_required {
            assert_eq!(rig.eligibility(0), PrimaryEligibility::Nobody, "{age} ms old, before answer {round}");
            rig.answer(0, primary(rig.now, 1));
            rig.answer(1, replica(rig.now, 1));
        }
        assert_eq!(rig.eligibility(0), PrimaryEligibility::Only(0), "{age} ms old");
    }
}

#[test]
fn discovery_vouches_for_members_and_each_is_asked_all_the_same() {
    let mut rig = Rig::new(1, 2 * DAY);
    rig.vouch(0..3);
    rig.answer(0, primary(rig.now, 1));
    rig.fail(1, QueryFailure::NoAnswer);
    assert_eq!(
        rig.eligibility(0),
        PrimaryEligibility::Nobody,
        "the third has not been asked yet, and may claim it too"
    );
    rig.fail(2, QueryFailure::NoAnswer);
    assert_eq!(rig.eligibility(0), PrimaryEligibility::Any);
}

#[test]
fn a_former_primary_that_goes_on_is_disproved_by_a_later_timeline() {
    for age in [5_000, DAY * 2] {
        let mut rig = Rig::new(1, age);
        for _ in 0..5 {
            rig.answer(0, primary(rig.now, 1));
            rig.answer(1, replica(rig.now - 20, 2));
            // Its successor says nothing at all.
            rig.fail(2, QueryFailure::NoAnswer);
            assert_eq!(rig.eligibility(0), PrimaryEligibility::Nobody);
        }
        rig.answer(2, primary(rig.now, 2));
        for _ in 0..4 {
            rig.answer(1, replica(rig.now, 2));
            rig.answer(2, primary(rig.now, 2));
        }
        assert_eq!(rig.eligibility(0), PrimaryEligibility::Only(2));
    }
}

#[test]
fn silence_is_no_account_of_a_member_and_a_refusal_is() {
    let mut rig = Rig::new(1, 5_000);
    rig.answer(0, primary(START, 1));
    rig.answer(1, RoleReport { timeline: None, ..replica(START - 10, 1) });
    rig.fail(2, QueryFailure::NoAnswer);
    assert_eq!(rig.eligibility(0), PrimaryEligibility::Nobody, "the silent one may have taken over");
    rig.fail(2, QueryFailure::Refused);
    assert_eq!(rig.eligibility(0), PrimaryEligibility::Only(0));
}

#[test]
fn two_claims_that_nothing_tells_apart_clear_nobody_until_one_stands_behind() {
    let untold = |report: RoleReport| RoleReport { timeline: None, ..report };
    let mut rig = Rig::new(1, 5_000);
    rig.answer(2, untold(replica(START - 40, 1)));
    for _ in 0..3 {
        rig.answer(0, untold(primary(rig.now, 1)));
        rig.answer(1, untold(primary(rig.now, 1)));
        assert_eq!(rig.eligibility(0), PrimaryEligibility::Nobody);
    }
    assert_eq!(rig.discovery.group_state(0), Some(GroupState::Contested));
    // The first stands still: asked after the other had told more, it says less.
    let still = rig.now - 50;
    rig.answer(1, untold(primary(rig.now, 1)));
    rig.answer(0, untold(primary(still, 1)));
    assert_eq!(rig.eligibility(0), PrimaryEligibility::Only(1));
}

#[test]
fn less_than_was_known_before_this_start_proves_nothing() {
    let mut rig = Rig::new(1, 5_000);
    let minimum = MinimumPosition { timeline: Some(3), position: Some(at(START - 5_000)) };
    rig.give(Event::CachedList { members: Vec::new(), minimum_positions: vec![(0, minimum)] });
    for report in [primary(START, 2), primary(START - 6_000, 3)] {
        rig.answer(0, report);
        rig.answer(1, RoleReport { timeline: report.timeline, ..replica(START - 7_000, 1) });
        rig.answer(2, RoleReport { timeline: report.timeline, ..replica(START - 7_000, 1) });
        assert_eq!(rig.eligibility(0), PrimaryEligibility::Nobody);
    }
    rig.answer(0, primary(START, 3));
    assert_eq!(rig.eligibility(0), PrimaryEligibility::Only(0));
}

#[test]
fn an_address_with_another_store_behind_it_is_never_opened_and_shut_when_it_turns_into_one() {
    let mut rig = Rig::new(2, 5_000);
    rig.say(0, Identity::Mismatch, primary(START, 9));
    assert!(!rig.open.contains(&0));
    rig.answer(1, replica(START - 10, 1));
    rig.answer(2, replica(START - 10, 1));
    assert_eq!(rig.eligibility(0), PrimaryEligibility::Nobody);
    rig.say(1, Identity::Mismatch, replica(START, 1));
    assert!(!rig.open.contains(&1), "it was open, and another answers there now");
}

#[test]
fn who_cannot_say_its_name_is_believed_on_a_fresh_list_alone() {
    let mut fresh = Rig::new(1, 5_000);
    let mut old = Rig::new(1, 600_000);
    for rig in [&mut fresh, &mut old] {
        rig.say(0, Identity::Unknown, RoleReport { timeline: None, ..primary(START, 1) });
    }
    assert!(fresh.open.contains(&0) && !old.open.contains(&0));
    assert_eq!(old.discovery.endpoint(0).map(|endpoint| endpoint.state), Some(EndpointState::Anonymous));
    old.vouch(0..3);
    old.say(0, Identity::Unknown, RoleReport { timeline: None, ..primary(old.now, 1) });
    old.fail(1, QueryFailure::NoAnswer);
    old.fail(2, QueryFailure::NoAnswer);
    assert_eq!(old.eligibility(0), PrimaryEligibility::Any, "discovery names it, and it claims alone");
}

#[test]
fn discovery_shuts_what_it_leaves_out_and_a_cleared_one_stays_watched_while_another_claims() {
    let mut rig = Rig::new(1, 5_000);
    rig.answer(0, primary(START, 1));
    rig.answer(1, primary(START, 2));
    rig.answer(2, replica(START - 10, 2));
    assert_eq!(rig.eligibility(0), PrimaryEligibility::Only(1));
    assert!(rig.open.contains(&0));
    rig.vouch(0..3);
    assert_eq!(rig.eligibility(0), PrimaryEligibility::Only(1), "the former one still claims it");
    rig.vouch(1..3);
    assert!(!rig.open.contains(&0));
    assert_eq!(rig.eligibility(0), PrimaryEligibility::Any);
    assert!(rig.discovery.is_over());
    rig.pass(60_000);
    assert_eq!(rig.discovery.due(at(rig.now)), None, "nobody is asked any more");
}

#[test]
fn a_confirmed_primary_that_denies_is_barred_at_once() {
    let mut rig = Rig::new(1, 5_000);
    rig.answer(0, primary(START, 1));
    rig.answer(1, replica(START - 10, 1));
    rig.answer(2, replica(START - 10, 1));
    let report = EndpointReport { role: Some(Role::Replica), position: Some(at(rig.now)), load: None };
    let queried_at = at(rig.now);
    rig.give(Event::Observed { endpoint: 0, queried_at, report });
    assert_eq!(rig.eligibility(0), PrimaryEligibility::Nobody);
}

#[test]
fn where_stores_cannot_be_asked_only_discovery_frees() {
    let mut rig = Rig::new(1, 5_000);
    rig.discovery =
        PrimaryDiscovery::new(DiscoverySettings { cache_times: None, may_query: false, descriptors: 8 });
    rig.out.clear();
    let members = (0..3).map(|endpoint| Member { endpoint, group: 0 }).collect();
    rig.give(Event::CachedList { members, minimum_positions: Vec::new() });
    assert!(rig.out.is_empty() && rig.eligibility(0) == PrimaryEligibility::Nobody);
    rig.vouch(0..3);
    assert_eq!(rig.eligibility(0), PrimaryEligibility::Any);
}

#[test]
fn ten_thousand_stores_are_asked_a_few_at_a_time_and_a_wanted_group_first() {
    for (age, max_queries) in [(5_000, 64), (600_000, 32), (7_200_000, 16), (2 * DAY, 8)] {
        let groups = 3_334;
        let mut rig = Rig::new(groups, age);
        let wanted = groups - 1;
        rig.give(Event::RequestWaiting { group: wanted });
        let (mut claims_required, mut wanted_at, mut answered) = (0, None, BTreeSet::new());
        while answered.len() < groups * 3 {
            claims_required += 1;
            assert!(claims_required < 100_000, "all are heard in the end");
            let queried_at: Vec<usize> = rig.out.iter().copied().collect();
            for endpoint in queried_at {
                rig.out.remove(&endpoint);
                answered.insert(endpoint);
                let report = if endpoint % 3 == 0 { primary(rig.now, 1) } else { replica(rig.now, 1) };
                let queried_at = at(rig.now);
                rig.give(Event::Answered { endpoint, queried_at, identity: Identity::Confirmed, report });
            }
            if wanted_at.is_none() && matches!(rig.eligibility(wanted), PrimaryEligibility::Only(_)) {
                wanted_at = Some(claims_required);
            }
            rig.pass(1);
        }
        assert!(rig.most_out <= max_queries, "{} at a time", rig.most_out);
        assert!(wanted_at.is_some_and(|at| at < 400), "{wanted_at:?} of {claims_required}");
    }
}

#[test]
fn the_step_of_age_goes_by_what_is_shown_when_the_clock_cannot_be_right() {
    let times = |confirmed: i64, saved: i64| Some(CacheTimes { confirmed: at(confirmed), saved: at(saved) });
    let age = |times, shown| verification_level(times, at(START), shown).staleness;
    assert_eq!(age(times(START - 59_000, START - 59_000), None), Staleness::Fresh);
    assert_eq!(age(times(START - 61_000, START - 1_000), None), Staleness::Recent);
    assert_eq!(age(times(START - DAY, START - DAY), None), Staleness::Old);
    assert_eq!(age(times(START - DAY - 1, START), None), Staleness::Unknown);
    assert_eq!(
        age(times(START + 10_000, START + 10_000), None),
        Staleness::Unknown,
        "a list from the future"
    );
    assert_eq!(age(times(START - 1_000, START - 60_000), None), Staleness::Unknown, "the clock was set back");
    assert_eq!(age(None, None), Staleness::Unknown);
    // Our clock says five seconds, the endpoints say an hour and more.
    assert_eq!(age(times(START - 5_000, START - 5_000), Some(at(START + DAY / 12))), Staleness::Old);
}

#[test]
fn another_life_of_discovery_is_taken_once_it_has_shown_itself_twice_and_an_old_copy_is_not() {
    let complete = |version| OfferedList { version, complete: true, empty: false };
    let mut tracker = IncarnationTracker::new(40, true);
    assert_eq!(
        tracker.offer(at(0), OfferedList { empty: true, ..complete(50) }),
        ListDecision::Ignore,
        "all is lost there"
    );
    assert_eq!(tracker.offer(at(0), complete(41)), ListDecision::Accept);
    // An old copy, then our own life again: forgotten.
    assert_eq!(tracker.offer(at(100), complete(5)), ListDecision::Suspect);
    assert_eq!(tracker.offer(at(200), complete(42)), ListDecision::Accept);
    assert_eq!(tracker.offer(at(9_000), complete(5)), ListDecision::Suspect);
    assert_eq!(tracker.poll_again_at(), Some(at(9_000) + CONFIRMATION_INTERVAL));
    assert_eq!(tracker.offer(at(9_100), complete(5)), ListDecision::Suspect, "too soon");
    assert_eq!(
        tracker.offer(at(9_200), OfferedList { complete: false, ..complete(6) }),
        ListDecision::Ignore
    );
    assert_eq!(
        tracker.offer(at(9_000) + CONFIRMATION_INTERVAL, complete(4)),
        ListDecision::Suspect,
        "older than what it showed"
    );
    assert_eq!(
        tracker.offer(at(9_000) + CONFIRMATION_INTERVAL + CONFIRMATION_INTERVAL, complete(4)),
        ListDecision::Accept
    );
    assert_eq!(tracker.version(), 4);
    assert_eq!(
        tracker.offer(at(20_000), OfferedList { empty: true, ..complete(9) }),
        ListDecision::Accept,
        "its life, its word"
    );
}

#[test]
fn saves_follow_changes_and_leave_a_failing_disk_alone() {
    let gap = TimeDelta::from_millis(1_000);
    let mut schedule = SaveSchedule::new(gap);
    assert_eq!(schedule.due(), None);
    schedule.changed(at(START));
    schedule.changed(at(START + 100));
    let due = schedule.due().expect("soon");
    assert!(due >= at(START) && due <= at(START + 200), "soon after the first of several changes");
    schedule.started(due);
    schedule.ended(due, true);
    schedule.changed(due);
    assert_eq!(schedule.due(), Some(due + gap));
    let (mut now, mut pauses) = (due, Vec::new());
    for _ in 0..12 {
        let next = schedule.due().expect("what failed is made up for");
        pauses.push(next - now);
        now = next;
        schedule.started(now);
        schedule.ended(now, false);
    }
    assert!(pauses.windows(2).all(|two| two[0] <= two[1]), "{pauses:?}");
    assert_eq!(pauses.last(), Some(&TimeDelta::from_millis(60_000)));
    let report = primary(START, 1);
    assert!(is_worth_saving(None, report) && !is_worth_saving(Some(report), primary(START + 100, 1)));
    assert!(
        is_worth_saving(Some(report), primary(START + 100, 2))
            && is_worth_saving(Some(report), primary(START + 9_000, 1))
    );
}

proptest! {
    #![proptest_config(seeded_cases(256, 20_26))]

    /// A world in which each group has one true primary on the latest timeline, which may be another at any
    /// time, and former ones that go on claiming on theirs. Whatever is asked, answered and lost in whatever
    /// order: nobody but an endpoint that was true primary when it was last asked is ever cleared.
    #[test]
    fn only_a_true_primary_is_cleared(
        ages in 0..5usize,
        steps in prop::collection::vec((0..10u8, 0..9usize, any::<u8>()), 1..300),
    ) {
        let age = [1_000, 50_000, 600_000, 2 * DAY, -DAY][ages];
        let mut rig = Rig::new(3, age);
        // By endpoint: the timeline it is on, whether it believes itself primary, and where it stands since it
        // was cut.
        let mut timeline = [1u32; 9];
        let mut claims: [bool; 9] = std::array::from_fn(|endpoint| endpoint % 3 == 0);
        let mut truth = [0usize, 3, 6];
        let mut cut: [Option<i64>; 9] = [None; 9];
        let mut switched = [0i64; 3];
        let (mut list_confirmed, mut cleared) = (false, [None; 3]);
        for (kind, endpoint, how) in steps {
            let group = endpoint / 3;
            match kind {
                // A failover before or after the start: the former one follows, or goes on by itself.
                0 if how < 60 && rig.now - switched[group] > 3_000 => {
                    let latest = timeline[group * 3..group * 3 + 3].iter().max().copied().unwrap_or(1);
                    let before = truth[group];
                    if endpoint != before {
                        let goes_on = how % 2 == 0;
                        for other in group * 3..group * 3 + 3 {
                            if other == before && goes_on {
                                continue;
                            }
                            // A quarter of the replicas has not heard of it yet.
                            let behind = other != endpoint && how % 4 == 3;
                            if !behind {
                                (timeline[other], claims[other], cut[other]) = (latest + 1, other == endpoint, None);
                            } else {
                                claims[other] = false;
                                cut[other] = Some(rig.now - 10);
                            }
                        }
                        truth[group] = endpoint;
                        switched[group] = rig.now;
                    }
                }
                0 | 1 => rig.pass(i64::from(how) * 10),
                2..=7 => {
                    if rig.out.remove(&endpoint) {
                        let position = cut[endpoint].unwrap_or(rig.now - if claims[endpoint] { 0 } else { 5 });
                        let role = if claims[endpoint] { Role::Primary } else { Role::Replica };
                        let report =
                            RoleReport { role: Some(role), position: Some(at(position)), timeline: Some(timeline[endpoint]) };
                        let queried_at = at(rig.now);
                        rig.now += 1;
                        rig.give(Event::Answered { endpoint, queried_at, identity: Identity::Confirmed, report });
                    }
                }
                8 => {
                    if rig.out.remove(&endpoint) {
                        // Who refuses is not running; an endpoint that claims is.
                        let why = if how % 3 == 0 && !claims[endpoint] { QueryFailure::Refused } else { QueryFailure::NoAnswer };
                        rig.give(Event::Failed { endpoint, failure: why });
                    }
                }
                _ if how < 10 && !list_confirmed && age != 1_000 => {
                    list_confirmed = true;
                    rig.vouch(0..9);
                }
                _ => rig.give(Event::RequestWaiting { group }),
            }
            for group in 0..3 {
                if let PrimaryEligibility::Only(endpoint) = rig.eligibility(group) {
                    if cleared[group] != Some(endpoint) {
                        // It was the true one when the words that prove it were said.
                        let was = endpoint == truth[group] || at(rig.now) - EVIDENCE_VALID_FOR <= at(switched[group]);
                        prop_assert!(was, "group {group}: {endpoint} cleared, {} is true", truth[group]);
                    }
                    cleared[group] = Some(endpoint);
                } else {
                    cleared[group] = None;
                }
            }
            prop_assert!(rig.out.len() <= rig.discovery.verification_level(at(rig.now)).max_queries.max(64));
        }
        // Whatever happened: once all can be heard and discovery is back, each group has its primary.
        rig.vouch(0..9);
        cut = [None; 9];
        for group in 0..3 {
            let latest = timeline[truth[group]];
            for endpoint in group * 3..group * 3 + 3 {
                (timeline[endpoint], claims[endpoint]) = (latest, endpoint == truth[group]);
            }
        }
        for _ in 0..400 {
            let queried_at: Vec<usize> = rig.out.iter().copied().collect();
            for endpoint in queried_at {
                rig.out.remove(&endpoint);
                let role = if claims[endpoint] { Role::Primary } else { Role::Replica };
                let position = cut[endpoint].unwrap_or(rig.now);
                let report = RoleReport { role: Some(role), position: Some(at(position)), timeline: Some(timeline[endpoint]) };
                let queried_at = at(rig.now);
                rig.give(Event::Answered { endpoint, queried_at, identity: Identity::Confirmed, report });
            }
            rig.pass(50);
        }
        prop_assert!(rig.discovery.is_over(), "{:?}", rig.cleared);
    }
}
