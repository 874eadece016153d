//! Every fate that is told is held against a history that knows all, through kills of the process that keeps
//! it.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Command, Stdio};
use write_journal::fate::{fate, next, Fate, Input, Known, Leave, Origin, State, Token, Uptime};
use write_journal::journal::{Bounds, Journal, Now, Op, Reply, Sync};

const BOUNDS: Bounds = Bounds { most: 1_000, age_ms: 60_000 };

fn record(id: &str, input: Input) -> Op {
    Op::Record { id: id.to_string(), input, token: None }
}

fn ask(id: &str, origin: Option<&Origin>) -> Op {
    Op::Ask { id: id.to_string(), origin: origin.cloned(), alive: false }
}

fn open(path: &Path, bounds: Bounds) -> Journal {
    Journal::open(path, Sync::System, bounds, 7).expect("it opens")
}

#[test]
fn a_write_that_was_recorded_survives_and_each_end_has_its_fate() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = open(folder.path(), BOUNDS);
    let origin = journal.origin();
    let go = [Reply::Leave(Leave::Go)];
    for id in ["ran", "never", "open"] {
        assert_eq!(journal.apply(1, &[record(id, Input::Intend)]).expect("kept"), go);
    }
    let ends = [record("ran", Input::Ran(Some(77))), record("never", Input::ProvedNever)];
    journal.apply(2, &ends).expect("kept");
    // Another RPC with an id that is on record does not leave, whatever became of the first, once somebody was
    // told; before that one that is proved not to have run may come again.
    journal.apply(2, &[record("free", Input::Intend), record("free", Input::ProvedNever)]).expect("kept");
    assert_eq!(journal.apply(3, &[record("free", Input::Intend)]).expect("kept"), go);
    assert_eq!(journal.apply(3, &[ask("never", None)]).expect("kept"), [Reply::Fate(Fate::Never)]);
    for id in ["ran", "never", "open", "free"] {
        let again = journal.apply(3, &[record(id, Input::Intend)]).expect("kept");
        assert_eq!(again, [Reply::Leave(Leave::Refuse)], "{id}");
    }
    drop(journal);
    let mut journal = open(folder.path(), BOUNDS);
    assert_eq!(journal.origin().journal, origin.journal);
    assert!(journal.origin().serial > origin.serial, "no serial is handed out twice");
    assert_eq!(journal.first_sent("ran").expect("read"), Some(1));
    let mut told = |id: &str, origin: Option<&Origin>| journal.apply(4, &[ask(id, origin)]).expect("kept")[0];
    assert_eq!(told("ran", None), Reply::Fate(Fate::Ran(Some(77))));
    assert_eq!(told("never", None), Reply::Fate(Fate::Never));
    assert_eq!(told("open", Some(&origin)), Reply::Fate(Fate::NotKnown));
    assert_eq!(told("free", Some(&origin)), Reply::Fate(Fate::NotKnown), "the second may have run");
    assert_eq!(told("lost", None), Reply::Fate(Fate::NotKnown), "it may have gone to another front");
    let other = Origin { journal: "0000000000000000".into(), ..origin.clone() };
    assert_eq!(told("lost", Some(&other)), Reply::Fate(Fate::NotKnown));
    assert_eq!(told("lost", Some(&origin)), Reply::Fate(Fate::Never));
    // It was on its way all the while: now it must not leave any more.
    assert_eq!(
        journal.apply(5, &[record("lost", Input::Intend)]).expect("kept"),
        [Reply::Leave(Leave::Refuse)]
    );
}

