//! Which endpoints are queried and admitted: identities, confirmed lists, the number of queries at a time.

#[allow(dead_code)] // Each test file uses a part of it.
mod support;

use recovery::endpoint_state::EndpointState;
use recovery::primary_discovery::{DiscoverySettings, Event, Identity, QueryFailure};
use routing::PrimaryEligibility::{Any, NoMember, Only};
use std::collections::BTreeSet;
use support::{at, primary, replica, without_timeline, Fixture, DAY, FRESH, GROUP_SIZE, START};

#[test]
fn members_of_a_confirmed_list_are_queried_all_the_same() {
    let mut fixture = Fixture::new(1, 2 * DAY);
    fixture.confirm_list(0..3);
    fixture.answer(0, primary(fixture.now, 1));
    fixture.fail(1, QueryFailure::NoAnswer);
    assert_eq!(
        fixture.eligibility(0),
        NoMember,
        "the third has not been queried, and may claim to be primary too"
    );
    fixture.fail(2, QueryFailure::NoAnswer);
    assert_eq!(fixture.eligibility(0), Any);
}

#[test]
fn an_address_of_another_endpoint_is_not_admitted_and_withdrawn_if_it_changes() {
    let mut fixture = Fixture::new(2, FRESH);
    fixture.answer_as(0, Identity::Mismatch, primary(START, 9));
    assert!(!fixture.admitted.contains(&0));
    fixture.answer(1, replica(START - 10, 1));
    fixture.answer(2, replica(START - 10, 1));
    assert_eq!(fixture.eligibility(0), NoMember);
    fixture.answer_as(1, Identity::Mismatch, replica(START, 1));
    assert!(!fixture.admitted.contains(&1), "it was admitted, and another endpoint answers there now");
}

#[test]
fn an_endpoint_without_identity_is_admitted_on_a_fresh_list_only() {
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
    assert_eq!(old.eligibility(0), Any, "discovery lists it, and it alone claims to be primary");
}

#[test]
fn an_endpoint_left_out_of_a_list_is_withdrawn_and_verification_goes_on_while_it_claims() {
    let mut fixture = Fixture::new(1, FRESH);
    fixture.answer(0, primary(START, 1));
    fixture.answer(1, primary(START, 2));
    fixture.answer(2, replica(START - 10, 2));
    assert_eq!(fixture.eligibility(0), Only(1));
    assert!(fixture.admitted.contains(&0));
    fixture.confirm_list(0..3);
    assert_eq!(fixture.eligibility(0), Only(1), "the former primary still claims to be one");
    fixture.confirm_list(1..3);
    assert!(!fixture.admitted.contains(&0));
    assert_eq!(fixture.eligibility(0), Any);
    assert!(fixture.discovery.is_over());
    fixture.advance(60_000);
    assert_eq!(fixture.discovery.due(at(fixture.now)), None, "no endpoint is queried any more");
}

#[test]
fn without_queries_only_a_list_makes_primaries_eligible() {
    let settings = DiscoverySettings { cache_times: None, may_query: false, descriptors: 8 };
    let mut fixture = Fixture::with_settings(1, settings);
    assert!(fixture.queries.is_empty() && fixture.eligibility(0) == NoMember);
    fixture.confirm_list(0..3);
    assert_eq!(fixture.eligibility(0), Any);
}

/// Answers every query of a start with so many groups until all endpoints have answered; returns the round after
/// which the group with a waiting request had a primary, and the rounds in all.
fn answer_all_endpoints(
    fixture: &mut Fixture,
    groups: usize,
    waiting_group: usize,
) -> (Option<usize>, usize) {
    let (mut rounds, mut ready_after, mut answered) = (0, None, BTreeSet::new());
    while answered.len() < groups * GROUP_SIZE {
        rounds += 1;
        assert!(rounds < 100_000, "all endpoints are queried in the end");
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
fn ten_thousand_endpoints_are_queried_a_few_at_a_time_and_a_group_with_a_waiting_request_first() {
    for (age, max_queries) in [(5_000, 64), (600_000, 32), (7_200_000, 16), (2 * DAY, 8)] {
        let groups = 3_334;
        let mut fixture = Fixture::new(groups, age);
        let waiting_group = groups - 1;
        fixture.handle(Event::RequestWaiting { group: waiting_group });
        let (ready_after, rounds) = answer_all_endpoints(&mut fixture, groups, waiting_group);
        assert!(fixture.most_queries <= max_queries, "{} at a time", fixture.most_queries);
        assert!(ready_after.is_some_and(|round| round < 400), "{ready_after:?} of {rounds}");
    }
}
