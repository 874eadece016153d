//! Read-your-writes and monotonic reads: which endpoints may serve a session's reads after its earlier requests.

#[allow(dead_code)] // Each test file uses only a part of the support code.
mod support;

use routing::time::{TimeDelta, Timestamp};
use routing::*;
use support::*;

#[test]
fn no_read_goes_to_a_replica_behind_the_position_its_session_has_seen() {
    for lag_handling in LAG_HANDLINGS {
        let mut harness = Harness::with_health_checks(lag_handling, 1, 1);
        harness.seen_position = Some(harness.now + TimeDelta::from_millis(50));
        harness.advance(TimeDelta::from_millis(100));
        let reads = [ANY_READ, LONG_READ, BOUNDED_READ].map(|method| harness.arrive(method, 0, 1.0));
        assert!(
            reads.iter().all(|request| harness.open_requests[request].in_flight.is_none()),
            "{lag_handling:?}: a read was sent although no replica had reported its session's position"
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

/// A routing policy that keeps the positions of sessions' writes itself, with a primary (endpoint 0) and a replica
/// (endpoint 1), and the actions that it has requested since the last arrival.
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

    /// Reports a successful health check of `endpoint` at `now` with `position`.
    fn report_position(&mut self, now: Timestamp, endpoint: EndpointIndex, position: Timestamp) {
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

    /// The endpoint of the first attempt of `request` that was started since the last arrival.
    fn sent_to(&self, request: RequestId) -> Option<EndpointIndex> {
        attempt_started(&self.actions, request)
    }

    /// Whether an attempt of `request` at `endpoint` was started since the last arrival.
    fn starts(&self, request: RequestId, endpoint: EndpointIndex) -> bool {
        self.actions.iter().any(|action| {
            matches!(action, Action::StartAttempt { request: started, endpoint: to, .. }
                if *started == request && *to == endpoint)
        })
    }

    /// Reports `position` of the replica and then a read of session 7, both at `now`. Returns whether the read goes to
    /// the replica.
    fn read_goes_to_replica(&mut self, now: Timestamp, position: Timestamp) -> bool {
        self.report_position(now, 1, position);
        self.arrive(now, 2, ANY_READ, 7);
        self.starts(2, 1)
    }
}

/// A router whose primary reported its position at [`START`]. Write 1 of session 7 has been in flight at the primary
/// since then.
fn router_with_write_in_flight() -> SessionRouter {
    let mut router = SessionRouter::new();
    router.report_position(START, 0, START);
    router.arrive(START, 1, WRITE, 7);
    assert!(router.starts(1, 0), "the write was not sent to the primary");
    router
}

#[test]
fn dropped_session_positions_still_guarantee_read_your_writes() {
    let mut router = SessionRouter::new();
    router.report_position(START, 0, START);
    router.report_position(START, 1, START);
    // More sessions write, once each, than the policy keeps positions for. The replica applies none of the writes, so
    // all their positions are still needed.
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
    assert!(tracked <= 1 << 16, "positions of {tracked} sessions are kept, at most {} are allowed", 1 << 16);
    // The position of the first session was dropped. Its reads must still not go to a replica that may not have
    // reached that position.
    for (request, session) in [(session_count, 0), (session_count + 1, session_count - 1)] {
        router.arrive(now, request, ANY_READ, session);
        assert_ne!(router.sent_to(request), Some(1), "a read of session {session} went to the replica");
    }
    // Once every endpoint has reached all positions, none is kept. Positions are reported in milliseconds, so the last
    // write may have been committed at any time within the reported millisecond.
    now = now + TimeDelta::from_millis(1);
    router.report_position(now, 0, now);
    router.report_position(now, 1, now);
    router.report(now, Event::TimerFired { tag: 0 });
    assert_eq!(router.policy.tracked_sessions(), 0);
    router.arrive(now, session_count + 2, ANY_READ, 3);
    assert_eq!(router.sent_to(session_count + 2), Some(1));
}

/// Ends a write of session 7 successfully, after its client has disconnected if `client_gone`. The answer reports a
/// position `position_age` before the end of the write, or no position if `position_age` is `None`. Returns whether a
/// read of the session 100 ms later goes to the replica, whose position is `behind` before the end of the write.
fn read_after_write_goes_to_replica(
    client_gone: bool,
    position_age: Option<TimeDelta>,
    behind: TimeDelta,
) -> bool {
    let mut router = router_with_write_in_flight();
    let now = START + TimeDelta::from_millis(500);
    if client_gone {
        router.report(START, Event::ClientGone { request: 1 });
    }
    let answer_report =
        EndpointReport { position: position_age.map(|age| now - age), role: Some(Role::Primary), load: None };
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
fn a_read_sees_the_successful_write_of_its_session() {
    let ms = TimeDelta::from_millis;
    for client_gone in [false, true] {
        assert!(
            !read_after_write_goes_to_replica(client_gone, Some(ms(5)), ms(6)),
            "client gone: {client_gone}; the read went to the replica before it had replicated the write"
        );
        assert!(
            !read_after_write_goes_to_replica(client_gone, Some(ms(5)), ms(5)),
            "client gone: {client_gone}; the write may be later than the replica within the same millisecond"
        );
        assert!(
            read_after_write_goes_to_replica(client_gone, Some(ms(5)), ms(4)),
            "client gone: {client_gone}; the read did not go to the replica that had replicated the write"
        );
        assert!(
            !read_after_write_goes_to_replica(client_gone, None, ms(1)),
            "client gone: {client_gone}; without a position the write may have been committed when it ended"
        );
    }
}

/// Ends the attempt of a write of session 7 with `outcome`, or leaves the attempt in flight if `outcome` is `None`.
/// Returns whether a read of the session 100 ms later goes to the replica, whose position is `behind` before the time
/// of the read.
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
fn a_read_sees_the_unanswered_write_of_its_session() {
    let ms = TimeDelta::from_millis;
    for may_have_run in [
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Failed,
        AttemptOutcome::Cancelled,
    ] {
        assert!(
            !read_after_unanswered_write_goes_to_replica(Some(may_have_run), ms(110)),
            "{may_have_run:?}: the write may have been committed up to the end of its attempt"
        );
        assert!(
            read_after_unanswered_write_goes_to_replica(Some(may_have_run), ms(90)),
            "{may_have_run:?}: the write cannot have been committed after the end of its attempt"
        );
    }
    assert!(
        !read_after_unanswered_write_goes_to_replica(None, ms(1)),
        "a write in flight may be committed now"
    );
    assert!(
        read_after_unanswered_write_goes_to_replica(None, ms(0)),
        "the read did not go to the replica that is up to date"
    );
}
