//! The lifecycle of a request: waiting, retries, the check before an attempt is sent, and rejection.

#[allow(dead_code)] // Each test file uses only a part of the support code.
mod support;

use routing::time::TimeDelta;
use routing::*;
use support::*;

#[test]
fn a_bounded_read_waits_for_a_fresh_replica_before_it_goes_to_the_primary() {
    let mut harness = Harness::with_health_checks(LagHandling::ServeStale, 1, 1);
    harness.arrive(BOUNDED_READ, 0, 1.0);
    assert_ne!(harness.sent_attempts[0].endpoint, 0, "the read was not sent to a fresh replica");
    harness.advance(BOUND + TICK);
    let waiting = harness.arrive(BOUNDED_READ, 0, 1.0);
    assert!(
        harness.open_requests[&waiting].in_flight.is_none(),
        "the read was sent although all reported positions are older than the bound"
    );
    harness.health_check_ended(2, AttemptOutcome::Succeeded, harness.now, false);
    assert_eq!(
        harness.endpoint_of(waiting),
        Some(2),
        "the read was not sent to the replica that became fresh"
    );
    harness.advance(BOUND + TICK);
    let without_fresh_replica = harness.arrive(BOUNDED_READ, 0, 1.0);
    harness.advance(TimeDelta::from_millis(400));
    assert_eq!(
        harness.endpoint_of(without_fresh_replica),
        Some(0),
        "the read was not sent to the primary after it had waited for a replica"
    );
}

#[test]
fn a_keyed_retry_is_not_sent_after_its_deduplication_window() {
    let mut routing_settings = routing_settings(LagHandling::ServeStale);
    let dedup_window = TimeDelta::from_millis(300);
    routing_settings.methods[WRITE].idempotency = Idempotency::Keyed { all_groups: false, dedup_window };
    let (mut policy, mut actions) = policy_at_start(1, &routing_settings);
    let (start, endpoint) = (START, 0);
    policy.on_event(
        start,
        Event::EndpointList { complete: true, records: vec![serving_record(endpoint, true)] },
        &mut actions,
    );
    let write = arrival(1, WRITE, start, start + TimeDelta::from_millis(3_000));
    policy.on_event(start, Event::RequestArrived(write), &mut actions);
    let lost_at = start + TimeDelta::from_millis(10);
    let end = attempt_end(1, 0, endpoint, AttemptOutcome::ConnectionLost, TimeDelta::from_millis(10));
    policy.on_event(lost_at, Event::AttemptEnded(end), &mut actions);
    // The endpoint is ejected after the lost connection, so the retry starts only after a while.
    let mut now = lost_at;
    let is_retried = |actions: &[Action]| {
        actions.iter().filter(|action| matches!(action, Action::StartAttempt { .. })).count() == 2
    };
    while !is_retried(&actions) && now < start + dedup_window {
        now = now + TICK;
        let load_report = endpoint_report(now, Role::Primary);
        policy.on_event(now, health_check_succeeded(endpoint, load_report), &mut actions);
        policy.on_event(now, Event::TimerFired { tag: 0 }, &mut actions);
    }
    assert!(is_retried(&actions), "the write was not retried within the deduplication window");
    assert!(policy.may_send_attempt(now, 1, 1, 0));
    assert!(
        policy.may_send_attempt(start + dedup_window - TICK * 3, 1, 1, 0),
        "the retry may not be sent although the endpoint still deduplicates the write"
    );
    assert!(
        !policy.may_send_attempt(start + dedup_window - TICK, 1, 1, 0),
        "the retry may be sent although the write may run twice after the deduplication window"
    );
}

#[test]
fn a_remote_replica_is_selected_once_the_local_one_has_more_in_flight() {
    let mut harness = Harness::with_health_checks(LagHandling::ServeStale, 1, 1);
    let endpoints =
        [(); 3].map(|()| harness.arrive(BOUNDED_READ, 0, 1.0)).map(|read| harness.endpoint_of(read));
    assert_eq!(endpoints, [Some(2), Some(2), Some(1)]);
}

#[test]
fn a_position_in_the_future_proves_neither_freshness_nor_the_primary_role() {
    let mut harness = Harness::with_health_checks(LagHandling::ServeStale, 1, 1);
    harness.health_check_ended(1, AttemptOutcome::Succeeded, harness.now + BOUND * 2, true);
    let write = harness.arrive(WRITE, 0, 1.0);
    assert_eq!(harness.endpoint_of(write), Some(0));
    harness.advance(BOUND + TICK);
    let read = harness.arrive(BOUNDED_READ, 0, 1.0);
    assert!(
        harness.open_requests[&read].in_flight.is_none(),
        "the read was sent although no valid report shows a fresh replica"
    );
}

