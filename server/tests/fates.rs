//! The fates that instances report to clients for their writes, also after a kill of the instance that received a
//! write. A reported fate must match the executions at the endpoint.

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

/// SQLSTATE of a write whose id is in use by an open request or a recorded write.
const DUPLICATE_OBJECT: &str = "42710";
/// SQLSTATE of a fate query whose instance does not know whether the write ran.
const STATEMENT_COMPLETION_UNKNOWN: &str = "40003";
/// SQLSTATE of an invalid fate query.
const SYNTAX_ERROR: &str = "42601";

/// A cluster of one primary, and two instances that each have their own write journal.
struct Fixture {
    single_endpoint: SingleEndpoint,
    listen: [SocketAddr; 2],
}

impl Fixture {
    /// Starts the cluster without its instances. The primary takes `work_ms` milliseconds for each write.
    fn new(work_ms: i64) -> Fixture {
        Fixture { single_endpoint: SingleEndpoint::new(work_ms), listen: [free_address(), free_address()] }
    }

    /// Starts an instance and returns at once.
    fn start(&self, index: usize) -> Daemon {
        let folder = self.single_endpoint.folder.path().join(format!("instance-{index}"));
        let operator_file = format!("state-dir {}\nwrite-journal system\n", folder.join("state").display());
        self.single_endpoint.start(Path::new(ROUTER), &folder, self.listen[index], 512, &operator_file)
    }

    /// Connects a client with a new session to an instance.
    fn client(&self, index: usize) -> Client {
        connect(&self.listen[index], "backend", Some("new"))
    }

    /// Sends writes, waits until the endpoint has executed them, and kills the instance before it receives the answers.
    /// Returns an instant that is after all executions.
    fn kill_before_answers<const N: usize>(
        &self,
        instance: Daemon,
        writes: [(&'static str, Kind); N],
    ) -> Instant {
        // The first write after a start waits until the instance knows the primary. Later writes are sent at once.
        self.wait_until_served("warm");
        // Holds back the endpoint's answers until the instance is killed, however long that takes on this machine.
        self.single_endpoint.cluster.answer_gate.close();
        let requests = writes.map(|(id, kind)| {
            let mut client = self.client(0);
            thread::spawn(move || client.request(id, 1, kind, 900).answer)
        });
        let started = Instant::now();
        while writes.iter().any(|(id, _)| self.executions(id) == 0) {
            assert!(
                started.elapsed() < Duration::from_secs(5),
                "a write was not executed within five seconds"
            );
            thread::sleep(Duration::from_millis(2));
        }
        let executed_by = Instant::now();
        instance.kill();
        for request in requests {
            assert_eq!(request.join().expect("a client panicked"), Answer::Missing);
        }
        self.single_endpoint.cluster.answer_gate.open();
        executed_by
    }

    /// Sends the write `id` with an idempotency key to instance 0, each time on a new connection, until it is served.
    fn wait_until_served(&self, id: &str) {
        while !matches!(self.client(0).request(id, 1, Kind::KeyedWrite, 900).answer, Answer::Value(_)) {}
    }

    /// Number of executions of the write `id` at the endpoint.
    fn executions(&self, id: &str) -> usize {
        self.single_endpoint.cluster.lock().executions.get(id).map_or(0, Vec::len)
    }
}

/// A write that a client has sent.
struct SentWrite {
    id: String,
    /// Origin that the instance reported on the connection of the write.
    origin: String,
    answer: Answer,
}

/// Numbers of fate queries by their answers.
#[derive(Default)]
struct FateCounts {
    ran: usize,
    never: usize,
    not_known: usize,
}

/// Starts six clients of instance 0 that send writes until `is_over` is set or their connection is lost. Each client
/// adds its writes and their answers to `sent`.
fn spawn_writers(
    fixture: &Fixture,
    round: usize,
    is_over: &Arc<AtomicBool>,
    sent: &Arc<Mutex<Vec<SentWrite>>>,
) -> Vec<JoinHandle<()>> {
    (0..6)
        .map(|index| {
            let (is_over, sent, mut client) = (is_over.clone(), sent.clone(), fixture.client(0));
            thread::spawn(move || {
                let origin = client.origin.clone().expect("the instance reported no origin");
                for serial in 0.. {
                    if is_over.load(Ordering::Acquire) {
                        return;
                    }
                    let id = format!("k{round}-{index}-{serial}");
                    let answer = client.request(&id, 1, Kind::Write, 400).answer;
                    let is_lost = answer == Answer::Missing;
                    let mut sent = sent.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                    sent.push(SentWrite { id, origin: origin.clone(), answer });
                    if is_lost {
                        return;
                    }
                }
            })
        })
        .collect()
}

/// Queries the fate of each write in `sent`, checks it against the endpoint's executions, and counts the answer in
/// `fates`.
fn check_fates(fixture: &Fixture, client: &mut Client, sent: &[SentWrite], fates: &mut FateCounts) {
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
            Answer::Error(code) if code == STATEMENT_COMPLETION_UNKNOWN => {
                fates.not_known += 1;
                true
            }
            _ => false,
        };
        assert!(
            is_correct && executions <= 1,
            "write {id} was answered with {answer:?} and executed {executions} times, but its fate is {fate:?}"
        );
        // After the fate `never`, the client may send the statement again under another id. So the instance must not
        // forward a late retry under the first id, or the statement would run twice.
        if *answer == Answer::Missing && fate == Answer::Value("never".into()) {
            let retry = client.request(id, 1, Kind::Write, 400).answer;
            assert_eq!(
                retry,
                Answer::Error(DUPLICATE_OBJECT.into()),
                "a retry of {id} was accepted after the fate never"
            );
            assert_eq!(fixture.executions(id), 0, "{id} was executed after the fate never");
        }
    }
}

