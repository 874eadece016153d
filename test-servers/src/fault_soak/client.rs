//! Clients with different habits. Each records what becomes of its requests.

use crate::arrival_clock::last_arrival;
use crate::lock;
use crate::random::{choose, one_in};
use crate::wire::{self, error_field};
use routing::rng::Mwc;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// How long a client waits for an answer beyond its deadline before it counts the request as unanswered.
const ANSWER_SLACK: Duration = Duration::from_millis(1_500);
/// How long a client waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The startup message: user `backend`, database `store`.
const STARTUP: &[u8] = b"\0\0\0\x25\0\x03\0\0user\0backend\0database\0store\0\0";
/// The SQLSTATEs of a rejection: the request can safely be retried.
const REJECTIONS: [&str; 2] = ["53300", "57P03"];
/// The longest pause between two requests of a client, in milliseconds.
const MAX_PAUSE_MS: usize = 40;
/// The longest pause within a request that is sent in pieces, in milliseconds.
const MAX_PIECE_PAUSE_MS: usize = 700;
/// The longest time after which a client leaves, in milliseconds.
const MAX_STAY_MS: usize = 120;

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fate {
    /// A value, which should be the id of the request.
    Value(Vec<u8>),
    /// A rejection: the request was not executed.
    Rejected,
    /// Another error.
    Failed(String),
    /// The connection ended without an answer, or with half of one.
    Closed {
        /// Whether a part of the answer had arrived.
        half_answered: bool,
    },
    /// No answer came in time, and the connection stayed open.
    Unanswered,
    /// The client closed its connection without waiting for the answer.
    Left,
}

/// A request that was sent completely.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The id of the request.
    pub id: String,
    /// The index of the instance to which the request was sent.
    pub instance: usize,
    /// Whether the client has sent the id again after it had left.
    pub is_repeated: bool,
    /// Whether the request must not be executed twice.
    pub is_write: bool,
    /// When its last byte was written.
    pub sent_at: Instant,
    /// How long the client waits for the answer.
    pub deadline: Duration,
    /// When the answers before this one on the connection had arrived; `None` if there were none outstanding.
    pub answered_before_at: Option<Instant>,
    /// When its fate was known.
    pub ended_at: Instant,
    /// Its fate.
    pub fate: Fate,
    /// The client's port, by which the instance's trace names the connection.
    pub port: u16,
    /// When the connection was open.
    pub connected_at: Instant,
    /// The number of bytes sent on the connection up to the end of the request.
    pub sent_bytes: u64,
}

/// How a client sends requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// One request after another on one connection.
    Steady,
    /// Several requests at once.
    Pipeline,
    /// Each request in pieces, with pauses.
    Pieces,
    /// Leaves without waiting for the answer.
    Leaves,
    /// Rests for long times between two requests.
    Rests,
}

/// All habits.
pub const HABITS: [Habit; 5] = [Habit::Steady, Habit::Pipeline, Habit::Pieces, Habit::Leaves, Habit::Rests];

/// What the clients of a run share.
pub struct ClientContext {
    /// The records of all clients.
    pub records: Mutex<Vec<RequestRecord>>,
    /// The longest deadline of a request, in milliseconds.
    pub longest_deadline_ms: u64,
    /// The prefix of the ids.
    pub seed: u64,
    /// The number of requests so far.
    pub next_id: AtomicU64,
    /// When clients stop.
    pub until: Instant,
}

impl ClientContext {
    /// The id of a new request.
    pub(super) fn new_id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        format!("{:08x}{number:08x}", self.seed as u32)
    }
}

/// The instance that a client uses.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Its index.
    pub instance: usize,
    /// The address that it listens on.
    pub addr: SocketAddr,
}

/// A request that was sent and not answered yet.
pub(super) struct SentRequest {
    pub(super) id: String,
    /// Whether the client will send the id again after it has left.
    pub(super) is_repeated: bool,
    is_write: bool,
    deadline: Duration,
    sent_at: Instant,
    sent_bytes: u64,
}

