//! A client that records its requests and their answers.

use crate::cluster::unix_ms;
use crate::wire::{self, error_field, Message};
pub use history_checker::{Answer, Kind, RequestRecord};
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const READ_TIMEOUT: Duration = Duration::from_secs(5);
const DEFAULT_USER: &str = "backend";
/// SQLSTATE `too_many_connections`.
const TOO_MANY_CONNECTIONS: &str = "53300";
/// SQLSTATE `cannot_connect_now`.
const CANNOT_CONNECT_NOW: &str = "57P03";
/// SQLSTATE `system_error`. The router answers with it if it aborts a request that may have been executed.
const SYSTEM_ERROR: &str = "58000";
/// Version 3.0 of the PostgreSQL protocol, as encoded in the startup message.
const PROTOCOL_VERSION: &[u8] = b"\0\x03\0\0";
const SESSION_PARAMETER: &str = "gingerwick.session";
const ORIGIN_PARAMETER: &str = "gingerwick.origin";
/// Number of bytes before the value in a DataRow of one column: the number of columns and the length of the value.
const COLUMN_HEADER_BYTES: usize = 6;
const READ: &str = "SELECT content FROM kv WHERE name = '00000000000000aa'";
const INSERT: &str = "INSERT INTO kv (name, content) VALUES ('00000000000000aa', '\\x01') RETURNING content";

/// Timeouts that a client sends with its requests, by the kind of the request.
#[derive(Clone, Copy, Debug)]
pub struct RequestTimeouts {
    /// Timeout of reads in milliseconds.
    pub read_ms: i64,
    /// Timeout of writes in milliseconds, with and without an idempotency key.
    pub write_ms: i64,
}

impl RequestTimeouts {
    /// The timeout of requests of a kind in milliseconds.
    pub fn of(&self, kind: Kind) -> i64 {
        match kind {
            Kind::Read => self.read_ms,
            Kind::Write | Kind::KeyedWrite => self.write_ms,
        }
    }
}

/// A connection of a client to an instance.
pub struct Client {
    stream: TcpStream,
    /// The most recent session token that the instance has sent.
    pub token: Option<String>,
    /// The origin that the instance sends when the connection begins: the write journal that records the connection's
    /// writes.
    pub origin: Option<String>,
    /// SQLSTATE with which the instance rejected the connection; `None` if it accepted the connection.
    pub rejected_with: Option<String>,
    /// Retry-After time that the rejection contained, in milliseconds.
    pub retry_after_ms: Option<i64>,
}

/// An answer, and whether a second answer to the same request followed it.
struct Received {
    answer: Answer,
    has_extra_answer: bool,
}

impl Client {
    /// Connects without a session.
    ///
    /// # Errors
    /// The connection fails or ends before it is ready for queries.
    pub fn open(addr: &SocketAddr) -> io::Result<Client> {
        Client::with_session(addr, DEFAULT_USER, None)
    }

    /// Connects as `user`. `session` is the value of the session parameter: `new` to begin a session, or the token of
    /// a session to continue; `None` connects without a session. If the instance rejects the connection, the client is
    /// returned with `rejected_with` set.
    ///
    /// # Errors
    /// As [`Client::open`].
    pub fn with_session(addr: &SocketAddr, user: &str, session: Option<&str>) -> io::Result<Client> {
        Client::start(TcpStream::connect_timeout(addr, CONNECT_TIMEOUT)?, user, session)
    }

