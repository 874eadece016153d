//! Concurrency limits and slow start, with few and with many instances.

#[allow(dead_code)] // Each test file uses only a part of the support code.
mod support;

use routing::time::{TimeDelta, Timestamp};
use routing::*;
use support::*;

#[test]
fn a_reported_high_load_keeps_the_concurrency_limit_from_rising() {
    let mut in_flight_by_load = Vec::new();
    for load in [0.2, 0.95] {
        let mut harness = Harness::with_health_checks(LagHandling::ServeStale, 1, 1);
        harness.reported_load = Some(load);
        for _ in 0..20 {
            harness.health_check_ended(0, AttemptOutcome::Succeeded, harness.now, true);
            (0..20).for_each(|_| _ = harness.arrive(WRITE, 0, 1.0));
            while let Some(write) = harness
                .open_requests
                .iter()
                .find(|(_, open)| open.in_flight.is_some())
                .map(|(&request, _)| request)
            {
                harness.advance(TICK / 5);
                harness.end_attempt(write, AttemptOutcome::Succeeded, Some(true));
            }
        }
        (0..20).for_each(|_| _ = harness.arrive(WRITE, 0, 1.0));
        in_flight_by_load
            .push(harness.open_requests.values().filter(|open| open.in_flight.is_some()).count());
    }
    let [low_load, high_load] = in_flight_by_load[..] else { panic!("not one count per load") };
    assert!(
        high_load <= 4 && low_load > high_load + 4,
        "{low_load} of 20 in flight at low load, {high_load} at high load"
    );
}

#[test]
fn an_endpoint_that_fails_fast_gets_few_attempts() {
    let mut harness = Harness::with_health_checks(LagHandling::ServeStale, 1, 1);
    for _ in 0..60 {
        let request = harness.arrive(ANY_READ, 0, 1.0);
        while let Some(endpoint) = harness.endpoint_of(request) {
            harness.end_attempt(
                request,
                if endpoint == 1 { AttemptOutcome::Failed } else { AttemptOutcome::Succeeded },
                None,
            );
        }
        harness.advance(TimeDelta::from_millis(10));
    }
    let attempts = harness.sent_attempts.iter().filter(|sent| sent.endpoint == 1).count();
    assert!(attempts <= 6, "{attempts} attempts at the endpoint that answers every attempt with an error");
}

#[test]
fn an_endpoint_in_slow_start_gets_few_attempts_and_no_long_reads() {
    let mut harness = Harness::with_health_checks(LagHandling::ServeStale, 1, 1);
    harness.started_at[1] = Some(harness.now);
    harness.update_listing(1, EndpointStatus::Serving);
    for _ in 0..50 {
        let long = harness.arrive(LONG_READ, 0, 1.0);
        let short = harness.arrive(ANY_READ, 0, 1.0);
        assert_ne!(harness.endpoint_of(long), Some(1), "a long read went to the endpoint in slow start");
        harness.end_attempt(short, AttemptOutcome::Rejected, None);
        harness.end_attempt(long, AttemptOutcome::Succeeded, None);
        harness.advance(TimeDelta::from_millis(20));
    }
    let sent = harness.attempts_in_slow_start[1].len();
    assert!(sent <= 8, "{sent} attempts in the first second, in which all instances may use 0.4 of a core");
}

#[test]
fn with_few_instances_an_endpoint_in_slow_start_gets_concurrent_attempts() {
    for (instances, min, max) in [(2, 2, 8), (100, 0, 1)] {
        let mut harness = Harness::with_instances(instances, LagHandling::ServeStale, 1, 1);
        harness.started_at = vec![Some(harness.now - TimeDelta::from_millis(8000)); 3];
        (0..3).for_each(|endpoint| harness.update_listing(endpoint, EndpointStatus::Serving));
        (0..60).for_each(|_| _ = harness.arrive(WRITE, 0, 1.0));
        let in_flight = harness.open_requests.values().filter(|open| open.in_flight.is_some()).count();
        assert!(
            (min..=max).contains(&in_flight),
            "{in_flight} in flight at a primary in slow start, with {instances} instances"
        );
    }
}

