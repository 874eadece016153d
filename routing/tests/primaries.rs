//! Which member is taken for the primary: claims, the list, eligibility, writes that find it.

#[allow(dead_code)] // Each test file uses a part of it.
mod support;

use routing::time::{TimeDelta, Timestamp};
use routing::*;
use support::*;

#[test]
fn an_ineligible_claimant_gets_nothing() {
    let mut harness = Harness::with_reports(LagHandling::ServeStale, 1, 1);
    harness.set_eligibility(0, PrimaryEligibility::Nobody);
    let write = harness.arrive(WRITE, 0, 1.0);
    assert!(harness.open_requests[&write].in_flight.is_none(), "held");
    // A former primary and its successor both claim it; the former one's position is the later.
    harness.health_check_ended(1, AttemptOutcome::Succeeded, harness.now - TimeDelta::from_millis(50), true);
    harness.health_check_ended(0, AttemptOutcome::Succeeded, harness.now, true);
    harness.set_eligibility(0, PrimaryEligibility::Only(1));
    assert_eq!(harness.open_requests[&write].in_flight.map(|in_flight| in_flight.1), Some(1));
    for _ in 0..6 {
        let read = harness.arrive(BOUNDED_READ, 0, 1.0);
        assert_ne!(
            harness.open_requests[&read].in_flight.map(|in_flight| in_flight.1),
            Some(0),
            "it may stand on a log of its own"
        );
    }
    harness.set_eligibility(0, PrimaryEligibility::Any);
    let write = harness.arrive(WRITE, 0, 1.0);
    assert_eq!(
        harness.open_requests[&write].in_flight.map(|in_flight| in_flight.1),
        Some(0),
        "the ordinary rule: the latest claim"
    );
}

#[test]
fn a_presumed_start_gives_way_to_the_listed_one() {
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
    let warm = in_flight(&mut harness);
    let records = |harness: &Harness, start_presumed: bool| {
        let started_at = start_presumed.then_some(harness.now);
        (0..3)
            .map(|endpoint| EndpointRecord {
                started_at,
                start_presumed,
                ..harness.entry(endpoint, EndpointStatus::Serving)
            })
            .collect()
    };
    let start_presumed = records(&harness, true);
    harness.report(Event::EndpointList { complete: true, records: start_presumed });
    let cold = in_flight(&mut harness);
    let known = records(&harness, false);
    harness.report(Event::EndpointList { complete: true, records: known });
    assert!(cold < warm, "{cold} of {warm}");
    assert!(in_flight(&mut harness) >= warm, "warm again, and its limit has widened since");
}

/// Where the request is out just now.
fn endpoint_of(harness: &Harness, request: RequestId) -> Option<EndpointIndex> {
    harness.open_requests.get(&request).and_then(|open| open.in_flight).map(|in_flight| in_flight.1)
}

#[test]
fn without_health_checks_writes_find_their_primary_and_reads_go_to_everybody() {
    for seed in 0..20 {
        let mut harness = Harness::without_health_checks(LagHandling::ServeStale, 1, seed);
        let write = harness.arrive(WRITE, 0, 1.0);
        let first = endpoint_of(&harness, write).expect("somebody has to be asked");
        let second =
            end_attempt(&mut harness, write, AttemptOutcome::NotEligible, Some(false)).expect("another one");
        assert_ne!(first, second);
        let third =
            end_attempt(&mut harness, write, AttemptOutcome::NotEligible, Some(false)).expect("the last one");
        assert!(third != first && third != second);
        // All have said lately that they are none: it waits, and asks each again after a while.
        assert_eq!(end_attempt(&mut harness, write, AttemptOutcome::NotEligible, Some(false)), None);
        harness.advance(TimeDelta::from_millis(1_400));
        assert!(
            harness.answers.contains_key(&write) || endpoint_of(&harness, write).is_none(),
            "within what is lately"
        );
        let again = harness.arrive(WRITE, 0, 1.0);
        harness.advance(TimeDelta::from_millis(2_000));
        let found = endpoint_of(&harness, again).expect("whoever was none may be one now");
        harness.end(again, AttemptOutcome::Succeeded, Some(true));
        for _ in 0..3 {
            let next = harness.arrive(WRITE, 0, 1.0);
            assert_eq!(endpoint_of(&harness, next), Some(found), "its answer has told");
            harness.end(next, AttemptOutcome::Succeeded, Some(true));
        }
        // What any member may answer goes to whoever has never spoken, before those with nothing to do.
        let mut harness = Harness::without_health_checks(LagHandling::ServeStale, 1, seed);
        let mut heard = Vec::new();
        for _ in 0..3 {
            let read = harness.arrive(ANY_READ, 0, 1.0);
            heard.extend(endpoint_of(&harness, read));
            harness.end(read, AttemptOutcome::Succeeded, Some(false));
        }
        heard.sort_unstable();
        assert_eq!(heard, [0, 1, 2]);
    }
}

