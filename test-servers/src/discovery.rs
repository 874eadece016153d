//! Discovery: the whole list, a watch, and all the ways in which it can be of no help.

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Connections are closed without a word.
    Down,
    Up,
    /// The list is whole and empty.
    Empty,
    /// Each line breaks off in its middle, with the connection.
    HalfALine,
    /// Up and down in turn, so long each.
    Flapping(Duration),
}

struct State {
    mode: Mode,
    since: Instant,
    seq: i64,
    hosts: Vec<Value>,
}

impl State {
    fn is_down(&self) -> bool {
        match self.mode {
            Mode::Down => true,
            Mode::Flapping(each) => {
                let turns = self.since.elapsed().as_millis() / each.as_millis().max(1);
                turns % 2 == 1
            }
            _ => false,
        }
    }

    fn whole(&self) -> String {
        let hosts = if self.mode == Mode::Empty { Vec::new() } else { self.hosts.clone() };
        json!({ "seq": self.seq, "whole": true, "hosts": hosts }).to_string() + "\n"
    }
}

#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// One entry, in discovery's words.
pub fn host(name: &str, dial: &SocketAddr, group: i64, primary: bool, health: &str, born_ms: i64) -> Value {
    let recovery = if primary { "off" } else { "on" };
    json!({ "host": name, "dial": dial.to_string(), "site": "a", "class": "m", "block": group,
        "health": health, "share": 1.0, "born_ms": born_ms, "recovery": recovery })
}

impl Discovery {
    pub fn start(mode: Mode, seq: i64, hosts: Vec<Value>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let addr = listener.local_addr().expect("a bound listener has an address");
        let state = State { mode, since: Instant::now(), seq, hosts };
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

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn turn(&self, mode: Mode) {
        let mut state = self.lock();
        (state.mode, state.since) = (mode, Instant::now());
    }

    /// A new version, higher or lower than the one before.
    pub fn tell(&self, seq: i64, hosts: Vec<Value>) {
        let mut state = self.lock();
        (state.seq, state.hosts) = (seq, hosts);
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        if self.lock().is_down() {
            return None;
        }
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut request = String::new();
        reader.read_line(&mut request).ok()?;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? <= 2 {
                break;
            }
        }
        let mut stream = stream;
        let watches = request.contains("watch=1");
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let (mut told, mut quiet) = (None, Instant::now());
        loop {
            let (line, half) = {
                let state = self.lock();
                if state.is_down() {
                    return None;
                }
                let news = told != Some((state.seq, state.mode));
                told = Some((state.seq, state.mode));
                (news.then(|| state.whole()), state.mode == Mode::HalfALine)
            };
            let line = match line {
                Some(line) if half => {
                    let part = &line[..line.len() / 2];
                    let _ = stream.write_all(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes());
                    return None;
                }
                Some(line) => line,
                None if quiet.elapsed() > Duration::from_millis(500) => "\n".to_string(),
                None => {
                    thread::sleep(Duration::from_millis(5));
                    continue;
                }
            };
            quiet = Instant::now();
            stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).ok()?;
            if !watches {
                return stream.write_all(b"0\r\n\r\n").ok();
            }
        }
    }
}
