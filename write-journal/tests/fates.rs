//! The fates that are reported for recorded, dropped and unknown writes, including after a restart of the process.

#[allow(dead_code)] // Each test file uses only some of the items.
mod support;

use support::{query_fate, record, TestJournal, RETENTION};
use write_journal::journal::{Reply, Retention};
use write_journal::record_state::{Fate, Origin, RecordEvent, SendPermission};

/// A retention beyond which records are dropped during the tests.
const SHORT_RETENTION: Retention = Retention { max_records: 50, max_age_ms: 1_000 };

/// Records one write for each possible result.
fn record_each_result(journal: &mut TestJournal) {
    for id in ["executed", "never", "pending"] {
        assert_eq!(journal.record(1, id, RecordEvent::FirstAttempt), SendPermission::Granted);
    }
    journal.apply(
        2,
        &[record("executed", RecordEvent::Executed(Some(77))), record("never", RecordEvent::NotExecuted)],
    );
    journal
        .apply(2, &[record("resent", RecordEvent::FirstAttempt), record("resent", RecordEvent::NotExecuted)]);
    // A write that was not executed may be sent again until its fate is queried.
    assert_eq!(journal.record(3, "resent", RecordEvent::FirstAttempt), SendPermission::Granted);
    assert_eq!(journal.fate(3, "never", None), Fate::NeverExecuted);
}

/// A journal that was reopened after one write with each result, and the origin of a connection opened before.
fn reopened_after_each_result() -> (TestJournal, Origin) {
    let mut journal = TestJournal::new(RETENTION);
    let origin = journal.journal.origin();
    record_each_result(&mut journal);
    (journal.reopen(), origin)
}

#[test]
fn another_request_with_a_recorded_id_is_not_sent() {
    let mut journal = TestJournal::new(RETENTION);
    record_each_result(&mut journal);
    for id in ["executed", "never", "pending", "resent"] {
        assert_eq!(journal.record(3, id, RecordEvent::FirstAttempt), SendPermission::Denied, "{id}");
    }
}

#[test]
fn fates_survive_a_restart() {
    let (mut journal, origin) = reopened_after_each_result();
    assert_eq!(journal.journal.origin().journal, origin.journal);
    assert!(journal.journal.origin().serial > origin.serial, "a serial would be assigned again");
    assert_eq!(journal.first_sent_ms("executed"), Some(1));
    assert_eq!(journal.fate(4, "executed", None), Fate::Executed(Some(77)));
    assert_eq!(journal.fate(4, "never", None), Fate::NeverExecuted);
    assert_eq!(journal.fate(4, "pending", Some(&origin)), Fate::Unknown);
    assert_eq!(
        journal.fate(4, "resent", Some(&origin)),
        Fate::Unknown,
        "the second attempt may have been executed"
    );
}

#[test]
fn unrecorded_write_is_never_executed_if_its_origin_is_covered() {
    let (mut journal, origin) = reopened_after_each_result();
    assert_eq!(
        journal.fate(4, "lost", None),
        Fate::Unknown,
        "the write may have been sent to another instance"
    );
    let other = Origin { journal: "0000000000000000".into(), ..origin.clone() };
    assert_eq!(journal.fate(4, "lost", Some(&other)), Fate::Unknown);
    assert_eq!(journal.fate(4, "lost", Some(&origin)), Fate::NeverExecuted);
    // The request arrives after the report, and must not be sent any more.
    assert_eq!(journal.record(5, "lost", RecordEvent::FirstAttempt), SendPermission::Denied);
}

#[test]
fn dropped_record_is_not_mistaken_for_an_unrecorded_write() {
    let mut journal = TestJournal::new(SHORT_RETENTION);
    let early = journal.journal.origin();
    for index in 0..500 {
        journal.record(index, &format!("w{index}"), RecordEvent::FirstAttempt);
    }
    let late = journal.journal.origin();
    let queries = [("w3", &early), ("new", &early), ("new", &late)];
    let replies = journal.apply(500, &queries.map(|(id, origin)| query_fate(id, Some(origin))));
    let [dropped, uncovered, covered] = replies[..] else {
        panic!("expected three replies, got {replies:?}")
    };
    assert_eq!(dropped, Reply::Fate(Fate::Unknown));
    assert_eq!(uncovered, Reply::Fate(Fate::Unknown), "the record may be among the dropped ones");
    assert_eq!(covered, Reply::Fate(Fate::NeverExecuted));
    // Records are also dropped by age, after a restart too. A clock that was set back drops no record.
    let mut journal = journal.reopen();
    journal.apply(-5_000, &[]);
    assert_eq!(journal.fate(600, "w499", None), Fate::Unknown);
    assert_eq!(journal.first_sent_ms("w499"), Some(499));
    for _ in 0..10 {
        journal.apply(9_000, &[]);
    }
    assert_eq!(journal.first_sent_ms("w499"), None);
    assert_eq!(journal.fate(9_000, "w499", Some(&late)), Fate::Unknown);
}

#[test]
fn resent_write_is_dropped_by_the_age_of_its_second_attempt() {
    let mut journal = TestJournal::new(SHORT_RETENTION);
    journal.apply(0, &[record("x", RecordEvent::FirstAttempt), record("x", RecordEvent::NotExecuted)]);
    let record_others = |from: i64, journal: &mut TestJournal| {
        for index in from..from + 30 {
            journal.record(index, &format!("w{index}"), RecordEvent::FirstAttempt);
        }
    };
    record_others(0, &mut journal);
    let later = journal.journal.origin();
    assert_eq!(journal.record(40, "x", RecordEvent::FirstAttempt), SendPermission::Granted);
    // The second attempt may be in progress. The records before it are dropped first, then the record of the attempt.
    for round in 1..4 {
        record_others(round * 100, &mut journal);
        let fate = journal.fate(round * 100 + 40, "x", Some(&later));
        assert_eq!(fate, Fate::Unknown, "round {round}: the write may have been executed");
    }
}

#[test]
fn malformed_origins_are_rejected() {
    let origin = Origin { journal: "9f3c01aa52e87d14".into(), serial: 4_711 };
    assert_eq!(Origin::parse(&origin.to_string()), Some(origin));
    for malformed in ["", ".", "a.", ".1", "a.+1", "a.-1", "a.1.2", "a b.1", "a.99999999999999999999999"] {
        assert_eq!(Origin::parse(malformed), None, "{malformed}");
    }
}
