//! The cached endpoint list: its staleness, the lists from discovery that replace it, and the schedule of its saves.

#[allow(dead_code)] // Each test file uses only a part of the support code.
mod support;

use recovery::discovery_incarnation::{
    IncarnationTracker, ListDecision, ReceivedList, CONFIRMATION_INTERVAL,
};
use recovery::save_schedule::{is_worth_saving, SaveSchedule};
use recovery::staleness::{verification_level, CacheTimes, Staleness};
use routing::time::TimeDelta;
use support::{at_ms, complete_list, primary, DAY, START};

#[test]
fn staleness_depends_on_age_clock_skew_and_latest_position() {
    let times =
        |confirmed: i64, saved: i64| Some(CacheTimes { confirmed: at_ms(confirmed), saved: at_ms(saved) });
    let staleness = |times, latest_report| verification_level(times, at_ms(START), latest_report).staleness;
    assert_eq!(staleness(times(START - 59_000, START - 59_000), None), Staleness::Fresh);
    assert_eq!(staleness(times(START - 61_000, START - 1_000), None), Staleness::Recent);
    assert_eq!(staleness(times(START - DAY, START - DAY), None), Staleness::Old);
    assert_eq!(staleness(times(START - DAY - 1, START), None), Staleness::Unknown);
    assert_eq!(
        staleness(times(START + 10_000, START + 10_000), None),
        Staleness::Unknown,
        "the list is dated in the future"
    );
    assert_eq!(
        staleness(times(START - 1_000, START - 60_000), None),
        Staleness::Unknown,
        "the clock was set back"
    );
    assert_eq!(staleness(None, None), Staleness::Unknown);
    // The list is 5 s old by the local clock and 2 h old by the endpoints' positions.
    assert_eq!(staleness(times(START - 5_000, START - 5_000), Some(at_ms(START + DAY / 12))), Staleness::Old);
}

#[test]
fn list_of_a_lower_version_is_accepted_only_after_confirmation() {
    let mut tracker = IncarnationTracker::new(40, true);
    assert_eq!(
        tracker.decide(at_ms(0), ReceivedList { empty: true, ..complete_list(50) }),
        ListDecision::Ignore,
        "discovery has lost all endpoints"
    );
    assert_eq!(tracker.decide(at_ms(0), complete_list(41)), ListDecision::Accept);
    // A list of the current incarnation after an outdated copy discards the candidate.
    assert_eq!(tracker.decide(at_ms(100), complete_list(5)), ListDecision::AwaitConfirmation);
    assert_eq!(tracker.decide(at_ms(200), complete_list(42)), ListDecision::Accept);
    assert_eq!(tracker.decide(at_ms(9_000), complete_list(5)), ListDecision::AwaitConfirmation);
    assert_eq!(tracker.poll_again_at(), Some(at_ms(9_000) + CONFIRMATION_INTERVAL));
    assert_eq!(
        tracker.decide(at_ms(9_100), complete_list(5)),
        ListDecision::AwaitConfirmation,
        "the confirmation interval has not passed"
    );
    assert_eq!(
        tracker.decide(at_ms(9_200), ReceivedList { complete: false, ..complete_list(6) }),
        ListDecision::Ignore
    );
    assert_eq!(
        tracker.decide(at_ms(9_000) + CONFIRMATION_INTERVAL, complete_list(4)),
        ListDecision::AwaitConfirmation,
        "the version is lower than that of the candidate"
    );
    assert_eq!(
        tracker.decide(at_ms(9_000) + CONFIRMATION_INTERVAL + CONFIRMATION_INTERVAL, complete_list(4)),
        ListDecision::Accept
    );
    assert_eq!(tracker.version(), 4);
    assert_eq!(
        tracker.decide(at_ms(20_000), ReceivedList { empty: true, ..complete_list(9) }),
        ListDecision::Accept,
        "an empty list of a confirmed incarnation is valid"
    );
}

#[test]
fn saves_are_batched_and_failed_saves_back_off() {
    let min_interval = TimeDelta::from_millis(1_000);
    let mut schedule = SaveSchedule::new(min_interval);
    assert_eq!(schedule.next_save_due(), None);
    schedule.record_change(at_ms(START));
    schedule.record_change(at_ms(START + 100));
    let due = schedule.next_save_due().expect("a save is due after a change");
    assert!(
        due >= at_ms(START) && due <= at_ms(START + 200),
        "the save does not follow soon after the first change"
    );
    schedule.save_started(due);
    schedule.save_ended(due, true);
    schedule.record_change(due);
    assert_eq!(schedule.next_save_due(), Some(due + min_interval));
    let (mut now, mut pauses) = (due, Vec::new());
    for _ in 0..12 {
        let next = schedule.next_save_due().expect("a failed save is retried");
        pauses.push(next - now);
        now = next;
        schedule.save_started(now);
        schedule.save_ended(now, false);
    }
    assert!(pauses.windows(2).all(|pair| pair[0] <= pair[1]), "{pauses:?}");
    assert_eq!(pauses.last(), Some(&TimeDelta::from_millis(60_000)));
}

#[test]
fn report_is_saved_after_a_new_timeline_or_position_step() {
    let report = primary(START, 1);
    assert!(is_worth_saving(None, report) && !is_worth_saving(Some(report), primary(START + 100, 1)));
    assert!(
        is_worth_saving(Some(report), primary(START + 100, 2))
            && is_worth_saving(Some(report), primary(START + 9_000, 1))
    );
}
