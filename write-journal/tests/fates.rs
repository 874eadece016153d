//! Every fate that is told is held against a history that knows all, through kills of the process that keeps
//! it.

use proptest::prelude::*;
use proptest_support::seeded_cases;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Command, Stdio};
use write_journal::journal::{ClockReading, Durability, Journal, Operation, Reply, Retention};
use write_journal::record_state::{
    fate, next, Deduplication, Evidence, Fate, FateDecision, Origin, RecordEvent, RecordState,
    SendPermission, Transition, Uptime,
};

const BOUNDS: Retention = Retention { max_records: 1_000, max_age_ms: 60_000 };

fn record(id: &str, event: RecordEvent) -> Operation {
    Operation::Record { id: id.to_string(), event, deduplication: None }
}

fn ask(id: &str, origin: Option<&Origin>) -> Operation {
    Operation::QueryFate { id: id.to_string(), origin: origin.cloned(), request_open: false }
}

fn open(path: &Path, bounds: Retention) -> Journal {
    Journal::open(path, Durability::System, bounds, 7).expect("it opens")
}

#[test]
fn a_write_that_was_recorded_survives_and_each_end_has_its_fate() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = open(folder.path(), BOUNDS);
    let origin = journal.origin();
    let go = [Reply::Permission(SendPermission::Granted)];
    for id in ["ran", "never", "open"] {
        assert_eq!(journal.apply(1, &[record(id, RecordEvent::Starting)]).expect("kept"), go);
    }
    let ends = [record("ran", RecordEvent::Executed(Some(77))), record("never", RecordEvent::NotExecuted)];
    journal.apply(2, &ends).expect("kept");
    // Another request with an id that is on record does not leave, whatever became of the first, once somebody was
    // told; before that one that is proved not to have run may come again.
    journal
        .apply(2, &[record("free", RecordEvent::Starting), record("free", RecordEvent::NotExecuted)])
        .expect("kept");
    assert_eq!(journal.apply(3, &[record("free", RecordEvent::Starting)]).expect("kept"), go);
    assert_eq!(journal.apply(3, &[ask("never", None)]).expect("kept"), [Reply::Fate(Fate::NeverExecuted)]);
    for id in ["ran", "never", "open", "free"] {
        let again = journal.apply(3, &[record(id, RecordEvent::Starting)]).expect("kept");
        assert_eq!(again, [Reply::Permission(SendPermission::Denied)], "{id}");
    }
    drop(journal);
    let mut journal = open(folder.path(), BOUNDS);
    assert_eq!(journal.origin().journal, origin.journal);
    assert!(journal.origin().serial > origin.serial, "no serial is handed out twice");
    assert_eq!(journal.first_sent_ms("ran").expect("read"), Some(1));
    let mut reply_to =
        |id: &str, origin: Option<&Origin>| journal.apply(4, &[ask(id, origin)]).expect("kept")[0];
    assert_eq!(reply_to("ran", None), Reply::Fate(Fate::Executed(Some(77))));
    assert_eq!(reply_to("never", None), Reply::Fate(Fate::NeverExecuted));
    assert_eq!(reply_to("open", Some(&origin)), Reply::Fate(Fate::Unknown));
    assert_eq!(reply_to("free", Some(&origin)), Reply::Fate(Fate::Unknown), "the second may have run");
    assert_eq!(reply_to("lost", None), Reply::Fate(Fate::Unknown), "it may have gone to another instance");
    let other = Origin { journal: "0000000000000000".into(), ..origin.clone() };
    assert_eq!(reply_to("lost", Some(&other)), Reply::Fate(Fate::Unknown));
    assert_eq!(reply_to("lost", Some(&origin)), Reply::Fate(Fate::NeverExecuted));
    // It was on its way all the while: now it must not leave any more.
    assert_eq!(
        journal.apply(5, &[record("lost", RecordEvent::Starting)]).expect("kept"),
        [Reply::Permission(SendPermission::Denied)]
    );
}

