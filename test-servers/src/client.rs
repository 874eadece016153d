//! A client that remembers what it asked and what it got.

use crate::message::{self, field};
use crate::world::unix_ms;
pub use history_checker::{Answer, Kind, Record};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

pub struct Client {
    stream: TcpStream,
    /// The token of its session as it was last given.
    pub token: Option<String>,
    /// Where its writes are on record, as it was told at its start.
    pub origin: Option<String>,
    /// Why its start was refused: SQLSTATE.
    pub refused: Option<String>,
    /// When it was told to come back, in milliseconds.
    pub retry_after: Option<i64>,
}

impl Client {
    pub fn open(addr: &SocketAddr) -> std::io::Result<Client> {
        Client::with_session(addr, "backend", None)
    }

    /// Asks for a session, `new` or one that a token carries. A start that is refused leaves a client that
    /// says why.
    pub fn with_session(addr: &SocketAddr, user: &str, session: Option<&str>) -> std::io::Result<Client> {
        Client::start(TcpStream::connect_timeout(addr, Duration::from_secs(1))?, user, session)
    }

    /// From an address of loopback's own.
    pub fn from_address(addr: &SocketAddr, local: Ipv4Addr) -> std::io::Result<Client> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.bind(&SocketAddr::from((local, 0)).into())?;
        socket.connect_timeout(&(*addr).into(), Duration::from_secs(1))?;
        Client::start(socket.into(), "backend", None)
    }

    fn start(mut stream: TcpStream, user: &str, session: Option<&str>) -> std::io::Result<Client> {
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
        let mut client = Client { stream, token: None, origin: None, refused: None, retry_after: None };
        loop {
            let (tag, body) = client.next().ok_or(std::io::ErrorKind::UnexpectedEof)?;
            match tag {
                b'Z' => return Ok(client),
                b'E' => {
                    client.refused = field(&body, b'C');
                    client.retry_after = field(&body, b'D').and_then(|wait| wait.parse().ok());
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
            Record { id, group, kind, sent_ms, answered_ms, patience_ms, answer, more, cut: false }
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
        Record { id, group, kind, sent_ms, answered_ms, patience_ms, answer, more, cut: false }
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

const INSERT: &str = "INSERT INTO kv (name, content) VALUES ('00000000000000aa', '\\x01') RETURNING content";

fn statement(id: &str, group: i64, kind: Kind, patience_ms: i64) -> String {
    let (method, rest) = match kind {
        Kind::Read => ("read", "SELECT content FROM kv WHERE name = '00000000000000aa'"),
        Kind::Write => ("order", INSERT),
        Kind::Tokened => ("deposit", INSERT),
    };
    format!("/* id={id},c={method},d={patience_ms},cluster={group} */ {rest}\0")
}