    /// Connects without a session from the loopback address `local`.
    ///
    /// # Errors
    /// As [`Client::open`].
    pub fn from_address(addr: &SocketAddr, local: Ipv4Addr) -> io::Result<Client> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.bind(&SocketAddr::from((local, 0)).into())?;
        socket.connect_timeout(&(*addr).into(), CONNECT_TIMEOUT)?;
        Client::start(socket.into(), DEFAULT_USER, None)
    }

    fn start(mut stream: TcpStream, user: &str, session: Option<&str>) -> io::Result<Client> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.write_all(&startup_message(user, session))?;
        let mut client =
            Client { stream, token: None, origin: None, rejected_with: None, retry_after_ms: None };
        loop {
            let Message { tag, body } = client.read_message().ok_or(io::ErrorKind::UnexpectedEof)?;
            match tag {
                b'Z' => return Ok(client),
                b'E' => {
                    client.rejected_with = error_field(&body, b'C');
                    client.retry_after_ms = retry_after_ms(&body);
                    return Ok(client);
                }
                _ => client.store_parameter(tag, &body),
            }
        }
    }

    fn read_message(&mut self) -> Option<Message> {
        wire::read_message(&mut self.stream)
    }

    /// Stores the value of a ParameterStatus message that contains a session token or an origin. Ignores all other
    /// messages.
    fn store_parameter(&mut self, tag: u8, body: &[u8]) {
        let text = String::from_utf8_lossy(body);
        let mut fields = text.split('\0');
        match fields.next().filter(|_| tag == b'S') {
            Some(SESSION_PARAMETER) => self.token = fields.next().map(str::to_string),
            Some(ORIGIN_PARAMETER) => self.origin = fields.next().map(str::to_string),
            _ => {}
        }
    }

    /// Queries the fate of the write with this id. `origin` is that of the connection on which the write was sent.
    pub fn fate(&mut self, id: &str, origin: &str) -> Answer {
        let mut out = Vec::new();
        wire::append_query(&mut out, &format!("/* fate={id},at={origin} */ SHOW gingerwick.fate"));
        if self.stream.write_all(&out).is_err() {
            return Answer::Missing;
        }
        self.receive().answer
    }

    /// Sends one request for each id without waiting for answers, then receives the answers. Returns the records of
    /// the requests in the order of `ids`.
    pub fn pipeline(
        &mut self,
        ids: &[String],
        group: i64,
        kind: Kind,
        timeout_ms: i64,
    ) -> Vec<RequestRecord> {
        let mut out = Vec::new();
        for id in ids {
            wire::append_query(&mut out, &statement(id, group, kind, timeout_ms));
        }
        let sent_ms = unix_ms();
        let sent = self.stream.write_all(&out).is_ok();
        let record = |id: &String| {
            let received = if sent {
                self.receive()
            } else {
                Received { answer: Answer::Missing, has_extra_answer: false }
            };
            RequestRecord {
                id: id.clone(),
                group,
                kind,
                sent_ms,
                answered_ms: unix_ms(),
                timeout_ms,
                answer: received.answer,
                has_extra_answer: received.has_extra_answer,
                router_killed: false,
            }
        };
        ids.iter().map(record).collect()
    }

    /// Sends a request and waits for its answer.
    pub fn request(&mut self, id: &str, group: i64, kind: Kind, timeout_ms: i64) -> RequestRecord {
        let mut records = self.pipeline(&[id.to_string()], group, kind, timeout_ms);
        records.remove(0)
    }

    /// Receives the messages of an answer, up to the next ReadyForQuery message.
    fn receive(&mut self) -> Received {
        let (mut answer, mut answers) = (Answer::Missing, 0);
        while let Some(Message { tag, body }) = self.read_message() {
            match tag {
                b'D' => {
                    let value = body.get(COLUMN_HEADER_BYTES..).unwrap_or_default();
                    answer = Answer::Value(String::from_utf8_lossy(value).into_owned());
                    answers += 1;
                }
                b'E' => {
                    answer = error_answer(&body);
                    answers += 1;
                }
                b'Z' => return Received { answer, has_extra_answer: answers > 1 },
                _ => self.store_parameter(tag, &body),
            }
        }
        Received { answer: Answer::Missing, has_extra_answer: answers > 1 }
    }
}

fn startup_message(user: &str, session: Option<&str>) -> Vec<u8> {
    let mut body = PROTOCOL_VERSION.to_vec();
    let mut parameters = vec!["user", user, "database", "store"];
    parameters.extend(session.into_iter().flat_map(|session| [SESSION_PARAMETER, session]));
    for text in parameters {
        body.extend(text.as_bytes());
        body.push(0);
    }
    body.push(0);
    [&((body.len() + wire::LENGTH_BYTES) as u32).to_be_bytes()[..], &body].concat()
}

fn retry_after_ms(error: &[u8]) -> Option<i64> {
    error_field(error, b'D')?.parse().ok()
}

fn error_answer(body: &[u8]) -> Answer {
    let code = error_field(body, b'C').unwrap_or_default();
    match code.as_str() {
        TOO_MANY_CONNECTIONS | CANNOT_CONNECT_NOW => Answer::Rejected(retry_after_ms(body)),
        SYSTEM_ERROR => Answer::Aborted,
        _ => Answer::Error(code),
    }
}

fn statement(id: &str, group: i64, kind: Kind, timeout_ms: i64) -> String {
    let (method, text) = match kind {
        Kind::Read => ("read", READ),
        Kind::Write => ("order", INSERT),
        Kind::KeyedWrite => ("deposit", INSERT),
    };
    format!("/* id={id},c={method},d={timeout_ms},cluster={group} */ {text}")
}
