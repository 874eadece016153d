//! A discovery service that serves the complete endpoint list and a watch on it over HTTP, and simulates failures.

use crate::lock;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a connection checks whether the list or the mode has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// A watch sends an empty line after this time without a new list.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// Length of the empty line that ends a request's header fields, including the line end.
const EMPTY_LINE_BYTES: usize = 2;

/// How the service responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Connections are closed without a response.
    Down,
    /// Requests are answered with the current list.
    Up,
    /// Requests are answered with a complete list that contains no endpoints.
    Empty,
    /// The connection is closed in the middle of the line that contains the list.
    TruncatedLine,
    /// The service alternates between up and down, each for this duration, and starts with up.
    Flapping(Duration),
}

struct ServiceState {
    mode: DiscoveryMode,
    mode_since: Instant,
    version: i64,
    entries: Vec<Value>,
}

impl ServiceState {
    fn is_down(&self) -> bool {
        match self.mode {
            DiscoveryMode::Down => true,
            DiscoveryMode::Flapping(period) => {
                let periods = self.mode_since.elapsed().as_millis() / period.as_millis().max(1);
                periods % 2 == 1
            }
            _ => false,
        }
    }

    fn complete_list(&self) -> String {
        let entries = if self.mode == DiscoveryMode::Empty { Vec::new() } else { self.entries.clone() };
        json!({ "seq": self.version, "whole": true, "hosts": entries }).to_string() + "\n"
    }
}

/// Version of the list that was sent last on a connection, and the mode at that time.
#[derive(Clone, Copy, PartialEq, Eq)]
struct SentList {
    version: i64,
    mode: DiscoveryMode,
}

/// The next step on a connection.
enum NextStep {
    /// Send nothing: neither the list nor the mode has changed since the list was sent.
    Nothing,
    /// Send this list.
    List(String),
    /// Send this first half of a list, then close the connection.
    TruncatedList(String),
    /// Close the connection.
    Close,
}

/// A listening discovery service. Clones of a value refer to the same service, which listens until the process ends.
#[derive(Clone)]
pub struct Discovery {
    /// Address that the service listens on.
    pub addr: SocketAddr,
    state: Arc<Mutex<ServiceState>>,
}

/// An endpoint's entry in the endpoint list, in the format of the discovery service. `health` is `SERVING`, `DRAINING`
/// or `DELETED`; `born_ms` is the time when the endpoint started, in Unix milliseconds.
pub fn list_entry(
    name: &str,
    address: &SocketAddr,
    group: i64,
    primary: bool,
    health: &str,
    born_ms: i64,
) -> Value {
    let recovery = if primary { "off" } else { "on" };
    json!({ "host": name, "dial": address.to_string(), "site": "a", "class": "m", "block": group,
        "health": health, "share": 1.0, "born_ms": born_ms, "recovery": recovery })
}

impl Discovery {
    /// Starts a service on a free port. `version` is the version of the list that consists of `entries`.
    pub fn start(mode: DiscoveryMode, version: i64, entries: Vec<Value>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let addr = listener.local_addr().expect("a bound listener has an address");
        let state = ServiceState { mode, mode_since: Instant::now(), version, entries };
        let discovery = Discovery { addr, state: Arc::new(Mutex::new(state)) };
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = serving.clone();
                thread::spawn(move || discovery.serve(stream));
            }
        });
        discovery
    }

    /// Changes the mode, on open connections as well.
    pub fn set_mode(&self, mode: DiscoveryMode) {
        let mut state = lock(&self.state);
        state.mode = mode;
        state.mode_since = Instant::now();
    }

    /// Replaces the list. Watches send it if its version differs from the previous one, higher or lower.
    pub fn set_list(&self, version: i64, entries: Vec<Value>) {
        let mut state = lock(&self.state);
        state.version = version;
        state.entries = entries;
    }

    /// Serves one connection. Returns `None` if the connection ends before the response is complete.
    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        if lock(&self.state).is_down() {
            return None;
        }
        let is_watch = read_request(&stream)?.contains("watch=1");
        stream.write_all(RESPONSE_HEAD).ok()?;
        let (mut sent, mut last_sent) = (None, Instant::now());
        loop {
            match self.next_step(&mut sent) {
                NextStep::Close => return None,
                NextStep::TruncatedList(half) => {
                    // A failed write needs no handling, since the connection is closed in any case.
                    let _ = write_chunk(&mut stream, &half);
                    return None;
                }
                NextStep::List(list) => write_chunk(&mut stream, &list)?,
                NextStep::Nothing if last_sent.elapsed() > HEARTBEAT_INTERVAL => {
                    write_chunk(&mut stream, "\n")?;
                }
                NextStep::Nothing => {
                    thread::sleep(POLL_INTERVAL);
                    continue;
                }
            }
            last_sent = Instant::now();
            if !is_watch {
                return stream.write_all(LAST_CHUNK).ok();
            }
        }
    }

    /// Chooses the next step on a connection and updates `sent` accordingly.
    fn next_step(&self, sent: &mut Option<SentList>) -> NextStep {
        let state = lock(&self.state);
        if state.is_down() {
            return NextStep::Close;
        }
        let current = Some(SentList { version: state.version, mode: state.mode });
        if std::mem::replace(sent, current) == current {
            return NextStep::Nothing;
        }
        let list = state.complete_list();
        if state.mode == DiscoveryMode::TruncatedLine {
            NextStep::TruncatedList(list[..list.len() / 2].to_string())
        } else {
            NextStep::List(list)
        }
    }
}

/// Reads a request up to the end of its header fields. Returns the request line.
fn read_request(stream: &TcpStream) -> Option<String> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut request = String::new();
    reader.read_line(&mut request).ok()?;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? <= EMPTY_LINE_BYTES {
            return Some(request);
        }
    }
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> Option<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).ok()
}
