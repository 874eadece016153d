//! Selection of a group's primary by endpoints' claims, the endpoint list, eligibility, and the answers to writes.

#[allow(dead_code)] // Each test file uses only a part of the support code.
mod support;

use routing::time::TimeDelta;
use routing::*;
use support::*;

#[test]
fn an_ineligible_endpoint_that_claims_to_be_primary_gets_no_requests() {
    let mut harness = Harness::with_health_checks(LagHandling::ServeStale, 1, 1);
    harness.set_eligibility(0, PrimaryEligibility::NoMember);
    let write = harness.arrive(WRITE, 0, 1.0);
    assert!(
        harness.open_requests[&write].in_flight.is_none(),
        "the write was sent without an eligible primary"
    );
    // The former primary (0) and its successor (1) both claim to be primary, and the former one reports the later
    // position.
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
    assert_eq!(harness.endpoint_of(write), Some(0), "the endpoint with the latest claim is not the primary");
}

#[test]
fn a_listed_start_time_replaces_an_upper_bound() {
    let mut harness = Harness::with_instances(2, LagHandling::ServeStale, 1, 1);
    let reads_in_flight = |harness: &mut Harness| {
        let reads: Vec<RequestId> = (0..12).map(|_| harness.arrive(ANY_READ, 0, 1.0)).collect();
        let in_flight = reads
            .iter()
            .filter(|request| harness.open_requests.get(request).is_some_and(|open| open.in_flight.is_some()))
            .count();
        for request in reads {
            harness.end_attempt(request, AttemptOutcome::Succeeded, None);
            if harness.open_requests.remove(&request).is_some() {
                harness.report(Event::ClientGone { request });
            }
        }
        in_flight
    };
    let when_warm = reads_in_flight(&mut harness);
    let records = |harness: &Harness, start_is_upper_bound: bool| {
        let started_at = start_is_upper_bound.then_some(harness.now);
        (0..3)
            .map(|endpoint| EndpointRecord {
                started_at,
                start_is_upper_bound,
                ..harness.list_record(endpoint, EndpointStatus::Serving)
            })
            .collect()
    };
    let with_upper_bound = records(&harness, true);
    harness.report(Event::EndpointList { complete: true, records: with_upper_bound });
    let in_slow_start = reads_in_flight(&mut harness);
    let started_long_ago = records(&harness, false);
    harness.report(Event::EndpointList { complete: true, records: started_long_ago });
    assert!(in_slow_start < when_warm, "{in_slow_start} reads in flight in slow start, {when_warm} before");
    assert!(
        reads_in_flight(&mut harness) >= when_warm,
        "the endpoints are still in slow start by the replaced start time"
    );
}

#[test]
fn without_health_checks_writes_discover_the_primary() {
    for seed in 0..20 {
        let mut harness = Harness::without_health_checks(LagHandling::ServeStale, 1, seed);
        let write = harness.arrive(WRITE, 0, 1.0);
        let first = harness.endpoint_of(write).expect("a write to one of the unknown endpoints");
        let second = next_endpoint_after(&mut harness, write, AttemptOutcome::NotEligible, Some(false))
            .expect("a retry at another endpoint");
        assert_ne!(first, second);
        let third = next_endpoint_after(&mut harness, write, AttemptOutcome::NotEligible, Some(false))
            .expect("a retry at the last endpoint");
        assert!(third != first && third != second);
        // All endpoints have recently denied being the primary, so the write waits.
        assert_eq!(next_endpoint_after(&mut harness, write, AttemptOutcome::NotEligible, Some(false)), None);
        harness.advance(TimeDelta::from_millis(1_400));
        assert!(
            harness.answers.contains_key(&write) || harness.endpoint_of(write).is_none(),
            "the write was retried although all endpoints have recently denied being the primary"
        );
        let again = harness.arrive(WRITE, 0, 1.0);
        harness.advance(TimeDelta::from_millis(2_000));
        let found = harness.endpoint_of(again).expect("an attempt once no denial is recent");
        harness.end_attempt(again, AttemptOutcome::Succeeded, Some(true));
        for _ in 0..3 {
            let next = harness.arrive(WRITE, 0, 1.0);
            assert_eq!(
                harness.endpoint_of(next),
                Some(found),
                "the write was not sent to the endpoint that has answered as the primary"
            );
            harness.end_attempt(next, AttemptOutcome::Succeeded, Some(true));
        }
    }
}

#[test]
fn without_health_checks_reads_prefer_endpoints_that_never_answered() {
    for seed in 0..20 {
        let mut harness = Harness::without_health_checks(LagHandling::ServeStale, 1, seed);
        let mut answered = Vec::new();
        for _ in 0..3 {
            let read = harness.arrive(ANY_READ, 0, 1.0);
            answered.extend(harness.endpoint_of(read));
            harness.end_attempt(read, AttemptOutcome::Succeeded, Some(false));
        }
        answered.sort_unstable();
        assert_eq!(answered, [0, 1, 2]);
    }
}

