//! Writes with an idempotency key: when they are sent again as duplicates, according to a clock that cannot be set.

#[allow(dead_code)] // Each test file uses only some of the items.
mod support;

use support::{record, TestJournal, RETENTION};
use write_journal::journal::ClockReading;
use write_journal::record_state::{Deduplication, Fate, RecordEvent, SendPermission, Uptime};

/// The endpoints of group 7 drop duplicates for 3 s.
const DEDUPLICATION: Deduplication = Deduplication { group: Some(7), window_ms: 3_000 };
/// Boot identifier of the machine when the writes are first sent.
const FIRST_BOOT: u64 = 1;

/// Clock readings at a wall-clock time and at an uptime since a boot, in milliseconds.
fn clocks(wall_ms: i64, boot_id: u64, uptime_ms: i64) -> ClockReading {
    ClockReading { wall_ms, uptime: Some(Uptime { boot_id, ms: uptime_ms }) }
}

fn as_duplicate(remaining_ms: i64) -> SendPermission {
    SendPermission::GrantedAsDuplicate { remaining_ms }
}

/// A reopened journal with writes that were first sent at an uptime of about 500 ms: `pending`, `executed` and
/// `never` with an idempotency key, and `plain` without one.
fn journal_of_keyed_writes() -> TestJournal {
    let mut journal = TestJournal::new(RETENTION);
    let now = clocks(9_000, FIRST_BOOT, 500);
    for id in ["pending", "executed", "never"] {
        let permission = journal.record_keyed(now, id, RecordEvent::FirstAttempt, DEDUPLICATION);
        assert_eq!(permission, SendPermission::Granted);
    }
    journal.record(clocks(9_000, FIRST_BOOT, 510), "plain", RecordEvent::FirstAttempt);
    journal.apply(
        9_000,
        &[record("executed", RecordEvent::Executed(None)), record("never", RecordEvent::NotExecuted)],
    );
    assert_eq!(journal.fate(9_000, "never", None), Fate::NeverExecuted);
    journal.reopen()
}

#[test]
fn pending_write_is_resent_within_the_window_at_any_wall_clock_time() {
    let mut journal = journal_of_keyed_writes();
    let mut resend = |wall_ms: i64, uptime_ms: i64| {
        let now = clocks(wall_ms, FIRST_BOOT, uptime_ms);
        journal.record_keyed(now, "pending", RecordEvent::FirstAttempt, DEDUPLICATION)
    };
    // The wall clock was set back by an hour. The window has lost 2 s, and 10 ms for the resolution of the uptime.
    assert_eq!(resend(-3_591_000, 2_500), as_duplicate(990));
    assert_eq!(
        resend(9_000, 2_600),
        as_duplicate(890),
        "the window starts with the first attempt, not with the last one"
    );
    assert_eq!(resend(9_000, 3_480), as_duplicate(10));
    assert_eq!(resend(9_000, 3_490), SendPermission::Denied, "the window has passed");
    journal.record(9_000, "pending", RecordEvent::Executed(Some(8_999)));
    assert_eq!(journal.fate(9_000, "pending", None), Fate::Executed(Some(8_999)));
}

/// An attempt to resend a write that must be denied.
#[derive(Clone, Copy)]
struct DeniedAttempt {
    reason: &'static str,
    now: ClockReading,
    id: &'static str,
    deduplication: Deduplication,
}

#[test]
fn write_is_not_resent_if_a_duplicate_could_be_executed() {
    let mut journal = journal_of_keyed_writes();
    let in_window = clocks(9_000, FIRST_BOOT, 600);
    let pending = DeniedAttempt { reason: "", now: in_window, id: "pending", deduplication: DEDUPLICATION };
    let other_group = Deduplication { group: Some(8), ..DEDUPLICATION };
    let all_endpoints = Deduplication { group: None, ..DEDUPLICATION };
    let shorter = Deduplication { window_ms: 100, ..DEDUPLICATION };
    for DeniedAttempt { reason, now, id, deduplication } in [
        DeniedAttempt { reason: "the window has passed", now: clocks(9_000, FIRST_BOOT, 3_490), ..pending },
        DeniedAttempt { reason: "another group", deduplication: other_group, ..pending },
        DeniedAttempt {
            reason: "duplicates were dropped in one group, now in all groups",
            deduplication: all_endpoints,
            ..pending
        },
        DeniedAttempt { reason: "the window is shorter than before", deduplication: shorter, ..pending },
        DeniedAttempt {
            reason: "the machine was rebooted",
            now: clocks(9_000, FIRST_BOOT + 1, 600),
            ..pending
        },
        DeniedAttempt { reason: "the uptime went backwards", now: clocks(9_000, FIRST_BOOT, 400), ..pending },
        DeniedAttempt { reason: "the uptime is not known", now: ClockReading::from(9_000), ..pending },
        DeniedAttempt { reason: "the write has no idempotency key", id: "plain", ..pending },
        DeniedAttempt { reason: "the write was executed", id: "executed", ..pending },
        DeniedAttempt { reason: "the write was reported as never executed", id: "never", ..pending },
    ] {
        let permission = journal.record_keyed(now, id, RecordEvent::FirstAttempt, deduplication);
        assert_eq!(permission, SendPermission::Denied, "{reason}");
    }
}

#[test]
fn window_restarts_with_the_second_attempt_of_an_unexecuted_write() {
    let mut journal = TestJournal::new(RETENTION);
    let mut record_at = |uptime_ms: i64, event: RecordEvent| {
        journal.record_keyed(clocks(600, FIRST_BOOT, uptime_ms), "t", event, DEDUPLICATION)
    };
    assert_eq!(record_at(500, RecordEvent::FirstAttempt), SendPermission::Granted);
    record_at(600, RecordEvent::NotExecuted);
    assert_eq!(
        record_at(3_000, RecordEvent::FirstAttempt),
        SendPermission::Granted,
        "the first attempt was not executed"
    );
    assert_eq!(record_at(4_000, RecordEvent::FirstAttempt), as_duplicate(1_990));
}
