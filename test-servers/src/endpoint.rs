//! A listening endpoint: it answers from the present state of its cluster, and records there what it executes.

use crate::cluster::{unix_ms, Cluster, ClusterState, EndpointIndex, Reachability};
use crate::settings::DEDUP_WINDOW_MS;
use crate::wire::{self, error, parameter_status, ready_for_query, row};
use history_checker::{Execution, LogPoint, Rule};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const READ_ONLY: &str = "25006";
const INSUFFICIENT_PRIVILEGE: &str = "42501";
const HEALTH_STATEMENT: &str = "SHOW health";
/// Occurs in the statement by which an endpoint is asked who it is.
const IDENTITY_FUNCTION: &str = "pg_control_checkpoint";
const KEYED_METHOD: &str = "deposit";

/// A listening endpoint. Dropping it ends the listener; connections end with the first statement after that.
pub struct ServedEndpoint {
    /// Where it listens.
    pub addr: SocketAddr,
    is_over: Arc<AtomicBool>,
}

impl Drop for ServedEndpoint {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Release);
        let _ = TcpStream::connect_timeout(&self.addr, Duration::from_millis(100));
    }
}

/// An address that nobody listens on: bound briefly and given back. Each is an address of loopback's own, so that nobody
/// else is given the port while what is to listen there is not up, or up no more.
pub fn free_address() -> SocketAddr {
    static GIVEN: AtomicU32 = AtomicU32::new(0);
    let (index, process) = (GIVEN.fetch_add(1, Ordering::Relaxed), std::process::id());
    let host = Ipv4Addr::new(127, 1 + (process % 250) as u8, (index >> 8) as u8, index as u8);
    let listener = TcpListener::bind((host, 0)).expect("loopback has a free port");
    listener.local_addr().expect("a bound listener has an address")
}

/// Starts an endpoint of a cluster.
pub fn serve(cluster: &Arc<Cluster>, index: EndpointIndex) -> ServedEndpoint {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let addr = listener.local_addr().expect("a bound listener has an address");
    let is_over = Arc::new(AtomicBool::new(false));
    let served = ServedEndpoint { addr, is_over: is_over.clone() };
    let endpoint = Endpoint { cluster: cluster.clone(), index, is_over };
    thread::spawn(move || endpoint.listen(&listener));
    served
}

#[derive(Clone)]
struct Endpoint {
    cluster: Arc<Cluster>,
    index: EndpointIndex,
    is_over: Arc<AtomicBool>,
}

/// What a statement's comment and text say.
struct Statement {
    id: String,
    group: i64,
    is_write: bool,
    has_key: bool,
}

/// What a statement is answered, as things are when it comes.
struct Reply {
    takes: Duration,
    /// Where the value was read or written.
    shown: LogPoint,
    /// Where the endpoint is.
    position_ms: i64,
    consistent_until_ms: i64,
    is_primary: bool,
    /// The ParameterStatus that says its epoch.
    epoch: Vec<u8>,
}

