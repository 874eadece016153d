//! Fates that instances report to clients for their writes, also after kills of the instance that received a write.

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

/// A cluster of one primary, and two instances that each have their own write journal.
struct Fixture {
    single_endpoint: SingleEndpoint,
    listen: [SocketAddr; 2],
}

impl Fixture {
    /// Starts the cluster. The primary takes `work_ms` milliseconds for each write.
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

    /// Sends writes, waits until the endpoint has executed them, and kills the instance before it receives the answers.
    /// Returns an instant by which all had been executed.
    fn kill_before_answers<const N: usize>(
        &self,
        instance: Daemon,
        writes: [(&'static str, Kind); N],
    ) -> Instant {
        // The first write after a start waits for the endpoint list. Later writes are sent at once.
        self.wait_until_served("warm");
        // However late this machine runs the kill, no answer is sent before it.
        self.single_endpoint.cluster.answer_gate.close();
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
        self.single_endpoint.cluster.answer_gate.open();
        ran
    }

    /// Sends the write `id` with an idempotency key to instance 0, each time on a new connection, until it is served.
    fn wait_until_served(&self, id: &str) {
        while !matches!(self.client(0).request(id, 1, Kind::KeyedWrite, 900).answer, Answer::Value(_)) {}
    }

    /// Number of executions of the write `id`.
    fn executions(&self, id: &str) -> usize {
        self.single_endpoint.cluster.lock().executions.get(id).map_or(0, Vec::len)
    }
}

/// A write as recorded by its client: its id, the origin of the instance that received it, and its answer.
struct SentWrite {
    id: String,
    origin: String,
    answer: Answer,
}

/// Number of reported fates of each kind.
#[derive(Default)]
struct ReportedFates {
    ran: usize,
    never: usize,
    not_known: usize,
}

/// Starts six clients of instance 0 that send writes until `over` is set or their connection is lost. Each write is
/// recorded in `sent`.
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

/// Queries the fate of each write in `sent`, checks it against the endpoint's executions, and counts it in `fates`.
fn check_fates(fixture: &Fixture, client: &mut Client, sent: &[SentWrite], fates: &mut ReportedFates) {
    for SentWrite { id, origin, answer } in sent {
        let executions = fixture.executions(id);
        let fate = client.fate(id, origin);
        let is_correct = match &fate {
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
            is_correct && executions <= 1,
            "{id}, answered {answer:?}, reported {fate:?}, ran {executions} times"
        );
        // Once a write was reported as never run, its client may send it again under another id. Under the same id it
        // is not forwarded.
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
    // The writes of the current round.
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
    // An instance that does not know the primary yet rejects a write after half of its timeout, whatever the journal
    // says.
    fixture.wait_until_served("warm");
    let mut client = fixture.client(0);
    let origin = client.origin.clone().expect("reported at the start");
    assert_eq!(client.fate("nobody", &origin), Answer::Value("never".into()));
    assert_eq!(
        client.request("nobody", 1, Kind::Write, 900).answer,
        Answer::Error("42710".into()),
        "a write whose fate was reported as never was accepted"
    );
    let mut other = fixture.client(1);
    assert_eq!(other.fate("nobody", &origin), Answer::Error("40003".into()), "a write of another instance");
    assert_eq!(other.fate("nobody", "x"), Answer::Error("40003".into()));
    // The fate of a write is `under way` from when it is sent until it is answered.
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
    let ran = fixture.kill_before_answers(
        daemon,
        [("early", Kind::KeyedWrite), ("late", Kind::KeyedWrite), ("plain", Kind::Write)],
    );
    let daemon = fixture.start(0);
    let mut client = fixture.client(0);
    assert_eq!(
        client.fate("early", &origin),
        Answer::Error("40003".into()),
        "a write in flight at the kill may have run"
    );
    let again = client.request("early", 1, Kind::KeyedWrite, 900).answer;
    assert!(matches!(&again, Answer::Value(value) if value.starts_with("early ")), "{again:?}");
    assert!(
        ran.elapsed() < Duration::from_millis(DEDUP_WINDOW_MS as u64),
        "the machine is too slow: the deduplication window has already ended"
    );
    // The answer to its retry proves that it ran. No endpoint reported the position of its commit.
    assert_eq!(client.fate("early", &origin), Answer::Value("ran".into()));
    let id_in_use = Answer::Error("42710".into());
    assert_eq!(client.request("plain", 1, Kind::Write, 900).answer, id_in_use, "it has no idempotency key");
    thread::sleep(Duration::from_millis(DEDUP_WINDOW_MS as u64).saturating_sub(ran.elapsed()));
    assert_eq!(
        client.request("late", 1, Kind::KeyedWrite, 900).answer,
        id_in_use,
        "its retries are no longer deduplicated"
    );
    assert_eq!(["early", "late", "plain"].map(|id| fixture.executions(id)), [1, 1, 1]);
    drop(daemon);
}

#[test]
fn a_retry_that_no_primary_executes_is_aborted_and_not_sent_after_the_deduplication_window() {
    let fixture = Fixture::new(150);
    let ran = fixture
        .kill_before_answers(fixture.start(0), [("early", Kind::KeyedWrite), ("late", Kind::KeyedWrite)]);
    let daemon = fixture.start(0);
    fixture.wait_until_served("known");
    // The endpoint is no longer a primary and reports so: the retries are known not to have run.
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
    // The endpoint is no longer a primary when the writes arrive: they are known not to have run.
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
