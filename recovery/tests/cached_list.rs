//! The cached endpoint list: how stale it is, which incarnation of discovery replaces it, when it is saved.

#[allow(dead_code)] // Each test file uses a part of it.
mod support;

use recovery::discovery_incarnation::{
    IncarnationTracker, ListDecision, ReceivedList, CONFIRMATION_INTERVAL,
};
use recovery::save_schedule::{is_worth_saving, SaveSchedule};
use recovery::staleness::{verification_level, CacheTimes, Staleness};
use routing::time::TimeDelta;
use support::{at, complete_list, primary, DAY, START};

#[test]
fn staleness_follows_the_newest_position_where_the_clock_is_behind() {
    let times = |confirmed: i64, saved: i64| Some(CacheTimes { confirmed: at(confirmed), saved: at(saved) });
    let staleness = |times, newest| verification_level(times, at(START), newest).staleness;
    assert_eq!(staleness(times(START - 59_000, START - 59_000), None), Staleness::Fresh);
    assert_eq!(staleness(times(START - 61_000, START - 1_000), None), Staleness::Recent);
    assert_eq!(staleness(times(START - DAY, START - DAY), None), Staleness::Old);
    assert_eq!(staleness(times(START - DAY - 1, START), None), Staleness::Unknown);
    assert_eq!(
        staleness(times(START + 10_000, START + 10_000), None),
        Staleness::Unknown,
        "a list from the future"
    );
    assert_eq!(
        staleness(times(START - 1_000, START - 60_000), None),
        Staleness::Unknown,
        "the clock was set back"
    );
    assert_eq!(staleness(None, None), Staleness::Unknown);
    // Five seconds by the own clock, two hours by the positions of the endpoints.
    assert_eq!(staleness(times(START - 5_000, START - 5_000), Some(at(START + DAY / 12))), Staleness::Old);
}

#[test]
fn another_incarnation_is_accepted_once_confirmed_and_an_old_copy_is_not() {
    let mut tracker = IncarnationTracker::new(40, true);
    assert_eq!(
        tracker.decide(at(0), ReceivedList { empty: true, ..complete_list(50) }),
        ListDecision::Ignore,
        "an incarnation that lost all endpoints"
    );
    assert_eq!(tracker.decide(at(0), complete_list(41)), ListDecision::Accept);
    // An old copy, then the current incarnation again: the suspicion is dropped.
    assert_eq!(tracker.decide(at(100), complete_list(5)), ListDecision::AwaitConfirmation);
    assert_eq!(tracker.decide(at(200), complete_list(42)), ListDecision::Accept);
    assert_eq!(tracker.decide(at(9_000), complete_list(5)), ListDecision::AwaitConfirmation);
    assert_eq!(tracker.poll_again_at(), Some(at(9_000) + CONFIRMATION_INTERVAL));
    assert_eq!(tracker.decide(at(9_100), complete_list(5)), ListDecision::AwaitConfirmation, "too soon");
    assert_eq!(
        tracker.decide(at(9_200), ReceivedList { complete: false, ..complete_list(6) }),
        ListDecision::Ignore
    );
    assert_eq!(
        tracker.decide(at(9_000) + CONFIRMATION_INTERVAL, complete_list(4)),
        ListDecision::AwaitConfirmation,
        "older than the version that it offered before"
    );
    assert_eq!(
        tracker.decide(at(9_000) + CONFIRMATION_INTERVAL + CONFIRMATION_INTERVAL, complete_list(4)),
        ListDecision::Accept
    );
    assert_eq!(tracker.version(), 4);
    assert_eq!(
        tracker.decide(at(20_000), ReceivedList { empty: true, ..complete_list(9) }),
        ListDecision::Accept,
        "the accepted incarnation may list no endpoints"
    );
}

#[test]
fn saves_follow_changes_and_back_off_on_a_failing_disk() {
    let gap = TimeDelta::from_millis(1_000);
    let mut schedule = SaveSchedule::new(gap);
    assert_eq!(schedule.next_save_due(), None);
    schedule.record_change(at(START));
    schedule.record_change(at(START + 100));
    let due = schedule.next_save_due().expect("a save is due after a change");
    assert!(due >= at(START) && due <= at(START + 200), "shortly after the first of several changes");
    schedule.save_started(due);
    schedule.save_ended(due, true);
    schedule.record_change(due);
    assert_eq!(schedule.next_save_due(), Some(due + gap));
    let (mut now, mut pauses) = (due, Vec::new());
    for _ in 0..12 {
        let next = schedule.next_save_due().expect("a failed save is retried");
        pauses.push(next - now);
        now = next;
        schedule.save_started(now);
        schedule.save_ended(now, false);
    }
    assert!(pauses.windows(2).all(|two| two[0] <= two[1]), "{pauses:?}");
    assert_eq!(pauses.last(), Some(&TimeDelta::from_millis(60_000)));
    let report = primary(START, 1);
    assert!(is_worth_saving(None, report) && !is_worth_saving(Some(report), primary(START + 100, 1)));
    assert!(
        is_worth_saving(Some(report), primary(START + 100, 2))
            && is_worth_saving(Some(report), primary(START + 9_000, 1))
    );
}
