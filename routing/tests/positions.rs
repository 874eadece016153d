//! Read your writes and monotonic reads: positions that sessions have seen or written limit where their reads may go.

#[allow(dead_code)] // Each test file uses a part of it.
mod support;

use routing::time::{TimeDelta, Timestamp};
use routing::*;
use support::*;

#[test]
fn no_read_goes_to_a_replica_behind_the_position_its_session_has_seen() {
    for lag_handling in LAG_HANDLINGS {
        let mut harness = Harness::with_reports(lag_handling, 1, 1);
        harness.seen_position = Some(harness.now + TimeDelta::from_millis(50));
        harness.advance(TimeDelta::from_millis(100));
        let reads = [ANY_READ, LONG_READ, BOUNDED_READ].map(|method| harness.arrive(method, 0, 1.0));
        assert!(
            reads.iter().all(|request| harness.open_requests[request].in_flight.is_none()),
            "{lag_handling:?}: a read was sent although no replica had reported the position"
        );
        harness.health_check_ended(
            2,
            AttemptOutcome::Succeeded,
            harness.now - TimeDelta::from_millis(40),
            false,
        );
        let endpoints = reads.map(|request| harness.endpoint_of(request));
        assert_eq!(endpoints, [Some(2); 3], "{lag_handling:?}");
    }
}

/// A routing policy that tracks the positions of sessions' writes itself, with a primary (0) and a replica (1), and
/// the actions that it has requested since the last arrival.
struct SessionRouter {
    policy: RoutingPolicy,
    actions: Vec<Action>,
}

impl SessionRouter {
    fn new() -> SessionRouter {
        let mut routing_settings = routing_settings(LagHandling::ServeStale);
        routing_settings.clients_send_last_write = false;
        routing_settings.methods[ANY_READ].access = Access::SessionRead;
        let (policy, actions) = policy_at_start(1, &routing_settings);
        let mut router = SessionRouter { policy, actions };
        let records = vec![serving_record(0, true), serving_record(1, false)];
        router.report(START, Event::EndpointList { complete: true, records });
        router
    }

    fn report(&mut self, now: Timestamp, event: Event) {
        self.policy.on_event(now, event, &mut self.actions);
    }

    /// Reports a health check of `endpoint` at `now` with `position`.
    fn check(&mut self, now: Timestamp, endpoint: EndpointIndex, position: Timestamp) {
        let role = if endpoint == 0 { Role::Primary } else { Role::Replica };
        self.report(now, health_check_succeeded(endpoint, endpoint_report(position, role)));
    }

    /// Clears the actions and reports a request of `session` that arrives at `now` with a deadline 2 s later.
    fn arrive(&mut self, now: Timestamp, request: RequestId, method: MethodIndex, session: u64) {
        self.actions.clear();
        let deadline = now + TimeDelta::from_millis(2_000);
        let arrival = RequestArrival { session: Some(session), ..arrival(request, method, now, deadline) };
        self.report(now, Event::RequestArrived(arrival));
    }

    /// The endpoint of the first attempt of `request` since the last arrival.
    fn sent_to(&self, request: RequestId) -> Option<EndpointIndex> {
        attempt_started(&self.actions, request)
    }

    /// Whether an attempt of `request` was started to `endpoint` since the last arrival.
    fn starts(&self, request: RequestId, endpoint: EndpointIndex) -> bool {
        self.actions.iter().any(|action| {
            matches!(action, Action::StartAttempt { request: started, endpoint: to, .. }
                if *started == request && *to == endpoint)
        })
    }

    /// Reports `position` of the replica and then a read of session 7, both at `now`. Returns whether the read goes to
    /// the replica.
    fn read_goes_to_replica(&mut self, now: Timestamp, position: Timestamp) -> bool {
        self.check(now, 1, position);
        self.arrive(now, 2, ANY_READ, 7);
        self.starts(2, 1)
    }
}

/// A router whose primary reported at [`START`], where write 1 of session 7 is in flight since then.
fn router_with_write_in_flight() -> SessionRouter {
    let mut router = SessionRouter::new();
    router.check(START, 0, START);
    router.arrive(START, 1, WRITE, 7);
    assert!(router.starts(1, 0), "the write was not sent to the primary");
    router
}