#[test]
fn many_instances_neither_overload_nor_starve_an_endpoint_in_slow_start() {
    let instances = 100;
    let mut sends = Vec::new();
    for instance in 0..instances {
        let mut harness = Harness::with_instances(instances, LagHandling::ServeStale, 1, u64::from(instance));
        harness.started_at[1] = Some(harness.now);
        harness.update_listing(1, EndpointStatus::Serving);
        let start = harness.now;
        for _ in 0..20 {
            let read = harness.arrive(ANY_READ, 0, 1.0);
            if harness.sent_attempts.last() == Some(&SentAttempt { request: read, endpoint: 1 }) {
                sends.push(harness.now - start);
            }
            harness.advance(TimeDelta::from_millis(100));
            harness.end_attempt(read, AttemptOutcome::Succeeded, None);
        }
    }
    // Each read takes 0.1 s of one core. The endpoint has 0.2 to 0.3 of its full capacity, and twice that load
    // during a whole overload window overloads it.
    assert!(
        (2..=8).contains(&sends.len()),
        "{} of 2000 reads were sent to the endpoint in its first two seconds, 2 to 8 are allowed",
        sends.len()
    );
}

#[test]
fn with_many_instances_the_third_write_in_a_row_waits() {
    for (instances, third_starts_at_once) in [(2, true), (100, false)] {
        let mut harness = Harness::with_instances(instances, LagHandling::ServeStale, 1, 1);
        // Two writes may arrive together by coincidence, and this instance sees the endpoint idle.
        let first_two_start_at_once = [(); 2].map(|()| {
            let write = harness.arrive(WRITE, 0, 1.0);
            harness.advance(TimeDelta::from_millis(200));
            let in_flight = harness.open_requests[&write].in_flight.is_some();
            harness.end_attempt(write, AttemptOutcome::Succeeded, Some(true));
            in_flight
        });
        assert_eq!(first_two_start_at_once, [true, true], "{instances} instances");
        let third = harness.arrive(WRITE, 0, 1.0);
        assert_eq!(
            harness.open_requests[&third].in_flight.is_some(),
            third_starts_at_once,
            "{instances} instances"
        );
        harness.advance(TimeDelta::from_millis(1000));
        assert!(
            harness.open_requests[&third].in_flight.is_some(),
            "the third write still waits after 1 s, {instances} instances"
        );
    }
}

#[test]
fn with_many_instances_a_late_answer_ends_the_burst_tolerance() {
    let mut harness = Harness::with_instances(100, LagHandling::ServeStale, 1, 1);
    let late = harness.arrive(WRITE, 0, 1.0);
    harness.advance(TimeDelta::from_millis(600));
    harness.end_attempt(late, AttemptOutcome::Succeeded, Some(true));
    harness.advance(TimeDelta::from_millis(2000));
    let first = harness.arrive(WRITE, 0, 1.0);
    harness.advance(TimeDelta::from_millis(500));
    harness.end_attempt(first, AttemptOutcome::Failed, None);
    let second = harness.arrive(WRITE, 0, 1.0);
    assert!(
        harness.open_requests[&second].in_flight.is_none(),
        "a write was sent at once although a late answer had reduced the limit"
    );
    harness.advance(TimeDelta::from_millis(800));
    assert!(
        harness.open_requests[&second].in_flight.is_some(),
        "the write still waits after 800 ms, longer than the rate of attempts requires"
    );
}

#[test]
fn with_many_instances_timely_answers_restore_a_reduced_limit() {
    let mut harness = Harness::with_instances(100, LagHandling::ServeStale, 1, 1);
    let write_answered_after = |harness: &mut Harness, latency_ms: i64| {
        let write = harness.arrive(WRITE, 0, 1.0);
        harness.advance(TimeDelta::from_millis(latency_ms));
        harness.end_attempt(write, AttemptOutcome::Succeeded, Some(true));
        harness.advance(TimeDelta::from_millis(6000 - latency_ms));
    };
    for latency_ms in [600, 600, 600, 600, 600, 50, 50, 50, 50, 50, 50, 50, 50] {
        write_answered_after(&mut harness, latency_ms);
    }
    for _ in 0..2 {
        let write = harness.arrive(WRITE, 0, 1.0);
        harness.advance(TimeDelta::from_millis(100));
        harness.end_attempt(write, AttemptOutcome::Succeeded, Some(true));
    }
    let third = harness.arrive(WRITE, 0, 1.0);
    harness.advance(TimeDelta::from_millis(700));
    assert!(
        harness.open_requests[&third].in_flight.is_some(),
        "eight timely answers did not restore the limit that five late answers had reduced"
    );
}

