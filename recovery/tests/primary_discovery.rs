//! Which endpoints are queried and admitted, by reported identity, confirmed list and limit on concurrent queries.

#[allow(dead_code)] // Each test file uses only a part of the support code.
mod support;

use recovery::endpoint_state::EndpointState;
use recovery::primary_discovery::{DiscoverySettings, Event, Identity, QueryFailure};
use routing::PrimaryEligibility::{Any, NoMember, Only};
use std::collections::BTreeSet;
use support::{at_ms, primary, replica, without_timeline, Fixture, DAY, FRESH, GROUP_SIZE, START};

#[test]
fn primary_of_a_confirmed_list_is_eligible_only_after_all_queries() {
    let mut fixture = Fixture::new(1, 2 * DAY);
    fixture.confirm_list(0..3);
    fixture.answer(0, primary(fixture.now, 1));
    fixture.fail(1, QueryFailure::NoAnswer);
    assert_eq!(
        fixture.eligibility(0),
        NoMember,
        "endpoint 2 has not been queried and may also claim to be primary"
    );
    fixture.fail(2, QueryFailure::NoAnswer);
    assert_eq!(fixture.eligibility(0), Any);
}

#[test]
fn endpoint_with_wrong_identity_is_not_admitted_or_is_withdrawn() {
    let mut fixture = Fixture::new(2, FRESH);
    fixture.answer_as(0, Identity::Mismatch, primary(START, 9));
    assert!(!fixture.admitted.contains(&0));
    fixture.answer(1, replica(START - 10, 1));
    fixture.answer(2, replica(START - 10, 1));
    assert_eq!(fixture.eligibility(0), NoMember);
    fixture.answer_as(1, Identity::Mismatch, replica(START, 1));
    assert!(!fixture.admitted.contains(&1), "another endpoint answers at the address of the admitted one");
}

#[test]
fn endpoint_without_identity_needs_a_fresh_or_confirmed_list() {
    let mut fresh = Fixture::new(1, FRESH);
    let mut old = Fixture::new(1, 600_000);
    for fixture in [&mut fresh, &mut old] {
        fixture.answer_as(0, Identity::Unknown, without_timeline(primary(START, 1)));
    }
    assert!(fresh.admitted.contains(&0) && !old.admitted.contains(&0));
    assert_eq!(old.discovery.endpoint(0).map(|endpoint| endpoint.state), Some(EndpointState::Anonymous));
    old.confirm_list(0..3);
    old.answer_as(0, Identity::Unknown, without_timeline(primary(old.now, 1)));
    old.fail(1, QueryFailure::NoAnswer);
    old.fail(2, QueryFailure::NoAnswer);
    assert_eq!(
        old.eligibility(0),
        Any,
        "discovery lists endpoint 0, and no other endpoint claims to be primary"
    );
}

#[test]
fn group_settles_after_the_former_primary_is_unlisted() {
    let mut fixture = Fixture::new(1, FRESH);
    fixture.answer(0, primary(START, 1));
    fixture.answer(1, primary(START, 2));
    fixture.answer(2, replica(START - 10, 2));
    assert_eq!(fixture.eligibility(0), Only(1));
    assert!(fixture.admitted.contains(&0));
    fixture.confirm_list(0..3);
    assert_eq!(fixture.eligibility(0), Only(1), "the former primary still claims to be primary");
    fixture.confirm_list(1..3);
    assert!(!fixture.admitted.contains(&0));
    assert_eq!(fixture.eligibility(0), Any);
    assert!(fixture.discovery.is_complete());
    fixture.advance(60_000);
    assert_eq!(
        fixture.discovery.next_tick_due(at_ms(fixture.now)),
        None,
        "a query is scheduled after recovery is complete"
    );
}

#[test]
fn without_queries_primaries_are_eligible_once_the_list_is_confirmed() {
    let settings = DiscoverySettings { cache_times: None, may_query: false, descriptors: 8 };
    let mut fixture = Fixture::with_settings(1, settings);
    assert!(fixture.open_queries.is_empty() && fixture.eligibility(0) == NoMember);
    fixture.confirm_list(0..3);
    assert_eq!(fixture.eligibility(0), Any);
}

/// Answers all queries until every endpoint of the `groups` groups has answered. Returns the round after which the
/// group with a waiting request had a primary, and the number of rounds.
fn answer_all_endpoints(
    fixture: &mut Fixture,
    groups: usize,
    waiting_group: usize,
) -> (Option<usize>, usize) {
    let (mut rounds, mut ready_after, mut answered) = (0, None, BTreeSet::new());
    while answered.len() < groups * GROUP_SIZE {
        rounds += 1;
        assert!(rounds < 100_000, "not all endpoints were queried within {rounds} rounds");
        answered.extend(fixture.answer_open_queries(|endpoint, now| {
            if endpoint % GROUP_SIZE == 0 {
                primary(now, 1)
            } else {
                replica(now, 1)
            }
        }));
        if ready_after.is_none() && matches!(fixture.eligibility(waiting_group), Only(_)) {
            ready_after = Some(rounds);
        }
        fixture.advance(1);
    }
    (ready_after, rounds)
}

#[test]
fn queries_are_limited_and_groups_with_waiting_requests_come_first() {
    // 10,002 endpoints.
    let groups = 3_334;
    for (age, max_queries) in [(5_000, 64), (600_000, 32), (7_200_000, 16), (2 * DAY, 8)] {
        let mut fixture = Fixture::new(groups, age);
        let waiting_group = groups - 1;
        fixture.handle(Event::RequestWaiting { group: waiting_group });
        let (ready_after, rounds) = answer_all_endpoints(&mut fixture, groups, waiting_group);
        let max_open_queries = fixture.max_open_queries;
        assert!(max_open_queries <= max_queries, "{max_open_queries} concurrent queries");
        assert!(
            ready_after.is_some_and(|round| round < 400),
            "the waiting group had a primary after round {ready_after:?} of {rounds}"
        );
    }
}
