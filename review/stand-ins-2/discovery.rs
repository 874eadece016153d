//! Discovery's agent of one router: the list, and a watch on its changes.

use crate::record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An entry of the list, in JSON without its braces.
type Entry = (String, String);

/// The version of the list at the start.
const FIRST_SEQ: i64 = 41;

#[derive(Default)]
struct List {
    seq: i64,
    entries: Vec<Entry>,
    /// Every change: the version that it made, and the entry.
    changes: Vec<(i64, String)>,
    /// The version and the list at the start, of which the agent may offer a copy.
    first: Option<(i64, Vec<Entry>)>,
    /// The agent was started again with the copy and is not filled yet.
    has_old_copy: bool,
    /// How often the agent was started. Watches end with the process that serves them.
    process: u32,
}

#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    list: Arc<Mutex<List>>,
}

pub fn entry(host: &str, dial: SocketAddr, site: &str, group: i64, health: &str, born_ms: i64) -> Entry {
    let text = format!(
        "{{\"host\":\"{host}\",\"dial\":\"{dial}\",\"site\":\"{site}\",\"class\":\"m2\",\"block\":{group},\
         \"health\":\"{health}\",\"share\":1.0,\"born_ms\":{born_ms}}}"
    );
    (host.to_string(), text)
}

impl Discovery {
    pub fn start(entries: Vec<Entry>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let addr = listener.local_addr().expect("a listener has an address");
        let first = Some((FIRST_SEQ, entries.clone()));
        let list = Arc::new(Mutex::new(List { seq: FIRST_SEQ, entries, first, ..List::default() }));
        let discovery = Discovery { addr, list };
        let this = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                std::thread::spawn(move || this.serve(stream));
            }
        });
        discovery
    }

    /// Changes an entry of the list.
    pub fn change(&self, (host, text): Entry) {
        let mut list = self.list.lock().expect("list");
        list.seq += 1;
        let seq = list.seq;
        list.changes.push((seq, text.clone()));
        list.entries.retain(|(known, _)| *known != host);
        list.entries.push((host, text));
    }

    /// Starts the agent again: its watches are reset, and it has a copy of the first list until it is filled.
    pub fn restart_with_old_copy(&self) {
        let mut list = self.list.lock().expect("list");
        list.process += 1;
        list.has_old_copy = true;
    }

    /// The agent has been filled: it has the present list again.
    pub fn fill(&self) {
        self.list.lock().expect("list").has_old_copy = false;
    }

    /// The whole list that the agent has, and its version.
    fn whole(&self) -> (i64, String) {
        let list = self.list.lock().expect("list");
        let (seq, entries) = match &list.first {
            Some((seq, entries)) if list.has_old_copy => (*seq, entries),
            _ => (list.seq, &list.entries),
        };
        let hosts: Vec<&str> = entries.iter().map(|(_, text)| text.as_str()).collect();
        (seq, format!("{{\"seq\":{seq},\"whole\":true,\"hosts\":[{}]}}", hosts.join(",")))
    }

    fn process(&self) -> u32 {
        self.list.lock().expect("list").process
    }

    fn changes_after(&self, after: i64) -> Option<(i64, String)> {
        let list = self.list.lock().expect("list");
        if list.has_old_copy {
            return None;
        }
        let changed: Vec<&str> =
            list.changes.iter().filter(|(seq, _)| *seq > after).map(|(_, text)| text.as_str()).collect();
        let text = format!("{{\"seq\":{},\"whole\":false,\"hosts\":[{}]}}", list.seq, changed.join(","));
        (!changed.is_empty()).then_some((list.seq, text))
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).ok()?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        if !head.contains("watch=1") {
            let (_, text) = self.whole();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            return stream.write_all(answer.as_bytes()).ok();
        }
        let after = head.split("after=").nth(1)?;
        let after: i64 = after.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()?;
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let mut seen = after;
        let process = self.process();
        let (seq, text) = self.whole();
        if after < FIRST_SEQ || after > seq {
            // Changes after that version are not to be had: the whole list.
            record::line(&format!(
                "discovery's agent sends the whole list, version {seq}, to a watch after {after}"
            ));
            chunk(&mut stream, &format!("{text}\n"))?;
            seen = seq;
        }
        let mut beat = Instant::now();
        while self.process() == process {
            if let Some((seq, text)) = self.changes_after(seen) {
                chunk(&mut stream, &format!("{text}\n"))?;
                (seen, beat) = (seq, Instant::now());
            } else if beat.elapsed() >= Duration::from_secs(2) {
                chunk(&mut stream, "\n")?;
                beat = Instant::now();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

fn chunk(stream: &mut TcpStream, text: &str) -> Option<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).ok()
}