#[test]
fn a_token_goes_out_again_in_its_group_and_its_memory_by_a_clock_that_nobody_sets() {
    let folder = tempfile::tempdir().expect("a folder");
    let deduplication = Deduplication { group: Some(7), window_ms: 3_000 };
    let at = |wall_ms: i64, boot: u64, ms: i64| ClockReading { wall_ms, uptime: Some(Uptime { boot, ms }) };
    let intend = |id: &str, deduplication: Deduplication| {
        [Operation::Record {
            id: id.to_string(),
            event: RecordEvent::Starting,
            deduplication: Some(deduplication),
        }]
    };
    let mut journal = open(folder.path(), BOUNDS);
    for id in ["t", "settled", "never"] {
        assert_eq!(
            journal.apply(at(9_000, 1, 500), &intend(id, deduplication)).expect("kept"),
            [Reply::Permission(SendPermission::Granted)]
        );
    }
    journal.apply(at(9_000, 1, 510), &[record("plain", RecordEvent::Starting)]).expect("kept");
    journal
        .apply(
            9_000,
            &[record("settled", RecordEvent::Executed(None)), record("never", RecordEvent::NotExecuted)],
        )
        .expect("kept");
    assert_eq!(
        journal.apply(9_000, &[ask("never", None)]).expect("kept"),
        [Reply::Fate(Fate::NeverExecuted)]
    );
    // Another life, on a machine whose clock was set back by an hour.
    drop(journal);
    let mut journal = open(folder.path(), BOUNDS);
    let mut reply_to = |now: ClockReading, id: &str, deduplication: Deduplication| {
        journal.apply(now, &intend(id, deduplication)).expect("kept")[0]
    };
    let join = |remaining_ms: i64| Reply::Permission(SendPermission::GrantedAsDuplicate { remaining_ms });
    let refuse = Reply::Permission(SendPermission::Denied);
    assert_eq!(
        reply_to(at(-3_591_000, 1, 2_500), "t", deduplication),
        join(990),
        "2 s have passed, and a grain"
    );
    assert_eq!(
        reply_to(at(9_000, 1, 2_600), "t", deduplication),
        join(890),
        "counted from the first sending, not the last"
    );
    assert_eq!(reply_to(at(9_000, 1, 3_480), "t", deduplication), join(10));
    for (why, now, id, deduplication) in [
        ("its memory has passed", at(9_000, 1, 3_490), "t", deduplication),
        ("another group", at(9_000, 1, 600), "t", Deduplication { group: Some(8), ..deduplication }),
        (
            "all endpoints now, one group then",
            at(9_000, 1, 600),
            "t",
            Deduplication { group: None, ..deduplication },
        ),
        (
            "the settings say less now",
            at(9_000, 1, 600),
            "t",
            Deduplication { window_ms: 100, ..deduplication },
        ),
        ("the machine was started anew", at(9_000, 2, 600), "t", deduplication),
        ("time went back", at(9_000, 1, 400), "t", deduplication),
        ("nobody knows the time", ClockReading::from(9_000), "t", deduplication),
        ("it was no keyed one", at(9_000, 1, 600), "plain", deduplication),
        ("it ran", at(9_000, 1, 600), "settled", deduplication),
        ("it never will", at(9_000, 1, 600), "never", deduplication),
    ] {
        assert_eq!(reply_to(now, id, deduplication), refuse, "{why}");
    }
    // What became of it is entered as that of any other.
    journal.apply(9_000, &[record("t", RecordEvent::Executed(Some(8_999)))]).expect("kept");
    assert_eq!(
        journal.apply(9_000, &[ask("t", None)]).expect("kept"),
        [Reply::Fate(Fate::Executed(Some(8_999)))]
    );
}

#[test]
fn what_was_dropped_is_never_taken_for_what_never_was() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = open(folder.path(), Retention { max_records: 50, max_age_ms: 1_000 });
    let early = journal.origin();
    for nth in 0..500 {
        journal.apply(nth, &[record(&format!("w{nth}"), RecordEvent::Starting)]).expect("kept");
    }
    let mid = journal.origin();
    let reply =
        journal.apply(500, &[ask("w3", Some(&early)), ask("new", Some(&early)), ask("new", Some(&mid))]);
    let [dropped, unseen, covered] = reply.expect("kept")[..] else { panic!("three answers") };
    assert_eq!(dropped, Reply::Fate(Fate::Unknown));
    assert_eq!(unseen, Reply::Fate(Fate::Unknown), "the record may have been among those dropped");
    assert_eq!(covered, Reply::Fate(Fate::NeverExecuted));
    // By age too, and over a restart; a clock that was set back drops nothing.
    drop(journal);
    let mut journal = open(folder.path(), Retention { max_records: 50, max_age_ms: 1_000 });
    journal.apply(-5_000, &[]).expect("kept");
    assert_eq!(journal.apply(600, &[ask("w499", None)]).expect("kept"), [Reply::Fate(Fate::Unknown)]);
    assert_eq!(journal.first_sent_ms("w499").expect("read"), Some(499));
    (0..10).for_each(|_| _ = journal.apply(9_000, &[]).expect("kept"));
    assert_eq!(journal.first_sent_ms("w499").expect("read"), None);
    assert_eq!(journal.apply(9_000, &[ask("w499", Some(&mid))]).expect("kept"), [Reply::Fate(Fate::Unknown)]);
}