#[test]
fn a_request_that_may_have_run_is_aborted_or_retried_as_its_method_allows() {
    let mut harness = Harness::with_health_checks(LagHandling::ServeStale, 1, 1);
    let write = harness.arrive(WRITE, 0, 1.0);
    next_endpoint_after(&mut harness, write, AttemptOutcome::ConnectionLost, None);
    assert_eq!(harness.answers[&write], Answer::Aborted, "the write was not aborted at once");
    harness.advance(TimeDelta::from_millis(1000));
    harness.health_check_ended(0, AttemptOutcome::Succeeded, harness.now, true);
    let keyed = harness.arrive(KEYED_WRITE, 0, 1.0);
    assert_eq!(
        next_endpoint_after(&mut harness, keyed, AttemptOutcome::Failed, None),
        Some(0),
        "the endpoint was ejected after a single failure"
    );
    assert_eq!(
        next_endpoint_after(&mut harness, keyed, AttemptOutcome::Failed, None),
        None,
        "the write was sent to an ejected primary"
    );
    harness.advance(DEDUP_WINDOW);
    assert_eq!(
        harness.answers[&keyed],
        Answer::Aborted,
        "the write was not aborted after its deduplication window"
    );
}

#[test]
fn an_attempt_may_be_sent_only_while_its_endpoint_qualifies() {
    let mut harness = Harness::with_health_checks(LagHandling::ServeStale, 1, 1);
    let read = harness.arrive(BOUNDED_READ, 0, 1.0);
    let InFlight { attempt, endpoint, sent_at } =
        harness.open_requests[&read].in_flight.expect("an attempt at one of three fresh endpoints");
    let replica = [1, 2].into_iter().find(|&index| index != endpoint).expect("another replica");
    let policy = &mut harness.policy;
    assert!(policy.may_send_attempt(sent_at, read, attempt, endpoint));
    assert!(!policy.may_send_attempt(sent_at, read, attempt + 1, endpoint), "no such attempt");
    assert!(!policy.may_send_attempt(sent_at, read + 1, attempt, endpoint), "no such request");
    assert!(policy.may_send_attempt(sent_at + BOUND, read, attempt, replica));
    assert!(
        !policy.may_send_attempt(sent_at + BOUND + TICK, read, attempt, replica),
        "the read may be sent although the replica's position is older than the staleness bound"
    );
    assert!(policy.may_send_attempt(sent_at + BOUND + TICK, read, attempt, 0), "a primary is never stale");
    harness.update_listing(0, EndpointStatus::Draining);
    assert!(
        !harness.policy.may_send_attempt(sent_at, read, attempt, 0),
        "the read may be sent although the endpoint is draining"
    );
    let write = harness.arrive(WRITE, 0, 1.0);
    assert!(!harness.policy.may_send_attempt(sent_at, write, 0, 0), "a waiting write has no attempt to send");
}

#[test]
fn an_unsent_request_is_rejected_by_half_of_its_time() {
    let mut harness = Harness::with_health_checks(LagHandling::ServeStale, 1, 1);
    let in_flight = harness.arrive(WRITE, 0, 1.0);
    for endpoint in 0..3 {
        harness.update_listing(endpoint, EndpointStatus::Draining);
    }
    let waiting =
        [harness.arrive(WRITE, 0, 1.0), harness.arrive(WRITE, 0, 0.5), harness.arrive(BOUNDED_READ, 0, 0.4)];
    let start = harness.now;
    for (request, half) in waiting.into_iter().zip([1500, 750, 300]).rev() {
        harness.advance(start + TimeDelta::from_millis(half) - TICK * 3 - harness.now);
        assert!(
            harness.open_requests.contains_key(&request),
            "request {request} was rejected before half of its time"
        );
        harness.advance(TICK * 2);
        assert_eq!(
            harness.answers.get(&request).copied(),
            Some(Answer::Rejected),
            "request {request} was not rejected by half of its time"
        );
    }
    assert!(harness.open_requests.contains_key(&in_flight), "a request with an attempt in flight was ended");

    // A request whose only attempt was not sent completely counts as unsent.
    let mut harness = Harness::with_health_checks(LagHandling::ServeStale, 1, 1);
    let unsent = harness.arrive(WRITE, 0, 1.0);
    harness.advance(TimeDelta::from_millis(1000));
    harness.update_listing(0, EndpointStatus::Draining);
    assert_eq!(next_endpoint_after(&mut harness, unsent, AttemptOutcome::NotSent, None), None);
    harness.advance(TimeDelta::from_millis(500));
    assert_eq!(harness.answers.get(&unsent).copied(), Some(Answer::Rejected));
}