#[test]
fn fates_match_executions_after_kills_and_never_is_final() {
    let fixture = Fixture::new(4);
    let mut rng = Mwc::new(7);
    // The writes of the current round.
    let sent: Arc<Mutex<Vec<SentWrite>>> = Arc::default();
    let mut fates = FateCounts::default();
    for round in 0..14 {
        let daemon = fixture.start(0);
        let is_over = Arc::new(AtomicBool::new(false));
        let writers = spawn_writers(&fixture, round, &is_over, &sent);
        thread::sleep(Duration::from_millis(120 + rng.below(160) as u64));
        daemon.kill();
        is_over.store(true, Ordering::Release);
        writers.into_iter().for_each(|writer| writer.join().expect("a writer panicked"));
        // The endpoint may still be executing writes that were sent before the kill. They end within this time.
        thread::sleep(Duration::from_millis(60));
        let daemon = fixture.start(0);
        let mut client = fixture.client(0);
        let sent = std::mem::take(&mut *sent.lock().expect("a writer panicked"));
        check_fates(&fixture, &mut client, &sent, &mut fates);
        daemon.kill();
    }
    let FateCounts { ran, never, not_known } = fates;
    println!("fates: {ran} ran, {never} never, {not_known} not known");
    assert!(ran > 100, "only {ran} writes ran, so the test proves little");
    assert!(never + not_known > 0, "all writes ran, so the test proves little");
}

