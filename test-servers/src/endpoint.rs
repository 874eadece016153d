//! An endpoint that listens on loopback. It answers from the current state of the cluster model and records its
//! executions of writes there.

use crate::cluster::{unix_ms, Cluster, ClusterState, EndpointIndex, Reachability};
use crate::settings::DEDUP_WINDOW_MS;
use crate::wire::{self, append_error, append_parameter_status, append_ready_for_query, append_single_value};
use history_checker::{Execution, LogPoint, Rule};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// SQLSTATE `read_only_sql_transaction`.
const READ_ONLY: &str = "25006";
/// SQLSTATE `insufficient_privilege`.
const INSUFFICIENT_PRIVILEGE: &str = "42501";
/// The statement of the router's health checks.
const HEALTH_STATEMENT: &str = "SHOW health";
/// A function that only the statement for an endpoint's identity calls.
const IDENTITY_FUNCTION: &str = "pg_control_checkpoint";
/// The method whose requests are writes with an idempotency key.
const KEYED_METHOD: &str = "deposit";
/// Timeout of the connection that wakes a listener's thread so that the thread ends.
const WAKE_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of values of the second byte of a loopback address that processes are distributed over, to keep the
/// addresses of concurrent test processes apart.
const PROCESS_ADDRESSES: u32 = 250;

/// A listening endpoint. Dropping it stops the listener; open connections are closed when their next statement
/// arrives.
pub struct ServedEndpoint {
    /// Address that the endpoint listens on.
    pub addr: SocketAddr,
    is_over: Arc<AtomicBool>,
}

impl Drop for ServedEndpoint {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Release);
        let _ = TcpStream::connect_timeout(&self.addr, WAKE_TIMEOUT);
    }
}

/// Returns a loopback address and port that no process listens on. The port is found by binding it briefly. Every call
/// uses another IP address: on a shared one, the system could assign the port to another socket before the intended
/// process listens, or while that process is restarted.
pub fn free_address() -> SocketAddr {
    static ADDRESSES: AtomicU32 = AtomicU32::new(0);
    let (index, process) = (ADDRESSES.fetch_add(1, Ordering::Relaxed), std::process::id());
    let process_byte = 1 + (process % PROCESS_ADDRESSES) as u8;
    let host = Ipv4Addr::new(127, process_byte, (index >> 8) as u8, index as u8);
    let listener = TcpListener::bind((host, 0)).expect("loopback has a free port");
    listener.local_addr().expect("a bound listener has an address")
}

/// Starts the endpoint with this index of the cluster model, on a free port.
pub fn serve(cluster: &Arc<Cluster>, index: EndpointIndex) -> ServedEndpoint {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let addr = listener.local_addr().expect("a bound listener has an address");
    let is_over = Arc::new(AtomicBool::new(false));
    let served = ServedEndpoint { addr, is_over: is_over.clone() };
    let endpoint = Endpoint { cluster: cluster.clone(), index, is_over };
    thread::spawn(move || endpoint.listen(&listener));
    served
}

/// An endpoint, as the threads of its listener and of its connections use it.
#[derive(Clone)]
struct Endpoint {
    cluster: Arc<Cluster>,
    index: EndpointIndex,
    is_over: Arc<AtomicBool>,
}

/// A statement of a request.
struct Statement {
    id: String,
    group: i64,
    is_write: bool,
    has_idempotency_key: bool,
}

