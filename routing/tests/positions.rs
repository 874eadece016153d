//! What sessions have seen and written binds their reads.

#[allow(dead_code)] // Each test file uses a part of it.
mod support;

use routing::time::{TimeDelta, Timestamp};
use routing::*;
use support::*;

#[test]
fn what_a_session_has_seen_binds_every_read() {
    for lag_handling in LAG_HANDLINGS {
        let mut harness = Harness::with_reports(lag_handling, 1, 1);
        harness.seen_position = Some(harness.now + TimeDelta::from_millis(50));
        harness.advance(TimeDelta::from_millis(100));
        let reads = [ANY_READ, LONG_READ, BOUNDED_READ].map(|method| harness.arrive(method, 0, 1.0));
        assert!(
            reads.iter().all(|request| harness.open_requests[request].in_flight.is_none()),
            "{lag_handling:?}: no replica is told to have it"
        );
        harness.health_check_ended(
            2,
            AttemptOutcome::Succeeded,
            harness.now - TimeDelta::from_millis(40),
            false,
        );
        let outs =
            reads.map(|request| harness.open_requests[&request].in_flight.map(|in_flight| in_flight.1));
        assert_eq!(outs, [Some(2); 3], "{lag_handling:?}");
    }
}

/// A router that remembers sessions' writes by itself, with one primary and one replica.
fn policy_with_remembered_positions() -> (RoutingPolicy, Timestamp, Vec<Action>) {
    let mut routing_settings = routing_settings(LagHandling::ServeStale);
    routing_settings.clients_hold_positions = false;
    routing_settings.methods[ANY_READ].access = Access::SessionRead;
    let (now, mut actions) = (Timestamp(1_000_000_000_000), Vec::new());
    let mut policy = RoutingPolicy::new(1, &routing_settings, now, &mut actions);
    let entry = |endpoint| EndpointRecord {
        endpoint,
        group: 0,
        zone: 0,
        status: EndpointStatus::Serving,
        primary: endpoint == 0,
        started_at: None,
        start_presumed: false,
    };
    policy.on_event(
        now,
        Event::EndpointList { complete: true, records: vec![entry(0), entry(1)] },
        &mut actions,
    );
    (policy, now, actions)
}

