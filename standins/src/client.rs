//! A client that remembers what it asked and what it got, and the audit of both against what is true.

use crate::message::{self, field};
use crate::world::{unix_ms, World};
use std::collections::HashSet;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Of data no older than the bound.
    Read,
    /// Non-idempotent.
    Write,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Value(String),
    /// It did not run, or may run again; the wait in milliseconds.
    PushedBack(Option<i64>),
    Aborted,
    Error(String),
    /// The connection ended without an answer, or none came in time.
    None,
}

/// One RPC as the client saw it.
#[derive(Clone, Debug)]
pub struct Record {
    pub id: String,
    pub group: i64,
    pub kind: Kind,
    pub sent_ms: i64,
    pub answered_ms: i64,
    pub patience_ms: i64,
    pub answer: Answer,
    /// Something came behind the answer that belongs to no RPC.
    pub more: bool,
}

pub struct Client {
    stream: TcpStream,
    /// The token of its session as it was last given.
    pub token: Option<String>,
    /// Where its writes are on record, as it was told at its start.
    pub origin: Option<String>,
    /// Why its start was refused: SQLSTATE.
    pub refused: Option<String>,
}

impl Client {
    pub fn open(addr: &SocketAddr) -> std::io::Result<Client> {
        Client::with_session(addr, "backend", None)
    }

    /// Asks for a session, `new` or one that a token carries. A start that is refused leaves a client that
    /// says why.
    pub fn with_session(addr: &SocketAddr, user: &str, session: Option<&str>) -> std::io::Result<Client> {
        let mut stream = TcpStream::connect_timeout(addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let mut words = b"\0\x03\0\0".to_vec();
        let session = session.map(|word| ["gingerwick.session", word]);
        for word in ["user", user, "database", "store"].into_iter().chain(session.into_iter().flatten()) {
            words.extend(word.as_bytes());
            words.push(0);
        }
        words.push(0);
        stream.write_all(&(words.len() as u32 + 4).to_be_bytes())?;
        stream.write_all(&words)?;
        let mut client = Client { stream, token: None, origin: None, refused: None };
        loop {
            let (tag, body) = client.next().ok_or(std::io::ErrorKind::UnexpectedEof)?;
            match tag {
                b'Z' => return Ok(client),
                b'E' => {
                    client.refused = field(&body, b'C');
                    return Ok(client);
                }
                _ => client.note(tag, &body),
            }
        }
    }

    /// Keeps the token and the origin that a ParameterStatus gives.
    fn note(&mut self, tag: u8, body: &[u8]) {
        let text = String::from_utf8_lossy(body);
        let mut words = text.split('\0');
        match words.next().filter(|_| tag == b'S') {
            Some("gingerwick.session") => self.token = words.next().map(str::to_string),
            Some("gingerwick.origin") => self.origin = words.next().map(str::to_string),
            _ => {}
        }
    }

    /// Asks what became of a write.
    pub fn fate(&mut self, id: &str, origin: &str) -> Answer {
        let mut out = Vec::new();
        let text = format!("/* fate={id},at={origin} */ SHOW gingerwick.fate\0");
        message::message(&mut out, b'Q', text.as_bytes());
        if self.stream.write_all(&out).is_err() {
            return Answer::None;
        }
        self.answer().0
    }

    fn next(&mut self) -> Option<(u8, Vec<u8>)> {
        message::next(&mut self.stream)
    }

    /// Asks many at once on the one connection; answers come in the order of the questions.
    pub fn burst(&mut self, ids: &[String], group: i64, kind: Kind, patience_ms: i64) -> Vec<Record> {
        let mut out = Vec::new();
        ids.iter().for_each(|id| {
            message::message(&mut out, b'Q', statement(id, group, kind, patience_ms).as_bytes())
        });
        let sent_ms = unix_ms();
        let sent = self.stream.write_all(&out).is_ok();
        let one = |id: &String| {
            let (answer, more) = if sent { self.answer() } else { (Answer::None, false) };
            let (id, answered_ms) = (id.clone(), unix_ms());
            Record { id, group, kind, sent_ms, answered_ms, patience_ms, answer, more }
        };
        ids.iter().map(one).collect()
    }

    pub fn ask(&mut self, id: &str, group: i64, kind: Kind, patience_ms: i64) -> Record {
        let text = statement(id, group, kind, patience_ms);
        let mut out = Vec::new();
        message::message(&mut out, b'Q', text.as_bytes());
        let sent_ms = unix_ms();
        let sent = self.stream.write_all(&out).is_ok();
        let (answer, more) = if sent { self.answer() } else { (Answer::None, false) };
        let (id, answered_ms) = (id.to_string(), unix_ms());
        Record { id, group, kind, sent_ms, answered_ms, patience_ms, answer, more }
    }

    fn answer(&mut self) -> (Answer, bool) {
        let (mut answer, mut answers) = (Answer::None, 0);
        while let Some((tag, body)) = self.next() {
            match tag {
                b'D' => {
                    let value = body.get(6..).unwrap_or_default();
                    (answer, answers) =
                        (Answer::Value(String::from_utf8_lossy(value).into_owned()), answers + 1);
                }
                b'E' => {
                    let code = field(&body, b'C').unwrap_or_default();
                    answer = match code.as_str() {
                        "53300" | "57P03" => {
                            Answer::PushedBack(field(&body, b'D').and_then(|wait| wait.parse().ok()))
                        }
                        "58000" => Answer::Aborted,
                        _ => Answer::Error(code),
                    };
                    answers += 1;
                }
                b'Z' => return (answer, answers > 1),
                _ => self.note(tag, &body),
            }
        }
        (Answer::None, answers > 1)
    }
}

fn statement(id: &str, group: i64, kind: Kind, patience_ms: i64) -> String {
    let (method, rest) = match kind {
        Kind::Read => ("read", "SELECT content FROM kv WHERE name = '00000000000000aa'"),
        Kind::Write => {
            ("order", "INSERT INTO kv (name, content) VALUES ('00000000000000aa', '\\x01') RETURNING content")
        }
    };
    format!("/* id={id},c={method},d={patience_ms},cluster={group} */ {rest}\0")
}

/// What the five rules come to, each as a count of offences.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Audit {
    pub asked: usize,
    pub ok: usize,
    /// Without an answer, with two, or with a value made for another.
    pub lost: usize,
    /// Answered after the client had given up.
    pub late: usize,
    /// Run twice, or pushed back although it had run.
    pub twice: usize,
    pub stale: usize,
    /// Run by another than the true primary.
    pub astray: usize,
    pub fallen: usize,
    pub drained: usize,
    pub offences: Vec<String>,
}

