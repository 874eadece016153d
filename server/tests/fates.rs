//! What a client is told of a write that it asks about again, through kills of the instance that had it.

use routing::rng::Mwc;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use test_servers::client::{Answer, Client, Kind};
use test_servers::daemon::Daemon;
use test_servers::endpoint::free_address;
use test_servers::settings::DEDUP_WINDOW_MS;
use test_servers::single_endpoint::SingleEndpoint;

/// One primary, which takes a few milliseconds for each write, and two instances with journals of their own.
struct Fixture {
    single_endpoint: SingleEndpoint,
    listen: [SocketAddr; 2],
}

impl Fixture {
    fn new(work_ms: i64) -> Fixture {
        Fixture { single_endpoint: SingleEndpoint::new(work_ms), listen: [free_address(), free_address()] }
    }

    fn start(&self, index: usize) -> Daemon {
        let folder = self.single_endpoint.folder.path().join(format!("instance-{index}"));
        let conf = format!("state-dir {}\nwrite-journal system\n", folder.join("state").display());
        let program = Path::new(env!("CARGO_BIN_EXE_query-router"));
        self.single_endpoint.start(program, &folder, self.listen[index], 512, &conf)
    }

    fn client(&self, index: usize) -> Client {
        let began = Instant::now();
        loop {
            match Client::with_session(&self.listen[index], "backend", Some("new")) {
                Ok(client) => return client,
                Err(why) => assert!(began.elapsed() < Duration::from_secs(10), "{why}"),
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Has these run, and kills the instance before it hears of that; the moment by which they had.
    fn cut_off<const N: usize>(&self, front: Daemon, writes: [(&'static str, Kind); N]) -> Instant {
        // The first of an instance's life waits for the list; what comes behind it is sent at once.
        while !matches!(self.client(0).request("warm", 1, Kind::KeyedWrite, 900).answer, Answer::Value(_)) {}
        let asking = writes.map(|(id, kind)| {
            let mut client = self.client(0);
            thread::spawn(move || client.request(id, 1, kind, 900).answer)
        });
        let began = Instant::now();
        while writes.iter().any(|(id, _)| self.executions(id) == 0) {
            assert!(began.elapsed() < Duration::from_secs(5), "they are sent at once");
            thread::sleep(Duration::from_millis(2));
        }
        let ran = Instant::now();
        front.kill();
        asking.into_iter().for_each(|asking| assert_eq!(asking.join().expect("no panic"), Answer::Missing));
        ran
    }

    fn executions(&self, id: &str) -> usize {
        self.single_endpoint.cluster.lock().executions.get(id).map_or(0, Vec::len)
    }
}

#[test]
fn through_kills_no_client_is_told_wrong_and_nothing_runs_after_it_was_told_never() {
    let fixture = Fixture::new(4);
    let mut rng = Mwc::new(7);
    // What each write was answered, where it was sent, and what was told of it later.
    let sent: Arc<Mutex<Vec<(String, String, Answer)>>> = Arc::default();
    let (mut told_ran, mut told_never, mut not_known) = (0, 0, 0);
    for round in 0..14 {
        let daemon = fixture.start(0);
        let over = Arc::new(AtomicBool::new(false));
        let writers: Vec<_> = (0..6)
            .map(|index| {
                let (over, sent, mut client) = (over.clone(), sent.clone(), fixture.client(0));
                thread::spawn(move || {
                    let origin = client.origin.clone().expect("told at the start");
                    for serial in 0.. {
                        if over.load(Ordering::Acquire) {
                            return;
                        }
                        let id = format!("k{round}-{index}-{serial}");
                        let answer = client.request(&id, 1, Kind::Write, 400).answer;
                        let lost = answer == Answer::Missing;
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
        // An endpoint may still be at work on what left; it ends soon after.
        thread::sleep(Duration::from_millis(60));
        let daemon = fixture.start(0);
        let mut client = fixture.client(0);
        let sent = std::mem::take(&mut *sent.lock().expect("no writer panicked"));
        for (id, origin, answer) in &sent {
            let executions = fixture.executions(id);
            let fate = client.fate(id, origin);
            let right = match &fate {
                Answer::Value(word) if word.starts_with("ran") => {
                    told_ran += 1;
                    executions == 1
                }
                Answer::Value(word) if word == "never" => {
                    told_never += 1;
                    executions == 0
                }
                Answer::Error(code) if code == "40003" => {
                    not_known += 1;
                    true
                }
                _ => false,
            };
            assert!(
                right && executions <= 1,
                "{id}, answered {answer:?}, told {fate:?}, ran {executions} times"
            );
            // Who was rejected or told never may send it again, under another id; under this one nothing
            // goes.
            if *answer == Answer::Missing && fate == Answer::Value("never".into()) {
                let again = client.request(id, 1, Kind::Write, 400).answer;
                assert_eq!(again, Answer::Error("42710".into()), "{id}");
                assert_eq!(fixture.executions(id), 0);
            }
        }
        daemon.kill();
    }
    println!("told: {told_ran} ran, {told_never} never, {not_known} not known");
    assert!(told_ran > 100 && told_never + not_known > 0);
}

#[test]
fn a_write_that_never_left_or_went_elsewhere_is_told_as_such() {
    let fixture = Fixture::new(300);
    let _daemons = [fixture.start(0), fixture.start(1)];
    // Until it knows the primary an instance rejects a write by half of its time, whatever is recorded of it.
    while !matches!(fixture.client(0).request("warm", 1, Kind::KeyedWrite, 900).answer, Answer::Value(_)) {}
    let mut client = fixture.client(0);
    let origin = client.origin.clone().expect("told at the start");
    assert_eq!(client.fate("nobody", &origin), Answer::Value("never".into()));
    assert_eq!(
        client.request("nobody", 1, Kind::Write, 900).answer,
        Answer::Error("42710".into()),
        "it was on its way"
    );
    let mut other = fixture.client(1);
    assert_eq!(other.fate("nobody", &origin), Answer::Error("40003".into()), "another front's");
    assert_eq!(other.fate("nobody", "x"), Answer::Error("40003".into()));
    // While it is out it is under way, and then it has run.
    let listen = fixture.listen[0];
    let asking = thread::spawn(move || {
        let mut client = Client::open(&listen).expect("a client");
        (0..20)
            .map(|index| client.request(&format!("long-{index}"), 1, Kind::Write, 900).answer)
            .find(|answer| matches!(answer, Answer::Value(_)))
    });
    let mut seen = Vec::new();
    while !asking.is_finished() {
        for index in 0..20 {
            if let Answer::Value(word) = client.fate(&format!("long-{index}"), "elsewhere.0") {
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
    let fixture = Fixture::new(150);
    let daemon = fixture.start(0);
    let origin = fixture.client(0).origin.expect("told at the start");
    let ran = fixture
        .cut_off(daemon, [("soon", Kind::KeyedWrite), ("late", Kind::KeyedWrite), ("plain", Kind::Write)]);
    let daemon = fixture.start(0);
    let mut client = fixture.client(0);
    assert_eq!(client.fate("soon", &origin), Answer::Error("40003".into()), "it may have run");
    let again = client.request("soon", 1, Kind::KeyedWrite, 900).answer;
    assert!(matches!(&again, Answer::Value(word) if word.starts_with("soon ")), "{again:?}");
    assert!(
        ran.elapsed() < Duration::from_millis(DEDUP_WINDOW_MS as u64),
        "the machine is too slow to show it"
    );
    // That its repeat was answered shows that it ran; where it was committed nobody said.
    assert_eq!(client.fate("soon", &origin), Answer::Value("ran".into()));
    let barred = Answer::Error("42710".into());
    assert_eq!(client.request("plain", 1, Kind::Write, 900).answer, barred, "it has no token");
    thread::sleep(Duration::from_millis(DEDUP_WINDOW_MS as u64).saturating_sub(ran.elapsed()));
    assert_eq!(
        client.request("late", 1, Kind::KeyedWrite, 900).answer,
        barred,
        "its repeats are dropped no more"
    );
    assert_eq!(["soon", "late", "plain"].map(|id| fixture.executions(id)), [1, 1, 1]);
    drop(daemon);
}

#[test]
fn a_repeat_that_no_store_took_is_aborted_and_does_not_go_out_past_its_memory() {
    let fixture = Fixture::new(150);
    let ran = fixture.cut_off(fixture.start(0), [("soon", Kind::KeyedWrite), ("late", Kind::KeyedWrite)]);
    let daemon = fixture.start(0);
    while !matches!(fixture.client(0).request("known", 1, Kind::KeyedWrite, 900).answer, Answer::Value(_)) {}
    // What takes it now is a primary no more, and says so: this time it is known not to have run.
    fixture.single_endpoint.cluster.lock().endpoints[0].primary = false;
    let asking = [("soon", 700), ("late", 2_600)].map(|(id, patience)| {
        let mut client = fixture.client(0);
        thread::spawn(move || client.request(id, 1, Kind::KeyedWrite, patience).answer)
    });
    thread::sleep(Duration::from_millis(DEDUP_WINDOW_MS as u64 + 50).saturating_sub(ran.elapsed()));
    fixture.single_endpoint.cluster.lock().endpoints[0].primary = true;
    let [soon, late] = asking.map(|asking| asking.join().expect("no panic"));
    assert_eq!(soon, Answer::Aborted, "the first try may have run, so it is not rejected");
    assert!(matches!(&late, Answer::Aborted | Answer::Error(_)), "{late:?}");
    assert_eq!(["soon", "late"].map(|id| fixture.executions(id)), [1, 1]);
    drop(daemon);
}

#[test]
fn a_write_that_was_pushed_back_may_come_again_under_its_id_until_somebody_is_told_never() {
    let fixture = Fixture::new(4);
    let daemon = fixture.start(0);
    let mut client = fixture.client(0);
    let origin = client.origin.clone().expect("told at the start");
    while !matches!(client.request("known", 1, Kind::Write, 900).answer, Answer::Value(_)) {}
    // It leaves, and the endpoint that got it is a primary no more: known not to have run.
    fixture.single_endpoint.cluster.lock().endpoints[0].primary = false;
    let asking =
        [("again", Kind::Write), ("token", Kind::KeyedWrite), ("told", Kind::Write)].map(|(id, kind)| {
            let mut client = fixture.client(0);
            thread::spawn(move || client.request(id, 1, kind, 500).answer)
        });
    for asking in asking {
        let answer = asking.join().expect("no panic");
        assert!(matches!(answer, Answer::Rejected(_)), "{answer:?}");
    }
    assert_eq!(client.fate("told", &origin), Answer::Value("never".into()));
    fixture.single_endpoint.cluster.lock().endpoints[0].primary = true;
    for (id, kind) in [("again", Kind::Write), ("token", Kind::KeyedWrite)] {
        let (began, mut answer) = (Instant::now(), Answer::Missing);
        while !matches!(answer, Answer::Value(_)) && began.elapsed() < Duration::from_secs(5) {
            answer = client.request(id, 1, kind, 900).answer;
            assert!(matches!(answer, Answer::Value(_) | Answer::Rejected(_)), "{id}: {answer:?}");
        }
        assert!(matches!(client.fate(id, &origin), Answer::Value(word) if word.starts_with("ran ")), "{id}");
    }
    assert_eq!(client.request("told", 1, Kind::Write, 900).answer, Answer::Error("42710".into()));
    assert_eq!(["again", "token", "told"].map(|id| fixture.executions(id)), [1, 1, 0]);
    drop(daemon);
}
