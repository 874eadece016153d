//! What a client is told of a write that it asks about again, through kills of the front that had it.

use routing::rng::Mwc;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use test_servers::client::{Answer, Client, Kind};
use test_servers::daemon::Daemon;
use test_servers::lone::Lone;
use test_servers::store::{free_address, MEMORY_MS};

/// One primary, which takes a few milliseconds for each write, and two fronts with journals of their own.
struct Place {
    lone: Lone,
    listen: [SocketAddr; 2],
}

impl Place {
    fn new(work_ms: i64) -> Place {
        Place { lone: Lone::new(work_ms), listen: [free_address(), free_address()] }
    }

    fn start(&self, nth: usize) -> Daemon {
        let folder = self.lone.folder.path().join(format!("front-{nth}"));
        let conf = format!("state-dir {}\nwrite-journal system\n", folder.join("state").display());
        let program = Path::new(env!("CARGO_BIN_EXE_query-router"));
        self.lone.start(program, &folder, self.listen[nth], 512, &conf)
    }

    fn client(&self, nth: usize) -> Client {
        let began = Instant::now();
        loop {
            match Client::with_session(&self.listen[nth], "backend", Some("new")) {
                Ok(client) => return client,
                Err(why) => assert!(began.elapsed() < Duration::from_secs(10), "{why}"),
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Has these run, and kills the front before it hears of that; the moment by which they had.
    fn cut_off<const N: usize>(&self, front: Daemon, writes: [(&'static str, Kind); N]) -> Instant {
        // The first of a front's life waits for the list; what comes behind it is sent at once.
        while !matches!(self.client(0).ask("warm", 1, Kind::Tokened, 900).answer, Answer::Value(_)) {}
        let asking = writes.map(|(id, kind)| {
            let mut client = self.client(0);
            thread::spawn(move || client.ask(id, 1, kind, 900).answer)
        });
        let began = Instant::now();
        while writes.iter().any(|(id, _)| self.runs(id) == 0) {
            assert!(began.elapsed() < Duration::from_secs(5), "they are sent at once");
            thread::sleep(Duration::from_millis(2));
        }
        let ran = Instant::now();
        front.kill();
        asking.into_iter().for_each(|asking| assert_eq!(asking.join().expect("no panic"), Answer::None));
        ran
    }

    fn runs(&self, id: &str) -> usize {
        self.lone.world.lock().runs.get(id).map_or(0, Vec::len)
    }
}

#[test]
fn through_kills_no_client_is_told_wrong_and_nothing_runs_after_it_was_told_never() {
    let place = Place::new(4);
    let mut rng = Mwc::new(7);
    // What each write was answered, where it was sent, and what was told of it later.
    let sent: Arc<Mutex<Vec<(String, String, Answer)>>> = Arc::default();
    let (mut told_ran, mut told_never, mut not_known) = (0, 0, 0);
    for round in 0..14 {
        let daemon = place.start(0);
        let over = Arc::new(AtomicBool::new(false));
        let writers: Vec<_> = (0..6)
            .map(|nth| {
                let (over, sent, mut client) = (over.clone(), sent.clone(), place.client(0));
                thread::spawn(move || {
                    let origin = client.origin.clone().expect("told at the start");
                    for serial in 0.. {
                        if over.load(Ordering::Acquire) {
                            return;
                        }
                        let id = format!("k{round}-{nth}-{serial}");
                        let answer = client.ask(&id, 1, Kind::Write, 400).answer;
                        let lost = answer == Answer::None;
                        let mut sent = sent.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                        sent.push((id, origin.clone(), answer));
                        if lost {
                            return;
                        }
                    }
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(120 + rng.below(160) as u64));
        daemon.kill();
        over.store(true, Ordering::Release);
        writers.into_iter().for_each(|writer| writer.join().expect("no writer panics"));
        // A store may still be at work on what left; it ends soon after.
        thread::sleep(Duration::from_millis(60));
        let daemon = place.start(0);
        let mut client = place.client(0);
        let sent = std::mem::take(&mut *sent.lock().expect("no writer panicked"));
        for (id, origin, answer) in &sent {
            let runs = place.runs(id);
            let fate = client.fate(id, origin);
            let right = match &fate {
                Answer::Value(word) if word.starts_with("ran") => {
                    told_ran += 1;
                    runs == 1
                }
                Answer::Value(word) if word == "never" => {
                    told_never += 1;
                    runs == 0
                }
                Answer::Error(code) if code == "40003" => {
                    not_known += 1;
                    true
                }
                _ => false,
            };
            assert!(right && runs <= 1, "{id}, answered {answer:?}, told {fate:?}, ran {runs} times");
            // Who was pushed back or told never may send it again, under another id; under this one nothing
            // goes.
            if *answer == Answer::None && fate == Answer::Value("never".into()) {
                let again = client.ask(id, 1, Kind::Write, 400).answer;
                assert_eq!(again, Answer::Error("42710".into()), "{id}");
                assert_eq!(place.runs(id), 0);
            }
        }
        daemon.kill();
    }
    println!("told: {told_ran} ran, {told_never} never, {not_known} not known");
    assert!(told_ran > 100 && told_never + not_known > 0);
}

#[test]
fn a_write_that_never_left_or_went_elsewhere_is_told_as_such() {
    let place = Place::new(300);
    let _daemons = [place.start(0), place.start(1)];
    let mut client = place.client(0);
    let origin = client.origin.clone().expect("told at the start");
    assert_eq!(client.fate("nobody", &origin), Answer::Value("never".into()));
    assert_eq!(
        client.ask("nobody", 1, Kind::Write, 900).answer,
        Answer::Error("42710".into()),
        "it was on its way"
    );
    let mut other = place.client(1);
    assert_eq!(other.fate("nobody", &origin), Answer::Error("40003".into()), "another front's");
    assert_eq!(other.fate("nobody", "x"), Answer::Error("40003".into()));
    // While it is out it is under way, and then it has run.
    let listen = place.listen[0];
    let asking = thread::spawn(move || {
        let mut client = Client::open(&listen).expect("a client");
        (0..20)
            .map(|nth| client.ask(&format!("long-{nth}"), 1, Kind::Write, 900).answer)
            .find(|answer| matches!(answer, Answer::Value(_)))
    });
    let mut seen = Vec::new();
    while !asking.is_finished() {
        for nth in 0..20 {
            if let Answer::Value(word) = client.fate(&format!("long-{nth}"), "elsewhere.0") {
                seen.push(word);
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    assert!(asking.join().expect("no panic").is_some(), "one was served");
    assert!(seen.iter().any(|word| word == "under way"), "{seen:?}");
    assert!(client.fate("", &origin) == Answer::Error("42601".into()));
}

#[test]
fn a_tokened_write_goes_out_again_after_a_kill_while_its_repeats_are_dropped_and_no_longer() {
    let place = Place::new(150);
    let daemon = place.start(0);
    let origin = place.client(0).origin.expect("told at the start");
    let ran =
        place.cut_off(daemon, [("soon", Kind::Tokened), ("late", Kind::Tokened), ("plain", Kind::Write)]);
    let daemon = place.start(0);
    let mut client = place.client(0);
    assert_eq!(client.fate("soon", &origin), Answer::Error("40003".into()), "it may have run");
    let again = client.ask("soon", 1, Kind::Tokened, 900).answer;
    assert!(matches!(&again, Answer::Value(word) if word.starts_with("soon ")), "{again:?}");
    assert!(ran.elapsed() < Duration::from_millis(MEMORY_MS as u64), "the machine is too slow to show it");
    // That its repeat was answered shows that it ran; where it was committed nobody said.
    assert_eq!(client.fate("soon", &origin), Answer::Value("ran".into()));
    let barred = Answer::Error("42710".into());
    assert_eq!(client.ask("plain", 1, Kind::Write, 900).answer, barred, "it has no token");
    thread::sleep(Duration::from_millis(MEMORY_MS as u64).saturating_sub(ran.elapsed()));
    assert_eq!(client.ask("late", 1, Kind::Tokened, 900).answer, barred, "its repeats are dropped no more");
    assert_eq!(["soon", "late", "plain"].map(|id| place.runs(id)), [1, 1, 1]);
    drop(daemon);
}

#[test]
fn a_repeat_that_no_store_took_is_aborted_and_does_not_go_out_past_its_memory() {
    let place = Place::new(150);
    let ran = place.cut_off(place.start(0), [("soon", Kind::Tokened), ("late", Kind::Tokened)]);
    let daemon = place.start(0);
    while !matches!(place.client(0).ask("known", 1, Kind::Tokened, 900).answer, Answer::Value(_)) {}
    // What takes it now is a primary no more, and says so: this time it is known not to have run.
    place.lone.world.lock().machines[0].primary = false;
    let asking = [("soon", 700), ("late", 2_600)].map(|(id, patience)| {
        let mut client = place.client(0);
        thread::spawn(move || client.ask(id, 1, Kind::Tokened, patience).answer)
    });
    thread::sleep(Duration::from_millis(MEMORY_MS as u64 + 50).saturating_sub(ran.elapsed()));
    place.lone.world.lock().machines[0].primary = true;
    let [soon, late] = asking.map(|asking| asking.join().expect("no panic"));
    assert_eq!(soon, Answer::Aborted, "the first try may have run, so it is not pushed back");
    assert!(matches!(&late, Answer::Aborted | Answer::Error(_)), "{late:?}");
    assert_eq!(["soon", "late"].map(|id| place.runs(id)), [1, 1]);
    drop(daemon);
}

#[test]
fn a_write_that_was_pushed_back_may_come_again_under_its_id_until_somebody_is_told_never() {
    let place = Place::new(4);
    let daemon = place.start(0);
    let mut client = place.client(0);
    let origin = client.origin.clone().expect("told at the start");
    while !matches!(client.ask("known", 1, Kind::Write, 900).answer, Answer::Value(_)) {}
    // It leaves, and the store that got it is a primary no more: known not to have run.
    place.lone.world.lock().machines[0].primary = false;
    let asking =
        [("again", Kind::Write), ("token", Kind::Tokened), ("told", Kind::Write)].map(|(id, kind)| {
            let mut client = place.client(0);
            thread::spawn(move || client.ask(id, 1, kind, 500).answer)
        });
    for asking in asking {
        let answer = asking.join().expect("no panic");
        assert!(matches!(answer, Answer::PushedBack(_)), "{answer:?}");
    }
    assert_eq!(client.fate("told", &origin), Answer::Value("never".into()));
    place.lone.world.lock().machines[0].primary = true;
    for (id, kind) in [("again", Kind::Write), ("token", Kind::Tokened)] {
        let (began, mut answer) = (Instant::now(), Answer::None);
        while !matches!(answer, Answer::Value(_)) && began.elapsed() < Duration::from_secs(5) {
            answer = client.ask(id, 1, kind, 900).answer;
            assert!(matches!(answer, Answer::Value(_) | Answer::PushedBack(_)), "{id}: {answer:?}");
        }
        assert!(matches!(client.fate(id, &origin), Answer::Value(word) if word.starts_with("ran ")), "{id}");
    }
    assert_eq!(client.ask("told", 1, Kind::Write, 900).answer, Answer::Error("42710".into()));
    assert_eq!(["again", "token", "told"].map(|id| place.runs(id)), [1, 1, 0]);
    drop(daemon);
}
