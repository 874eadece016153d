//! A client with one session, which it carries from instance to instance, and its writes in doubt.

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

/// On average a client moves to another instance once in this many requests.
const REQUESTS_PER_MOVE: usize = 4;
/// Pause of a client between two requests.
const REQUEST_PAUSE: JitteredMs = JitteredMs { min_ms: 2, jitter_ms: 10 };
/// Kinds of requests in the proportions in which they are drawn.
const KINDS: [Kind; 5] = [Kind::Read, Kind::Read, Kind::Read, Kind::Write, Kind::KeyedWrite];
const TIMEOUTS: RequestTimeouts = RequestTimeouts { read_ms: 400, write_ms: 700 };
const RECONNECT_DELAY: Duration = Duration::from_millis(3);
/// Maximum number of attempts of a client to reconnect to a killed instance.
const MAX_RECONNECTS: usize = 400;
/// Delays after which a client resolves a write in doubt. The longest exceeds the deduplication window.
const QUERY_DELAYS_MS: [u64; 4] = [0, 0, 40, 1_700];
/// On average one in this many keyed writes in doubt is not sent again, so that its fate is that of the first attempt.
const KEYED_WRITES_PER_UNRETRIED: usize = 3;
/// Value of the session parameter that begins a session.
const NEW_SESSION: &str = "new";
/// User that clients connect as.
const USER: &str = "backend";

/// State shared by the clients and the thread that kills instances.
pub(super) struct RunState {
    /// Addresses of the instances.
    pub listen: Vec<SocketAddr>,
    /// Times of the kills of each instance.
    pub killed_ms: Vec<Mutex<Vec<i64>>>,
    pub is_over: AtomicBool,
}

/// A client with one session, which it carries from instance to instance.
pub(super) struct Session {
    shared: Arc<RunState>,
    has_token: bool,
    index: usize,
    rng: Mwc,
    serial: usize,
    token: Option<String>,
    pub records: Vec<RequestRecord>,
    pub fates: Vec<FateAnswer>,
    pub writes_in_doubt: usize,
    pub served_on_retry: usize,
}

/// A connection to an instance, and when it was opened.
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

impl Session {
    /// Creates a client that has no session yet. If `has_token` is false, it never uses one.
    pub fn new(seed: u64, index: usize, has_token: bool, shared: Arc<RunState>) -> Session {
        Session {
            shared,
            has_token,
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

    /// Sends requests until the run is over.
    pub fn run(mut self) -> Session {
        let mut connection = None;
        while !self.shared.is_over.load(Ordering::Acquire) {
            if one_in(&mut self.rng, REQUESTS_PER_MOVE) {
                connection = None;
            }
            let instance = self.rng.below(self.shared.listen.len());
            let Some(current) = connection.take().or_else(|| self.open(instance)) else { continue };
            connection = self.send_next(current);
            thread::sleep(Duration::from_millis(REQUEST_PAUSE.draw(&mut self.rng) as u64));
        }
        self
    }

    /// Sends one request. Returns the connection unless it has ended.
    fn send_next(&mut self, mut connection: Connection) -> Option<Connection> {
        self.serial += 1;
        let id = format!("{:x}.{:x}", self.index, self.serial);
        let kind = choose(&mut self.rng, &KINDS);
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

    fn open(&mut self, instance: usize) -> Option<Connection> {
        let opened_ms = unix_ms();
        let session = self.has_token.then(|| self.token.as_deref().unwrap_or(NEW_SESSION));
        let client = Client::with_session(&self.shared.listen[instance], USER, session).ok();
        let client = client.filter(|client| client.rejected_with.is_none());
        if client.is_none() {
            thread::sleep(RECONNECT_DELAY);
        }
        client.map(|client| Connection { client, instance, opened_ms })
    }

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

    /// Resolves a write in doubt at the instance that it was sent to: sends it again if it has an idempotency key, in
    /// some cases after the deduplication window, and queries its fate.
    fn resolve_doubt(&mut self, instance: usize, write: &Write, origin: Option<String>) {
        let delay_ms = choose(&mut self.rng, &QUERY_DELAYS_MS);
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
