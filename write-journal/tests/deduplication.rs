//! Writes with an idempotency key: when they are sent again as duplicates, by a clock that cannot be set.

#[allow(dead_code)] // Each test file uses a part of it.
mod support;

use support::{record, TestJournal, RETENTION};
use write_journal::journal::ClockReading;
use write_journal::record_state::{Deduplication, Fate, RecordEvent, SendPermission, Uptime};

/// Duplicates are dropped in group 7 for three seconds.
const DEDUPLICATION: Deduplication = Deduplication { group: Some(7), window_ms: 3_000 };
/// The start of the machine on which the writes are first sent.
const FIRST_BOOT: u64 = 1;

/// The wall clock, and the uptime since a start of the machine.
fn clocks(wall_ms: i64, boot: u64, ms: i64) -> ClockReading {
    ClockReading { wall_ms, uptime: Some(Uptime { boot, ms }) }
}

fn as_duplicate(remaining_ms: i64) -> SendPermission {
    SendPermission::GrantedAsDuplicate { remaining_ms }
}

/// A restarted journal of writes that were first sent at an uptime of 500 ms: `pending`, `executed` and `never`
/// with an idempotency key, and `plain` without.
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
fn a_pending_write_is_sent_again_for_the_rest_of_the_window_whatever_the_wall_clock() {
    let mut journal = journal_of_keyed_writes();
    let mut send_again = |wall_ms: i64, uptime_ms: i64| {
        let now = clocks(wall_ms, FIRST_BOOT, uptime_ms);
        journal.record_keyed(now, "pending", RecordEvent::FirstAttempt, DEDUPLICATION)
    };
    // The wall clock was set back by an hour; 2 s of the window have passed, and the clock's resolution of 10 ms.
    assert_eq!(send_again(-3_591_000, 2_500), as_duplicate(990));
    assert_eq!(send_again(9_000, 2_600), as_duplicate(890), "counted from the first attempt, not the last");
    assert_eq!(send_again(9_000, 3_480), as_duplicate(10));
    assert_eq!(send_again(9_000, 3_490), SendPermission::Denied, "the window has passed");
    journal.record(9_000, "pending", RecordEvent::Executed(Some(8_999)));
    assert_eq!(journal.fate(9_000, "pending", None), Fate::Executed(Some(8_999)));
}

/// A write that must not be sent again.
#[derive(Clone, Copy)]
struct Denial {
    why: &'static str,
    now: ClockReading,
    id: &'static str,
    deduplication: Deduplication,
}

#[test]
fn a_write_is_not_sent_again_where_duplicates_may_run() {
    let mut journal = journal_of_keyed_writes();
    let in_window = clocks(9_000, FIRST_BOOT, 600);
    let pending = Denial { why: "", now: in_window, id: "pending", deduplication: DEDUPLICATION };
    let other_group = Deduplication { group: Some(8), ..DEDUPLICATION };
    let all_endpoints = Deduplication { group: None, ..DEDUPLICATION };
    let shorter = Deduplication { window_ms: 100, ..DEDUPLICATION };
    for Denial { why, now, id, deduplication } in [
        Denial { why: "the window has passed", now: clocks(9_000, FIRST_BOOT, 3_490), ..pending },
        Denial { why: "another group", deduplication: other_group, ..pending },
        Denial { why: "all endpoints now, one group then", deduplication: all_endpoints, ..pending },
        Denial { why: "the window is shorter now", deduplication: shorter, ..pending },
        Denial { why: "the machine was restarted", now: clocks(9_000, FIRST_BOOT + 1, 600), ..pending },
        Denial { why: "the uptime went back", now: clocks(9_000, FIRST_BOOT, 400), ..pending },
        Denial { why: "the uptime is not known", now: ClockReading::from(9_000), ..pending },
        Denial { why: "it had no idempotency key", id: "plain", ..pending },
        Denial { why: "it was executed", id: "executed", ..pending },
        Denial { why: "its fate was reported", id: "never", ..pending },
    ] {
        let permission = journal.record_keyed(now, id, RecordEvent::FirstAttempt, deduplication);
        assert_eq!(permission, SendPermission::Denied, "{why}");
    }
}

#[test]
fn the_window_of_a_write_that_was_not_executed_starts_again_with_its_second_attempt() {
    let mut journal = TestJournal::new(RETENTION);
    let mut record_at = |uptime_ms: i64, event: RecordEvent| {
        journal.record_keyed(clocks(600, FIRST_BOOT, uptime_ms), "t", event, DEDUPLICATION)
    };
    assert_eq!(record_at(500, RecordEvent::FirstAttempt), SendPermission::Granted);
    record_at(600, RecordEvent::NotExecuted);
    assert_eq!(record_at(3_000, RecordEvent::FirstAttempt), SendPermission::Granted, "the first never ran");
    assert_eq!(record_at(4_000, RecordEvent::FirstAttempt), as_duplicate(1_990));
}
