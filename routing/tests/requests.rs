//! The lifecycle of a request: waiting, retries, confirmation of attempts, rejection.

#[allow(dead_code)] // Each test file uses a part of it.
mod support;

use routing::time::TimeDelta;
use routing::*;
use support::*;

#[test]
fn a_bounded_read_waits_for_a_fresh_replica_before_it_goes_to_the_primary() {
    let mut harness = Harness::with_reports(LagHandling::ServeStale, 1, 1);
    harness.arrive(BOUNDED_READ, 0, 1.0);
    assert_ne!(harness.sent[0].endpoint, 0, "the read was not sent to a fresh replica");
    harness.advance(BOUND + TICK);
    let held = harness.arrive(BOUNDED_READ, 0, 1.0);
    assert!(
        harness.open_requests[&held].in_flight.is_none(),
        "the read was sent although all reported positions are older than the bound"
    );
    harness.health_check_ended(2, AttemptOutcome::Succeeded, harness.now, false);
    assert_eq!(harness.endpoint_of(held), Some(2), "the read was not sent after a report of a fresh replica");
    harness.advance(BOUND + TICK);
    let late = harness.arrive(BOUNDED_READ, 0, 1.0);
    harness.advance(TimeDelta::from_millis(400));
    assert_eq!(
        harness.endpoint_of(late),
        Some(0),
        "the read was not sent to the primary after half of its time"
    );
}

#[test]
fn a_keyed_retry_is_not_confirmed_past_its_deduplication_window() {
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
    // The endpoint is ejected for a while after a failure.
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
    assert!(is_retried(&actions), "not retried within the deduplication window");
    assert!(policy.may_send_attempt(now, 1, 1, 0));
    assert!(
        policy.may_send_attempt(start + dedup_window - TICK * 3, 1, 1, 0),
        "not confirmed while the endpoint still deduplicates it"
    );
    assert!(
        !policy.may_send_attempt(start + dedup_window - TICK, 1, 1, 0),
        "confirmed although it may run twice after the deduplication window"
    );
}

#[test]
fn a_replica_of_another_zone_is_selected_once_the_local_one_has_more_in_flight() {
    let mut harness = Harness::with_reports(LagHandling::ServeStale, 1, 1);
    let endpoints =
        [(); 3].map(|()| harness.arrive(BOUNDED_READ, 0, 1.0)).map(|read| harness.endpoint_of(read));
    assert_eq!(endpoints, [Some(2), Some(2), Some(1)]);
}

#[test]
fn a_position_in_the_future_proves_neither_freshness_nor_the_primary_role() {
    let mut harness = Harness::with_reports(LagHandling::ServeStale, 1, 1);
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
    let mut harness = Harness::with_reports(LagHandling::ServeStale, 1, 1);
    let write = harness.arrive(WRITE, 0, 1.0);
    end_attempt(&mut harness, write, AttemptOutcome::ConnectionLost, None);
    assert_eq!(harness.answers[&write], Answer::Aborted, "not aborted at once");
    harness.advance(TimeDelta::from_millis(1000));
    harness.health_check_ended(0, AttemptOutcome::Succeeded, harness.now, true);
    let keyed = harness.arrive(KEYED_WRITE, 0, 1.0);
    assert_eq!(
        end_attempt(&mut harness, keyed, AttemptOutcome::Failed, None),
        Some(0),
        "an endpoint was ejected after one failure"
    );
    assert_eq!(
        end_attempt(&mut harness, keyed, AttemptOutcome::Failed, None),
        None,
        "the only primary is ejected"
    );
    harness.advance(DEDUP_WINDOW);
    assert_eq!(harness.answers[&keyed], Answer::Aborted, "not aborted after the deduplication window");
}

#[test]
fn an_attempt_is_confirmed_only_while_its_endpoint_qualifies() {
    let mut harness = Harness::with_reports(LagHandling::ServeStale, 1, 1);
    let read = harness.arrive(BOUNDED_READ, 0, 1.0);
    let InFlight { attempt, endpoint, sent } =
        harness.open_requests[&read].in_flight.expect("three fresh endpoints");
    let replica = [1, 2].into_iter().find(|&index| index != endpoint).expect("three endpoints");
    let policy = &mut harness.policy;
    assert!(policy.may_send_attempt(sent, read, attempt, endpoint));
    assert!(!policy.may_send_attempt(sent, read, attempt + 1, endpoint), "another attempt");
    assert!(!policy.may_send_attempt(sent, read + 1, attempt, endpoint), "no such request");
    assert!(policy.may_send_attempt(sent + BOUND, read, attempt, replica));
    assert!(
        !policy.may_send_attempt(sent + BOUND + TICK, read, attempt, replica),
        "confirmed although the position aged past the bound meanwhile"
    );
    assert!(policy.may_send_attempt(sent + BOUND + TICK, read, attempt, 0), "a primary is never stale");
    harness.list(0, EndpointStatus::Draining);
    assert!(
        !harness.policy.may_send_attempt(sent, read, attempt, 0),
        "confirmed although the endpoint is draining"
    );
    let write = harness.arrive(WRITE, 0, 1.0);
    assert!(!harness.policy.may_send_attempt(sent, write, 0, 0), "confirmed although the request is waiting");
}

#[test]
fn a_request_that_was_never_sent_is_rejected_by_half_of_its_time() {
    let mut harness = Harness::with_reports(LagHandling::ServeStale, 1, 1);
    let sent = harness.arrive(WRITE, 0, 1.0);
    for endpoint in 0..3 {
        harness.list(endpoint, EndpointStatus::Draining);
    }
    let waiting =
        [harness.arrive(WRITE, 0, 1.0), harness.arrive(WRITE, 0, 0.5), harness.arrive(BOUNDED_READ, 0, 0.4)];
    let start = harness.now;
    for (request, half) in waiting.into_iter().zip([1500, 750, 300]).rev() {
        harness.advance(start + TimeDelta::from_millis(half) - TICK * 3 - harness.now);
        assert!(harness.open_requests.contains_key(&request), "{request} was rejected too early");
        harness.advance(TICK * 2);
        assert_eq!(
            harness.answers.get(&request).copied(),
            Some(Answer::Rejected),
            "{request} was never sent"
        );
    }
    assert!(harness.open_requests.contains_key(&sent), "a request with an attempt in flight was ended");

    // An attempt of which no byte was sent does not count as sent.
    let mut harness = Harness::with_reports(LagHandling::ServeStale, 1, 1);
    let unsent = harness.arrive(WRITE, 0, 1.0);
    harness.advance(TimeDelta::from_millis(1000));
    harness.list(0, EndpointStatus::Draining);
    assert_eq!(end_attempt(&mut harness, unsent, AttemptOutcome::NotSent, None), None);
    harness.advance(TimeDelta::from_millis(500));
    assert_eq!(harness.answers.get(&unsent).copied(), Some(Answer::Rejected));
}