impl Audit {
    pub fn broken(&self) -> usize {
        self.lost + self.late + self.twice + self.stale + self.astray + self.fallen + self.drained
    }

    pub fn add(&mut self, other: &Audit) {
        self.asked += other.asked;
        self.ok += other.ok;
        self.lost += other.lost;
        self.late += other.late;
        self.twice += other.twice;
        self.stale += other.stale;
        self.astray += other.astray;
        self.fallen += other.fallen;
        self.drained += other.drained;
        self.offences.extend(other.offences.iter().take(3).cloned());
    }
}

/// Beside the client's patience: what a busy machine may take to wake the client's own thread.
const WAKING_MS: i64 = 500;
/// Answers take a moment to the front; a bound counts from the sending there.
const ON_THE_WAY_MS: i64 = 60;

pub fn audit(world: &World, records: &[Record], bound_ms: i64) -> Audit {
    let truth = world.lock();
    let counts = truth.counts;
    let mut audit = Audit {
        asked: records.len(),
        astray: counts.astray,
        fallen: counts.fallen,
        drained: counts.drained,
        offences: truth.offences.clone(),
        ..Audit::default()
    };
    let mut seen = HashSet::new();
    for record in records {
        let Record { id, kind, sent_ms, answered_ms, patience_ms, answer, .. } = record;
        let runs = truth.runs.get(id).map_or(0, Vec::len);
        let mut blame = Vec::new();
        if *answer == Answer::None || record.more || !seen.insert(id) {
            audit.lost += 1;
            blame.push("has no answer, or more than one");
        }
        if answered_ms - sent_ms > patience_ms + WAKING_MS {
            audit.late += 1;
            blame.push("was answered late");
        }
        if runs > 1 || (runs > 0 && matches!(answer, Answer::PushedBack(_))) {
            audit.twice += 1;
            blame.push("ran twice, or ran and was pushed back");
        }
        if let Answer::Value(value) = answer {
            audit.ok += 1;
            let mut words = value.split(' ');
            if words.next() != Some(id) || (*kind == Kind::Write && runs != 1) {
                audit.lost += 1;
                blame.push("got a value that was not made for it");
            }
            let true_to: i64 = words.next().and_then(|word| word.parse().ok()).unwrap_or(0);
            if *kind == Kind::Read && true_to < sent_ms - bound_ms - ON_THE_WAY_MS {
                audit.stale += 1;
                blame.push("got data older than its bound");
            }
        }
        if !blame.is_empty() && audit.offences.len() < 20 {
            audit.offences.push(format!("{kind:?} {id}: {} ({answer:?})", blame.join(", ")));
        }
    }
    audit
}