#[test]
fn positions_of_old_sessions_are_dropped_and_no_session_is_shown_less() {
    let (mut policy, start, mut actions) = policy_with_remembered_positions();
    let probe = |policy: &mut RoutingPolicy,
                 now: Timestamp,
                 endpoint: EndpointIndex,
                 at: Timestamp,
                 actions: &mut Vec<Action>| {
        let role = Some(if endpoint == 0 { Role::Primary } else { Role::Replica });
        let load_report = EndpointReport { position: Some(at), role, load: None };
        policy.on_event(
            now,
            Event::HealthCheckEnded {
                endpoint,
                outcome: AttemptOutcome::Succeeded,
                elapsed: TICK,
                report: load_report,
            },
            actions,
        );
    };
    let arrive =
        |policy: &mut RoutingPolicy, now: Timestamp, request, method, key, actions: &mut Vec<Action>| {
            let (session, deadline) = (Some(key), now + TimeDelta::from_millis(2_000));
            let (last_write, seen_position, client_retry) = (None, None, false);
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
            policy.on_event(now, Event::RequestArrived(new), actions);
        };
    let to = |actions: &[Action], request: RequestId| {
        actions.iter().find_map(|action| match action {
            Action::StartAttempt { request: sent, endpoint, .. } if *sent == request => Some(*endpoint),
            _ => None,
        })
    };
    probe(&mut policy, start, 0, start, &mut actions);
    probe(&mut policy, start, 1, start, &mut actions);
    // Far more sessions than are kept write, each once; the replica stands still, so none may be let go for
    // free.
    let (many, mut now) = (80_000u64, start);
    for key in 0..many {
        now = now + TimeDelta(10_000);
        actions.clear();
        arrive(&mut policy, now, key, WRITE, key, &mut actions);
        if to(&actions, key).is_some() {
            let answer_report = EndpointReport { position: Some(now), role: Some(Role::Primary), load: None };
            let (attempt, outcome, elapsed, request_closed, load_report) =
                (0, AttemptOutcome::Succeeded, TimeDelta(1), true, EndpointReport::default());
            let write_session = Some(key);
            let end = AttemptEnd {
                request: key,
                attempt,
                endpoint: 0,
                outcome,
                elapsed,
                request_closed,
                write_session,
                answer_report,
                load_report,
            };
            policy.on_event(now, Event::AttemptEnded(end), &mut actions);
        }
    }
    policy.on_event(now, Event::TimerFired { tag: 0 }, &mut actions);
    assert!(policy.tracked_sessions() <= 1 << 16, "{} are kept", policy.tracked_sessions());
    // The first session's mark is gone, and it still is not sent to a replica that has not got there.
    for (request, key) in [(many, 0), (many + 1, many - 1)] {
        actions.clear();
        arrive(&mut policy, now, request, ANY_READ, key, &mut actions);
        assert_ne!(to(&actions, request), Some(1), "session {key}");
    }
    // Once every endpoint has got there, no mark is left and none is needed. The last write lies anywhere in the
    // millisecond that was told.
    now = now + TimeDelta::from_millis(1);
    probe(&mut policy, now, 0, now, &mut actions);
    probe(&mut policy, now, 1, now, &mut actions);
    policy.on_event(now, Event::TimerFired { tag: 0 }, &mut actions);
    assert_eq!(policy.tracked_sessions(), 0);
    actions.clear();
    arrive(&mut policy, now, many + 2, ANY_READ, 3, &mut actions);
    assert_eq!(to(&actions, many + 2), Some(1));
}

fn reported(position: Timestamp, role: Role) -> EndpointReport {
    EndpointReport { position: Some(position), role: Some(role), load: None }
}

/// An request of session 7.
fn session_write(request: RequestId, method: MethodIndex, received_at: Timestamp) -> Event {
    let (group, session, deadline) = (0, Some(7), received_at + TimeDelta::from_millis(2_000));
    let (last_write, seen_position, client_retry) = (None, None, false);
    Event::RequestArrived(RequestArrival {
        request,
        method,
        group,
        session,
        last_write,
        seen_position,
        received_at,
        deadline,
        client_retry,
    })
}

/// A write of session 7 runs on the primary, which is asked of the router before it ends; `position` is what
/// its answer tells. The replica to which a read of the session goes that comes 100 ms later, where the
/// replica's position stands so far behind the moment of the write's end.
fn is_shown_after(gone: bool, position: Option<TimeDelta>, behind: TimeDelta) -> bool {
    let (mut policy, start, mut actions) = policy_with_remembered_positions();
    let now = start + TimeDelta::from_millis(500);
    let outcome = AttemptOutcome::Succeeded;
    let load_report = reported(start, Role::Primary);
    policy.on_event(
        start,
        Event::HealthCheckEnded { endpoint: 0, outcome, elapsed: TICK, report: load_report },
        &mut actions,
    );
    policy.on_event(start, session_write(1, WRITE, start), &mut actions);
    assert!(actions
        .iter()
        .any(|action| matches!(action, Action::StartAttempt { request: 1, endpoint: 0, .. })));
    if gone {
        policy.on_event(start, Event::ClientGone { request: 1 }, &mut actions);
    }
    let answer_report =
        EndpointReport { position: position.map(|ago| now - ago), role: Some(Role::Primary), load: None };
    let (request, attempt, endpoint, elapsed, request_closed) = (1, 0, 0, now - start, true);
    let (write_session, load_report) = (Some(7), EndpointReport::default());
    let end = AttemptEnd {
        request,
        attempt,
        endpoint,
        outcome,
        elapsed,
        request_closed,
        write_session,
        answer_report,
        load_report,
    };
    policy.on_event(now, Event::AttemptEnded(end), &mut actions);
    let later = now + TimeDelta::from_millis(100);
    let load_report = reported(now - behind, Role::Replica);
    policy.on_event(
        later,
        Event::HealthCheckEnded { endpoint: 1, outcome, elapsed: TICK, report: load_report },
        &mut actions,
    );
    actions.clear();
    policy.on_event(later, session_write(2, ANY_READ, later), &mut actions);
    actions.iter().any(|action| matches!(action, Action::StartAttempt { request: 2, endpoint: 1, .. }))
}