/// What identifies a connection.
#[derive(Clone, Copy)]
struct ConnectionId {
    instance: usize,
    port: u16,
    connected_at: Instant,
}

pub(super) struct Connection<'a> {
    context: &'a ClientContext,
    stream: TcpStream,
    id: ConnectionId,
    sent_bytes: u64,
}

/// Runs a client until the end of the run, or until its instance no longer accepts connections.
pub fn run(context: &ClientContext, target: Target, habit: Habit, seed: u64) {
    let mut rng = Mwc::new(seed);
    let mut refused = 0;
    // An instance that starts, or that is short of descriptors, may refuse for a while.
    while Instant::now() < context.until && refused < 20 {
        match Connection::open(context, target) {
            Some(connection) => {
                refused = 0;
                connection.use_up(habit, &mut rng);
            }
            None => {
                refused += 1;
                thread::sleep(Duration::from_millis(20));
            }
        }
    }
}

/// Opens a connection and sends one request at once, as a client of a crowd.
pub fn run_once(context: &ClientContext, target: Target, seed: u64) {
    let mut rng = Mwc::new(seed);
    let Some(mut connection) = Connection::open(context, target) else { return };
    if let Some(sent) = connection.send(&mut rng, false) {
        connection.receive(&[sent]);
    }
}

