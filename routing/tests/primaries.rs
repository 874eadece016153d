//! Selection of a group's primary: by endpoints' claims, the endpoint list, eligibility, and the answers to writes.

#[allow(dead_code)] // Each test file uses a part of it.
mod support;

use routing::time::TimeDelta;
use routing::*;
use support::*;

#[test]
fn an_ineligible_endpoint_that_claims_to_be_primary_gets_no_requests() {
    let mut harness = Harness::with_reports(LagHandling::ServeStale, 1, 1);
    harness.set_eligibility(0, PrimaryEligibility::NoMember);
    let write = harness.arrive(WRITE, 0, 1.0);
    assert!(
        harness.open_requests[&write].in_flight.is_none(),
        "the write was sent without an eligible primary"
    );
    // A former primary and its successor both claim to be primary, and the former one reports the later position.
    harness.health_check_ended(1, AttemptOutcome::Succeeded, harness.now - TimeDelta::from_millis(50), true);
    harness.health_check_ended(0, AttemptOutcome::Succeeded, harness.now, true);
    harness.set_eligibility(0, PrimaryEligibility::Only(1));
    assert_eq!(harness.endpoint_of(write), Some(1));
    for _ in 0..6 {
        let read = harness.arrive(BOUNDED_READ, 0, 1.0);
        assert_ne!(
            harness.open_requests[&read].in_flight.map(|in_flight| in_flight.endpoint),
            Some(0),
            "a read went to an ineligible endpoint, whose log may have diverged"
        );
    }
    harness.set_eligibility(0, PrimaryEligibility::Any);
    let write = harness.arrive(WRITE, 0, 1.0);
    assert_eq!(harness.endpoint_of(write), Some(0), "without restrictions the latest claim counts");
}

#[test]
fn a_listed_start_time_replaces_a_presumed_one() {
    let mut harness = Harness::with_instances(2, LagHandling::ServeStale, 1, 1);
    let in_flight = |harness: &mut Harness| {
        let reads: Vec<RequestId> = (0..12).map(|_| harness.arrive(ANY_READ, 0, 1.0)).collect();
        let in_flight = reads
            .iter()
            .filter(|request| harness.open_requests.get(request).is_some_and(|open| open.in_flight.is_some()))
            .count();
        for request in reads {
            harness.end(request, AttemptOutcome::Succeeded, None);
            if harness.open_requests.remove(&request).is_some() {
                harness.report(Event::ClientGone { request });
            }
        }
        in_flight
    };
    let after_warmup = in_flight(&mut harness);
    let records = |harness: &Harness, start_is_upper_bound: bool| {
        let started_at = start_is_upper_bound.then_some(harness.now);
        (0..3)
            .map(|endpoint| EndpointRecord {
                started_at,
                start_is_upper_bound,
                ..harness.entry(endpoint, EndpointStatus::Serving)
            })
            .collect()
    };
    let start_is_upper_bound = records(&harness, true);
    harness.report(Event::EndpointList { complete: true, records: start_is_upper_bound });
    let in_slow_start = in_flight(&mut harness);
    let known = records(&harness, false);
    harness.report(Event::EndpointList { complete: true, records: known });
    assert!(in_slow_start < after_warmup, "{in_slow_start} in slow start, {after_warmup} before");
    assert!(in_flight(&mut harness) >= after_warmup, "still in slow start by the presumed start time");
}

