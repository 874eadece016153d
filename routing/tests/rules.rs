//! A property test: the rules that the harness checks hold for random sequences of events from a fixed seed.

#[allow(dead_code)] // Each test file uses only a part of the support code.
mod support;

use proptest::prelude::*;
use proptest_support::seeded_cases;
use routing::time::TimeDelta;
use routing::*;
use support::*;

proptest! {
    #![proptest_config(seeded_cases(192, 20_26))]

    #[test]
    fn routing_rules_hold_after_every_random_event(
        seed in any::<u64>(),
        lag_handling in 0..3usize,
        without_health_checks in any::<bool>(),
        steps in prop::collection::vec((0..13u8, any::<u16>(), any::<u8>()), 1..400),
    ) {
        let new_harness =
            if without_health_checks { Harness::without_health_checks } else { Harness::with_health_checks };
        let mut harness = new_harness(LAG_HANDLINGS[lag_handling], 2, seed);
        for step in steps {
            perform_step(&mut harness, without_health_checks, step);
        }
        harness.advance(TimeDelta::from_millis(10_000));
        prop_assert!(harness.open_requests.is_empty(), "a request has no final answer 10 s later");
    }
}

/// Reports one random event: `kind` selects its type, `pick` and `variant` select its details.
fn perform_step(harness: &mut Harness, without_health_checks: bool, (kind, pick, variant): (u8, u16, u8)) {
    let (pick, variant) = (usize::from(pick), usize::from(variant));
    let endpoint = pick % harness.group_of.len();
    let age = TimeDelta::from_millis(variant as i64 * 20);
    match kind {
        0..=3 => report_random_request(harness, pick, variant, age),
        4..=6 => end_random_attempt(harness, pick, variant),
        7..=8 if without_health_checks => {}
        7..=8 => {
            let outcome = if variant < 200 { AttemptOutcome::Succeeded } else { AttemptOutcome::TimedOut };
            let position = if variant % 11 == 0 { harness.now + age } else { harness.now - age };
            harness.health_check_ended(endpoint, outcome, position, variant % 7 == 0);
        }
        9 => {
            let status =
                [EndpointStatus::Serving, EndpointStatus::Draining, EndpointStatus::Removed][variant % 3];
            if variant % 4 == 0 {
                harness.started_at[endpoint] = Some(harness.now - age / 10);
            }
            harness.update_listing(endpoint, status);
        }
        10 => harness.report(Event::EndpointListFailed),
        11 => {
            let only = PrimaryEligibility::Only(pick % 2 * 3 + variant % 3);
            let eligibility = [PrimaryEligibility::Any, PrimaryEligibility::NoMember, only][variant % 7 % 3];
            harness.set_eligibility(pick % 2, eligibility);
        }
        _ => harness.advance(TimeDelta::from_millis(variant as i64)),
    }
}

/// Reports a request of method `variant % 6` to group `pick % 2`. The session of every third request has seen the
/// position of `age / 8` ago.
fn report_random_request(harness: &mut Harness, pick: usize, variant: usize, age: TimeDelta) {
    // Requests may have less time than the method's deadline. Strong reads have all of it, because the harness derives
    // their arrival time from the deadline.
    let deadline_fraction = if variant % 6 == STRONG_READ { 1.0 } else { 0.4 + variant as f64 / 425.0 };
    harness.seen_position = pick.is_multiple_of(3).then(|| harness.now - age / 8);
    harness.arrive(variant % 6, pick % 2, deadline_fraction);
}

/// Ends one of the attempts in flight with a random outcome, if there is an attempt in flight.
fn end_random_attempt(harness: &mut Harness, pick: usize, variant: usize) {
    let in_flight: Vec<RequestId> = harness
        .open_requests
        .iter()
        .filter(|(_, open)| open.in_flight.is_some())
        .map(|(&request, _)| request)
        .collect();
    if let Some(&request) = in_flight.get(pick % in_flight.len().max(1)) {
        // Half of all attempts succeed, so that endpoints stay usable and the sequence continues.
        let outcome = OUTCOMES[if variant < 128 { 0 } else { variant % 9 }];
        let role = [None, Some(true), Some(false)][variant % 3];
        harness.end_attempt(request, outcome, role);
    }
}
