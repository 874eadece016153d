//! When health checks are made, of which endpoints, and what their results change.

#[allow(dead_code)] // Each test file uses only a part of the support code.
mod support;

use routing::time::TimeDelta;
use routing::*;
use support::*;

#[test]
fn health_checks_never_outnumber_requests() {
    let mut harness = Harness::with_health_checks(LagHandling::ServeStale, 20, 1);
    harness.advance(TimeDelta::from_millis(20_000));
    assert_eq!(harness.health_checks.len(), 0, "a health check was made before the first request");
    for _ in 0..10 {
        harness.arrive(BOUNDED_READ, 0, 1.0);
        harness.advance(TimeDelta::from_millis(1000));
    }
    let health_checks = harness.health_checks.len();
    assert!(
        (1..=10).contains(&health_checks),
        "{health_checks} health checks for ten reads, 1 to 10 are allowed"
    );
}

#[test]
fn waiting_reads_cause_few_health_checks_and_a_rejected_check_no_ejection() {
    let mut harness = Harness::with_health_checks(LagHandling::ServeStale, 1, 1);
    harness.advance(TimeDelta::from_millis(200));
    harness.health_check_ended(1, AttemptOutcome::Rejected, harness.now, false);
    let reads = [(); 3].map(|()| harness.arrive(ANY_READ, 0, 1.0));
    assert!(
        harness.sent_attempts.iter().any(|sent| sent.endpoint == 1),
        "no read was sent to the endpoint that rejected a health check"
    );
    reads.iter().for_each(|&read| harness.end_attempt(read, AttemptOutcome::Succeeded, None));
    harness.advance(BOUND * 2);
    let before = harness.health_checks.len();
    harness.arrive(BOUNDED_READ, 0, 1.0);
    harness.advance(TimeDelta::from_millis(250));
    assert!(
        harness.health_checks.len() - before <= 2,
        "a waiting read caused more than two health checks within 250 ms"
    );
}

#[test]
fn writes_cause_no_health_check_and_waiting_reads_few() {
    let mut harness = Harness::with_instances(100, LagHandling::ServeStale, 1, 1);
    harness.advance(BOUND * 2);
    let write = harness.arrive(WRITE, 0, 1.0);
    harness.end_attempt(write, AttemptOutcome::Succeeded, Some(true));
    harness.advance(BOUND * 2);
    assert_eq!(
        harness.health_checks,
        [],
        "health checks were made for writes although the primary had answered"
    );
    for (instances, expected) in [(2, 2), (100, 1)] {
        let mut harness = Harness::with_instances(instances, LagHandling::ServeStale, 1, 1);
        harness.advance(BOUND + TICK * 4);
        harness.arrive(BOUNDED_READ, 0, 1.0);
        harness.advance(TimeDelta::from_millis(290));
        assert_eq!(
            harness.health_checks.len(),
            expected,
            "health checks for a waiting read, {instances} instances"
        );
    }
}

#[test]
fn without_a_fresh_replica_the_least_lagging_one_is_checked_first() {
    let mut harness = Harness::with_instances(100, LagHandling::ServeStale, 1, 1);
    for _ in 0..3 {
        let read = harness.arrive(BOUNDED_READ, 0, 1.0);
        harness.advance(TimeDelta::from_millis(60));
        harness.end_attempt(read, AttemptOutcome::Succeeded, None);
        harness.advance(TimeDelta::from_millis(150));
    }
    assert_eq!(harness.health_checks.len(), 0, "health checks were made although a replica qualified");
    for lagging in [1, 2] {
        let fresh = 3 - lagging;
        harness.advance(BOUND * 2);
        harness.health_check_ended(lagging, AttemptOutcome::Succeeded, harness.now - BOUND * 2, false);
        harness.health_check_ended(fresh, AttemptOutcome::Succeeded, harness.now, false);
        harness.advance(BOUND * 2);
        harness.arrive(BOUNDED_READ, 0, 1.0);
        assert_eq!(harness.health_checks.first(), Some(&fresh), "endpoint {lagging} lags");
        harness.advance(BOUND * 2);
        harness.health_checks.clear();
    }
}

#[test]
fn a_waiting_read_causes_no_health_check_of_a_healthy_primary() {
    let mut harness = Harness::with_health_checks(LagHandling::ServeStale, 1, 1);
    // The replicas lag by slightly more than the staleness bound, so reads wait for them to catch up.
    harness.advance(BOUND + TICK * 4);
    for replica in [1, 2] {
        harness.health_check_ended(replica, AttemptOutcome::Succeeded, harness.now - BOUND - TICK, false);
    }
    harness.advance(TimeDelta::from_millis(150));
    let read = harness.arrive(BOUNDED_READ, 0, 1.0);
    assert!(
        harness.open_requests[&read].in_flight.is_none(),
        "a read was sent although no replica was within the staleness bound"
    );
    harness.advance(TimeDelta::from_millis(250));
    assert!(
        !harness.health_checks.is_empty() && !harness.health_checks.contains(&0),
        "health checks of {:?}, expected of replicas only",
        harness.health_checks
    );
}