#[test]
fn without_health_checks_writes_find_the_primary() {
    for seed in 0..20 {
        let mut harness = Harness::without_health_checks(LagHandling::ServeStale, 1, seed);
        let write = harness.arrive(WRITE, 0, 1.0);
        let first = harness.endpoint_of(write).expect("a write to one of the unknown endpoints");
        let second = end_attempt(&mut harness, write, AttemptOutcome::NotEligible, Some(false))
            .expect("a retry at another endpoint");
        assert_ne!(first, second);
        let third = end_attempt(&mut harness, write, AttemptOutcome::NotEligible, Some(false))
            .expect("a retry at the last endpoint");
        assert!(third != first && third != second);
        // All endpoints have recently answered that they are not the primary. The write waits and is retried later.
        assert_eq!(end_attempt(&mut harness, write, AttemptOutcome::NotEligible, Some(false)), None);
        harness.advance(TimeDelta::from_millis(1_400));
        assert!(
            harness.answers.contains_key(&write) || harness.endpoint_of(write).is_none(),
            "retried although the answers are recent"
        );
        let again = harness.arrive(WRITE, 0, 1.0);
        harness.advance(TimeDelta::from_millis(2_000));
        let found = harness.endpoint_of(again).expect("an attempt once the answers are no longer recent");
        harness.end(again, AttemptOutcome::Succeeded, Some(true));
        for _ in 0..3 {
            let next = harness.arrive(WRITE, 0, 1.0);
            assert_eq!(
                harness.endpoint_of(next),
                Some(found),
                "its answer has proved that it is the primary"
            );
            harness.end(next, AttemptOutcome::Succeeded, Some(true));
        }
    }
}

#[test]
fn without_health_checks_reads_of_any_data_prefer_endpoints_that_have_never_answered() {
    for seed in 0..20 {
        let mut harness = Harness::without_health_checks(LagHandling::ServeStale, 1, seed);
        let mut answered = Vec::new();
        for _ in 0..3 {
            let read = harness.arrive(ANY_READ, 0, 1.0);
            answered.extend(harness.endpoint_of(read));
            harness.end(read, AttemptOutcome::Succeeded, Some(false));
        }
        answered.sort_unstable();
        assert_eq!(answered, [0, 1, 2]);
    }
}

#[test]
fn a_listed_primary_is_used_until_the_list_or_the_endpoint_contradicts_it() {
    let mut harness = Harness::without_health_checks(LagHandling::ServeStale, 1, 3);
    let list_as_primary = |harness: &mut Harness, endpoint: EndpointIndex, primary: bool| {
        let records = vec![EndpointRecord { primary, ..harness.entry(endpoint, EndpointStatus::Serving) }];
        harness.report(Event::EndpointList { complete: false, records });
    };
    list_as_primary(&mut harness, 1, true);
    let write = harness.arrive(WRITE, 0, 1.0);
    assert_eq!(
        harness.endpoint_of(write),
        Some(1),
        "the list names it as primary, and nothing else is known"
    );
    // The endpoint answers an error and reports the role replica. Then an outdated list names it as primary again.
    let Some(InFlight { attempt, endpoint, sent }) =
        harness.open_requests.get_mut(&write).and_then(|open| open.in_flight.take())
    else {
        panic!("the write is in flight")
    };
    let answer_report = EndpointReport { role: Some(Role::Replica), ..EndpointReport::default() };
    harness.open_requests.get_mut(&write).expect("the write is open").first_run_at = Some(sent);
    let end = attempt_end(write, attempt, endpoint, AttemptOutcome::Failed, harness.now - sent);
    harness.report(Event::AttemptEnded(AttemptEnd { answer_report, ..end }));
    list_as_primary(&mut harness, 1, true);
    let next = harness.arrive(WRITE, 0, 1.0);
    assert_ne!(harness.endpoint_of(next), Some(1), "its own answer takes precedence over the list");
    // Neither of two endpoints has answered. The list withdraws one and names the other.
    let mut harness = Harness::without_health_checks(LagHandling::ServeStale, 1, 3);
    list_as_primary(&mut harness, 2, true);
    list_as_primary(&mut harness, 2, false);
    list_as_primary(&mut harness, 0, true);
    let write = harness.arrive(WRITE, 0, 1.0);
    assert_eq!(harness.endpoint_of(write), Some(0));
}

