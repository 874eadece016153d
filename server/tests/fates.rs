//! The fate that a client is reported for a write that it asks about again, through kills of the instance that had it.

mod common {
    pub mod connect;
    pub mod router_program;
}

use common::connect::connect;
use common::router_program::ROUTER;
use routing::rng::Mwc;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
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
        self.single_endpoint.start(Path::new(ROUTER), &folder, self.listen[index], 512, &conf)
    }

    fn client(&self, index: usize) -> Client {
        connect(&self.listen[index], "backend", Some("new"))
    }

    /// Waits until the endpoint has executed these writes, then kills the instance before it is notified of that;
    /// returns the instant by which they had executed.
    fn cut_off<const N: usize>(&self, instance: Daemon, writes: [(&'static str, Kind); N]) -> Instant {
        // The first write after an instance starts waits for the endpoint list; the writes after it are sent at once.
        self.wait_until_served("warm");
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
        instance.kill();
        asking.into_iter().for_each(|asking| assert_eq!(asking.join().expect("no panic"), Answer::Missing));
        ran
    }

    /// Sends the write `id` with an idempotency key to instance 0, on a new client each time, until it is served.
    fn wait_until_served(&self, id: &str) {
        while !matches!(self.client(0).request(id, 1, Kind::KeyedWrite, 900).answer, Answer::Value(_)) {}
    }

    fn executions(&self, id: &str) -> usize {
        self.single_endpoint.cluster.lock().executions.get(id).map_or(0, Vec::len)
    }
}

/// A write as its client saw it: its id, the origin of the instance that took it, and its answer.
struct SentWrite {
    id: String,
    origin: String,
    answer: Answer,
}

/// How many fates of each kind were reported.
#[derive(Default)]
struct ReportedFates {
    ran: usize,
    never: usize,
    not_known: usize,
}

/// Six clients of instance 0 that write until `over` is set or their connection is lost; each write goes into `sent`.
fn spawn_writers(
    fixture: &Fixture,
    round: usize,
    over: &Arc<AtomicBool>,
    sent: &Arc<Mutex<Vec<SentWrite>>>,
) -> Vec<JoinHandle<()>> {
    (0..6)
        .map(|index| {
            let (over, sent, mut client) = (over.clone(), sent.clone(), fixture.client(0));
            thread::spawn(move || {
                let origin = client.origin.clone().expect("reported at the start");
                for serial in 0.. {
                    if over.load(Ordering::Acquire) {
                        return;
                    }
                    let id = format!("k{round}-{index}-{serial}");
                    let answer = client.request(&id, 1, Kind::Write, 400).answer;
                    let lost = answer == Answer::Missing;
                    let mut sent = sent.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                    sent.push(SentWrite { id, origin: origin.clone(), answer });
                    if lost {
                        return;
                    }
                }
            })
        })
        .collect()
}

/// Asks for the fate of each write in `sent`, checks it against what the endpoint executed, and counts it in `fates`.
fn check_fates(fixture: &Fixture, client: &mut Client, sent: &[SentWrite], fates: &mut ReportedFates) {
    for SentWrite { id, origin, answer } in sent {
        let executions = fixture.executions(id);
        let fate = client.fate(id, origin);
        let right = match &fate {
            Answer::Value(value) if value.starts_with("ran") => {
                fates.ran += 1;
                executions == 1
            }
            Answer::Value(value) if value == "never" => {
                fates.never += 1;
                executions == 0
            }
            Answer::Error(code) if code == "40003" => {
                fates.not_known += 1;
                true
            }
            _ => false,
        };
        assert!(
            right && executions <= 1,
            "{id}, answered {answer:?}, reported {fate:?}, ran {executions} times"
        );
        // A client whose write was lost or reported as never run may send it again under another id; under this id
        // nothing goes out.
        if *answer == Answer::Missing && fate == Answer::Value("never".into()) {
            let again = client.request(id, 1, Kind::Write, 400).answer;
            assert_eq!(again, Answer::Error("42710".into()), "{id}");
            assert_eq!(fixture.executions(id), 0);
        }
    }
}

#[test]
fn reported_fates_are_correct_after_kills_and_no_write_runs_after_fate_never() {
    let fixture = Fixture::new(4);
    let mut rng = Mwc::new(7);
    // What each write was answered, where it was sent, and which fate was reported for it later.
    let sent: Arc<Mutex<Vec<SentWrite>>> = Arc::default();
    let mut fates = ReportedFates::default();
    for round in 0..14 {
        let daemon = fixture.start(0);
        let over = Arc::new(AtomicBool::new(false));
        let writers = spawn_writers(&fixture, round, &over, &sent);
        thread::sleep(Duration::from_millis(120 + rng.below(160) as u64));
        daemon.kill();
        over.store(true, Ordering::Release);
        writers.into_iter().for_each(|writer| writer.join().expect("no writer panics"));
        // An endpoint may still be executing what was sent; it finishes shortly after.
        thread::sleep(Duration::from_millis(60));
        let daemon = fixture.start(0);
        let mut client = fixture.client(0);
        let sent = std::mem::take(&mut *sent.lock().expect("no writer panicked"));
        check_fates(&fixture, &mut client, &sent, &mut fates);
        daemon.kill();
    }
    let ReportedFates { ran, never, not_known } = fates;
    println!("fates reported: {ran} ran, {never} never, {not_known} not known");
    assert!(ran > 100 && never + not_known > 0);
}

#[test]
fn fates_are_reported_for_unsent_writes_writes_in_flight_and_writes_of_other_instances() {
    let fixture = Fixture::new(300);
    let _daemons = [fixture.start(0), fixture.start(1)];
    // Until it knows the primary an instance rejects a write by half of its time, whatever is recorded of it.
    fixture.wait_until_served("warm");
    let mut client = fixture.client(0);
    let origin = client.origin.clone().expect("reported at the start");
    assert_eq!(client.fate("nobody", &origin), Answer::Value("never".into()));
    assert_eq!(
        client.request("nobody", 1, Kind::Write, 900).answer,
        Answer::Error("42710".into()),
        "it was on its way"
    );
    let mut other = fixture.client(1);
    assert_eq!(other.fate("nobody", &origin), Answer::Error("40003".into()), "another instance's");
    assert_eq!(other.fate("nobody", "x"), Answer::Error("40003".into()));
    // While it has been sent it is under way, and then it has run.
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
            if let Answer::Value(fate) = client.fate(&format!("long-{index}"), "elsewhere.0") {
                seen.push(fate);
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    assert!(asking.join().expect("no panic").is_some(), "one was served");
    assert!(seen.iter().any(|fate| fate == "under way"), "{seen:?}");
    assert!(client.fate("", &origin) == Answer::Error("42601".into()));
}

#[test]
fn after_a_kill_a_keyed_write_may_be_retried_only_within_the_deduplication_window() {
    let fixture = Fixture::new(150);
    let daemon = fixture.start(0);
    let origin = fixture.client(0).origin.expect("reported at the start");
    let ran = fixture
        .cut_off(daemon, [("early", Kind::KeyedWrite), ("late", Kind::KeyedWrite), ("plain", Kind::Write)]);
    let daemon = fixture.start(0);
    let mut client = fixture.client(0);
    assert_eq!(client.fate("early", &origin), Answer::Error("40003".into()), "it may have run");
    let again = client.request("early", 1, Kind::KeyedWrite, 900).answer;
    assert!(matches!(&again, Answer::Value(value) if value.starts_with("early ")), "{again:?}");
    assert!(
        ran.elapsed() < Duration::from_millis(DEDUP_WINDOW_MS as u64),
        "the machine is too slow to show it"
    );
    // That its retry was answered shows that it ran; no endpoint reported where it was committed.
    assert_eq!(client.fate("early", &origin), Answer::Value("ran".into()));
    let barred = Answer::Error("42710".into());
    assert_eq!(client.request("plain", 1, Kind::Write, 900).answer, barred, "it has no idempotency key");
    thread::sleep(Duration::from_millis(DEDUP_WINDOW_MS as u64).saturating_sub(ran.elapsed()));
    assert_eq!(
        client.request("late", 1, Kind::KeyedWrite, 900).answer,
        barred,
        "its retries are no longer deduplicated"
    );
    assert_eq!(["early", "late", "plain"].map(|id| fixture.executions(id)), [1, 1, 1]);
    drop(daemon);
}

#[test]
fn a_retry_that_no_primary_executes_is_aborted_and_not_sent_after_the_deduplication_window() {
    let fixture = Fixture::new(150);
    let ran = fixture.cut_off(fixture.start(0), [("early", Kind::KeyedWrite), ("late", Kind::KeyedWrite)]);
    let daemon = fixture.start(0);
    fixture.wait_until_served("known");
    // The endpoint that takes it now is no longer primary and reports so: this time it is known not to have run.
    fixture.single_endpoint.cluster.lock().endpoints[0].primary = false;
    let asking = [("early", 700), ("late", 2_600)].map(|(id, timeout_ms)| {
        let mut client = fixture.client(0);
        thread::spawn(move || client.request(id, 1, Kind::KeyedWrite, timeout_ms).answer)
    });
    thread::sleep(Duration::from_millis(DEDUP_WINDOW_MS as u64 + 50).saturating_sub(ran.elapsed()));
    fixture.single_endpoint.cluster.lock().endpoints[0].primary = true;
    let [early, late] = asking.map(|asking| asking.join().expect("no panic"));
    assert_eq!(early, Answer::Aborted, "the first attempt may have run, so it is not rejected");
    assert!(matches!(&late, Answer::Aborted | Answer::Error(_)), "{late:?}");
    assert_eq!(["early", "late"].map(|id| fixture.executions(id)), [1, 1]);
    drop(daemon);
}

#[test]
fn a_rejected_write_may_be_retried_under_its_id_until_its_fate_is_reported_as_never() {
    let fixture = Fixture::new(4);
    let daemon = fixture.start(0);
    let mut client = fixture.client(0);
    let origin = client.origin.clone().expect("reported at the start");
    while !matches!(client.request("known", 1, Kind::Write, 900).answer, Answer::Value(_)) {}
    // Once it has been sent, the endpoint that receives it is no longer primary: it is known not to have run.
    fixture.single_endpoint.cluster.lock().endpoints[0].primary = false;
    let asking =
        [("again", Kind::Write), ("token", Kind::KeyedWrite), ("notified", Kind::Write)].map(|(id, kind)| {
            let mut client = fixture.client(0);
            thread::spawn(move || client.request(id, 1, kind, 500).answer)
        });
    for asking in asking {
        let answer = asking.join().expect("no panic");
        assert!(matches!(answer, Answer::Rejected(_)), "{answer:?}");
    }
    assert_eq!(client.fate("notified", &origin), Answer::Value("never".into()));
    fixture.single_endpoint.cluster.lock().endpoints[0].primary = true;
    for (id, kind) in [("again", Kind::Write), ("token", Kind::KeyedWrite)] {
        let (began, mut answer) = (Instant::now(), Answer::Missing);
        while !matches!(answer, Answer::Value(_)) && began.elapsed() < Duration::from_secs(5) {
            answer = client.request(id, 1, kind, 900).answer;
            assert!(matches!(answer, Answer::Value(_) | Answer::Rejected(_)), "{id}: {answer:?}");
        }
        assert!(matches!(client.fate(id, &origin), Answer::Value(fate) if fate.starts_with("ran ")), "{id}");
    }
    assert_eq!(client.request("notified", 1, Kind::Write, 900).answer, Answer::Error("42710".into()));
    assert_eq!(["again", "token", "notified"].map(|id| fixture.executions(id)), [1, 1, 0]);
    drop(daemon);
}
