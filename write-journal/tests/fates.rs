//! The fates that are reported of recorded, dropped and unknown writes, over a restart of the process.

#[allow(dead_code)] // Each test file uses a part of it.
mod support;

use support::{query_fate, record, TestJournal, RETENTION};
use write_journal::journal::{Reply, Retention};
use write_journal::record_state::{Fate, Origin, RecordEvent, SendPermission};

/// A retention that drops records soon.
const SHORT_RETENTION: Retention = Retention { max_records: 50, max_age_ms: 1_000 };

/// Records one write for each way in which it may end.
fn record_each_end(journal: &mut TestJournal) {
    for id in ["executed", "never", "pending"] {
        assert_eq!(journal.record(1, id, RecordEvent::FirstAttempt), SendPermission::Granted);
    }
    journal.apply(
        2,
        &[record("executed", RecordEvent::Executed(Some(77))), record("never", RecordEvent::NotExecuted)],
    );
    journal
        .apply(2, &[record("resent", RecordEvent::FirstAttempt), record("resent", RecordEvent::NotExecuted)]);
    // A write that was not executed may be sent again, until somebody asks for its fate.
    assert_eq!(journal.record(3, "resent", RecordEvent::FirstAttempt), SendPermission::Granted);
    assert_eq!(journal.fate(3, "never", None), Fate::NeverExecuted);
}

/// A journal that was restarted after each of those ends, and its origin before that.
fn restarted_after_each_end() -> (TestJournal, Origin) {
    let mut journal = TestJournal::new(RETENTION);
    let origin = journal.journal.origin();
    record_each_end(&mut journal);
    (journal.reopen(), origin)
}

#[test]
fn an_id_on_record_is_not_sent_again_once_its_fate_was_reported() {
    let mut journal = TestJournal::new(RETENTION);
    record_each_end(&mut journal);
    for id in ["executed", "never", "pending", "resent"] {
        assert_eq!(journal.record(3, id, RecordEvent::FirstAttempt), SendPermission::Denied, "{id}");
    }
}

#[test]
fn each_fate_survives_a_restart() {
    let (mut journal, origin) = restarted_after_each_end();
    assert_eq!(journal.journal.origin().journal, origin.journal);
    assert!(journal.journal.origin().serial > origin.serial, "no serial is assigned twice");
    assert_eq!(journal.first_sent_ms("executed"), Some(1));
    assert_eq!(journal.fate(4, "executed", None), Fate::Executed(Some(77)));
    assert_eq!(journal.fate(4, "never", None), Fate::NeverExecuted);
    assert_eq!(journal.fate(4, "pending", Some(&origin)), Fate::Unknown);
    assert_eq!(journal.fate(4, "resent", Some(&origin)), Fate::Unknown, "the second attempt may have run");
}

#[test]
fn a_write_without_a_record_never_ran_if_its_client_was_connected_to_this_journal() {
    let (mut journal, origin) = restarted_after_each_end();
    assert_eq!(journal.fate(4, "lost", None), Fate::Unknown, "it may have gone to another instance");
    let other = Origin { journal: "0000000000000000".into(), ..origin.clone() };
    assert_eq!(journal.fate(4, "lost", Some(&other)), Fate::Unknown);
    assert_eq!(journal.fate(4, "lost", Some(&origin)), Fate::NeverExecuted);
    // It arrives only now: after that report it must not be sent.
    assert_eq!(journal.record(5, "lost", RecordEvent::FirstAttempt), SendPermission::Denied);
}

#[test]
fn a_dropped_record_is_not_taken_for_a_write_that_was_never_recorded() {
    let mut journal = TestJournal::new(SHORT_RETENTION);
    let early = journal.journal.origin();
    for nth in 0..500 {
        journal.record(nth, &format!("w{nth}"), RecordEvent::FirstAttempt);
    }
    let late = journal.journal.origin();
    let queries = [("w3", &early), ("new", &early), ("new", &late)];
    let replies = journal.apply(500, &queries.map(|(id, origin)| query_fate(id, Some(origin))));
    let [dropped, unseen, covered] = replies[..] else { panic!("three replies") };
    assert_eq!(dropped, Reply::Fate(Fate::Unknown));
    assert_eq!(unseen, Reply::Fate(Fate::Unknown), "its record may have been among those dropped");
    assert_eq!(covered, Reply::Fate(Fate::NeverExecuted));
    // By age too, and over a restart; a clock that was set back drops nothing.
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
fn a_write_that_is_sent_again_is_dropped_by_the_age_of_its_second_attempt() {
    let mut journal = TestJournal::new(SHORT_RETENTION);
    journal.apply(0, &[record("x", RecordEvent::FirstAttempt), record("x", RecordEvent::NotExecuted)]);
    let record_others = |from: i64, journal: &mut TestJournal| {
        for nth in from..from + 30 {
            journal.record(nth, &format!("w{nth}"), RecordEvent::FirstAttempt);
        }
    };
    record_others(0, &mut journal);
    let later = journal.journal.origin();
    assert_eq!(journal.record(40, "x", RecordEvent::FirstAttempt), SendPermission::Granted);
    // The second attempt may be running. The records before it are dropped first, then its own.
    for round in 1..4 {
        record_others(round * 100, &mut journal);
        let fate = journal.fate(round * 100 + 40, "x", Some(&later));
        assert_eq!(fate, Fate::Unknown, "round {round}: it may have run");
    }
}

#[test]
fn origins_are_parsed_strictly() {
    let origin = Origin { journal: "9f3c01aa52e87d14".into(), serial: 4_711 };
    assert_eq!(Origin::parse(&origin.to_string()), Some(origin));
    for malformed in ["", ".", "a.", ".1", "a.+1", "a.-1", "a.1.2", "a b.1", "a.99999999999999999999999"] {
        assert_eq!(Origin::parse(malformed), None, "{malformed}");
    }
}
