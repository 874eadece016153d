//! A client that continues one session on several instances, and resolves its writes in doubt. A write is in doubt if
//! it was aborted or its answer was lost, so that the client does not know whether it was executed.

use super::plan::GROUPS;
use crate::client::{Answer, Client, Kind, RequestRecord, RequestTimeouts};
use crate::cluster::unix_ms;
use crate::lock;
use crate::random::{choose, one_in, JitteredMs};
use history_checker::FateAnswer;
use routing::rng::Mwc;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A client closes its connection before a request, to continue on a random instance, with a probability of one in
/// this number.
const REQUESTS_PER_MOVE: usize = 4;
/// Pause of a client between two requests.
const REQUEST_PAUSE: JitteredMs = JitteredMs { min_ms: 2, jitter_ms: 10 };
/// Kinds of requests to choose from, in their proportions.
const REQUEST_KINDS: [Kind; 5] = [Kind::Read, Kind::Read, Kind::Read, Kind::Write, Kind::KeyedWrite];
const TIMEOUTS: RequestTimeouts = RequestTimeouts { read_ms: 400, write_ms: 700 };
const RECONNECT_DELAY: Duration = Duration::from_millis(3);
/// Maximum number of attempts to reconnect to the instance that a write in doubt was sent to.
const MAX_RECONNECTS: usize = 400;
/// Delays to choose from before a client resolves a write in doubt. The longest exceeds the deduplication window.
const RESOLVE_DELAYS_MS: [u64; 4] = [0, 0, 40, 1_700];
/// A keyed write in doubt is not sent again with a probability of one in this number. Its fate is then that of the
/// first attempt.
const KEYED_WRITES_PER_UNRETRIED: usize = 3;
/// Value of the session parameter that begins a session.
const NEW_SESSION: &str = "new";
/// User that clients connect as.
const USER: &str = "backend";

/// State that the clients share with the thread that kills instances.
pub(super) struct RunState {
    /// Addresses of the instances.
    pub listen: Vec<SocketAddr>,
    /// Times of the kills of each instance, in Unix milliseconds.
    pub killed_ms: Vec<Mutex<Vec<i64>>>,
    /// Set at the end of the run.
    pub is_over: AtomicBool,
}

/// A client that continues one session on several instances, and what it has recorded.
pub(super) struct SessionClient {
    shared: Arc<RunState>,
    uses_session: bool,
    index: usize,
    rng: Mwc,
    serial: usize,
    token: Option<String>,
    /// Records of the client's requests.
    pub records: Vec<RequestRecord>,
    /// Answers to the client's fate queries.
    pub fates: Vec<FateAnswer>,
    /// Number of writes that were aborted or whose answer was lost.
    pub writes_in_doubt: usize,
    /// Number of writes in doubt that were served when they were sent again.
    pub served_on_retry: usize,
}

/// A connection to the instance with this index, and when it was opened, in Unix milliseconds.
struct Connection {
    client: Client,
    instance: usize,
    opened_ms: i64,
}

/// A write in doubt.
struct Write<'a> {
    id: &'a str,
    group: i64,
    kind: Kind,
}

impl SessionClient {
    /// Creates a client that has no session yet. If `uses_session` is false, it connects without a session.
    pub fn new(seed: u64, index: usize, uses_session: bool, shared: Arc<RunState>) -> SessionClient {
        SessionClient {
            shared,
            uses_session,
            index,
            rng: Mwc::new(seed),
            serial: 0,
            token: None,
            records: Vec::new(),
            fates: Vec::new(),
            writes_in_doubt: 0,
            served_on_retry: 0,
        }
    }

    /// Sends requests until the run is over. Returns the client with its records.
    pub fn run(mut self) -> SessionClient {
        let mut connection = None;
        while !self.shared.is_over.load(Ordering::Acquire) {
            if one_in(&mut self.rng, REQUESTS_PER_MOVE) {
                connection = None;
            }
            let instance = self.rng.below(self.shared.listen.len());
            let Some(current) = connection.take().or_else(|| self.open(instance)) else { continue };
            connection = self.send_next(current);
            thread::sleep(Duration::from_millis(REQUEST_PAUSE.sample(&mut self.rng) as u64));
        }
        self
    }

    /// Sends a random request, and resolves it if it is a write in doubt. Returns the connection unless it has ended.
    fn send_next(&mut self, mut connection: Connection) -> Option<Connection> {
        self.serial += 1;
        let id = format!("{:x}.{:x}", self.index, self.serial);
        let kind = choose(&mut self.rng, &REQUEST_KINDS);
        let group = choose(&mut self.rng, &GROUPS);
        let answer = self.request(&mut connection, &id, group, kind);
        let is_in_doubt = matches!(answer, Answer::Missing | Answer::Aborted) && kind != Kind::Read;
        if is_in_doubt {
            self.writes_in_doubt += 1;
            let Connection { client, instance, .. } = connection;
            let origin = client.origin.clone();
            drop(client);
            self.resolve_doubt(instance, &Write { id: &id, group, kind }, origin);
            return None;
        }
        (answer != Answer::Missing).then_some(connection)
    }

    /// Connects to an instance and continues the session. Waits for a short time after a failure.
    fn open(&mut self, instance: usize) -> Option<Connection> {
        let opened_ms = unix_ms();
        let session = self.uses_session.then(|| self.token.as_deref().unwrap_or(NEW_SESSION));
        let client = Client::with_session(&self.shared.listen[instance], USER, session).ok();
        let client = client.filter(|client| client.rejected_with.is_none());
        if client.is_none() {
            thread::sleep(RECONNECT_DELAY);
        }
        client.map(|client| Connection { client, instance, opened_ms })
    }

    /// Sends a request and records it, and stores the session token that the answer contains.
    fn request(&mut self, connection: &mut Connection, id: &str, group: i64, kind: Kind) -> Answer {
        let mut record = connection.client.request(id, group, kind, TIMEOUTS.of(kind));
        let killed_ms = lock(&self.shared.killed_ms[connection.instance]);
        record.router_killed = killed_ms.iter().any(|&at_ms| at_ms >= connection.opened_ms);
        drop(killed_ms);
        self.token = connection.client.token.clone().or(self.token.take());
        let answer = record.answer.clone();
        self.records.push(record);
        answer
    }

    /// Resolves a write in doubt at the instance that it was sent to: sends most writes with an idempotency key again,
    /// in some cases after the deduplication window, and queries the fate of the write.
    fn resolve_doubt(&mut self, instance: usize, write: &Write, origin: Option<String>) {
        let delay_ms = choose(&mut self.rng, &RESOLVE_DELAYS_MS);
        thread::sleep(Duration::from_millis(delay_ms));
        let mut tries = 0..MAX_RECONNECTS;
        let Some(mut connection) = tries.find_map(|_| self.open(instance)) else { return };
        if write.kind == Kind::KeyedWrite && !one_in(&mut self.rng, KEYED_WRITES_PER_UNRETRIED) {
            let answer = self.request(&mut connection, write.id, write.group, write.kind);
            self.served_on_retry += usize::from(matches!(answer, Answer::Value(_)));
        }
        if let Some(origin) = origin {
            let answer = connection.client.fate(write.id, &origin);
            self.fates.push(FateAnswer { id: write.id.to_string(), answered_ms: unix_ms(), answer });
        }
    }
}
