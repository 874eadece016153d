//! The five rules under seeded random events, and a few plain cases, each for a failure once met.

mod support;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use routing::time::{TimeDelta, Timestamp};
use routing::RoutingPolicy;
use routing::*;
use support::*;

const LAGGING: [LagHandling; 3] =
    [LagHandling::ServeStale, LagHandling::Reject, LagHandling::Wait(TimeDelta::from_millis(100))];
const OUTCOMES: [AttemptOutcome; 9] = [
    AttemptOutcome::Succeeded,
    AttemptOutcome::Failed,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Unreachable,
    AttemptOutcome::ConnectionLost,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
    AttemptOutcome::NotEligible,
];

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 192,
        rng_seed: RngSeed::Fixed(20_26),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn rules_hold_after_every_step(
        seed in any::<u64>(),
        lag_handling in 0..3usize,
        blind in any::<bool>(),
        steps in prop::collection::vec((0..13u8, any::<u16>(), any::<u8>()), 1..400),
    ) {
        let made = if blind { Bench::blind } else { Bench::ready };
        let mut bench = made(LAGGING[lag_handling], 2, seed);
        for (kind, pick, how) in steps {
            let (pick, how) = (usize::from(pick), usize::from(how));
            let endpoint = pick % bench.group_of.len();
            let old = TimeDelta::from_millis(how as i64 * 20);
            match kind {
                0..=3 => {
                    // A try may be given up after less than the method's deadline, but for current reads,
                    // whose arrival the checker reads off it.
                    let share = if how % 6 == CURRENT { 1.0 } else { 0.4 + how as f64 / 425.0 };
                    bench.seen_position = (pick % 3 == 0).then(|| bench.now - old / 8);
                    bench.arrive(how % 6, pick % 2, share);
                }
                4..=6 => {
                    let out: Vec<RequestId> =
                        bench.live.iter().filter(|(_, live)| live.out.is_some()).map(|(&request, _)| request).collect();
                    if let Some(&request) = out.get(pick % out.len().max(1)) {
                        // Half of all answers are good, so that runs get past the first failure.
                        let outcome = OUTCOMES[if how < 128 { 0 } else { how % 9 }];
                        let role = [None, Some(true), Some(false)][how % 3];
                        bench.end(request, outcome, role);
                    }
                }
                7..=8 if blind => {}
                7..=8 => {
                    let outcome = if how < 200 { AttemptOutcome::Succeeded } else { AttemptOutcome::TimedOut };
                    let position = if how % 11 == 0 { bench.now + old } else { bench.now - old };
                    bench.probed(endpoint, outcome, position, how % 7 == 0);
                }
                9 => {
                    let status = [EndpointStatus::Serving, EndpointStatus::Draining, EndpointStatus::Removed][how % 3];
                    if how % 4 == 0 {
                        bench.started_at[endpoint] = Some(bench.now - old / 10);
                    }
                    bench.list(endpoint, status);
                }
                10 => bench.give(Event::EndpointListFailed),
                11 => {
                    let only = PrimaryEligibility::Only(pick % 2 * 3 + how % 3);
                    bench.clear(pick % 2, [PrimaryEligibility::Any, PrimaryEligibility::Nobody, only][how % 7 % 3]);
                }
                _ => bench.pass(TimeDelta::from_millis(how as i64)),
            }
        }
        bench.pass(TimeDelta::from_millis(10_000));
        prop_assert!(bench.live.is_empty(), "every RPC has its answer in the end");
    }
}

fn ended(
    bench: &mut Bench,
    request: RequestId,
    outcome: AttemptOutcome,
    role: Option<bool>,
) -> Option<EndpointIndex> {
    bench.end(request, outcome, role);
    bench.live.get(&request).and_then(|live| live.out).map(|out| out.1)
}

#[test]
fn a_bounded_read_goes_to_a_replica_and_waits_for_one_before_the_primary() {
    let mut bench = Bench::ready(LagHandling::ServeStale, 1, 1);
    bench.arrive(BOUNDED, 0, 1.0);
    assert_ne!(bench.sent[0].1, 0, "a fresh replica serves it");
    bench.pass(BOUND + TICK);
    let held = bench.arrive(BOUNDED, 0, 1.0);
    assert!(bench.live[&held].out.is_none(), "told positions have aged past the bound: held");
    bench.probed(2, AttemptOutcome::Succeeded, bench.now, false);
    assert_eq!(bench.live[&held].out.map(|out| out.1), Some(2), "news of a fresh one lets it go");
    bench.pass(BOUND + TICK);
    let late = bench.arrive(BOUNDED, 0, 1.0);
    bench.pass(TimeDelta::from_millis(400));
    assert_eq!(bench.live[&late].out.map(|out| out.1), Some(0), "half of its time is spent: the primary");
}

#[test]
fn nobody_is_primary_of_a_barred_group_and_what_claims_it_uncleared_is_used_for_nothing() {
    let mut bench = Bench::ready(LagHandling::ServeStale, 1, 1);
    bench.clear(0, PrimaryEligibility::Nobody);
    let write = bench.arrive(WRITE, 0, 1.0);
    assert!(bench.live[&write].out.is_none(), "held");
    // A former primary and its successor both claim it; the former one's position is the later.
    bench.probed(1, AttemptOutcome::Succeeded, bench.now - TimeDelta::from_millis(50), true);
    bench.probed(0, AttemptOutcome::Succeeded, bench.now, true);
    bench.clear(0, PrimaryEligibility::Only(1));
    assert_eq!(bench.live[&write].out.map(|out| out.1), Some(1));
    for _ in 0..6 {
        let read = bench.arrive(BOUNDED, 0, 1.0);
        assert_ne!(bench.live[&read].out.map(|out| out.1), Some(0), "it may stand on a log of its own");
    }
    bench.clear(0, PrimaryEligibility::Any);
    let write = bench.arrive(WRITE, 0, 1.0);
    assert_eq!(bench.live[&write].out.map(|out| out.1), Some(0), "the ordinary rule: the latest claim");
}