/// The answer to a statement, from the state of the cluster when the statement arrived.
struct Reply {
    /// Time from the arrival of the statement to the answer.
    service_time: Duration,
    /// The log point at which the data was read or written. A duplicate of a write has that of the first execution.
    log_point: LogPoint,
    /// Position up to which the endpoint's data is that of the live branch, in Unix milliseconds; 0 if the endpoint
    /// belongs to another group than the requested one.
    consistent_until_ms: i64,
    /// The encoded ParameterStatus messages that report the endpoint's state.
    status: Vec<u8>,
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
            // Keeps the connection open without sending anything until the peer closes it.
            let _ = wire::read_message(&mut stream);
            return None;
        }
        let mut out = Vec::new();
        wire::append_message(&mut out, b'R', &[0; 4]);
        append_ready_for_query(&mut out);
        stream.write_all(&out).ok()?;
        while let Some(message) = wire::read_message(&mut stream).filter(|message| message.tag == b'Q') {
            if self.is_over.load(Ordering::Acquire) {
                return None;
            }
            let text = String::from_utf8_lossy(&message.body);
            let mut out = Vec::new();
            self.answer(text.trim_end_matches('\0'), &mut out)?;
            append_ready_for_query(&mut out);
            stream.write_all(&out).ok()?;
        }
        None
    }

    /// Appends the answer to a statement. Returns `None` if the statement lacks what every request contains.
    fn answer(&self, text: &str, out: &mut Vec<u8>) -> Option<()> {
        match text {
            "" => wire::append_message(out, b'I', b""),
            HEALTH_STATEMENT => self.append_health(out),
            text if text.contains(IDENTITY_FUNCTION) => self.append_identity(out),
            text => self.append_execution(&Statement::parse(text)?, out),
        }
        Some(())
    }

    fn append_health(&self, out: &mut Vec<u8>) {
        let now_ms = unix_ms();
        let state = self.cluster.lock();
        let position_s = state.position(self.index, now_ms) as f64 / 1e3;
        let primary = u8::from(state.endpoints[self.index].primary);
        append_single_value(out, format!("x0={position_s:.3},x1={primary},load_share=0.1").as_bytes());
        self.append_status(&state, now_ms, out);
    }

    /// Appends ParameterStatus messages with the endpoint's role, position and epoch at `now_ms`.
    fn append_status(&self, state: &ClusterState, now_ms: i64, out: &mut Vec<u8>) {
        let recovery = if state.endpoints[self.index].primary { "off" } else { "on" };
        append_parameter_status(out, "recovery", recovery);
        append_parameter_status(out, "lsn_ms", &state.position(self.index, now_ms).to_string());
        self.append_epoch(state, out);
    }

    /// Appends a ParameterStatus message with the endpoint's epoch: the number of the timeline and, unless the timeline
    /// is the first one, `@` and the position at which the timeline began.
    fn append_epoch(&self, state: &ClusterState, out: &mut Vec<u8>) {
        let endpoint = &state.endpoints[self.index];
        let forks = state.forks(endpoint.group);
        let began = forks.get(endpoint.replication.branch).filter(|began| **began > 0);
        let began = began.map_or(String::new(), |began| format!("@{began}"));
        append_parameter_status(out, "epoch", &format!("{}{began}", endpoint.replication.timeline));
    }

    /// Appends the endpoint's name and timeline, or an error if the endpoint does not report its identity.
    fn append_identity(&self, out: &mut Vec<u8>) {
        let state = self.cluster.lock();
        let endpoint = &state.endpoints[self.index];
        if endpoint.process.reports_identity {
            append_single_value(
                out,
                format!("{},{}", endpoint.name, endpoint.replication.timeline).as_bytes(),
            );
        } else {
            append_error(out, INSUFFICIENT_PRIVILEGE);
        }
    }

    /// Executes a statement, and appends the answer after the service time when the answer gate is open.
    fn append_execution(&self, statement: &Statement, out: &mut Vec<u8>) {
        let Some(reply) = self.execute_statement(statement) else {
            append_error(out, READ_ONLY);
            return append_parameter_status(out, "recovery", "on");
        };
        thread::sleep(reply.service_time);
        self.cluster.answer_gate.wait_until_open();
        let LogPoint { branch, position_ms } = reply.log_point;
        append_single_value(
            out,
            format!("{} {} {branch} {position_ms}", statement.id, reply.consistent_until_ms).as_bytes(),
        );
        out.extend(reply.status);
    }

    /// Executes a statement when it arrives, whatever its service time. Returns `None` if the statement is a write and
    /// the endpoint is not a primary.
    fn execute_statement(&self, statement: &Statement) -> Option<Reply> {
        let now_ms = unix_ms();
        let mut state = self.cluster.lock();
        let service_time = state.accept_work(self.index, now_ms, &self.cluster.slow_start);
        self.check_drain(&mut state, statement, now_ms);
        let endpoint = state.endpoints[self.index].clone();
        if statement.is_write && !endpoint.primary {
            return None;
        }
        let log_point = state.log_point(self.index, now_ms);
        let duplicate_of = statement
            .has_idempotency_key
            .then(|| state.duplicate_of(&statement.id, log_point, DEDUP_WINDOW_MS))
            .flatten();
        if statement.is_write && duplicate_of.is_none() {
            self.record_execution(&mut state, statement, log_point);
        }
        // An endpoint of another group has none of the requested data.
        let is_own_group = endpoint.group == statement.group;
        let consistent_until_ms = state.consistent_until_ms(self.index, now_ms);
        let mut status = Vec::new();
        self.append_status(&state, now_ms, &mut status);
        Some(Reply {
            service_time,
            log_point: duplicate_of.unwrap_or(log_point),
            consistent_until_ms: if is_own_group { consistent_until_ms } else { 0 },
            status,
        })
    }

    /// Reports a violation if a statement arrives after the grace period of the endpoint's drain.
    fn check_drain(&self, state: &mut ClusterState, statement: &Statement, now_ms: i64) {
        let Some(since_ms) = state.endpoints[self.index].process.draining_since_ms else { return };
        let since_drain_ms = now_ms - since_ms;
        if since_drain_ms > self.cluster.drain_grace_ms {
            let detail = format!(
                "received statement {} {since_drain_ms} ms after its drain began; at most {} ms are allowed",
                statement.id, self.cluster.drain_grace_ms
            );
            state.report_violation(self.index, Rule::DrainGrace, detail);
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
            has_idempotency_key: comment_value(text, "c") == Some(KEYED_METHOD),
        })
    }
}

/// Returns the value of a key in the comment at the start of a statement.
fn comment_value<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let comment = text.strip_prefix("/*")?.split("*/").next()?;
    comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('=')).map(str::trim)
}