#[test]
fn a_token_goes_out_again_in_its_group_and_its_memory_by_a_clock_that_nobody_sets() {
    let folder = tempfile::tempdir().expect("a folder");
    let token = Token { scope: Some(7), memory_ms: 3_000 };
    let at = |wall_ms: i64, boot: u64, ms: i64| Now { wall_ms, up: Some(Uptime { boot, ms }) };
    let intend = |id: &str, token: Token| {
        [Op::Record { id: id.to_string(), input: Input::Intend, token: Some(token) }]
    };
    let mut journal = open(folder.path(), BOUNDS);
    for id in ["t", "settled", "never"] {
        assert_eq!(
            journal.apply(at(9_000, 1, 500), &intend(id, token)).expect("kept"),
            [Reply::Leave(Leave::Go)]
        );
    }
    journal.apply(at(9_000, 1, 510), &[record("plain", Input::Intend)]).expect("kept");
    journal
        .apply(9_000, &[record("settled", Input::Ran(None)), record("never", Input::ProvedNever)])
        .expect("kept");
    assert_eq!(journal.apply(9_000, &[ask("never", None)]).expect("kept"), [Reply::Fate(Fate::Never)]);
    // Another life, on a machine whose clock was set back by an hour.
    drop(journal);
    let mut journal = open(folder.path(), BOUNDS);
    let mut told =
        |now: Now, id: &str, token: Token| journal.apply(now, &intend(id, token)).expect("kept")[0];
    let join = |left_ms: i64| Reply::Leave(Leave::Join { left_ms });
    let refuse = Reply::Leave(Leave::Refuse);
    assert_eq!(told(at(-3_591_000, 1, 2_500), "t", token), join(990), "2 s have passed, and a grain");
    assert_eq!(
        told(at(9_000, 1, 2_600), "t", token),
        join(890),
        "counted from the first sending, not the last"
    );
    assert_eq!(told(at(9_000, 1, 3_480), "t", token), join(10));
    for (why, now, id, token) in [
        ("its memory has passed", at(9_000, 1, 3_490), "t", token),
        ("another group", at(9_000, 1, 600), "t", Token { scope: Some(8), ..token }),
        ("all stores now, one group then", at(9_000, 1, 600), "t", Token { scope: None, ..token }),
        ("the settings say less now", at(9_000, 1, 600), "t", Token { memory_ms: 100, ..token }),
        ("the machine was started anew", at(9_000, 2, 600), "t", token),
        ("time went back", at(9_000, 1, 400), "t", token),
        ("nobody knows the time", Now::from(9_000), "t", token),
        ("it was no tokened one", at(9_000, 1, 600), "plain", token),
        ("it ran", at(9_000, 1, 600), "settled", token),
        ("it never will", at(9_000, 1, 600), "never", token),
    ] {
        assert_eq!(told(now, id, token), refuse, "{why}");
    }
    // What became of it is entered as that of any other.
    journal.apply(9_000, &[record("t", Input::Ran(Some(8_999)))]).expect("kept");
    assert_eq!(journal.apply(9_000, &[ask("t", None)]).expect("kept"), [Reply::Fate(Fate::Ran(Some(8_999)))]);
}

#[test]
fn what_was_dropped_is_never_taken_for_what_never_was() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = open(folder.path(), Bounds { most: 50, age_ms: 1_000 });
    let early = journal.origin();
    for nth in 0..500 {
        journal.apply(nth, &[record(&format!("w{nth}"), Input::Intend)]).expect("kept");
    }
    let mid = journal.origin();
    let reply =
        journal.apply(500, &[ask("w3", Some(&early)), ask("new", Some(&early)), ask("new", Some(&mid))]);
    let [dropped, unseen, covered] = reply.expect("kept")[..] else { panic!("three answers") };
    assert_eq!(dropped, Reply::Fate(Fate::NotKnown));
    assert_eq!(unseen, Reply::Fate(Fate::NotKnown), "the record may have been among those dropped");
    assert_eq!(covered, Reply::Fate(Fate::Never));
    // By age too, and over a restart; a clock that was set back drops nothing.
    drop(journal);
    let mut journal = open(folder.path(), Bounds { most: 50, age_ms: 1_000 });
    journal.apply(-5_000, &[]).expect("kept");
    assert_eq!(journal.apply(600, &[ask("w499", None)]).expect("kept"), [Reply::Fate(Fate::NotKnown)]);
    assert_eq!(journal.first_sent("w499").expect("read"), Some(499));
    (0..10).for_each(|_| _ = journal.apply(9_000, &[]).expect("kept"));
    assert_eq!(journal.first_sent("w499").expect("read"), None);
    assert_eq!(
        journal.apply(9_000, &[ask("w499", Some(&mid))]).expect("kept"),
        [Reply::Fate(Fate::NotKnown)]
    );
}