#[test]
fn a_presumed_start_gives_way_to_the_lists_word() {
    let mut bench = Bench::one_of(2, LagHandling::ServeStale, 1, 1);
    let out = |bench: &mut Bench| {
        let reads: Vec<RequestId> = (0..12).map(|_| bench.arrive(ANY, 0, 1.0)).collect();
        let out = reads
            .iter()
            .filter(|request| bench.live.get(request).is_some_and(|live| live.out.is_some()))
            .count();
        for request in reads {
            bench.end(request, AttemptOutcome::Succeeded, None);
            if bench.live.remove(&request).is_some() {
                bench.give(Event::ClientGone { request });
            }
        }
        out
    };
    let warm = out(&mut bench);
    let records = |bench: &Bench, start_presumed: bool| {
        let started_at = start_presumed.then_some(bench.now);
        (0..3)
            .map(|endpoint| EndpointRecord {
                started_at,
                start_presumed,
                ..bench.entry(endpoint, EndpointStatus::Serving)
            })
            .collect()
    };
    let start_presumed = records(&bench, true);
    bench.give(Event::EndpointList { complete: true, records: start_presumed });
    let cold = out(&mut bench);
    let known = records(&bench, false);
    bench.give(Event::EndpointList { complete: true, records: known });
    assert!(cold < warm, "{cold} of {warm}");
    assert!(out(&mut bench) >= warm, "warm again, and its room has widened since");
}

#[test]
fn what_a_session_has_seen_binds_every_read_whoever_else_would_check() {
    for lag_handling in LAGGING {
        let mut bench = Bench::ready(lag_handling, 1, 1);
        bench.seen_position = Some(bench.now + TimeDelta::from_millis(50));
        bench.pass(TimeDelta::from_millis(100));
        let reads = [ANY, LONG, BOUNDED].map(|method| bench.arrive(method, 0, 1.0));
        assert!(
            reads.iter().all(|request| bench.live[request].out.is_none()),
            "{lag_handling:?}: no replica is told to have it"
        );
        bench.probed(2, AttemptOutcome::Succeeded, bench.now - TimeDelta::from_millis(40), false);
        let outs = reads.map(|request| bench.live[&request].out.map(|out| out.1));
        assert_eq!(outs, [Some(2); 3], "{lag_handling:?}");
    }
}

/// A router that remembers sessions' writes by itself, with one primary and one replica.
fn remembering() -> (RoutingPolicy, Timestamp, Vec<Action>) {
    let mut routing_settings = routing_settings(LagHandling::ServeStale);
    routing_settings.clients_hold_positions = false;
    routing_settings.methods[ANY].access = Access::SessionRead;
    let (now, mut actions) = (Timestamp(1_000_000_000_000), Vec::new());
    let mut router = RoutingPolicy::new(1, &routing_settings, now, &mut actions);
    let entry = |endpoint| EndpointRecord {
        endpoint,
        group: 0,
        zone: 0,
        status: EndpointStatus::Serving,
        primary: endpoint == 0,
        started_at: None,
        start_presumed: false,
    };
    router.on_event(
        now,
        Event::EndpointList { complete: true, records: vec![entry(0), entry(1)] },
        &mut actions,
    );
    (router, now, actions)
}