/// Sends writes from another client until one is served. Returns the fates that `client` receives for them meanwhile.
fn fates_during_writes(listen: SocketAddr, client: &mut Client) -> Vec<String> {
    let requests = thread::spawn(move || {
        let mut client = Client::open(&listen).expect("failed to connect");
        (0..20)
            .map(|index| client.request(&format!("long-{index}"), 1, Kind::Write, 900).answer)
            .find(|answer| matches!(answer, Answer::Value(_)))
    });
    let mut fates = Vec::new();
    while !requests.is_finished() {
        for index in 0..20 {
            if let Answer::Value(fate) = client.fate(&format!("long-{index}"), "elsewhere.0") {
                fates.push(fate);
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    assert!(requests.join().expect("the client panicked").is_some(), "no write was served");
    fates
}

#[test]
fn fates_are_reported_for_unsent_in_flight_and_other_instances_writes() {
    let fixture = Fixture::new(300);
    let _instances = [fixture.start(0), fixture.start(1)];
    // An instance that does not know the primary yet rejects a write after half of its timeout, even if the journal
    // forbids the write.
    fixture.wait_until_served("warm");
    let mut client = fixture.client(0);
    let origin = client.origin.clone().expect("the instance reported no origin");
    assert_eq!(client.fate("nobody", &origin), Answer::Value("never".into()));
    assert_eq!(
        client.request("nobody", 1, Kind::Write, 900).answer,
        Answer::Error(DUPLICATE_OBJECT.into()),
        "a write was accepted after its fate was reported as never"
    );
    let mut other = fixture.client(1);
    assert_eq!(
        other.fate("nobody", &origin),
        Answer::Error(STATEMENT_COMPLETION_UNKNOWN.into()),
        "an instance reported a fate for a write of another instance"
    );
    assert_eq!(other.fate("nobody", "x"), Answer::Error(STATEMENT_COMPLETION_UNKNOWN.into()));
    // From when a write is sent until it is answered, its fate is `under way`.
    let fates = fates_during_writes(fixture.listen[0], &mut client);
    assert!(fates.iter().any(|fate| fate == "under way"), "no fate was `under way`: {fates:?}");
    assert_eq!(client.fate("", &origin), Answer::Error(SYNTAX_ERROR.into()));
}

#[test]
fn a_keyed_retry_after_a_kill_is_accepted_only_in_its_dedup_window() {
    let fixture = Fixture::new(150);
    let daemon = fixture.start(0);
    let origin = fixture.client(0).origin.expect("the instance reported no origin");
    let executed_by = fixture.kill_before_answers(
        daemon,
        [("early", Kind::KeyedWrite), ("late", Kind::KeyedWrite), ("plain", Kind::Write)],
    );
    let daemon = fixture.start(0);
    let mut client = fixture.client(0);
    assert_eq!(
        client.fate("early", &origin),
        Answer::Error(STATEMENT_COMPLETION_UNKNOWN.into()),
        "a fate was reported for a write that was in flight at the kill"
    );
    let retry = client.request("early", 1, Kind::KeyedWrite, 900).answer;
    assert!(
        matches!(&retry, Answer::Value(value) if value.starts_with("early ")),
        "a keyed retry within the deduplication window was not served: {retry:?}"
    );
    let window = Duration::from_millis(DEDUP_WINDOW_MS as u64);
    assert!(executed_by.elapsed() < window, "the machine is too slow: the window ended before the answer");
    // The answer to the retry proves that the write ran. The fate has no position, because no endpoint has reported
    // the position of the commit.
    assert_eq!(client.fate("early", &origin), Answer::Value("ran".into()));
    let id_in_use = Answer::Error(DUPLICATE_OBJECT.into());
    assert_eq!(
        client.request("plain", 1, Kind::Write, 900).answer,
        id_in_use,
        "a retry without an idempotency key was accepted"
    );
    thread::sleep(window.saturating_sub(executed_by.elapsed()));
    assert_eq!(
        client.request("late", 1, Kind::KeyedWrite, 900).answer,
        id_in_use,
        "a keyed retry was accepted after the deduplication window"
    );
    assert_eq!(["early", "late", "plain"].map(|id| fixture.executions(id)), [1, 1, 1]);
    drop(daemon);
}

#[test]
fn a_retry_without_a_primary_is_aborted_and_not_sent_after_its_window() {
    let fixture = Fixture::new(150);
    let executed_by = fixture
        .kill_before_answers(fixture.start(0), [("early", Kind::KeyedWrite), ("late", Kind::KeyedWrite)]);
    let daemon = fixture.start(0);
    fixture.wait_until_served("known");
    // The endpoint is no longer a primary and answers so, which shows that it did not execute the retries.
    fixture.single_endpoint.cluster.lock().endpoints[0].primary = false;
    let requests = [("early", 700), ("late", 2_600)].map(|(id, timeout_ms)| {
        let mut client = fixture.client(0);
        thread::spawn(move || client.request(id, 1, Kind::KeyedWrite, timeout_ms).answer)
    });
    thread::sleep(Duration::from_millis(DEDUP_WINDOW_MS as u64 + 50).saturating_sub(executed_by.elapsed()));
    fixture.single_endpoint.cluster.lock().endpoints[0].primary = true;
    let [early, late] = requests.map(|request| request.join().expect("a client panicked"));
    assert_eq!(early, Answer::Aborted, "a retry of a write that may have run was not aborted");
    assert!(
        matches!(&late, Answer::Aborted | Answer::Error(_)),
        "a retry was served or rejected after the deduplication window: {late:?}"
    );
    assert_eq!(["early", "late"].map(|id| fixture.executions(id)), [1, 1]);
    drop(daemon);
}

#[test]
fn a_rejected_write_can_be_retried_until_its_fate_is_reported_as_never() {
    let fixture = Fixture::new(4);
    let daemon = fixture.start(0);
    let mut client = fixture.client(0);
    let origin = client.origin.clone().expect("the instance reported no origin");
    while !matches!(client.request("known", 1, Kind::Write, 900).answer, Answer::Value(_)) {}
    // The endpoint is no longer a primary when the writes arrive, so it does not execute them.
    fixture.single_endpoint.cluster.lock().endpoints[0].primary = false;
    let requests =
        [("again", Kind::Write), ("token", Kind::KeyedWrite), ("notified", Kind::Write)].map(|(id, kind)| {
            let mut client = fixture.client(0);
            thread::spawn(move || client.request(id, 1, kind, 500).answer)
        });
    for request in requests {
        let answer = request.join().expect("a client panicked");
        assert!(matches!(answer, Answer::Rejected(_)), "a write without a primary got {answer:?}");
    }
    assert_eq!(client.fate("notified", &origin), Answer::Value("never".into()));
    fixture.single_endpoint.cluster.lock().endpoints[0].primary = true;
    for (id, kind) in [("again", Kind::Write), ("token", Kind::KeyedWrite)] {
        let (started, mut answer) = (Instant::now(), Answer::Missing);
        while !matches!(answer, Answer::Value(_)) && started.elapsed() < Duration::from_secs(5) {
            answer = client.request(id, 1, kind, 900).answer;
            assert!(
                matches!(answer, Answer::Value(_) | Answer::Rejected(_)),
                "a retry of {id} was neither served nor rejected: {answer:?}"
            );
        }
        assert!(
            matches!(client.fate(id, &origin), Answer::Value(fate) if fate.starts_with("ran ")),
            "the fate of {id} is not `ran` with a position"
        );
    }
    assert_eq!(
        client.request("notified", 1, Kind::Write, 900).answer,
        Answer::Error(DUPLICATE_OBJECT.into())
    );
    assert_eq!(["again", "token", "notified"].map(|id| fixture.executions(id)), [1, 1, 0]);
    drop(daemon);
}