#[test]
fn a_write_that_came_again_is_as_young_as_its_second_sending() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = open(folder.path(), Retention { max_records: 50, max_age_ms: 1_000 });
    journal
        .apply(0, &[record("x", RecordEvent::Starting), record("x", RecordEvent::NotExecuted)])
        .expect("kept");
    let others = |from: i64, journal: &mut Journal| {
        for nth in from..from + 30 {
            journal.apply(nth, &[record(&format!("w{nth}"), RecordEvent::Starting)]).expect("kept");
        }
    };
    others(0, &mut journal);
    let later = journal.origin();
    let go = journal.apply(40, &[record("x", RecordEvent::Starting)]).expect("kept");
    assert_eq!(go, [Reply::Permission(SendPermission::Granted)]);
    // It left, and its endpoint may be at work on it. What came before it is dropped, and then it is itself.
    for round in 1..4 {
        others(round * 100, &mut journal);
        let reply_to = journal.apply(round * 100 + 40, &[ask("x", Some(&later))]).expect("kept");
        assert_eq!(reply_to, [Reply::Fate(Fate::Unknown)], "round {round}: it may have run");
    }
    // A token's memory counts from there as well.
    let deduplication = Some(Deduplication { group: Some(7), window_ms: 3_000 });
    let mut reply_to = |ms: i64, event: RecordEvent| {
        let op = Operation::Record { id: "t".into(), event, deduplication };
        journal
            .apply(ClockReading { wall_ms: 600, uptime: Some(Uptime { boot: 1, ms }) }, &[op])
            .expect("kept")[0]
    };
    assert_eq!(reply_to(500, RecordEvent::Starting), Reply::Permission(SendPermission::Granted));
    reply_to(600, RecordEvent::NotExecuted);
    assert_eq!(
        reply_to(3_000, RecordEvent::Starting),
        Reply::Permission(SendPermission::Granted),
        "the first never ran"
    );
    assert_eq!(
        reply_to(4_000, RecordEvent::Starting),
        Reply::Permission(SendPermission::GrantedAsDuplicate { remaining_ms: 1_990 })
    );
}

#[test]
fn origins_are_read_strictly() {
    let origin = Origin { journal: "9f3c01aa52e87d14".into(), serial: 4_711 };
    assert_eq!(Origin::parse(&origin.to_string()), Some(origin));
    for bad in ["", ".", "a.", ".1", "a.+1", "a.-1", "a.1.2", "a b.1", "a.99999999999999999999999"] {
        assert_eq!(Origin::parse(bad), None, "{bad}");
    }
}

/// Not a test of its own: the process that the next one kills. Each line says what was recorded.
#[test]
#[ignore = "records until it is killed"]
fn records_until_it_is_killed() {
    let Ok(path) = std::env::var("WRITES_TEST_DIR") else { return };
    let from: u64 = std::env::var("WRITES_TEST_FROM").ok().and_then(|from| from.parse().ok()).unwrap_or(0);
    let mut journal = open(Path::new(&path), Retention { max_records: 1 << 40, max_age_ms: i64::MAX });
    let mut out = std::io::stderr();
    for nth in from.. {
        let id = format!("w{nth}");
        let mut say = |what: &str| _ = writeln!(out, "{what} {nth}");
        let replies = journal.apply(nth as i64, &[record(&id, RecordEvent::Starting)]).expect("kept");
        assert_eq!(replies, [Reply::Permission(SendPermission::Granted)]);
        // Only now the write may leave; the endpoint runs it or doesn't.
        say("left");
        match nth % 3 {
            0 => {
                journal
                    .apply(nth as i64, &[record(&id, RecordEvent::Executed(Some(nth as i64)))])
                    .expect("kept");
                say("ran");
            }
            1 => {
                journal.apply(nth as i64, &[record(&id, RecordEvent::NotExecuted)]).expect("kept");
                say("never");
            }
            _ => {}
        }
    }
}