#[test]
fn a_listed_primary_counts_until_the_list_or_the_endpoint_says_otherwise() {
    let mut harness = Harness::without_health_checks(LagHandling::ServeStale, 1, 3);
    let says = |harness: &mut Harness, endpoint: EndpointIndex, primary: bool| {
        let records = vec![EndpointRecord { primary, ..harness.entry(endpoint, EndpointStatus::Serving) }];
        harness.report(Event::EndpointList { complete: false, records });
    };
    says(&mut harness, 1, true);
    let write = harness.arrive(WRITE, 0, 1.0);
    assert_eq!(endpoint_of(&harness, write), Some(1), "the list says so, and nothing else is known");
    // An error says who gave it, and is no answer; then the list, which is late, says the same again.
    let Some((attempt, endpoint, sent)) =
        harness.open_requests.get_mut(&write).and_then(|open| open.in_flight.take())
    else {
        panic!("it is out")
    };
    let (request, outcome, elapsed, request_closed) =
        (write, AttemptOutcome::Failed, harness.now - sent, false);
    let (write_session, load_report) = (None, EndpointReport::default());
    let answer_report = EndpointReport { role: Some(Role::Replica), ..EndpointReport::default() };
    harness.open_requests.get_mut(&write).expect("it is live").first_run_at = Some(sent);
    harness.report(Event::AttemptEnded(AttemptEnd {
        request,
        attempt,
        endpoint,
        outcome,
        elapsed,
        request_closed,
        write_session,
        answer_report,
        load_report,
    }));
    says(&mut harness, 1, true);
    let next = harness.arrive(WRITE, 0, 1.0);
    assert_ne!(endpoint_of(&harness, next), Some(1), "its own word goes before the list's");
    // Of two that were never heard the list takes one back.
    let mut harness = Harness::without_health_checks(LagHandling::ServeStale, 1, 3);
    says(&mut harness, 2, true);
    says(&mut harness, 2, false);
    says(&mut harness, 0, true);
    let write = harness.arrive(WRITE, 0, 1.0);
    assert_eq!(endpoint_of(&harness, write), Some(0));
}

#[test]
fn without_health_checks_no_read_goes_to_a_silent_primary_before_a_write_was_answered() {
    let mut harness = Harness::without_health_checks(LagHandling::ServeStale, 1, 3);
    let write = harness.arrive(WRITE, 0, 1.0);
    let primary = endpoint_of(&harness, write).expect("somebody has to be asked");
    harness.end(write, AttemptOutcome::Succeeded, Some(true));
    let read = harness.arrive(STRONG_READ, 0, 1.0);
    assert_eq!(endpoint_of(&harness, read), Some(primary));
    harness.advance(TimeDelta::from_millis(100));
    while endpoint_of(&harness, read).is_some() {
        harness.end(read, AttemptOutcome::ConnectionLost, None);
    }
    harness.advance(TimeDelta::from_millis(1_000));
    let read = harness.arrive(STRONG_READ, 0, 1.0);
    assert_eq!(endpoint_of(&harness, read), None, "it may have said, unheard, that it is none");
    let write = harness.arrive(WRITE, 0, 1.0);
    assert_eq!(endpoint_of(&harness, write), Some(primary), "who is none turns a write away");
    harness.end(write, AttemptOutcome::Succeeded, Some(true));
    let read = harness.arrive(STRONG_READ, 0, 1.0);
    assert_eq!(endpoint_of(&harness, read), Some(primary));
}

