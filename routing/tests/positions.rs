//! What sessions have seen and written binds their reads.

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
            "{lag_handling:?}: no replica has reported it"
        );
        harness.health_check_ended(
            2,
            AttemptOutcome::Succeeded,
            harness.now - TimeDelta::from_millis(40),
            false,
        );
        let outs = reads.map(|request| harness.endpoint_of(request));
        assert_eq!(outs, [Some(2); 3], "{lag_handling:?}");
    }
}

/// A router that remembers sessions' writes by itself, with one primary (0) and one replica (1), and the actions
/// that it has asked for since the last arrival.
struct SessionRouter {
    policy: RoutingPolicy,
    actions: Vec<Action>,
}

impl SessionRouter {
    fn new() -> SessionRouter {
        let mut routing_settings = routing_settings(LagHandling::ServeStale);
        routing_settings.clients_hold_positions = false;
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

    /// A health check at `now` finds `endpoint` at `position`.
    fn check(&mut self, now: Timestamp, endpoint: EndpointIndex, position: Timestamp) {
        let role = if endpoint == 0 { Role::Primary } else { Role::Replica };
        self.report(now, health_check_succeeded(endpoint, endpoint_report(position, role)));
    }

    /// A request of `session` arrives at `now` with a deadline 2 s later; the actions before it are cleared.
    fn arrive(&mut self, now: Timestamp, request: RequestId, method: MethodIndex, session: u64) {
        self.actions.clear();
        let deadline = now + TimeDelta::from_millis(2_000);
        let arrival = RequestArrival { session: Some(session), ..arrival(request, method, now, deadline) };
        self.report(now, Event::RequestArrived(arrival));
    }

    /// The endpoint of the first attempt of `request` since the last arrival, if there is one.
    fn sent_to(&self, request: RequestId) -> Option<EndpointIndex> {
        attempt_started(&self.actions, request)
    }

    /// Whether an attempt of `request` went to `endpoint` since the last arrival.
    fn starts(&self, request: RequestId, endpoint: EndpointIndex) -> bool {
        self.actions.iter().any(|action| {
            matches!(action, Action::StartAttempt { request: started, endpoint: to, .. }
                if *started == request && *to == endpoint)
        })
    }

    /// Whether a read of session 7 that arrives at `now`, when the replica reports `position`, goes to the replica.
    fn read_goes_to_replica(&mut self, now: Timestamp, position: Timestamp) -> bool {
        self.check(now, 1, position);
        self.arrive(now, 2, ANY_READ, 7);
        self.starts(2, 1)
    }
}

/// A router whose primary reported at [`START`], with write 1 of session 7 out there since then.
fn with_write_out() -> SessionRouter {
    let mut router = SessionRouter::new();
    router.check(START, 0, START);
    router.arrive(START, 1, WRITE, 7);
    assert!(router.starts(1, 0), "the write goes to the primary");
    router
}

#[test]
fn positions_of_old_sessions_are_dropped_without_weakening_read_your_writes() {
    let mut router = SessionRouter::new();
    router.check(START, 0, START);
    router.check(START, 1, START);
    // Far more sessions than are tracked write, each once; the replica does not move on, so none may be dropped for
    // free.
    let (many, mut now) = (80_000u64, START);
    for session in 0..many {
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
    // The first session's position is dropped, and it still is not sent to a replica that has not got there.
    for (request, session) in [(many, 0), (many + 1, many - 1)] {
        router.arrive(now, request, ANY_READ, session);
        assert_ne!(router.sent_to(request), Some(1), "session {session}");
    }
    // Once every endpoint has got there, no position is left and none is needed. The last write lies anywhere in
    // the millisecond that was reported.
    now = now + TimeDelta::from_millis(1);
    router.check(now, 0, now);
    router.check(now, 1, now);
    router.report(now, Event::TimerFired { tag: 0 });
    assert_eq!(router.policy.tracked_sessions(), 0);
    router.arrive(now, many + 2, ANY_READ, 3);
    assert_eq!(router.sent_to(many + 2), Some(1));
}

/// A write of session 7 runs on the primary, whose client may leave before it ends; `position` is how long before
/// its end the position that its answer reports lies. Whether a read of the session that comes 100 ms later goes
/// to the replica, whose position lies `behind` before the write's end.
fn is_shown_after(gone: bool, position: Option<TimeDelta>, behind: TimeDelta) -> bool {
    let mut router = with_write_out();
    let now = START + TimeDelta::from_millis(500);
    if gone {
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
    for gone in [false, true] {
        assert!(!is_shown_after(gone, Some(ms(5)), ms(6)), "gone {gone}: the write is not shown there yet");
        assert!(
            !is_shown_after(gone, Some(ms(5)), ms(5)),
            "gone {gone}: both may lie anywhere in that millisecond"
        );
        assert!(is_shown_after(gone, Some(ms(5)), ms(4)), "gone {gone}: it is shown");
        assert!(
            !is_shown_after(gone, None, ms(1)),
            "gone {gone}: where no position is reported, it ran just now"
        );
    }
}

/// A write of session 7 is out, or its attempt has ended with `outcome`. Whether a read of the session that comes
/// 100 ms later may go to the replica, whose position lies `behind` before that.
fn is_shown_without_answer(outcome: Option<AttemptOutcome>, behind: TimeDelta) -> bool {
    let mut router = with_write_out();
    let now = START + TimeDelta::from_millis(500);
    if let Some(outcome) = outcome {
        let end = AttemptEnd { write_session: Some(7), ..attempt_end(1, 0, 0, outcome, now - START) };
        router.report(now, Event::AttemptEnded(end));
    }
    // Where it never ran it is sent again: its client takes it back first.
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
            !is_shown_without_answer(Some(may_have_run), ms(110)),
            "{may_have_run:?} may have run until then"
        );
        assert!(is_shown_without_answer(Some(may_have_run), ms(90)), "{may_have_run:?}, and not after it");
    }
    assert!(!is_shown_without_answer(None, ms(1)), "it is out, and may have been answered just now");
    assert!(is_shown_without_answer(None, ms(0)));
}
