//! Conditions for health checks, and the effects of their results.

#[allow(dead_code)] // Each test file uses a part of it.
mod support;

use routing::time::TimeDelta;
use routing::*;
use support::*;

#[test]
fn health_checks_are_made_only_for_requests_of_the_instance() {
    let mut harness = Harness::with_reports(LagHandling::ServeStale, 20, 1);
    harness.advance(TimeDelta::from_millis(20_000));
    assert_eq!(harness.health_checks.len(), 0, "health checks were made without any request");
    for _ in 0..10 {
        harness.arrive(BOUNDED_READ, 0, 1.0);
        harness.advance(TimeDelta::from_millis(1000));
    }
    let health_checks = harness.health_checks.len();
    assert!(
        (1..=10).contains(&health_checks),
        "{health_checks} health checks for ten reads in one of twenty groups"
    );
}

#[test]
fn health_checks_of_waiting_reads_are_rate_limited_and_a_rejected_one_ejects_no_endpoint() {
    let mut harness = Harness::with_reports(LagHandling::ServeStale, 1, 1);
    harness.advance(TimeDelta::from_millis(200));
    harness.health_check_ended(1, AttemptOutcome::Rejected, harness.now, false);
    let reads = [(); 3].map(|()| harness.arrive(ANY_READ, 0, 1.0));
    assert!(
        harness.sent.iter().any(|sent| sent.endpoint == 1),
        "no read goes to the endpoint that rejected a health check"
    );
    reads.iter().for_each(|&read| harness.end(read, AttemptOutcome::Succeeded, None));
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
fn a_write_causes_no_health_check_and_a_waiting_read_only_one_with_many_instances() {
    let mut harness = Harness::with_instances(100, LagHandling::ServeStale, 1, 1);
    harness.advance(BOUND * 2);
    let write = harness.arrive(WRITE, 0, 1.0);
    harness.end(write, AttemptOutcome::Succeeded, Some(true));
    harness.advance(BOUND * 2);
    assert_eq!(
        harness.health_checks,
        [],
        "health checks were made without reads, after the primary had answered"
    );
    for (instances, most) in [(2, 2), (100, 1)] {
        let mut harness = Harness::with_instances(instances, LagHandling::ServeStale, 1, 1);
        harness.advance(BOUND + TICK * 4);
        harness.arrive(BOUNDED_READ, 0, 1.0);
        harness.advance(TimeDelta::from_millis(290));
        assert_eq!(harness.health_checks.len(), most, "{instances} instances");
    }
}

#[test]
fn health_checks_are_made_only_if_no_replica_qualifies_and_start_with_the_least_lagging() {
    let mut harness = Harness::with_instances(100, LagHandling::ServeStale, 1, 1);
    for _ in 0..3 {
        let read = harness.arrive(BOUNDED_READ, 0, 1.0);
        harness.advance(TimeDelta::from_millis(60));
        harness.end(read, AttemptOutcome::Succeeded, None);
        harness.advance(TimeDelta::from_millis(150));
    }
    assert_eq!(harness.health_checks.len(), 0, "health checks were made although a replica qualified");
    for behind in [1, 2] {
        harness.advance(BOUND * 2);
        harness.health_check_ended(behind, AttemptOutcome::Succeeded, harness.now - BOUND * 2, false);
        harness.health_check_ended(3 - behind, AttemptOutcome::Succeeded, harness.now, false);
        harness.advance(BOUND * 2);
        harness.arrive(BOUNDED_READ, 0, 1.0);
        assert_eq!(harness.health_checks.first(), Some(&(3 - behind)));
        harness.advance(BOUND * 2);
        harness.health_checks.clear();
    }
}

#[test]
fn a_waiting_read_causes_no_health_check_of_a_healthy_primary() {
    let mut harness = Harness::with_reports(LagHandling::ServeStale, 1, 1);
    // The replicas lag by more than the bound, but so little that reads wait for them.
    harness.advance(BOUND + TICK * 4);
    for replica in [1, 2] {
        harness.health_check_ended(replica, AttemptOutcome::Succeeded, harness.now - BOUND - TICK, false);
    }
    harness.advance(TimeDelta::from_millis(150));
    let read = harness.arrive(BOUNDED_READ, 0, 1.0);
    assert!(
        harness.open_requests[&read].in_flight.is_none(),
        "a read was sent although no replica qualified"
    );
    harness.advance(TimeDelta::from_millis(250));
    assert!(
        !harness.health_checks.is_empty() && !harness.health_checks.contains(&0),
        "{:?}",
        harness.health_checks
    );
}
