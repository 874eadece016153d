//! Concurrency limits and slow start, with few instances and many.

#[allow(dead_code)] // Each test file uses a part of it.
mod support;

use routing::time::{TimeDelta, Timestamp};
use routing::*;
use support::*;

#[test]
fn the_concurrency_limit_does_not_rise_at_an_endpoint_that_reports_a_high_load() {
    let mut outs = Vec::new();
    for load in [0.2, 0.95] {
        let mut harness = Harness::with_reports(LagHandling::ServeStale, 1, 1);
        harness.load = Some(load);
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
                harness.end(write, AttemptOutcome::Succeeded, Some(true));
            }
        }
        (0..20).for_each(|_| _ = harness.arrive(WRITE, 0, 1.0));
        outs.push(harness.open_requests.values().filter(|open| open.in_flight.is_some()).count());
    }
    assert!(outs[1] <= 4 && outs[0] > outs[1] + 4, "{outs:?} of 20 are out, all answered in time before");
}

#[test]
fn an_endpoint_that_fails_fast_is_not_preferred_as_idle() {
    let mut harness = Harness::with_reports(LagHandling::ServeStale, 1, 1);
    for _ in 0..60 {
        let request = harness.arrive(ANY_READ, 0, 1.0);
        while let Some(endpoint) = harness.endpoint_of(request) {
            harness.end(
                request,
                if endpoint == 1 { AttemptOutcome::Failed } else { AttemptOutcome::Succeeded },
                None,
            );
        }
        harness.advance(TimeDelta::from_millis(10));
    }
    let bad = harness.sent.iter().filter(|sent| sent.endpoint == 1).count();
    assert!(bad <= 6, "{bad} attempts went to the endpoint that answers nothing but errors");
}

#[test]
fn an_endpoint_in_slow_start_gets_few_requests_and_no_long_ones() {
    let mut harness = Harness::with_reports(LagHandling::ServeStale, 1, 1);
    harness.started_at[1] = Some(harness.now);
    harness.list(1, EndpointStatus::Serving);
    for _ in 0..50 {
        let long = harness.arrive(LONG_READ, 0, 1.0);
        let short = harness.arrive(ANY_READ, 0, 1.0);
        assert_ne!(harness.endpoint_of(long), Some(1));
        harness.end(short, AttemptOutcome::Rejected, None);
        harness.end(long, AttemptOutcome::Succeeded, None);
        harness.advance(TimeDelta::from_millis(20));
    }
    let cold = harness.sent_in_slow_start[1].len();
    assert!(cold <= 8, "{cold} attempts in its first second, when all may send it 0.4 of a core a second");
}

#[test]
fn with_few_instances_an_endpoint_in_slow_start_gets_concurrent_attempts() {
    for (instances, least, most) in [(2, 2, 8), (100, 0, 1)] {
        let mut harness = Harness::with_instances(instances, LagHandling::ServeStale, 1, 1);
        harness.started_at = vec![Some(harness.now - TimeDelta::from_millis(8000)); 3];
        (0..3).for_each(|endpoint| harness.list(endpoint, EndpointStatus::Serving));
        (0..60).for_each(|_| _ = harness.arrive(WRITE, 0, 1.0));
        let in_flight = harness.open_requests.values().filter(|open| open.in_flight.is_some()).count();
        assert!(
            (least..=most).contains(&in_flight),
            "{in_flight} at the primary that has just started, of {instances} instances"
        );
    }
}

#[test]
fn many_instances_together_neither_overload_an_endpoint_in_slow_start_nor_leave_it_idle() {
    let instances = 100;
    let mut sends = Vec::new();
    for instance in 0..instances {
        let mut harness = Harness::with_instances(instances, LagHandling::ServeStale, 1, u64::from(instance));
        harness.started_at[1] = Some(harness.now);
        harness.list(1, EndpointStatus::Serving);
        let start = harness.now;
        for _ in 0..20 {
            let read = harness.arrive(ANY_READ, 0, 1.0);
            if harness.sent.last() == Some(&SentAttempt { request: read, endpoint: 1 }) {
                sends.push(harness.now - start);
            }
            harness.advance(TimeDelta::from_millis(100));
            harness.end(read, AttemptOutcome::Succeeded, None);
        }
    }
    // Each takes a tenth of a second of one core; from 0.2 to 0.3 of the capacity is there, and twice that,
    // for a whole window, is what makes an endpoint of one core fall.
    assert!((2..=8).contains(&sends.len()), "{} of 2000 reads in its first two seconds", sends.len());
}

#[test]
fn with_many_instances_a_primary_gets_two_writes_in_a_row_and_the_third_waits() {
    for (instances, at_once) in [(2, true), (100, false)] {
        let mut harness = Harness::with_instances(instances, LagHandling::ServeStale, 1, 1);
        // Writes come in twos by chance, and the endpoint is idle for all that this instance knows.
        let pair = [(); 2].map(|()| {
            let write = harness.arrive(WRITE, 0, 1.0);
            harness.advance(TimeDelta::from_millis(200));
            let in_flight = harness.open_requests[&write].in_flight.is_some();
            harness.end(write, AttemptOutcome::Succeeded, Some(true));
            in_flight
        });
        assert_eq!(pair, [true, true], "{instances} instances");
        let third = harness.arrive(WRITE, 0, 1.0);
        assert_eq!(harness.open_requests[&third].in_flight.is_some(), at_once, "{instances} instances");
        harness.advance(TimeDelta::from_millis(1000));
        assert!(harness.open_requests[&third].in_flight.is_some(), "held no longer than the others need");
    }
}