impl Endpoint {
    fn listen(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.is_over.load(Ordering::Acquire) {
                return;
            }
            let endpoint = self.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                endpoint.serve_connection(stream)
            });
        }
    }

    /// Serves a connection until it ends.
    fn serve_connection(&self, mut stream: TcpStream) -> Option<()> {
        wire::read_startup(&mut stream)?;
        if self.cluster.lock().endpoints[self.index].process.reachability == Reachability::Silent {
            // Open for as long as the other side holds it, and nothing is sent.
            let _ = wire::read_message(&mut stream);
            return None;
        }
        let mut out = Vec::new();
        wire::message(&mut out, b'R', &[0; 4]);
        ready_for_query(&mut out);
        stream.write_all(&out).ok()?;
        while let Some(message) = wire::read_message(&mut stream).filter(|message| message.tag == b'Q') {
            if self.is_over.load(Ordering::Acquire) {
                return None;
            }
            let text = String::from_utf8_lossy(&message.body);
            let mut out = Vec::new();
            self.answer(text.trim_end_matches('\0'), &mut out)?;
            ready_for_query(&mut out);
            stream.write_all(&out).ok()?;
        }
        None
    }

    fn answer(&self, text: &str, out: &mut Vec<u8>) -> Option<()> {
        match text {
            "" => wire::message(out, b'I', b""),
            HEALTH_STATEMENT => self.report_health(out),
            text if text.contains(IDENTITY_FUNCTION) => self.report_identity(out),
            text => self.execute(&Statement::parse(text)?, out),
        }
        Some(())
    }

    fn report_health(&self, out: &mut Vec<u8>) {
        let state = self.cluster.lock();
        let position_s = state.position(self.index, unix_ms()) as f64 / 1e3;
        let primary = u8::from(state.endpoints[self.index].primary);
        row(out, format!("x0={position_s:.3},x1={primary},load_share=0.1").as_bytes());
        self.report_epoch(&state, out);
    }

    /// Its timeline, and where that began.
    fn report_epoch(&self, state: &ClusterState, out: &mut Vec<u8>) {
        let endpoint = &state.endpoints[self.index];
        let forks = state.forks(endpoint.group);
        let began = forks.get(endpoint.replication.branch).filter(|began| **began > 0);
        let began = began.map_or(String::new(), |began| format!("@{began}"));
        parameter_status(out, "epoch", &format!("{}{began}", endpoint.replication.timeline));
    }

    fn report_identity(&self, out: &mut Vec<u8>) {
        let state = self.cluster.lock();
        let endpoint = &state.endpoints[self.index];
        if endpoint.process.reports_identity {
            row(out, format!("{},{}", endpoint.name, endpoint.replication.timeline).as_bytes());
        } else {
            error(out, INSUFFICIENT_PRIVILEGE);
        }
    }

    fn execute(&self, statement: &Statement, out: &mut Vec<u8>) {
        let Some(reply) = self.reply(statement) else {
            error(out, READ_ONLY);
            return parameter_status(out, "recovery", "on");
        };
        thread::sleep(reply.takes);
        let LogPoint { branch, at_ms } = reply.shown;
        row(out, format!("{} {} {branch} {at_ms}", statement.id, reply.consistent_until_ms).as_bytes());
        parameter_status(out, "recovery", if reply.is_primary { "off" } else { "on" });
        parameter_status(out, "lsn_ms", &reply.position_ms.to_string());
        out.extend(reply.epoch);
    }

    /// Executes a statement; none if it is a write and this is not the primary. What it is answered is as things are now,
    /// however long it takes.
    fn reply(&self, statement: &Statement) -> Option<Reply> {
        let now_ms = unix_ms();
        let mut state = self.cluster.lock();
        let takes = state.accept_work(self.index, now_ms, &self.cluster.slow_start);
        self.check_drain(&mut state, statement, now_ms);
        let endpoint = state.endpoints[self.index].clone();
        if statement.is_write && !endpoint.primary {
            return None;
        }
        let at = state.log_point(self.index, now_ms);
        let duplicate_of =
            statement.has_key.then(|| state.duplicate_of(&statement.id, at, DEDUP_WINDOW_MS)).flatten();
        if statement.is_write && duplicate_of.is_none() {
            self.record_execution(&mut state, statement, at);
        }
        // An endpoint of another group has nothing of what is asked here.
        let is_own_group = endpoint.group == statement.group;
        let consistent_until_ms = state.consistent_until_ms(self.index, now_ms);
        let mut epoch = Vec::new();
        self.report_epoch(&state, &mut epoch);
        Some(Reply {
            takes,
            shown: duplicate_of.unwrap_or(at),
            position_ms: at.at_ms,
            consistent_until_ms: if is_own_group { consistent_until_ms } else { 0 },
            is_primary: endpoint.primary,
            epoch,
        })
    }

    fn check_drain(&self, state: &mut ClusterState, statement: &Statement, now_ms: i64) {
        let Some(since_ms) = state.endpoints[self.index].process.draining_since_ms else { return };
        let late_ms = now_ms - since_ms;
        if late_ms > self.cluster.drain_grace_ms {
            let detail = format!("got {} {late_ms} ms after its drain", statement.id);
            state.report(self.index, Rule::DrainGrace, detail);
        }
    }

    fn record_execution(&self, state: &mut ClusterState, statement: &Statement, point: LogPoint) {
        let at_primary = state.is_live_primary(self.index, statement.group);
        let id = statement.id.clone();
        let execution = Execution { id: id.clone(), group: statement.group, point, at_primary };
        state.executions.entry(id).or_default().push(execution);
    }
}

impl Statement {
    fn parse(text: &str) -> Option<Statement> {
        Some(Statement {
            id: comment_value(text, "id")?.to_string(),
            group: comment_value(text, "cluster")?.parse().ok()?,
            is_write: text.contains("INSERT"),
            has_key: comment_value(text, "c") == Some(KEYED_METHOD),
        })
    }
}

/// A value in a statement's comment.
fn comment_value<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let comment = text.strip_prefix("/*")?.split("*/").next()?;
    comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('=')).map(str::trim)
}