#[test]
fn with_many_instances_late_answers_reduce_the_limits_of_all_replicas() {
    let mut reads_to_replicas = Vec::new();
    for late in [false, true] {
        let mut harness = Harness::with_instances(100, LagHandling::ServeStale, 1, 1);
        for read_index in 0..200 {
            let read = harness.arrive(ANY_READ, 0, 1.0);
            harness.advance(TimeDelta::from_millis(if late && read_index % 2 == 0 { 480 } else { 90 }));
            harness.end_attempt(read, AttemptOutcome::Succeeded, None);
            harness.advance(TimeDelta::from_millis(if late && read_index % 2 == 0 { 20 } else { 410 }));
        }
        reads_to_replicas.push(harness.sent_attempts.iter().filter(|sent| sent.endpoint != 0).count());
    }
    let [timely, late] = reads_to_replicas[..] else { panic!("not one count per run") };
    assert!(
        late >= 5 && late * 3 < timely * 2,
        "{timely} reads to replicas that answer in time, {late} to replicas that answer late"
    );
}

#[test]
fn long_reads_go_only_to_the_more_lagging_half_of_the_replicas() {
    let mut harness = Harness::with_instances(100, LagHandling::Wait(TimeDelta::from_millis(100)), 1, 1);
    harness.advance(TimeDelta::from_millis(100));
    harness.health_check_ended(1, AttemptOutcome::Succeeded, harness.now, false);
    for _ in 0..3 {
        harness.arrive(LONG_READ, 0, 1.0);
        harness.advance(TimeDelta::from_millis(100));
    }
    assert!(!harness.sent_attempts.is_empty());
    assert!(
        harness.sent_attempts.iter().all(|sent| sent.endpoint == 2),
        "a long read went to the replica that is up to date"
    );
}

#[test]
fn a_primary_that_reports_a_high_load_serves_no_waiting_reads() {
    for (load, is_served) in [(0.2, true), (0.9, false)] {
        let mut harness = Harness::with_health_checks(LagHandling::ServeStale, 1, 1);
        harness.advance(BOUND + TICK);
        harness.reported_load = Some(load);
        harness.health_check_ended(0, AttemptOutcome::Succeeded, harness.now, true);
        let read = harness.arrive(BOUNDED_READ, 0, 1.0);
        harness.advance(TimeDelta::from_millis(350));
        assert_eq!(
            harness.open_requests[&read].in_flight.is_some(),
            is_served,
            "whether the primary serves the read at a reported load of {load}"
        );
    }
}

#[test]
fn reads_wait_at_full_limits_and_events_of_unknown_ids_are_ignored() {
    let mut harness = Harness::with_health_checks(LagHandling::ServeStale, 1, 1);
    let reads: Vec<RequestId> = (0..40).map(|_| harness.arrive(BOUNDED_READ, 0, 1.0)).collect();
    let in_flight = reads.iter().filter(|request| harness.open_requests[request].in_flight.is_some()).count();
    assert!(in_flight < 20, "{in_flight} of 40 in flight before the first answer");
    harness.advance(TimeDelta::from_millis(650));
    assert!(reads.iter().all(|request| !harness.open_requests.contains_key(request)
        || harness.open_requests[request].in_flight.is_some()));
    let disconnected = harness.arrive(WRITE, 0, 1.0);
    harness.report(Event::ClientGone { request: disconnected });
    harness.report(Event::TimerFired { tag: 99 });
    harness.report(Event::HealthCheckEnded {
        endpoint: 77,
        outcome: AttemptOutcome::Succeeded,
        elapsed: TICK,
        report: EndpointReport { position: Some(Timestamp(0)), ..EndpointReport::default() },
    });
    harness.open_requests.remove(&disconnected);
}