#[test]
fn a_write_that_came_again_is_as_young_as_its_second_sending() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = open(folder.path(), Bounds { most: 50, age_ms: 1_000 });
    journal.apply(0, &[record("x", Input::Intend), record("x", Input::ProvedNever)]).expect("kept");
    let others = |from: i64, journal: &mut Journal| {
        for nth in from..from + 30 {
            journal.apply(nth, &[record(&format!("w{nth}"), Input::Intend)]).expect("kept");
        }
    };
    others(0, &mut journal);
    let later = journal.origin();
    let go = journal.apply(40, &[record("x", Input::Intend)]).expect("kept");
    assert_eq!(go, [Reply::Leave(Leave::Go)]);
    // It left, and its store may be at work on it. What came before it is dropped, and then it is itself.
    for round in 1..4 {
        others(round * 100, &mut journal);
        let told = journal.apply(round * 100 + 40, &[ask("x", Some(&later))]).expect("kept");
        assert_eq!(told, [Reply::Fate(Fate::NotKnown)], "round {round}: it may have run");
    }
    // A token's memory counts from there as well.
    let token = Some(Token { scope: Some(7), memory_ms: 3_000 });
    let mut told = |ms: i64, input: Input| {
        let op = Op::Record { id: "t".into(), input, token };
        journal.apply(Now { wall_ms: 600, up: Some(Uptime { boot: 1, ms }) }, &[op]).expect("kept")[0]
    };
    assert_eq!(told(500, Input::Intend), Reply::Leave(Leave::Go));
    told(600, Input::ProvedNever);
    assert_eq!(told(3_000, Input::Intend), Reply::Leave(Leave::Go), "the first never ran");
    assert_eq!(told(4_000, Input::Intend), Reply::Leave(Leave::Join { left_ms: 1_990 }));
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
    let mut journal = open(Path::new(&path), Bounds { most: 1 << 40, age_ms: i64::MAX });
    let mut out = std::io::stderr();
    for nth in from.. {
        let id = format!("w{nth}");
        let mut say = |what: &str| _ = writeln!(out, "{what} {nth}");
        let replies = journal.apply(nth as i64, &[record(&id, Input::Intend)]).expect("kept");
        assert_eq!(replies, [Reply::Leave(Leave::Go)]);
        // Only now the write may leave; the store runs it or doesn't.
        say("left");
        match nth % 3 {
            0 => {
                journal.apply(nth as i64, &[record(&id, Input::Ran(Some(nth as i64)))]).expect("kept");
                say("ran");
            }
            1 => {
                journal.apply(nth as i64, &[record(&id, Input::ProvedNever)]).expect("kept");
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
    let mut told: HashMap<u64, String> = HashMap::new();
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
                    told.insert(number, what.to_string());
                    from = from.max(number + 2);
                }
            }
        }
        child.wait().expect("ended");
        // A next life of the journal says nothing that its last one's words deny.
        let mut journal = open(folder.path(), Bounds { most: 1 << 40, age_ms: i64::MAX });
        for (nth, what) in &told {
            let Reply::Fate(fate) = journal.apply(0, &[ask(&format!("w{nth}"), None)]).expect("kept")[0]
            else {
                panic!("a fate")
            };
            let right = match what.as_str() {
                "ran" => fate == Fate::Ran(Some(*nth as i64)),
                "never" => fate == Fate::Never,
                // Killed behind this word: the end may have been recorded and not said.
                _ => match nth % 3 {
                    0 => matches!(fate, Fate::NotKnown | Fate::Ran(_)),
                    1 => matches!(fate, Fate::NotKnown | Fate::Never),
                    _ => fate == Fate::NotKnown,
                },
            };
            assert!(right, "w{nth}, {what}: {fate:?}");
        }
    }
    assert!(told.len() > 100);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(20_26),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// One id, any inputs in any order: what was told once stays true, and nothing leaves against what was
    /// told.
    #[test]
    fn no_fate_is_ever_taken_back(steps in prop::collection::vec((0..8u8, any::<bool>()), 1..40)) {
        let (mut state, mut told, mut left): (Option<State>, Option<Fate>, u32) = (None, None, 0);
        // What is true of the store: a write that left may run; one that did can't be proved never to have.
        let mut runs = 0;
        for (kind, luck) in steps {
            let input = match kind {
                0 => Input::Intend,
                1 => Input::Again,
                7 => Input::Rejoin { left_ms: 5 },
                2 if left > 0 && runs > 0 => Input::Ran(Some(5)),
                3 if runs == 0 => Input::ProvedNever,
                4 if left > 0 && luck && state == Some(State::Open) => {
                    runs = 1;
                    continue;
                }
                5 | 6 => {
                    let (said, bar) = fate(Known { state, covered: luck, alive: false });
                    match told {
                        Some(before @ (Fate::Ran(_) | Fate::Never)) if said != Fate::NotKnown => {
                            prop_assert_eq!(said, before);
                        }
                        _ => {}
                    }
                    prop_assert!(!(said == Fate::Never && runs > 0), "it ran");
                    prop_assert!(!(matches!(said, Fate::Ran(_)) && runs == 0), "it did not run");
                    if bar {
                        state = next(state, Input::Bar).0;
                    }
                    told = Some(said);
                    continue;
                }
                _ => continue,
            };
            let (to, leave) = next(state, input);
            if let Leave::Join { .. } = leave {
                prop_assert_eq!((state, to), (Some(State::Open), Some(State::Open)), "what repeats is on record");
                prop_assert_ne!(told, Some(Fate::Never));
                left += 1;
            }
            let asks = matches!(input, Input::Intend | Input::Again);
            if asks && leave == Leave::Go {
                prop_assert_ne!(told, Some(Fate::Never), "somebody was told that it never would");
                prop_assert_eq!(to, Some(State::Open), "nothing leaves without a record");
                left += 1;
            }
            prop_assert!(
                matches!(
                    (state, to),
                    (Some(State::Ran(_)), Some(State::Ran(_)))
                        | (Some(State::Never), Some(State::Never))
                        | (Some(State::Open | State::Free) | None, _)
                ),
                "what is settled stays so"
            );
            state = to;
        }
    }
}
