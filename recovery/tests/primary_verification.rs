//! When an endpoint is verified as the primary of its group, by claims, timelines, positions and replicas.

#[allow(dead_code)] // Each test file uses only a part of the support code.
mod support;

use recovery::endpoint_state::RoleReport;
use recovery::group_state::GroupState;
use recovery::primary_discovery::{Event, QueryFailure};
use recovery::primary_verification::{GroupMinimum, MinimumPosition};
use routing::PrimaryEligibility::{NoMember, Only};
use routing::{EndpointReport, Role};
use support::{at_ms, primary, replica, without_timeline, Fixture, DAY, FRESH, START};

#[test]
fn no_primary_is_eligible_before_all_members_answered() {
    let mut fixture = Fixture::new(1, FRESH);
    assert_eq!(fixture.eligibility(0), NoMember);
    fixture.answer(0, primary(START, 1));
    assert_eq!(fixture.eligibility(0), NoMember, "the other members have not been queried");
    fixture.answer(1, replica(START - 20, 1));
    assert_eq!(fixture.eligibility(0), NoMember);
    fixture.answer(2, replica(START - 20, 1));
    assert_eq!(fixture.eligibility(0), Only(0), "all members have answered, and the list is fresh");
}

#[test]
fn old_list_requires_a_majority_that_follows_the_primary() {
    let mut fixture = Fixture::new(1, 2 * DAY);
    for _ in 0..6 {
        let stalled = replica(START - 5_000, 1);
        fixture.answer_in_order([primary(fixture.now, 1), stalled, stalled]);
    }
    assert_eq!(
        fixture.eligibility(0),
        NoMember,
        "the replicas do not advance: the claimant may be partitioned"
    );
    fixture.answer(1, replica(fixture.now, 1));
    fixture.answer(0, primary(fixture.now, 1));
    assert_eq!(
        fixture.eligibility(0),
        Only(0),
        "one of two replicas has passed the position that the claimant reported"
    );
}

/// Endpoint 0 claims to be primary, endpoint 1 is a replica on another timeline, endpoint 2 does not answer.
struct ContradictedClaim {
    claimed_timeline: u32,
    replica_timeline: u32,
    replica_ahead_ms: i64,
}

impl ContradictedClaim {
    fn assert_not_eligible(&self, fixture: &mut Fixture, rounds: u32) {
        for _ in 0..rounds {
            fixture.answer(0, primary(fixture.now, self.claimed_timeline));
            fixture.answer(1, replica(fixture.now + self.replica_ahead_ms, self.replica_timeline));
            fixture.fail(2, QueryFailure::NoAnswer);
            assert_eq!(fixture.eligibility(0), NoMember);
        }
    }
}

#[test]
fn replica_on_another_timeline_does_not_support_a_claim() {
    let mut fixture = Fixture::new(1, 2 * DAY);
    // The replica follows a former primary that is still running, so its position is ahead.
    ContradictedClaim { claimed_timeline: 2, replica_timeline: 1, replica_ahead_ms: 5 }
        .assert_not_eligible(&mut fixture, 6);
    fixture.answer(1, replica(fixture.now, 2));
    fixture.answer(0, primary(fixture.now, 2));
    assert_eq!(fixture.eligibility(0), Only(0));
}

#[test]
fn required_claims_increase_with_the_age_of_the_list() {
    for (age, claims_required) in [(5_000, 1), (600_000, 2), (DAY / 2, 2), (2 * DAY, 3)] {
        let mut fixture = Fixture::new(1, age);
        fixture.fail(2, QueryFailure::NoAnswer);
        for round in 1..=claims_required {
            assert_eq!(fixture.eligibility(0), NoMember, "list of {age} ms, before claim {round}");
            fixture.answer(0, primary(fixture.now, 1));
            fixture.answer(1, replica(fixture.now, 1));
        }
        assert_eq!(fixture.eligibility(0), Only(0), "list of {age} ms");
    }
}

#[test]
fn later_timeline_disproves_the_claim_of_a_former_primary() {
    for age in [5_000, DAY * 2] {
        let mut fixture = Fixture::new(1, age);
        // The replica follows the new primary, which does not answer.
        ContradictedClaim { claimed_timeline: 1, replica_timeline: 2, replica_ahead_ms: -20 }
            .assert_not_eligible(&mut fixture, 5);
        fixture.answer(2, primary(fixture.now, 2));
        for _ in 0..4 {
            fixture.answer(1, replica(fixture.now, 2));
            fixture.answer(2, primary(fixture.now, 2));
        }
        assert_eq!(fixture.eligibility(0), Only(2));
    }
}

#[test]
fn refused_connection_accounts_for_a_member_and_timeout_does_not() {
    let mut fixture = Fixture::new(1, FRESH);
    fixture.answer(0, primary(START, 1));
    fixture.answer(1, without_timeline(replica(START - 10, 1)));
    fixture.fail(2, QueryFailure::NoAnswer);
    assert_eq!(fixture.eligibility(0), NoMember, "the member that did not answer may have been promoted");
    fixture.fail(2, QueryFailure::Refused);
    assert_eq!(fixture.eligibility(0), Only(0));
}

#[test]
fn competing_claims_are_ineligible_until_one_falls_behind() {
    let mut fixture = Fixture::new(1, FRESH);
    fixture.answer(2, without_timeline(replica(START - 40, 1)));
    for _ in 0..3 {
        fixture.answer(0, without_timeline(primary(fixture.now, 1)));
        fixture.answer(1, without_timeline(primary(fixture.now, 1)));
        assert_eq!(fixture.eligibility(0), NoMember);
    }
    assert_eq!(fixture.discovery.group_state(0), Some(GroupState::Contested));
    // Endpoint 0 does not advance: it is queried after endpoint 1 and reports an earlier position.
    let stalled = fixture.now - 50;
    fixture.answer(1, without_timeline(primary(fixture.now, 1)));
    fixture.answer(0, without_timeline(primary(stalled, 1)));
    assert_eq!(fixture.eligibility(0), Only(1));
}

#[test]
fn claim_below_the_cached_minimum_position_is_rejected() {
    let mut fixture = Fixture::new(1, FRESH);
    let minimum = MinimumPosition { timeline: Some(3), position: Some(at_ms(START - 5_000)) };
    fixture.handle(Event::CachedListLoaded {
        members: Vec::new(),
        minimum_positions: vec![GroupMinimum { group: 0, minimum }],
    });
    for report in [primary(START, 2), primary(START - 6_000, 3)] {
        let behind = RoleReport { timeline: report.timeline, ..replica(START - 7_000, 1) };
        fixture.answer_in_order([report, behind, behind]);
        assert_eq!(fixture.eligibility(0), NoMember);
    }
    fixture.answer(0, primary(START, 3));
    assert_eq!(fixture.eligibility(0), Only(0));
}

#[test]
fn verified_primary_that_reports_replica_becomes_ineligible() {
    let mut fixture = Fixture::new(1, FRESH);
    fixture.answer_in_order([primary(START, 1), replica(START - 10, 1), replica(START - 10, 1)]);
    let report = EndpointReport { role: Some(Role::Replica), position: Some(at_ms(fixture.now)), load: None };
    let queried_at = at_ms(fixture.now);
    fixture.handle(Event::ReportReceived { endpoint: 0, queried_at, report });
    assert_eq!(fixture.eligibility(0), NoMember);
}
