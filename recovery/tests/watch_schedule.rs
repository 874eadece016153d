//! Schedule of the watch on discovery: an interrupted watch is reopened before the router must know missed changes.

use proptest::prelude::*;
use proptest_support::seeded_cases;
use recovery::watch_schedule::{WatchSchedule, OPEN_TIMEOUT};
use routing::time::{TimeDelta, Timestamp};

/// Time after the last event of a silent watch within which the router must know the changes that the watch missed.
const KNOWN_WITHIN: TimeDelta = TimeDelta::from_millis(6_000);
/// Interval of the heartbeats (empty lines) of a healthy watch.
const HEARTBEAT_INTERVAL: TimeDelta = TimeDelta::from_millis(2_000);

/// Longest backoff of a watch on a discovery service.
const MAX_BACKOFF: TimeDelta = TimeDelta::from_millis(2_000);

/// How an attempt to reopen the watch fails.
#[derive(Clone, Copy, Debug)]
enum OpenFailure {
    /// The connection is refused.
    Refused,
    /// The address does not answer the connection attempt.
    ConnectTimeout,
    /// The connection is established, but no response is received.
    ResponseTimeout,
}

fn any_failure() -> impl Strategy<Value = OpenFailure> {
    prop::sample::select(vec![
        OpenFailure::Refused,
        OpenFailure::ConnectTimeout,
        OpenFailure::ResponseTimeout,
    ])
}

fn ms(ms: i64) -> TimeDelta {
    TimeDelta::from_millis(ms)
}

proptest! {
    #![proptest_config(seeded_cases(256, 27))]

    /// A silent watch on an agent is reopened, after up to two failed attempts and any earlier watches, before the
    /// router must know the changes that the watch missed.
    #[test]
    fn silent_watch_is_reopened_before_missed_changes_must_be_known(
        earlier_watches in prop::collection::vec((0usize..32, 0i64..1_900), 0..12),
        heartbeats in 1i64..20,
        silent_after_ms in 0i64..2_000,
        failures in prop::collection::vec((any_failure(), 0usize..32), 0..3),
        grace in prop::option::of(1i64..10_000),
        jitter in 0usize..32,
    ) {
        let mut schedule = WatchSchedule::new(true, grace.map(ms));
        let mut now = Timestamp(1_000_000_000_000);
        for (jitter, duration_ms) in earlier_watches {
            schedule.watch_requested(now);
            now = now + ms(duration_ms);
            now = now + schedule.watch_ended(jitter, None);
        }
        schedule.watch_requested(now);
        let mut due = schedule.next_event_due();
        for _ in 0..heartbeats {
            now = now + HEARTBEAT_INTERVAL;
            prop_assert!(now < due, "a healthy watch was closed");
            due = schedule.event_received(now);
        }
        let silent_since = now + ms(silent_after_ms);
        now = due + schedule.watch_ended(jitter, None);
        for (failure, jitter) in failures {
            now = match failure {
                OpenFailure::Refused => now,
                OpenFailure::ConnectTimeout => now + OPEN_TIMEOUT,
                OpenFailure::ResponseTimeout => schedule.watch_requested(now),
            };
            now = now + schedule.watch_ended(jitter, None);
        }
        prop_assert!(now < silent_since + KNOWN_WITHIN, "reopened {:?} after the last event", now - silent_since);
    }

    /// The backoff of a watch on an agent is at most half of the drain grace. The backoff of a watch on a service
    /// grows up to its maximum.
    #[test]
    fn agent_backoff_is_at_most_half_of_the_drain_grace(
        grace in 100i64..3_000,
        jitters in prop::collection::vec(0usize..32, 1..20),
    ) {
        let mut from_agent = WatchSchedule::new(true, Some(ms(grace)));
        let mut from_service = WatchSchedule::new(false, Some(ms(grace)));
        let mut last = TimeDelta::ZERO;
        for jitter in jitters {
            prop_assert!(from_agent.watch_ended(jitter, None) <= ms(grace) / 2);
            let backoff = from_service.watch_ended(0, None);
            prop_assert!(backoff >= last && backoff <= MAX_BACKOFF);
            last = backoff;
        }
    }
}

/// The schedule of a watch on a discovery service, and the time at which the test starts.
fn watch_on_service() -> (WatchSchedule, Timestamp) {
    (WatchSchedule::new(false, None), Timestamp(1_000_000_000_000))
}

#[test]
fn watch_that_ends_at_once_is_reopened_with_backoff() {
    let (mut schedule, now) = watch_on_service();
    let backoffs: Vec<TimeDelta> = (0..8)
        .map(|_| {
            schedule.watch_requested(now);
            schedule.event_received(now);
            schedule.watch_ended(31, None)
        })
        .collect();
    assert!(backoffs[7] > ms(1_500), "{backoffs:?}");
    schedule.reset_backoff();
    assert!(schedule.watch_ended(31, None) <= ms(50), "a new list or another address resets the backoff");
}

#[test]
fn healthy_watch_resets_the_backoff_once() {
    let (mut schedule, now) = watch_on_service();
    schedule.watch_requested(now);
    schedule.event_received(now + HEARTBEAT_INTERVAL);
    let backoffs: Vec<TimeDelta> = (0..8).map(|_| schedule.watch_ended(31, None)).collect();
    assert!(backoffs[0] <= ms(50) && backoffs[7] > ms(1_500), "{backoffs:?}");
}