#[test]
fn with_many_instances_no_second_write_directly_follows_a_late_answer() {
    let mut harness = Harness::with_instances(100, LagHandling::ServeStale, 1, 1);
    let late = harness.arrive(WRITE, 0, 1.0);
    harness.advance(TimeDelta::from_millis(600));
    harness.end(late, AttemptOutcome::Succeeded, Some(true));
    harness.advance(TimeDelta::from_millis(2000));
    let first = harness.arrive(WRITE, 0, 1.0);
    harness.advance(TimeDelta::from_millis(500));
    harness.end(first, AttemptOutcome::Failed, None);
    let second = harness.arrive(WRITE, 0, 1.0);
    assert!(harness.open_requests[&second].in_flight.is_none(), "the queue there is no chance of two calls");
    harness.advance(TimeDelta::from_millis(800));
    assert!(harness.open_requests[&second].in_flight.is_some(), "held no longer than its rate asks");
}

#[test]
fn with_many_instances_timely_answers_restore_a_limit_lowered_by_late_ones() {
    let mut harness = Harness::with_instances(100, LagHandling::ServeStale, 1, 1);
    let write = |harness: &mut Harness, took: i64| {
        let write = harness.arrive(WRITE, 0, 1.0);
        harness.advance(TimeDelta::from_millis(took));
        harness.end(write, AttemptOutcome::Succeeded, Some(true));
        harness.advance(TimeDelta::from_millis(6000 - took));
    };
    for took in [600, 600, 600, 600, 600, 50, 50, 50, 50, 50, 50, 50, 50] {
        write(&mut harness, took);
    }
    for _ in 0..2 {
        let write = harness.arrive(WRITE, 0, 1.0);
        harness.advance(TimeDelta::from_millis(100));
        harness.end(write, AttemptOutcome::Succeeded, Some(true));
    }
    let third = harness.arrive(WRITE, 0, 1.0);
    harness.advance(TimeDelta::from_millis(700));
    assert!(
        harness.open_requests[&third].in_flight.is_some(),
        "eight timely answers make up for five late ones"
    );
}

#[test]
fn with_many_instances_late_answers_reduce_reads_to_all_replicas_of_the_group() {
    let mut outs = Vec::new();
    for late in [false, true] {
        let mut harness = Harness::with_instances(100, LagHandling::ServeStale, 1, 1);
        for step in 0..200 {
            let read = harness.arrive(ANY_READ, 0, 1.0);
            harness.advance(TimeDelta::from_millis(if late && step % 2 == 0 { 480 } else { 90 }));
            harness.end(read, AttemptOutcome::Succeeded, None);
            harness.advance(TimeDelta::from_millis(if late && step % 2 == 0 { 20 } else { 410 }));
        }
        outs.push(harness.sent.iter().filter(|sent| sent.endpoint != 0).count());
    }
    assert!(outs[1] >= 5 && outs[1] * 3 < outs[0] * 2, "{outs:?} sent to replicas, timely and late ones");
}

#[test]
fn long_reads_leave_half_of_the_replicas_free_to_catch_up() {
    let mut harness = Harness::with_instances(100, LagHandling::Wait(TimeDelta::from_millis(100)), 1, 1);
    harness.advance(TimeDelta::from_millis(100));
    harness.health_check_ended(1, AttemptOutcome::Succeeded, harness.now, false);
    for _ in 0..3 {
        harness.arrive(LONG_READ, 0, 1.0);
        harness.advance(TimeDelta::from_millis(100));
    }
    assert!(!harness.sent.is_empty());
    assert!(
        harness.sent.iter().all(|sent| sent.endpoint == 2),
        "all to the one behind or held, though it is the busier"
    );
}

#[test]
fn a_primary_that_reports_a_high_load_serves_no_waiting_reads() {
    for (load, helps) in [(0.2, true), (0.9, false)] {
        let mut harness = Harness::with_reports(LagHandling::ServeStale, 1, 1);
        harness.advance(BOUND + TICK);
        harness.load = Some(load);
        harness.health_check_ended(0, AttemptOutcome::Succeeded, harness.now, true);
        let read = harness.arrive(BOUNDED_READ, 0, 1.0);
        harness.advance(TimeDelta::from_millis(350));
        assert_eq!(
            harness.open_requests[&read].in_flight.is_some(),
            helps,
            "replicas reported nothing new, the primary is {load} busy"
        );
    }
}

#[test]
fn reads_wait_while_replicas_are_at_their_limits_and_unknown_events_are_ignored() {
    let mut harness = Harness::with_reports(LagHandling::ServeStale, 1, 1);
    let reads: Vec<RequestId> = (0..40).map(|_| harness.arrive(BOUNDED_READ, 0, 1.0)).collect();
    let in_flight = reads.iter().filter(|request| harness.open_requests[request].in_flight.is_some()).count();
    assert!(in_flight < 20, "{in_flight} of 40 are out where nothing has been answered yet");
    harness.advance(TimeDelta::from_millis(650));
    assert!(reads.iter().all(|request| !harness.open_requests.contains_key(request)
        || harness.open_requests[request].in_flight.is_some()));
    let unknown = harness.arrive(WRITE, 0, 1.0);
    harness.report(Event::ClientGone { request: unknown });
    harness.report(Event::TimerFired { tag: 99 });
    harness.report(Event::HealthCheckEnded {
        endpoint: 77,
        outcome: AttemptOutcome::Succeeded,
        elapsed: TICK,
        report: EndpointReport { position: Some(Timestamp(0)), ..EndpointReport::default() },
    });
    harness.open_requests.remove(&unknown);
}