#[test]
fn a_write_to_an_unknown_primary_is_confirmed_only_while_none_is_known_or_ineligible() {
    let mut harness = Harness::without_health_checks(LagHandling::ServeStale, 1, 1);
    let write = harness.arrive(WRITE, 0, 1.0);
    let asked = endpoint_of(&harness, write).expect("somebody has to be asked");
    assert!(harness.policy.confirm_attempt(harness.now, write, 0, asked));
    harness.set_eligibility(0, PrimaryEligibility::Only((asked + 1) % 3));
    assert!(!harness.policy.confirm_attempt(harness.now, write, 0, asked), "another one alone is cleared");
    harness.set_eligibility(0, PrimaryEligibility::Any);
    let other = harness.arrive(KEYED_WRITE, 0, 1.0);
    let it = endpoint_of(&harness, other).expect("another one is asked");
    harness.end(other, AttemptOutcome::Succeeded, Some(true));
    assert_ne!(asked, it);
    assert!(!harness.policy.confirm_attempt(harness.now, write, 0, asked), "it is known now, and is another");
    // Where there are health checks, they find out.
    let mut harness = Harness::with_reports(LagHandling::ServeStale, 1, 1);
    let write = harness.arrive(WRITE, 0, 1.0);
    assert_eq!(end_attempt(&mut harness, write, AttemptOutcome::NotEligible, Some(false)), None);
}

#[test]
fn an_answer_that_says_replica_ends_a_primary_and_writes_wait_for_the_next() {
    let mut harness = Harness::with_reports(LagHandling::ServeStale, 1, 1);
    let write = harness.arrive(WRITE, 0, 1.0);
    assert_eq!(
        end_attempt(&mut harness, write, AttemptOutcome::NotEligible, Some(false)),
        None,
        "held: nobody is primary"
    );
    harness.health_check_ended(0, AttemptOutcome::Succeeded, harness.now - TimeDelta::from_millis(900), true);
    assert!(
        harness.open_requests[&write].in_flight.is_none(),
        "a report older than the answer does not bring it back"
    );
    harness.advance(TimeDelta::from_millis(100));
    harness.health_check_ended(1, AttemptOutcome::Succeeded, harness.now, true);
    assert_eq!(harness.open_requests[&write].in_flight.map(|in_flight| in_flight.1), Some(1));
}

#[test]
fn a_write_goes_to_the_listed_primary_before_that_has_reported() {
    let routing_settings = routing_settings(LagHandling::ServeStale);
    let (now, mut actions) = (Timestamp(1_000_000_000_000), Vec::new());
    let mut policy = RoutingPolicy::new(1, &routing_settings, now, &mut actions);
    let entry = EndpointRecord {
        endpoint: 0,
        group: 0,
        zone: 0,
        status: EndpointStatus::Serving,
        primary: true,
        started_at: None,
        start_presumed: false,
    };
    policy.on_event(now, Event::EndpointList { complete: true, records: vec![entry] }, &mut actions);
    let deadline = now + TimeDelta::from_millis(1000);
    for (request, method) in [(1, STRONG_READ), (2, WRITE)] {
        let (session, last_write, seen_position, client_retry) = (None, None, None, false);
        let new = RequestArrival {
            request,
            method,
            group: 0,
            session,
            last_write,
            seen_position,
            received_at: now,
            deadline,
            client_retry,
        };
        policy.on_event(now, Event::RequestArrived(new), &mut actions);
    }
    let sent = actions.iter().filter_map(|action| match action {
        Action::StartAttempt { request, .. } => Some(*request),
        _ => None,
    });
    assert_eq!(sent.collect::<Vec<_>>(), [2], "an endpoint would answer the read whatever it is by now");
}