#[test]
fn without_health_checks_strong_reads_avoid_a_primary_after_lost_connections_until_a_write_succeeds() {
    let mut harness = Harness::without_health_checks(LagHandling::ServeStale, 1, 3);
    let write = harness.arrive(WRITE, 0, 1.0);
    let primary = harness.endpoint_of(write).expect("a write to one of the unknown endpoints");
    harness.end(write, AttemptOutcome::Succeeded, Some(true));
    let read = harness.arrive(STRONG_READ, 0, 1.0);
    assert_eq!(harness.endpoint_of(read), Some(primary));
    harness.advance(TimeDelta::from_millis(100));
    while harness.endpoint_of(read).is_some() {
        harness.end(read, AttemptOutcome::ConnectionLost, None);
    }
    harness.advance(TimeDelta::from_millis(1_000));
    let read = harness.arrive(STRONG_READ, 0, 1.0);
    assert_eq!(
        harness.endpoint_of(read),
        None,
        "a lost answer may have reported that it is no longer the primary"
    );
    let write = harness.arrive(WRITE, 0, 1.0);
    assert_eq!(
        harness.endpoint_of(write),
        Some(primary),
        "a write may be sent, because an endpoint that is not the primary refuses it"
    );
    harness.end(write, AttemptOutcome::Succeeded, Some(true));
    let read = harness.arrive(STRONG_READ, 0, 1.0);
    assert_eq!(harness.endpoint_of(read), Some(primary));
}

#[test]
fn a_write_to_a_guessed_primary_is_confirmed_only_until_another_is_known_or_alone_eligible() {
    let mut harness = Harness::without_health_checks(LagHandling::ServeStale, 1, 1);
    let write = harness.arrive(WRITE, 0, 1.0);
    let guessed = harness.endpoint_of(write).expect("a write to one of the unknown endpoints");
    assert!(harness.policy.may_send_attempt(harness.now, write, 0, guessed));
    harness.set_eligibility(0, PrimaryEligibility::Only((guessed + 1) % 3));
    assert!(
        !harness.policy.may_send_attempt(harness.now, write, 0, guessed),
        "only another endpoint is eligible"
    );
    harness.set_eligibility(0, PrimaryEligibility::Any);
    let other = harness.arrive(KEYED_WRITE, 0, 1.0);
    let primary = harness.endpoint_of(other).expect("an attempt at another endpoint");
    harness.end(other, AttemptOutcome::Succeeded, Some(true));
    assert_ne!(guessed, primary);
    assert!(
        !harness.policy.may_send_attempt(harness.now, write, 0, guessed),
        "another endpoint is known to be the primary"
    );
    // If health checks are allowed, they find the primary, and no write is sent to a guessed one.
    let mut harness = Harness::with_reports(LagHandling::ServeStale, 1, 1);
    let write = harness.arrive(WRITE, 0, 1.0);
    assert_eq!(end_attempt(&mut harness, write, AttemptOutcome::NotEligible, Some(false)), None);
}

#[test]
fn writes_wait_for_a_new_primary_after_the_old_one_answers_as_a_replica() {
    let mut harness = Harness::with_reports(LagHandling::ServeStale, 1, 1);
    let write = harness.arrive(WRITE, 0, 1.0);
    assert_eq!(
        end_attempt(&mut harness, write, AttemptOutcome::NotEligible, Some(false)),
        None,
        "the write waits because no primary is known"
    );
    harness.health_check_ended(0, AttemptOutcome::Succeeded, harness.now - TimeDelta::from_millis(900), true);
    assert!(
        harness.open_requests[&write].in_flight.is_none(),
        "a report older than the answer made the endpoint primary again"
    );
    harness.advance(TimeDelta::from_millis(100));
    harness.health_check_ended(1, AttemptOutcome::Succeeded, harness.now, true);
    assert_eq!(harness.endpoint_of(write), Some(1));
}

#[test]
fn a_write_but_no_strong_read_goes_to_a_listed_primary_that_has_not_reported() {
    let (mut policy, mut actions) = policy_at_start(1, &routing_settings(LagHandling::ServeStale));
    let now = START;
    policy.on_event(
        now,
        Event::EndpointList { complete: true, records: vec![serving_record(0, true)] },
        &mut actions,
    );
    let deadline = now + TimeDelta::from_millis(1000);
    for (request, method) in [(1, STRONG_READ), (2, WRITE)] {
        policy.on_event(now, Event::RequestArrived(arrival(request, method, now, deadline)), &mut actions);
    }
    let sent = actions.iter().filter_map(|action| match action {
        Action::StartAttempt { request, .. } => Some(*request),
        _ => None,
    });
    assert_eq!(
        sent.collect::<Vec<_>>(),
        [2],
        "only the write is sent: an endpoint would serve the read even if it is no longer the primary"
    );
}