#[test]
fn marks_of_sessions_that_never_come_back_are_forgotten_and_nobody_is_shown_less_for_it() {
    let (mut router, start, mut actions) = remembering();
    let probe = |router: &mut RoutingPolicy,
                 now: Timestamp,
                 endpoint: EndpointIndex,
                 at: Timestamp,
                 actions: &mut Vec<Action>| {
        let role = Some(if endpoint == 0 { Role::Primary } else { Role::Replica });
        let load_report = EndpointReport { position: Some(at), role, load: None };
        router.on_event(
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
        |router: &mut RoutingPolicy, now: Timestamp, request, method, key, actions: &mut Vec<Action>| {
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
            router.on_event(now, Event::RequestArrived(new), actions);
        };
    let to = |actions: &[Action], request: RequestId| {
        actions.iter().find_map(|action| match action {
            Action::StartAttempt { request: sent, endpoint, .. } if *sent == request => Some(*endpoint),
            _ => None,
        })
    };
    probe(&mut router, start, 0, start, &mut actions);
    probe(&mut router, start, 1, start, &mut actions);
    // Far more sessions than are kept write, each once; the replica stands still, so none may be let go for
    // free.
    let (many, mut now) = (80_000u64, start);
    for key in 0..many {
        now = now + TimeDelta(10_000);
        actions.clear();
        arrive(&mut router, now, key, WRITE, key, &mut actions);
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
            router.on_event(now, Event::AttemptEnded(end), &mut actions);
        }
    }
    router.on_event(now, Event::TimerFired { tag: 0 }, &mut actions);
    assert!(router.tracked_sessions() <= 1 << 16, "{} are kept", router.tracked_sessions());
    // The first session's mark is gone, and it still is not sent to a replica that has not got there.
    for (request, key) in [(many, 0), (many + 1, many - 1)] {
        actions.clear();
        arrive(&mut router, now, request, ANY, key, &mut actions);
        assert_ne!(to(&actions, request), Some(1), "session {key}");
    }
    // Once every store has got there, no mark is left and none is needed. The last write lies anywhere in the
    // millisecond that was told.
    now = now + TimeDelta::from_millis(1);
    probe(&mut router, now, 0, now, &mut actions);
    probe(&mut router, now, 1, now, &mut actions);
    router.on_event(now, Event::TimerFired { tag: 0 }, &mut actions);
    assert_eq!(router.tracked_sessions(), 0);
    actions.clear();
    arrive(&mut router, now, many + 2, ANY, 3, &mut actions);
    assert_eq!(to(&actions, many + 2), Some(1));
}

fn told(position: Timestamp, role: Role) -> EndpointReport {
    EndpointReport { position: Some(position), role: Some(role), load: None }
}

/// An RPC of session 7.
fn of_session(request: RequestId, method: MethodIndex, received_at: Timestamp) -> Event {
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
fn shown_after(gone: bool, position: Option<TimeDelta>, behind: TimeDelta) -> bool {
    let (mut router, start, mut actions) = remembering();
    let now = start + TimeDelta::from_millis(500);
    let outcome = AttemptOutcome::Succeeded;
    let load_report = told(start, Role::Primary);
    router.on_event(
        start,
        Event::HealthCheckEnded { endpoint: 0, outcome, elapsed: TICK, report: load_report },
        &mut actions,
    );
    router.on_event(start, of_session(1, WRITE, start), &mut actions);
    assert!(actions
        .iter()
        .any(|action| matches!(action, Action::StartAttempt { request: 1, endpoint: 0, .. })));
    if gone {
        router.on_event(start, Event::ClientGone { request: 1 }, &mut actions);
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
    router.on_event(now, Event::AttemptEnded(end), &mut actions);
    let later = now + TimeDelta::from_millis(100);
    let load_report = told(now - behind, Role::Replica);
    router.on_event(
        later,
        Event::HealthCheckEnded { endpoint: 1, outcome, elapsed: TICK, report: load_report },
        &mut actions,
    );
    actions.clear();
    router.on_event(later, of_session(2, ANY, later), &mut actions);
    actions.iter().any(|action| matches!(action, Action::StartAttempt { request: 2, endpoint: 1, .. }))
}

#[test]
fn what_ran_binds_its_session_though_its_client_has_left_and_however_little_its_answer_told() {
    let ms = TimeDelta::from_millis;
    for gone in [false, true] {
        assert!(!shown_after(gone, Some(ms(5)), ms(6)), "gone {gone}: the write is not shown there yet");
        assert!(
            !shown_after(gone, Some(ms(5)), ms(5)),
            "gone {gone}: both may lie anywhere in that millisecond"
        );
        assert!(shown_after(gone, Some(ms(5)), ms(4)), "gone {gone}: it is shown");
        assert!(!shown_after(gone, None, ms(1)), "gone {gone}: where no position is told, it ran just now");
    }
}

#[test]
fn a_tokened_repeat_is_not_confirmed_once_its_memory_is_over_whenever_it_was_decided() {
    let mut routing_settings = routing_settings(LagHandling::ServeStale);
    let dedup_window = TimeDelta::from_millis(300);
    routing_settings.methods[WRITE].idempotency = Idempotency::Keyed { all_groups: false, dedup_window };
    let (start, mut actions) = (Timestamp(1_000_000_000_000), Vec::new());
    let mut router = RoutingPolicy::new(1, &routing_settings, start, &mut actions);
    let (endpoint, group, zone, status) = (0, 0, 0, EndpointStatus::Serving);
    let entry = EndpointRecord {
        endpoint,
        group,
        zone,
        status,
        primary: true,
        started_at: None,
        start_presumed: false,
    };
    router.on_event(start, Event::EndpointList { complete: true, records: vec![entry] }, &mut actions);
    let (session, deadline) = (None, start + TimeDelta::from_millis(3_000));
    let (request, method, last_write, seen_position, client_retry) = (1, WRITE, None, None, false);
    let new = RequestArrival {
        request,
        method,
        group,
        session,
        last_write,
        seen_position,
        received_at: start,
        deadline,
        client_retry,
    };
    router.on_event(start, Event::RequestArrived(new), &mut actions);
    let broke = start + TimeDelta::from_millis(10);
    let (outcome, elapsed, request_closed, write_session) =
        (AttemptOutcome::ConnectionLost, TimeDelta::from_millis(10), false, None);
    let (answer_report, load_report) = Default::default();
    let end = AttemptEnd {
        request,
        attempt: 0,
        endpoint,
        outcome,
        elapsed,
        request_closed,
        write_session,
        answer_report,
        load_report,
    };
    router.on_event(broke, Event::AttemptEnded(end), &mut actions);
    // The store rests for a while after a failure.
    let mut now = broke;
    let again = |actions: &[Action]| {
        actions.iter().filter(|action| matches!(action, Action::StartAttempt { .. })).count() == 2
    };
    while !again(&actions) && now < start + dedup_window {
        now = now + TICK;
        let load_report = EndpointReport { position: Some(now), role: Some(Role::Primary), load: None };
        let outcome = AttemptOutcome::Succeeded;
        router.on_event(
            now,
            Event::HealthCheckEnded { endpoint, outcome, elapsed: TICK, report: load_report },
            &mut actions,
        );
        router.on_event(now, Event::TimerFired { tag: 0 }, &mut actions);
    }
    assert!(again(&actions), "it is repeated within its memory");
    assert!(router.confirm_attempt(now, 1, 1, 0));
    assert!(
        router.confirm_attempt(start + dedup_window - TICK * 3, 1, 1, 0),
        "as long as the store knows the first"
    );
    assert!(
        !router.confirm_attempt(start + dedup_window - TICK, 1, 1, 0),
        "its connection took too long: it may run twice"
    );
}

/// A write of session 7 is out, or has ended so. Whether a read of the session that comes 100 ms later may go to
/// a replica that stood, when it came, so far behind.
fn shown_without_answer(ended: Option<AttemptOutcome>, behind: TimeDelta) -> bool {
    let (mut router, start, mut actions) = remembering();
    let (now, outcome) = (start + TimeDelta::from_millis(500), AttemptOutcome::Succeeded);
    let load_report = told(start, Role::Primary);
    router.on_event(
        start,
        Event::HealthCheckEnded { endpoint: 0, outcome, elapsed: TICK, report: load_report },
        &mut actions,
    );
    router.on_event(start, of_session(1, WRITE, start), &mut actions);
    assert!(actions
        .iter()
        .any(|action| matches!(action, Action::StartAttempt { request: 1, endpoint: 0, .. })));
    if let Some(outcome) = ended {
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
        router.on_event(now, Event::AttemptEnded(end), &mut actions);
    }
    // Where it never ran it is sent again: its client takes it back first.
    router.on_event(now, Event::ClientGone { request: 1 }, &mut actions);
    let later = now + TimeDelta::from_millis(100);
    let load_report = told(later - behind, Role::Replica);
    router.on_event(
        later,
        Event::HealthCheckEnded { endpoint: 1, outcome, elapsed: TICK, report: load_report },
        &mut actions,
    );
    actions.clear();
    router.on_event(later, of_session(2, ANY, later), &mut actions);
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
            !shown_without_answer(Some(may_have_run), ms(110)),
            "{may_have_run:?} may have run until then"
        );
        assert!(shown_without_answer(Some(may_have_run), ms(90)), "{may_have_run:?}, and not after it");
    }
    assert!(!shown_without_answer(None, ms(1)), "it is out, and may have been answered just now");
    assert!(shown_without_answer(None, ms(0)));
}

/// Where the RPC is out just now.
fn at(bench: &Bench, request: RequestId) -> Option<EndpointIndex> {
    bench.live.get(&request).and_then(|live| live.out).map(|out| out.1)
}

#[test]
fn where_nobody_may_be_probed_writes_find_out_their_primary_and_reads_hear_everybody() {
    for seed in 0..20 {
        let mut bench = Bench::blind(LagHandling::ServeStale, 1, seed);
        let write = bench.arrive(WRITE, 0, 1.0);
        let first = at(&bench, write).expect("somebody has to be asked");
        let second = ended(&mut bench, write, AttemptOutcome::NotEligible, Some(false)).expect("another one");
        assert_ne!(first, second);
        let third = ended(&mut bench, write, AttemptOutcome::NotEligible, Some(false)).expect("the last one");
        assert!(third != first && third != second);
        // All have said lately that they are none: it waits, and asks each again after a while.
        assert_eq!(ended(&mut bench, write, AttemptOutcome::NotEligible, Some(false)), None);
        bench.pass(TimeDelta::from_millis(1_400));
        assert!(bench.answers.contains_key(&write) || at(&bench, write).is_none(), "within what is lately");
        let again = bench.arrive(WRITE, 0, 1.0);
        bench.pass(TimeDelta::from_millis(2_000));
        let found = at(&bench, again).expect("whoever was none may be one now");
        bench.end(again, AttemptOutcome::Succeeded, Some(true));
        for _ in 0..3 {
            let next = bench.arrive(WRITE, 0, 1.0);
            assert_eq!(at(&bench, next), Some(found), "its answer has told");
            bench.end(next, AttemptOutcome::Succeeded, Some(true));
        }
        // What any member may answer goes to whoever has never spoken, before those with nothing to do.
        let mut bench = Bench::blind(LagHandling::ServeStale, 1, seed);
        let mut heard = Vec::new();
        for _ in 0..3 {
            let read = bench.arrive(ANY, 0, 1.0);
            heard.extend(at(&bench, read));
            bench.end(read, AttemptOutcome::Succeeded, Some(false));
        }
        heard.sort_unstable();
        assert_eq!(heard, [0, 1, 2]);
    }
}

#[test]
fn the_list_s_word_on_a_primary_ends_with_the_list_s_or_the_store_s_own() {
    let mut bench = Bench::blind(LagHandling::ServeStale, 1, 3);
    let says = |bench: &mut Bench, endpoint: EndpointIndex, primary: bool| {
        let records = vec![EndpointRecord { primary, ..bench.entry(endpoint, EndpointStatus::Serving) }];
        bench.give(Event::EndpointList { complete: false, records });
    };
    says(&mut bench, 1, true);
    let write = bench.arrive(WRITE, 0, 1.0);
    assert_eq!(at(&bench, write), Some(1), "the list says so, and nothing else is known");
    // An error says who gave it, and is no answer; then the list, which is late, says the same again.
    let Some((attempt, endpoint, sent)) = bench.live.get_mut(&write).and_then(|live| live.out.take()) else {
        panic!("it is out")
    };
    let (request, outcome, elapsed, request_closed) =
        (write, AttemptOutcome::Failed, bench.now - sent, false);
    let (write_session, load_report) = (None, EndpointReport::default());
    let answer_report = EndpointReport { role: Some(Role::Replica), ..EndpointReport::default() };
    bench.live.get_mut(&write).expect("it is live").ran_from = Some(sent);
    bench.give(Event::AttemptEnded(AttemptEnd {
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
    says(&mut bench, 1, true);
    let next = bench.arrive(WRITE, 0, 1.0);
    assert_ne!(at(&bench, next), Some(1), "its own word goes before the list's");
    // Of two that were never heard the list takes one back.
    let mut bench = Bench::blind(LagHandling::ServeStale, 1, 3);
    says(&mut bench, 2, true);
    says(&mut bench, 2, false);
    says(&mut bench, 0, true);
    let write = bench.arrive(WRITE, 0, 1.0);
    assert_eq!(at(&bench, write), Some(0));
}

#[test]
fn without_probes_no_read_goes_to_a_primary_that_fell_silent_before_a_write_has_heard_it() {
    let mut bench = Bench::blind(LagHandling::ServeStale, 1, 3);
    let write = bench.arrive(WRITE, 0, 1.0);
    let primary = at(&bench, write).expect("somebody has to be asked");
    bench.end(write, AttemptOutcome::Succeeded, Some(true));
    let read = bench.arrive(CURRENT, 0, 1.0);
    assert_eq!(at(&bench, read), Some(primary));
    bench.pass(TimeDelta::from_millis(100));
    while at(&bench, read).is_some() {
        bench.end(read, AttemptOutcome::ConnectionLost, None);
    }
    bench.pass(TimeDelta::from_millis(1_000));
    let read = bench.arrive(CURRENT, 0, 1.0);
    assert_eq!(at(&bench, read), None, "it may have said, unheard, that it is none");
    let write = bench.arrive(WRITE, 0, 1.0);
    assert_eq!(at(&bench, write), Some(primary), "who is none turns a write away");
    bench.end(write, AttemptOutcome::Succeeded, Some(true));
    let read = bench.arrive(CURRENT, 0, 1.0);
    assert_eq!(at(&bench, read), Some(primary));
}

#[test]
fn a_write_that_finds_out_its_primary_is_confirmed_only_while_none_is_known_or_barred() {
    let mut bench = Bench::blind(LagHandling::ServeStale, 1, 1);
    let write = bench.arrive(WRITE, 0, 1.0);
    let asked = at(&bench, write).expect("somebody has to be asked");
    assert!(bench.router.confirm_attempt(bench.now, write, 0, asked));
    bench.clear(0, PrimaryEligibility::Only((asked + 1) % 3));
    assert!(!bench.router.confirm_attempt(bench.now, write, 0, asked), "another one alone is cleared");
    bench.clear(0, PrimaryEligibility::Any);
    let other = bench.arrive(TOKENED, 0, 1.0);
    let it = at(&bench, other).expect("another one is asked");
    bench.end(other, AttemptOutcome::Succeeded, Some(true));
    assert_ne!(asked, it);
    assert!(!bench.router.confirm_attempt(bench.now, write, 0, asked), "it is known now, and is another");
    // Where there are probes, they find out.
    let mut bench = Bench::ready(LagHandling::ServeStale, 1, 1);
    let write = bench.arrive(WRITE, 0, 1.0);
    assert_eq!(ended(&mut bench, write, AttemptOutcome::NotEligible, Some(false)), None);
}

#[test]
fn a_replica_of_another_zone_is_taken_once_the_own_one_has_more_in_flight() {
    let mut bench = Bench::ready(LagHandling::ServeStale, 1, 1);
    let endpoints =
        [(); 3].map(|()| bench.arrive(BOUNDED, 0, 1.0)).map(|read| bench.live[&read].out.map(|out| out.1));
    assert_eq!(endpoints, [Some(2), Some(2), Some(1)]);
}

#[test]
fn a_position_to_come_makes_neither_a_fresh_replica_nor_a_primary() {
    let mut bench = Bench::ready(LagHandling::ServeStale, 1, 1);
    bench.probed(1, AttemptOutcome::Succeeded, bench.now + BOUND * 2, true);
    let write = bench.arrive(WRITE, 0, 1.0);
    assert_eq!(bench.live[&write].out.map(|out| out.1), Some(0));
    bench.pass(BOUND + TICK);
    let read = bench.arrive(BOUNDED, 0, 1.0);
    assert!(bench.live[&read].out.is_none(), "nothing told of since proves that it is fresh");
}

#[test]
fn no_room_grows_at_a_store_that_says_its_cores_are_in_use() {
    let mut outs = Vec::new();
    for load in [0.2, 0.95] {
        let mut bench = Bench::ready(LagHandling::ServeStale, 1, 1);
        bench.load = Some(load);
        for _ in 0..20 {
            bench.probed(0, AttemptOutcome::Succeeded, bench.now, true);
            (0..20).for_each(|_| _ = bench.arrive(WRITE, 0, 1.0));
            while let Some(write) =
                bench.live.iter().find(|(_, live)| live.out.is_some()).map(|(&request, _)| request)
            {
                bench.pass(TICK / 5);
                bench.end(write, AttemptOutcome::Succeeded, Some(true));
            }
        }
        (0..20).for_each(|_| _ = bench.arrive(WRITE, 0, 1.0));
        outs.push(bench.live.values().filter(|live| live.out.is_some()).count());
    }
    assert!(outs[1] <= 4 && outs[0] > outs[1] + 4, "{outs:?} of 20 are out, all answered in time before");
}

#[test]
fn an_answer_that_says_replica_ends_a_primary_and_writes_wait_for_the_next() {
    let mut bench = Bench::ready(LagHandling::ServeStale, 1, 1);
    let write = bench.arrive(WRITE, 0, 1.0);
    assert_eq!(
        ended(&mut bench, write, AttemptOutcome::NotEligible, Some(false)),
        None,
        "held: nobody is primary"
    );
    bench.probed(0, AttemptOutcome::Succeeded, bench.now - TimeDelta::from_millis(900), true);
    assert!(bench.live[&write].out.is_none(), "a report older than the answer does not bring it back");
    bench.pass(TimeDelta::from_millis(100));
    bench.probed(1, AttemptOutcome::Succeeded, bench.now, true);
    assert_eq!(bench.live[&write].out.map(|out| out.1), Some(1));
}

#[test]
fn what_may_have_run_is_aborted_or_repeated_only_as_its_method_allows() {
    let mut bench = Bench::ready(LagHandling::ServeStale, 1, 1);
    let write = bench.arrive(WRITE, 0, 1.0);
    ended(&mut bench, write, AttemptOutcome::ConnectionLost, None);
    assert_eq!(bench.answers[&write], "aborted", "at once, not near its deadline");
    bench.pass(TimeDelta::from_millis(1000));
    bench.probed(0, AttemptOutcome::Succeeded, bench.now, true);
    let tokened = bench.arrive(TOKENED, 0, 1.0);
    assert_eq!(
        ended(&mut bench, tokened, AttemptOutcome::Failed, None),
        Some(0),
        "one bad answer rests nobody"
    );
    assert_eq!(ended(&mut bench, tokened, AttemptOutcome::Failed, None), None, "its only primary rests");
    bench.pass(MEMORY);
    assert_eq!(bench.answers[&tokened], "aborted", "past its group's memory");
}

#[test]
fn a_store_that_fails_fast_is_not_taken_for_an_idle_one() {
    let mut bench = Bench::ready(LagHandling::ServeStale, 1, 1);
    for _ in 0..60 {
        let request = bench.arrive(ANY, 0, 1.0);
        while let Some((_, endpoint, _)) = bench.live.get(&request).and_then(|live| live.out) {
            bench.end(
                request,
                if endpoint == 1 { AttemptOutcome::Failed } else { AttemptOutcome::Succeeded },
                None,
            );
        }
        bench.pass(TimeDelta::from_millis(10));
    }
    let bad = bench.sent.iter().filter(|sent| sent.1 == 1).count();
    assert!(bad <= 6, "{bad} call-outs went to the store that answers nothing but errors");
}

#[test]
fn a_cold_store_gets_little_and_no_long_work() {
    let mut bench = Bench::ready(LagHandling::ServeStale, 1, 1);
    bench.started_at[1] = Some(bench.now);
    bench.list(1, EndpointStatus::Serving);
    for _ in 0..50 {
        let long = bench.arrive(LONG, 0, 1.0);
        let short = bench.arrive(ANY, 0, 1.0);
        assert_ne!(bench.live.get(&long).and_then(|live| live.out).map(|out| out.1), Some(1));
        bench.end(short, AttemptOutcome::Rejected, None);
        bench.end(long, AttemptOutcome::Succeeded, None);
        bench.pass(TimeDelta::from_millis(20));
    }
    let cold = bench.sent_cold[1].len();
    assert!(cold <= 8, "{cold} call-outs in its first second, when all may send it 0.4 of a core a second");
}

#[test]
fn a_cold_store_of_few_fronts_takes_some_call_outs_side_by_side() {
    for (fronts, least, most) in [(2, 2, 8), (100, 0, 1)] {
        let mut bench = Bench::one_of(fronts, LagHandling::ServeStale, 1, 1);
        bench.started_at = vec![Some(bench.now - TimeDelta::from_millis(8000)); 3];
        (0..3).for_each(|endpoint| bench.list(endpoint, EndpointStatus::Serving));
        (0..60).for_each(|_| _ = bench.arrive(WRITE, 0, 1.0));
        let out = bench.live.values().filter(|live| live.out.is_some()).count();
        assert!(
            (least..=most).contains(&out),
            "{out} at the primary that has just started, of {fronts} fronts"
        );
    }
}

#[test]
fn probes_follow_the_front_s_own_traffic() {
    let mut bench = Bench::ready(LagHandling::ServeStale, 20, 1);
    bench.pass(TimeDelta::from_millis(20_000));
    assert_eq!(bench.probes.len(), 0, "no RPC, no probe, however old all that was told has grown");
    for _ in 0..10 {
        bench.arrive(BOUNDED, 0, 1.0);
        bench.pass(TimeDelta::from_millis(1000));
    }
    let probes = bench.probes.len();
    assert!((1..=10).contains(&probes), "{probes} probes for ten reads in one of twenty groups");
}

#[test]
fn many_fronts_together_neither_bury_a_cold_store_nor_leave_it_idle() {
    let fronts = 100;
    let mut sends = Vec::new();
    for front in 0..fronts {
        let mut bench = Bench::one_of(fronts, LagHandling::ServeStale, 1, u64::from(front));
        bench.started_at[1] = Some(bench.now);
        bench.list(1, EndpointStatus::Serving);
        let start = bench.now;
        for _ in 0..20 {
            let read = bench.arrive(ANY, 0, 1.0);
            if bench.sent.last() == Some(&(read, 1)) {
                sends.push(bench.now - start);
            }
            bench.pass(TimeDelta::from_millis(100));
            bench.end(read, AttemptOutcome::Succeeded, None);
        }
    }
    // Each takes a tenth of a second of one core; from 0.2 to 0.3 of the capacity is there, and twice that,
    // for a whole window, is what makes a store of one core fall.
    assert!((2..=8).contains(&sends.len()), "{} of 2000 reads in its first two seconds", sends.len());
}

#[test]
fn held_reads_ask_slowly_and_a_probe_turned_away_rests_no_store() {
    let mut bench = Bench::ready(LagHandling::ServeStale, 1, 1);
    bench.pass(TimeDelta::from_millis(200));
    bench.probed(1, AttemptOutcome::Rejected, bench.now, false);
    let reads = [(); 3].map(|()| bench.arrive(ANY, 0, 1.0));
    assert!(bench.sent.iter().any(|sent| sent.1 == 1), "one goes to the one that was too busy for a probe");
    reads.iter().for_each(|&read| bench.end(read, AttemptOutcome::Succeeded, None));
    bench.pass(BOUND * 2);
    let before = bench.probes.len();
    bench.arrive(BOUNDED, 0, 1.0);
    bench.pass(TimeDelta::from_millis(250));
    assert!(bench.probes.len() - before <= 2, "its own probe and one more in its first five beats");
}

#[test]
fn of_many_fronts_each_sends_a_primary_two_writes_in_a_row_and_no_third() {
    for (instances, at_once) in [(2, true), (100, false)] {
        let mut bench = Bench::one_of(instances, LagHandling::ServeStale, 1, 1);
        // Writes come in twos by chance, and the store is idle for all that this front knows.
        let pair = [(); 2].map(|()| {
            let write = bench.arrive(WRITE, 0, 1.0);
            bench.pass(TimeDelta::from_millis(200));
            let out = bench.live[&write].out.is_some();
            bench.end(write, AttemptOutcome::Succeeded, Some(true));
            out
        });
        assert_eq!(pair, [true, true], "{instances} fronts");
        let third = bench.arrive(WRITE, 0, 1.0);
        assert_eq!(bench.live[&third].out.is_some(), at_once, "{instances} fronts");
        bench.pass(TimeDelta::from_millis(1000));
        assert!(bench.live[&third].out.is_some(), "held no longer than the others need");
    }
}

#[test]
fn of_many_fronts_each_lets_no_second_write_through_behind_a_late_answer() {
    let mut bench = Bench::one_of(100, LagHandling::ServeStale, 1, 1);
    let late = bench.arrive(WRITE, 0, 1.0);
    bench.pass(TimeDelta::from_millis(600));
    bench.end(late, AttemptOutcome::Succeeded, Some(true));
    bench.pass(TimeDelta::from_millis(2000));
    let first = bench.arrive(WRITE, 0, 1.0);
    bench.pass(TimeDelta::from_millis(500));
    bench.end(first, AttemptOutcome::Failed, None);
    let second = bench.arrive(WRITE, 0, 1.0);
    assert!(bench.live[&second].out.is_none(), "the queue there is no chance of two calls");
    bench.pass(TimeDelta::from_millis(800));
    assert!(bench.live[&second].out.is_some(), "held no longer than its rate asks");
}

#[test]
fn of_many_fronts_each_wins_back_the_room_that_late_answers_cost() {
    let mut bench = Bench::one_of(100, LagHandling::ServeStale, 1, 1);
    let write = |bench: &mut Bench, took: i64| {
        let write = bench.arrive(WRITE, 0, 1.0);
        bench.pass(TimeDelta::from_millis(took));
        bench.end(write, AttemptOutcome::Succeeded, Some(true));
        bench.pass(TimeDelta::from_millis(6000 - took));
    };
    for took in [600, 600, 600, 600, 600, 50, 50, 50, 50, 50, 50, 50, 50] {
        write(&mut bench, took);
    }
    for _ in 0..2 {
        let write = bench.arrive(WRITE, 0, 1.0);
        bench.pass(TimeDelta::from_millis(100));
        bench.end(write, AttemptOutcome::Succeeded, Some(true));
    }
    let third = bench.arrive(WRITE, 0, 1.0);
    bench.pass(TimeDelta::from_millis(700));
    assert!(bench.live[&third].out.is_some(), "eight timely answers make up for five late ones");
}

#[test]
fn nobody_is_asked_for_a_write_and_of_many_fronts_a_held_read_asks_once() {
    let mut bench = Bench::one_of(100, LagHandling::ServeStale, 1, 1);
    bench.pass(BOUND * 2);
    let write = bench.arrive(WRITE, 0, 1.0);
    bench.end(write, AttemptOutcome::Succeeded, Some(true));
    bench.pass(BOUND * 2);
    assert_eq!(bench.probes, [], "nobody reads, and the primary has spoken");
    for (instances, most) in [(2, 2), (100, 1)] {
        let mut bench = Bench::one_of(instances, LagHandling::ServeStale, 1, 1);
        bench.pass(BOUND + TICK * 4);
        bench.arrive(BOUNDED, 0, 1.0);
        bench.pass(TimeDelta::from_millis(290));
        assert_eq!(bench.probes.len(), most, "{instances} fronts");
    }
}

#[test]
fn a_probe_is_asked_only_where_no_replica_is_known_to_be_fit_and_of_the_least_behind_first() {
    let mut bench = Bench::one_of(100, LagHandling::ServeStale, 1, 1);
    for _ in 0..3 {
        let read = bench.arrive(BOUNDED, 0, 1.0);
        bench.pass(TimeDelta::from_millis(60));
        bench.end(read, AttemptOutcome::Succeeded, None);
        bench.pass(TimeDelta::from_millis(150));
    }
    assert_eq!(bench.probes.len(), 0, "what is known of a replica was enough for each of them");
    for behind in [1, 2] {
        bench.pass(BOUND * 2);
        bench.probed(behind, AttemptOutcome::Succeeded, bench.now - BOUND * 2, false);
        bench.probed(3 - behind, AttemptOutcome::Succeeded, bench.now, false);
        bench.pass(BOUND * 2);
        bench.arrive(BOUNDED, 0, 1.0);
        assert_eq!(bench.probes.first(), Some(&(3 - behind)));
        bench.pass(BOUND * 2);
        bench.probes.clear();
    }
}

#[test]
fn a_waiting_read_asks_for_no_word_of_a_sound_primary() {
    let mut bench = Bench::ready(LagHandling::ServeStale, 1, 1);
    // Behind by more than the bound, and near enough to be waited for.
    bench.pass(BOUND + TICK * 4);
    for replica in [1, 2] {
        bench.probed(replica, AttemptOutcome::Succeeded, bench.now - BOUND - TICK, false);
    }
    bench.pass(TimeDelta::from_millis(150));
    let read = bench.arrive(BOUNDED, 0, 1.0);
    assert!(bench.live[&read].out.is_none(), "no replica is known to be fit");
    bench.pass(TimeDelta::from_millis(250));
    assert!(!bench.probes.is_empty() && !bench.probes.contains(&0), "{:?}", bench.probes);
}

#[test]
fn a_write_goes_by_the_lists_word_before_its_primary_has_spoken() {
    let routing_settings = routing_settings(LagHandling::ServeStale);
    let (now, mut actions) = (Timestamp(1_000_000_000_000), Vec::new());
    let mut router = RoutingPolicy::new(1, &routing_settings, now, &mut actions);
    let entry = EndpointRecord {
        endpoint: 0,
        group: 0,
        zone: 0,
        status: EndpointStatus::Serving,
        primary: true,
        started_at: None,
        start_presumed: false,
    };
    router.on_event(now, Event::EndpointList { complete: true, records: vec![entry] }, &mut actions);
    let deadline = now + TimeDelta::from_millis(1000);
    for (request, method) in [(1, CURRENT), (2, WRITE)] {
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
        router.on_event(now, Event::RequestArrived(new), &mut actions);
    }
    let sent = actions.iter().filter_map(|action| match action {
        Action::StartAttempt { request, .. } => Some(*request),
        _ => None,
    });
    assert_eq!(sent.collect::<Vec<_>>(), [2], "a store would answer the read whatever it is by now");
}

#[test]
fn of_many_fronts_each_takes_one_replica_s_late_answer_as_said_of_its_group() {
    let mut outs = Vec::new();
    for late in [false, true] {
        let mut bench = Bench::one_of(100, LagHandling::ServeStale, 1, 1);
        for step in 0..200 {
            let read = bench.arrive(ANY, 0, 1.0);
            bench.pass(TimeDelta::from_millis(if late && step % 2 == 0 { 480 } else { 90 }));
            bench.end(read, AttemptOutcome::Succeeded, None);
            bench.pass(TimeDelta::from_millis(if late && step % 2 == 0 { 20 } else { 410 }));
        }
        outs.push(bench.sent.iter().filter(|sent| sent.1 != 0).count());
    }
    assert!(outs[1] >= 5 && outs[1] * 3 < outs[0] * 2, "{outs:?} sent to replicas, timely and late ones");
}

#[test]
fn long_reads_leave_half_of_the_replicas_free_to_catch_up_whatever_their_number() {
    let mut bench = Bench::one_of(100, LagHandling::Wait(TimeDelta::from_millis(100)), 1, 1);
    bench.pass(TimeDelta::from_millis(100));
    bench.probed(1, AttemptOutcome::Succeeded, bench.now, false);
    for _ in 0..3 {
        bench.arrive(LONG, 0, 1.0);
        bench.pass(TimeDelta::from_millis(100));
    }
    assert!(!bench.sent.is_empty());
    assert!(
        bench.sent.iter().all(|sent| sent.1 == 2),
        "all to the one behind or held, though it is the busier"
    );
}

#[test]
fn a_primary_that_says_it_is_busy_helps_no_reads_out() {
    for (load, helps) in [(0.2, true), (0.9, false)] {
        let mut bench = Bench::ready(LagHandling::ServeStale, 1, 1);
        bench.pass(BOUND + TICK);
        bench.load = Some(load);
        bench.probed(0, AttemptOutcome::Succeeded, bench.now, true);
        let read = bench.arrive(BOUNDED, 0, 1.0);
        bench.pass(TimeDelta::from_millis(350));
        assert_eq!(
            bench.live[&read].out.is_some(),
            helps,
            "replicas told nothing new, the primary is {load} busy"
        );
    }
}

#[test]
fn crowded_replicas_make_reads_wait_and_a_pushback_says_when_to_return() {
    let mut bench = Bench::ready(LagHandling::ServeStale, 1, 1);
    let reads: Vec<RequestId> = (0..40).map(|_| bench.arrive(BOUNDED, 0, 1.0)).collect();
    let out = reads.iter().filter(|request| bench.live[request].out.is_some()).count();
    assert!(out < 20, "{out} of 40 are out where nothing has been answered yet");
    bench.pass(TimeDelta::from_millis(650));
    assert!(reads
        .iter()
        .all(|request| !bench.live.contains_key(request) || bench.live[request].out.is_some()));
    let unknown = bench.arrive(WRITE, 0, 1.0);
    bench.give(Event::ClientGone { request: unknown });
    bench.give(Event::TimerFired { tag: 99 });
    bench.give(Event::HealthCheckEnded {
        endpoint: 77,
        outcome: AttemptOutcome::Succeeded,
        elapsed: TICK,
        report: EndpointReport { position: Some(Timestamp(0)), ..EndpointReport::default() },
    });
    bench.live.remove(&unknown);
}

#[test]
fn a_call_out_is_confirmed_only_while_what_it_was_sent_for_holds() {
    let mut bench = Bench::ready(LagHandling::ServeStale, 1, 1);
    let read = bench.arrive(BOUNDED, 0, 1.0);
    let (attempt, endpoint, sent) = bench.live[&read].out.expect("three fresh stores");
    let replica = [1, 2].into_iter().find(|&ix| ix != endpoint).expect("three stores");
    let router = &mut bench.router;
    assert!(router.confirm_attempt(sent, read, attempt, endpoint));
    assert!(!router.confirm_attempt(sent, read, attempt + 1, endpoint), "another call-out");
    assert!(!router.confirm_attempt(sent, read + 1, attempt, endpoint), "no such RPC");
    assert!(router.confirm_attempt(sent + BOUND, read, attempt, replica));
    assert!(
        !router.confirm_attempt(sent + BOUND + TICK, read, attempt, replica),
        "connecting outlasted the bound"
    );
    assert!(router.confirm_attempt(sent + BOUND + TICK, read, attempt, 0), "a primary stands at the present");
    bench.list(0, EndpointStatus::Draining);
    assert!(!bench.router.confirm_attempt(sent, read, attempt, 0), "drained meanwhile");
    let write = bench.arrive(WRITE, 0, 1.0);
    assert!(!bench.router.confirm_attempt(sent, write, 0, 0), "held, not out");
}

#[test]
fn what_was_never_sent_is_given_up_by_half_of_its_time_and_what_was_sent_is_not() {
    let mut bench = Bench::ready(LagHandling::ServeStale, 1, 1);
    let sent = bench.arrive(WRITE, 0, 1.0);
    for endpoint in 0..3 {
        bench.list(endpoint, EndpointStatus::Draining);
    }
    let held = [bench.arrive(WRITE, 0, 1.0), bench.arrive(WRITE, 0, 0.5), bench.arrive(BOUNDED, 0, 0.4)];
    let start = bench.now;
    for (request, half) in held.into_iter().zip([1500, 750, 300]).rev() {
        bench.pass(start + TimeDelta::from_millis(half) - TICK * 3 - bench.now);
        assert!(bench.live.contains_key(&request), "{request} has time left to wait");
        bench.pass(TICK * 2);
        assert_eq!(bench.answers.get(&request).copied(), Some("pushed back"), "{request}, never sent");
    }
    assert!(bench.live.contains_key(&sent), "its call-out may still be answered");

    // A call-out that no store has had a byte of is none.
    let mut bench = Bench::ready(LagHandling::ServeStale, 1, 1);
    let unsent = bench.arrive(WRITE, 0, 1.0);
    bench.pass(TimeDelta::from_millis(1000));
    bench.list(0, EndpointStatus::Draining);
    assert_eq!(ended(&mut bench, unsent, AttemptOutcome::NotSent, None), None);
    bench.pass(TimeDelta::from_millis(500));
    assert_eq!(bench.answers.get(&unsent).copied(), Some("pushed back"));
}