#[test]
fn positions_of_old_sessions_are_dropped_without_weakening_read_your_writes() {
    let mut router = SessionRouter::new();
    router.check(START, 0, START);
    router.check(START, 1, START);
    // Far more sessions write, once each, than can be tracked. The replica makes no progress, so that no position
    // becomes unnecessary.
    let (session_count, mut now) = (80_000u64, START);
    for session in 0..session_count {
        now = now + TimeDelta(10_000);
        router.arrive(now, session, WRITE, session);
        if router.sent_to(session).is_some() {
            let end = AttemptEnd {
                request_closed: true,
                write_session: Some(session),
                answer_report: endpoint_report(now, Role::Primary),
                ..attempt_end(session, 0, 0, AttemptOutcome::Succeeded, TimeDelta(1))
            };
            router.report(now, Event::AttemptEnded(end));
        }
    }
    router.report(now, Event::TimerFired { tag: 0 });
    let tracked = router.policy.tracked_sessions();
    assert!(tracked <= 1 << 16, "{tracked} are tracked");
    // The position of the first session was dropped. Its reads still do not go to a replica that may not have reached
    // it.
    for (request, session) in [(session_count, 0), (session_count + 1, session_count - 1)] {
        router.arrive(now, request, ANY_READ, session);
        assert_ne!(router.sent_to(request), Some(1), "session {session}");
    }
    // Once every endpoint has reached all positions, none is tracked. The last write lies anywhere within the
    // millisecond that was reported.
    now = now + TimeDelta::from_millis(1);
    router.check(now, 0, now);
    router.check(now, 1, now);
    router.report(now, Event::TimerFired { tag: 0 });
    assert_eq!(router.policy.tracked_sessions(), 0);
    router.arrive(now, session_count + 2, ANY_READ, 3);
    assert_eq!(router.sent_to(session_count + 2), Some(1));
}

/// Ends a write of session 7 at the primary, after its client has disconnected if `client_gone`. The answer reports
/// the position `position` before the end of the write. Returns whether a read of the session 100 ms later goes to the
/// replica, which is at the position `behind` before the end of the write.
fn read_after_write_goes_to_replica(
    client_gone: bool,
    position: Option<TimeDelta>,
    behind: TimeDelta,
) -> bool {
    let mut router = router_with_write_in_flight();
    let now = START + TimeDelta::from_millis(500);
    if client_gone {
        router.report(START, Event::ClientGone { request: 1 });
    }
    let answer_report =
        EndpointReport { position: position.map(|ago| now - ago), role: Some(Role::Primary), load: None };
    let end = AttemptEnd {
        request_closed: true,
        write_session: Some(7),
        answer_report,
        ..attempt_end(1, 0, 0, AttemptOutcome::Succeeded, now - START)
    };
    router.report(now, Event::AttemptEnded(end));
    router.read_goes_to_replica(now + TimeDelta::from_millis(100), now - behind)
}

#[test]
fn reads_see_their_sessions_write_even_if_its_client_left_or_no_position_was_reported() {
    let ms = TimeDelta::from_millis;
    for client_gone in [false, true] {
        assert!(
            !read_after_write_goes_to_replica(client_gone, Some(ms(5)), ms(6)),
            "client gone {client_gone}: the replica has not replicated the write yet"
        );
        assert!(
            !read_after_write_goes_to_replica(client_gone, Some(ms(5)), ms(5)),
            "client gone {client_gone}: both may lie anywhere within the same millisecond"
        );
        assert!(
            read_after_write_goes_to_replica(client_gone, Some(ms(5)), ms(4)),
            "client gone {client_gone}: the replica has replicated the write"
        );
        assert!(
            !read_after_write_goes_to_replica(client_gone, None, ms(1)),
            "client gone {client_gone}: without a position the write may have run at its end"
        );
    }
}

/// Ends the attempt of a write of session 7 with `outcome`, or leaves it in flight. Returns whether a read of the
/// session 100 ms later goes to the replica, which is `behind` the time of the read.
fn read_after_unanswered_write_goes_to_replica(outcome: Option<AttemptOutcome>, behind: TimeDelta) -> bool {
    let mut router = router_with_write_in_flight();
    let now = START + TimeDelta::from_millis(500);
    if let Some(outcome) = outcome {
        let end = AttemptEnd { write_session: Some(7), ..attempt_end(1, 0, 0, outcome, now - START) };
        router.report(now, Event::AttemptEnded(end));
    }
    // The client disconnects, so that a write that did not run is not sent again.
    router.report(now, Event::ClientGone { request: 1 });
    let later = now + TimeDelta::from_millis(100);
    router.read_goes_to_replica(later, later - behind)
}

#[test]
fn reads_see_their_sessions_write_that_may_have_run_without_an_answer() {
    let ms = TimeDelta::from_millis;
    for may_have_run in [
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Failed,
        AttemptOutcome::Cancelled,
    ] {
        assert!(
            !read_after_unanswered_write_goes_to_replica(Some(may_have_run), ms(110)),
            "{may_have_run:?}: the write may have run until the end of its attempt"
        );
        assert!(
            read_after_unanswered_write_goes_to_replica(Some(may_have_run), ms(90)),
            "{may_have_run:?}: the write cannot have run after the end of its attempt"
        );
    }
    assert!(!read_after_unanswered_write_goes_to_replica(None, ms(1)), "a write in flight may run until now");
    assert!(read_after_unanswered_write_goes_to_replica(None, ms(0)));
}