#[test]
fn a_write_binds_its_session_though_its_client_is_gone_and_its_answer_reports_nothing() {
    let ms = TimeDelta::from_millis;
    for gone in [false, true] {
        assert!(!is_shown_after(gone, Some(ms(5)), ms(6)), "gone {gone}: the write is not shown there yet");
        assert!(
            !is_shown_after(gone, Some(ms(5)), ms(5)),
            "gone {gone}: both may lie anywhere in that millisecond"
        );
        assert!(is_shown_after(gone, Some(ms(5)), ms(4)), "gone {gone}: it is shown");
        assert!(
            !is_shown_after(gone, None, ms(1)),
            "gone {gone}: where no position is told, it ran just now"
        );
    }
}

/// A write of session 7 is out, or has ended so. Whether a read of the session that comes 100 ms later may go to
/// a replica that stood, when it came, so far behind.
fn is_shown_without_answer(end_attempt: Option<AttemptOutcome>, behind: TimeDelta) -> bool {
    let (mut policy, start, mut actions) = policy_with_remembered_positions();
    let (now, outcome) = (start + TimeDelta::from_millis(500), AttemptOutcome::Succeeded);
    let load_report = reported(start, Role::Primary);
    policy.on_event(
        start,
        Event::HealthCheckEnded { endpoint: 0, outcome, elapsed: TICK, report: load_report },
        &mut actions,
    );
    policy.on_event(start, session_write(1, WRITE, start), &mut actions);
    assert!(actions
        .iter()
        .any(|action| matches!(action, Action::StartAttempt { request: 1, endpoint: 0, .. })));
    if let Some(outcome) = end_attempt {
        let (request, attempt, endpoint, elapsed, request_closed) = (1, 0, 0, now - start, false);
        let (write_session, answer_report, load_report) =
            (Some(7), EndpointReport::default(), EndpointReport::default());
        let end = AttemptEnd {
            request,
            attempt,
            endpoint,
            outcome,
            elapsed,
            request_closed,
            write_session,
            answer_report,
            load_report,
        };
        policy.on_event(now, Event::AttemptEnded(end), &mut actions);
    }
    // Where it never ran it is sent again: its client takes it back first.
    policy.on_event(now, Event::ClientGone { request: 1 }, &mut actions);
    let later = now + TimeDelta::from_millis(100);
    let load_report = reported(later - behind, Role::Replica);
    policy.on_event(
        later,
        Event::HealthCheckEnded { endpoint: 1, outcome, elapsed: TICK, report: load_report },
        &mut actions,
    );
    actions.clear();
    policy.on_event(later, session_write(2, ANY_READ, later), &mut actions);
    actions.iter().any(|action| matches!(action, Action::StartAttempt { request: 2, endpoint: 1, .. }))
}

#[test]
fn a_write_that_may_have_run_binds_its_session_though_its_answer_never_came() {
    let ms = TimeDelta::from_millis;
    for may_have_run in [
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Failed,
        AttemptOutcome::Cancelled,
    ] {
        assert!(
            !is_shown_without_answer(Some(may_have_run), ms(110)),
            "{may_have_run:?} may have run until then"
        );
        assert!(is_shown_without_answer(Some(may_have_run), ms(90)), "{may_have_run:?}, and not after it");
    }
    assert!(!is_shown_without_answer(None, ms(1)), "it is out, and may have been answered just now");
    assert!(is_shown_without_answer(None, ms(0)));
}