impl<'a> Connection<'a> {
    pub(super) fn open(context: &'a ClientContext, target: Target) -> Option<Connection<'a>> {
        let mut stream = TcpStream::connect_timeout(&target.addr, CONNECT_TIMEOUT).ok()?;
        let connected_at = Instant::now();
        stream.set_nodelay(true).ok()?;
        let port = stream.local_addr().ok()?.port();
        stream.write_all(STARTUP).ok()?;
        let sent_bytes = STARTUP.len() as u64;
        let id = ConnectionId { instance: target.instance, port, connected_at };
        Some(Connection { context, stream, id, sent_bytes })
    }

    /// Sends requests until the connection ends.
    fn use_up(mut self, habit: Habit, rng: &mut Mwc) {
        while Instant::now() < self.context.until {
            let count = if habit == Habit::Pipeline { 2 + rng.below(6) } else { 1 };
            let mut sent = Vec::new();
            for _ in 0..count {
                let Some(request) = self.send(rng, habit == Habit::Pieces) else { break };
                sent.push(request);
            }
            if sent.is_empty() {
                return;
            }
            if habit == Habit::Leaves && one_in(rng, 2) {
                thread::sleep(Duration::from_millis(rng.below(MAX_STAY_MS) as u64));
                return self.leave(&sent, rng);
            }
            if !self.receive(&sent) {
                return;
            }
            let max_pause = if habit == Habit::Rests { MAX_PAUSE_MS * 30 } else { MAX_PAUSE_MS };
            thread::sleep(Duration::from_millis(rng.below(max_pause) as u64));
        }
    }

    /// Sends one request; `None` if it was not sent completely.
    fn send(&mut self, rng: &mut Mwc, in_pieces: bool) -> Option<SentRequest> {
        let is_write = one_in(rng, 3);
        let id = self.context.new_id();
        self.send_with_id(rng, id, is_write, in_pieces)
    }

    /// Sends one request with a given id; `None` if it was not sent completely.
    pub(super) fn send_with_id(
        &mut self,
        rng: &mut Mwc,
        id: String,
        is_write: bool,
        in_pieces: bool,
    ) -> Option<SentRequest> {
        let longest = self.context.longest_deadline_ms;
        let deadline_ms = choose(rng, &[longest, longest, longest / 2, longest / 4]);
        let (method, text) = if is_write {
            ("order", "INSERT INTO kv (name, content) VALUES ('k', '\\x00') RETURNING content")
        } else {
            ("read", "SELECT content FROM kv WHERE name = 'k'")
        };
        let mut message = Vec::new();
        wire::append_query(
            &mut message,
            &format!("/* id={id},c={method},d={deadline_ms},cluster=1 */ {text}"),
        );
        if in_pieces {
            let cut = 1 + rng.below(message.len() - 1);
            self.stream.write_all(&message[..cut]).ok()?;
            thread::sleep(Duration::from_millis(rng.below(MAX_PIECE_PAUSE_MS) as u64));
            message.drain(..cut);
            self.sent_bytes += cut as u64;
        }
        self.stream.write_all(&message).ok()?;
        self.sent_bytes += message.len() as u64;
        let deadline = Duration::from_millis(deadline_ms);
        let (sent_at, sent_bytes) = (Instant::now(), self.sent_bytes);
        Some(SentRequest { id, is_repeated: false, is_write, deadline, sent_at, sent_bytes })
    }

    /// Closes the connection in one of the ways in which clients leave.
    pub(super) fn leave(self, sent: &[SentRequest], rng: &mut Mwc) {
        match rng.below(3) {
            0 => _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)),
            1 => _ = self.stream.shutdown(Shutdown::Write),
            _ => {}
        }
        // The connection is closed first, so that the recorded time is not before the close.
        let Connection { context, stream, id, .. } = self;
        drop(stream);
        let left_at = Instant::now();
        for request in sent {
            let record = record_of(id, request, None, left_at, Fate::Left);
            lock(&context.records).push(record);
        }
    }

    /// Receives the answers to requests; returns whether the connection can be used further.
    fn receive(&mut self, sent: &[SentRequest]) -> bool {
        let mut answered_before_at = None;
        let mut is_open = true;
        for request in sent {
            let fate =
                if is_open { self.receive_one(request) } else { Fate::Closed { half_answered: false } };
            let is_over = matches!(fate, Fate::Closed { .. } | Fate::Unanswered);
            let ended_at = if is_over { Instant::now() } else { last_arrival(&self.stream) };
            let record = record_of(self.id, request, answered_before_at, ended_at, fate);
            lock(&self.context.records).push(record);
            answered_before_at = Some(ended_at);
            is_open &= !is_over;
        }
        is_open
    }

    /// Receives one answer, up to its ReadyForQuery message. Skips the answer to the startup message.
    fn receive_one(&mut self, request: &SentRequest) -> Fate {
        let until = Instant::now().max(request.sent_at + request.deadline) + ANSWER_SLACK;
        let (mut fate, mut half_answered) = (None, false);
        loop {
            let Some(left) = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())
            else {
                return Fate::Unanswered;
            };
            let _ = self.stream.set_read_timeout(Some(left));
            let Some(message) = wire::read_message(&mut self.stream) else {
                let is_late = Instant::now() >= until;
                // A fatal error ends without a ReadyForQuery, but a value is only complete with one.
                let error = fate.filter(|fate| !matches!(fate, Fate::Value(_)));
                return error.unwrap_or(if is_late {
                    Fate::Unanswered
                } else {
                    Fate::Closed { half_answered }
                });
            };
            match message.tag {
                b'T' => half_answered = true,
                b'D' => fate = Some(Fate::Value(message.body.get(6..).unwrap_or_default().to_vec())),
                b'E' => {
                    let code = error_field(&message.body, b'C').unwrap_or_default();
                    let is_rejection = REJECTIONS.contains(&code.as_str());
                    fate = Some(if is_rejection { Fate::Rejected } else { Fate::Failed(code) });
                }
                // The first one ends the answer to the startup message.
                b'Z' => {
                    if let Some(fate) = fate {
                        return fate;
                    }
                }
                _ => {}
            }
        }
    }
}

fn record_of(
    connection: ConnectionId,
    request: &SentRequest,
    answered_before_at: Option<Instant>,
    ended_at: Instant,
    fate: Fate,
) -> RequestRecord {
    RequestRecord {
        id: request.id.clone(),
        instance: connection.instance,
        is_repeated: request.is_repeated,
        is_write: request.is_write,
        sent_at: request.sent_at,
        deadline: request.deadline,
        answered_before_at,
        ended_at,
        fate,
        port: connection.port,
        connected_at: connection.connected_at,
        sent_bytes: request.sent_bytes,
    }
}