#[test]
fn a_listed_primary_is_used_until_the_list_or_the_endpoint_contradicts_it() {
    let mut harness = Harness::without_health_checks(LagHandling::ServeStale, 1, 3);
    let list_as_primary = |harness: &mut Harness, endpoint: EndpointIndex, primary: bool| {
        let records =
            vec![EndpointRecord { primary, ..harness.list_record(endpoint, EndpointStatus::Serving) }];
        harness.report(Event::EndpointList { complete: false, records });
    };
    list_as_primary(&mut harness, 1, true);
    let write = harness.arrive(WRITE, 0, 1.0);
    assert_eq!(
        harness.endpoint_of(write),
        Some(1),
        "the write was not sent to the primary that the list names"
    );
    // The endpoint answers with an error and the role "replica". Then an outdated list names it as the primary again.
    let Some(InFlight { attempt, endpoint, sent_at }) =
        harness.open_requests.get_mut(&write).and_then(|open| open.in_flight.take())
    else {
        panic!("the write is in flight")
    };
    let answer_report = EndpointReport { role: Some(Role::Replica), ..EndpointReport::default() };
    harness.open_requests.get_mut(&write).expect("the write is open").first_run_at = Some(sent_at);
    let end = attempt_end(write, attempt, endpoint, AttemptOutcome::Failed, harness.now - sent_at);
    harness.report(Event::AttemptEnded(AttemptEnd { answer_report, ..end }));
    list_as_primary(&mut harness, 1, true);
    let next = harness.arrive(WRITE, 0, 1.0);
    assert_ne!(harness.endpoint_of(next), Some(1), "the list took precedence over the endpoint's own answer");
    // No endpoint has answered. The list names endpoint 2 as the primary, then no longer, then names endpoint 0.
    let mut harness = Harness::without_health_checks(LagHandling::ServeStale, 1, 3);
    list_as_primary(&mut harness, 2, true);
    list_as_primary(&mut harness, 2, false);
    list_as_primary(&mut harness, 0, true);
    let write = harness.arrive(WRITE, 0, 1.0);
    assert_eq!(harness.endpoint_of(write), Some(0));
}

#[test]
fn strong_reads_avoid_a_silent_primary_until_it_answers_a_write() {
    let mut harness = Harness::without_health_checks(LagHandling::ServeStale, 1, 3);
    let write = harness.arrive(WRITE, 0, 1.0);
    let primary = harness.endpoint_of(write).expect("a write to one of the unknown endpoints");
    harness.end_attempt(write, AttemptOutcome::Succeeded, Some(true));
    let read = harness.arrive(STRONG_READ, 0, 1.0);
    assert_eq!(harness.endpoint_of(read), Some(primary));
    harness.advance(TimeDelta::from_millis(100));
    while harness.endpoint_of(read).is_some() {
        harness.end_attempt(read, AttemptOutcome::ConnectionLost, None);
    }
    harness.advance(TimeDelta::from_millis(1_000));
    let read = harness.arrive(STRONG_READ, 0, 1.0);
    assert_eq!(
        harness.endpoint_of(read),
        None,
        "a strong read was sent although a lost answer may have reported a change of role"
    );
    let write = harness.arrive(WRITE, 0, 1.0);
    assert_eq!(
        harness.endpoint_of(write),
        Some(primary),
        "no write was sent, although an endpoint that is not the primary would reject it"
    );
    harness.end_attempt(write, AttemptOutcome::Succeeded, Some(true));
    let read = harness.arrive(STRONG_READ, 0, 1.0);
    assert_eq!(harness.endpoint_of(read), Some(primary));
}

#[test]
fn a_write_to_a_guessed_primary_is_not_sent_once_another_one_is_known() {
    let mut harness = Harness::without_health_checks(LagHandling::ServeStale, 1, 1);
    let write = harness.arrive(WRITE, 0, 1.0);
    let guessed = harness.endpoint_of(write).expect("a write to one of the unknown endpoints");
    assert!(harness.policy.may_send_attempt(harness.now, write, 0, guessed));
    harness.set_eligibility(0, PrimaryEligibility::Only((guessed + 1) % 3));
    assert!(
        !harness.policy.may_send_attempt(harness.now, write, 0, guessed),
        "the write may still be sent although only another endpoint is eligible"
    );
    harness.set_eligibility(0, PrimaryEligibility::Any);
    let other = harness.arrive(KEYED_WRITE, 0, 1.0);
    let primary = harness.endpoint_of(other).expect("an attempt at another endpoint");
    harness.end_attempt(other, AttemptOutcome::Succeeded, Some(true));
    assert_ne!(guessed, primary);
    assert!(
        !harness.policy.may_send_attempt(harness.now, write, 0, guessed),
        "the write may still be sent although another endpoint is known to be the primary"
    );
    // Where health checks are allowed, they find the primary, and no write is sent to a guessed one.
    let mut harness = Harness::with_health_checks(LagHandling::ServeStale, 1, 1);
    let write = harness.arrive(WRITE, 0, 1.0);
    assert_eq!(next_endpoint_after(&mut harness, write, AttemptOutcome::NotEligible, Some(false)), None);
}

#[test]
fn writes_wait_for_a_new_primary_after_the_old_one_answers_as_a_replica() {
    let mut harness = Harness::with_health_checks(LagHandling::ServeStale, 1, 1);
    let write = harness.arrive(WRITE, 0, 1.0);
    assert_eq!(
        next_endpoint_after(&mut harness, write, AttemptOutcome::NotEligible, Some(false)),
        None,
        "the write was sent although no primary is known"
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
fn only_writes_go_to_a_listed_primary_that_has_not_reported() {
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
        "only the write may be sent: an endpoint that is no longer the primary would still serve the read"
    );
}