#[test]
fn killed_at_any_point_it_tells_no_write_wrong() {
    let folder = tempfile::tempdir().expect("a folder");
    let program = std::env::current_exe().expect("its path");
    let mut reply_to: HashMap<u64, String> = HashMap::new();
    let mut from = 0u64;
    for round in 0..30u64 {
        let mut child = Command::new(&program)
            .args(["--ignored", "--exact", "records_until_it_is_killed", "--nocapture"])
            .env("WRITES_TEST_DIR", folder.path())
            .env("WRITES_TEST_FROM", from.to_string())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        let lines = BufReader::new(child.stderr.take().expect("its words")).lines();
        for (nth, line) in lines.map_while(Result::ok).enumerate() {
            if nth as u64 == 5 + round * 7 % 23 {
                child.kill().expect("killed");
            }
            if let Some((what, number)) = line.split_once(' ') {
                if let Ok(number) = number.parse() {
                    reply_to.insert(number, what.to_string());
                    from = from.max(number + 2);
                }
            }
        }
        child.wait().expect("ended");
        // A next life of the journal says nothing that its last one's words deny.
        let mut journal = open(folder.path(), Retention { max_records: 1 << 40, max_age_ms: i64::MAX });
        for (nth, what) in &reply_to {
            let Reply::Fate(fate) = journal.apply(0, &[ask(&format!("w{nth}"), None)]).expect("kept")[0]
            else {
                panic!("a fate")
            };
            let right = match what.as_str() {
                "ran" => fate == Fate::Executed(Some(*nth as i64)),
                "never" => fate == Fate::NeverExecuted,
                // Killed behind this word: the end may have been recorded and not said.
                _ => match nth % 3 {
                    0 => matches!(fate, Fate::Unknown | Fate::Executed(_)),
                    1 => matches!(fate, Fate::Unknown | Fate::NeverExecuted),
                    _ => fate == Fate::Unknown,
                },
            };
            assert!(right, "w{nth}, {what}: {fate:?}");
        }
    }
    assert!(reply_to.len() > 100);
}

proptest! {
    #![proptest_config(seeded_cases(512, 20_26))]

    /// One id, any inputs in any order: what was told once stays true, and nothing leaves against what was
    /// told.
    #[test]
    fn no_fate_is_ever_taken_back(steps in prop::collection::vec((0..8u8, any::<bool>()), 1..40)) {
        let (mut state, mut reply_to, mut left): (Option<RecordState>, Option<Fate>, u32) = (None, None, 0);
        // What is true of the endpoint: a write that left may run; one that did can't be proved never to have.
        let mut runs = 0;
        for (kind, luck) in steps {
            let event = match kind {
                0 => RecordEvent::Starting,
                1 => RecordEvent::Retrying,
                7 => RecordEvent::Rejoining { remaining_ms: 5 },
                2 if left > 0 && runs > 0 => RecordEvent::Executed(Some(5)),
                3 if runs == 0 => RecordEvent::NotExecuted,
                4 if left > 0 && luck && state == Some(RecordState::Pending) => {
                    runs = 1;
                    continue;
                }
                5 | 6 => {
                    let FateDecision { fate: reply, must_bar: bar } = fate(Evidence { state, covered: luck, request_open: false });
                    match reply_to {
                        Some(before @ (Fate::Executed(_) | Fate::NeverExecuted)) if reply != Fate::Unknown => {
                            prop_assert_eq!(reply, before);
                        }
                        _ => {}
                    }
                    prop_assert!(!(reply == Fate::NeverExecuted && runs > 0), "it ran");
                    prop_assert!(!(matches!(reply, Fate::Executed(_)) && runs == 0), "it did not run");
                    if bar {
                        state = next(state, RecordEvent::Bar).state;
                    }
                    reply_to = Some(reply);
                    continue;
                }
                _ => continue,
            };
            let Transition { state: to, permission: leave } = next(state, event);
            if let SendPermission::GrantedAsDuplicate { .. } = leave {
                prop_assert_eq!((state, to), (Some(RecordState::Pending), Some(RecordState::Pending)), "what repeats is on record");
                prop_assert_ne!(reply_to, Some(Fate::NeverExecuted));
                left += 1;
            }
            let asks = matches!(event, RecordEvent::Starting | RecordEvent::Retrying);
            if asks && leave == SendPermission::Granted {
                prop_assert_ne!(reply_to, Some(Fate::NeverExecuted), "somebody was told that it never would");
                prop_assert_eq!(to, Some(RecordState::Pending), "nothing leaves without a record");
                left += 1;
            }
            prop_assert!(
                matches!(
                    (state, to),
                    (Some(RecordState::Executed(_)), Some(RecordState::Executed(_)))
                        | (Some(RecordState::Barred), Some(RecordState::Barred))
                        | (Some(RecordState::Pending | RecordState::NotExecuted) | None, _)
                ),
                "what is settled stays so"
            );
            state = to;
        }
    }
}
