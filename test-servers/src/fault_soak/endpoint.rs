//! Endpoints that fail at random, and that record each statement that reaches them.

use crate::arrival_clock::last_arrival;
use crate::cluster::unix_ms;
use crate::fault_soak::plan::RunPlan;
use crate::flood::kind::VALUE_BYTES_FIELD;
use crate::lock;
use crate::random::{choose, one_in};
use crate::wire::{self, append_error, append_parameter_status, append_ready_for_query, append_single_value};
use routing::rng::Mwc;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The statement of the router's health checks.
const HEALTH_STATEMENT: &str = "SHOW health";
/// How far an endpoint's position lags behind the wall clock, in milliseconds.
const LAG_MS: i64 = 20;
/// How long an endpoint that hangs keeps its connection open.
const HANG: Duration = Duration::from_secs(5);
/// One of this many statements is disturbed, if the endpoints of the run fail.
const DISTURBED_ONE_IN: usize = 6;

/// A statement that has reached an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When its last byte arrived at the endpoint, or at the proxy before it.
    pub at: Instant,
    /// The timeout that it declares, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the endpoint executes it: it does not if it rejects the statement.
    pub executed: bool,
}

/// The statements that have reached the endpoints of a run, by the id of their request.
#[derive(Default)]
pub struct ArrivalLog {
    by_id: Mutex<HashMap<String, Vec<Arrival>>>,
    /// When the bytes that a proxy has forwarded last had arrived there, by the proxy's port.
    at_proxy: Mutex<HashMap<u16, Instant>>,
}

impl ArrivalLog {
    /// Records that the proxy whose connection to the endpoint has the port `proxy_port` forwards bytes that arrived at `at`.
    pub(super) fn record_forwarded(&self, proxy_port: u16, at: Instant) {
        lock(&self.at_proxy).insert(proxy_port, at);
    }

    /// Records that the proxy no longer uses a port.
    pub(super) fn forget_forwarded(&self, proxy_port: u16) {
        lock(&self.at_proxy).remove(&proxy_port);
    }

    /// When the statement that was read last from a connection had arrived.
    fn arrival_at_first_hop(&self, stream: &TcpStream) -> Instant {
        let at_proxy =
            stream.peer_addr().ok().and_then(|peer| lock(&self.at_proxy).get(&peer.port()).copied());
        at_proxy.unwrap_or_else(|| last_arrival(stream))
    }

    fn record(&self, id: &str, arrival: Arrival) {
        lock(&self.by_id).entry(id.to_string()).or_default().push(arrival);
    }

    /// The number of requests that were executed and whose id begins with `prefix`.
    pub fn executed_with_prefix(&self, prefix: &str) -> usize {
        let arrivals = lock(&self.by_id);
        let is_executed = |(id, arrivals): &(&String, &Vec<Arrival>)| {
            id.starts_with(prefix) && arrivals.iter().any(|arrival| arrival.executed)
        };
        arrivals.iter().filter(is_executed).count()
    }

    /// The arrivals of a request, in their order.
    pub fn of(&self, id: &str) -> Vec<Arrival> {
        lock(&self.by_id).get(id).cloned().unwrap_or_default()
    }
}

/// What an endpoint does with a statement.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Behavior {
    /// Answers after the service time.
    Serve,
    /// Answers after most of the statement's timeout.
    ServeSlowly,
    /// Executes the statement and never answers.
    Hang,
    /// Executes the statement and closes the connection.
    Close,
    /// Executes the statement and sends only half of the answer.
    HalfAnswer,
    /// Fails with an error after which the statement may have been executed.
    Fail,
    /// Rejects the statement without executing it.
    Reject,
}

const DISTURBANCES: [Behavior; 6] = [
    Behavior::ServeSlowly,
    Behavior::Hang,
    Behavior::Close,
    Behavior::HalfAnswer,
    Behavior::Fail,
    Behavior::Reject,
];

/// A listening endpoint.
#[derive(Clone)]
pub struct FailingEndpoint {
    primary: bool,
    fails: bool,
    max_service_ms: usize,
    seed: u64,
    connections: Arc<AtomicU64>,
    log: Arc<ArrivalLog>,
}

/// Starts an endpoint on a free port and returns its address. It serves and fails as planned.
pub fn start(primary: bool, plan: &RunPlan, seed: u64, log: Arc<ArrivalLog>) -> SocketAddr {
    let (fails, max_service_ms) = (plan.endpoints_fail, plan.max_service_ms);
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let addr = listener.local_addr().expect("a bound listener has an address");
    let endpoint = FailingEndpoint { primary, fails, max_service_ms, seed, connections: Arc::default(), log };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let endpoint = endpoint.clone();
            thread::spawn(move || endpoint.serve(stream));
        }
    });
    addr
}

impl FailingEndpoint {
    /// Serves a connection until it ends.
    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let connection = self.connections.fetch_add(1, Ordering::Relaxed);
        let mut rng = Mwc::new(self.seed.wrapping_add(connection));
        wire::read_startup(&mut stream)?;
        let mut out = Vec::new();
        wire::append_message(&mut out, b'R', &[0; 4]);
        append_ready_for_query(&mut out);
        stream.write_all(&out).ok()?;
        while let Some(message) = wire::read_message(&mut stream).filter(|message| message.tag == b'Q') {
            let text = String::from_utf8_lossy(&message.body);
            let mut out = Vec::new();
            match text.trim_end_matches('\0') {
                "" => wire::append_message(&mut out, b'I', b""),
                HEALTH_STATEMENT => self.append_health(&mut out),
                text => self.execute(&mut stream, text, &mut rng, &mut out)?,
            }
            append_ready_for_query(&mut out);
            stream.write_all(&out).ok()?;
        }
        None
    }

    fn append_health(&self, out: &mut Vec<u8>) {
        let position_s = (unix_ms() - LAG_MS) as f64 / 1e3;
        let role = u8::from(self.primary);
        append_single_value(out, format!("x0={position_s:.3},x1={role},load_share=0.1").as_bytes());
    }

    /// Handles the statement of a request. Returns `None` if the connection is closed.
    fn execute(&self, stream: &mut TcpStream, text: &str, rng: &mut Mwc, out: &mut Vec<u8>) -> Option<()> {
        let id = comment_value(text, "id")?;
        let timeout_ms = comment_value(text, "d")?.parse().ok()?;
        let behavior = self.choose_behavior(rng);
        let is_write_elsewhere = text.contains("INSERT") && !self.primary;
        let executed = behavior != Behavior::Reject && !is_write_elsewhere;
        let padding_bytes =
            comment_value(text, VALUE_BYTES_FIELD).map_or(Some(0), |bytes| bytes.parse().ok())?;
        let at = self.log.arrival_at_first_hop(stream);
        self.log.record(id, Arrival { at, timeout_ms, executed });
        if is_write_elsewhere {
            append_error(out, "25006");
            append_parameter_status(out, "recovery", "on");
            return Some(());
        }
        if self.max_service_ms > 0 {
            thread::sleep(Duration::from_millis(1 + rng.below(self.max_service_ms) as u64));
        }
        match behavior {
            Behavior::Serve => self.append_value(id, padding_bytes, out),
            Behavior::ServeSlowly => {
                thread::sleep(Duration::from_millis(timeout_ms * 3 / 4));
                self.append_value(id, padding_bytes, out);
            }
            Behavior::Hang => {
                thread::sleep(HANG);
                return None;
            }
            Behavior::Close => return None,
            Behavior::HalfAnswer => {
                self.append_value(id, padding_bytes, out);
                let _ = stream.write_all(&out[..out.len() / 2]);
                return None;
            }
            Behavior::Fail => append_error(out, "XX000"),
            Behavior::Reject => append_error(out, "53300"),
        }
        Some(())
    }

    fn choose_behavior(&self, rng: &mut Mwc) -> Behavior {
        if self.fails && one_in(rng, DISTURBED_ONE_IN) {
            choose(rng, &DISTURBANCES)
        } else {
            Behavior::Serve
        }
    }

    /// Appends a value that contains the id of its request and `padding_bytes` more bytes, and the endpoint's role and
    /// position.
    fn append_value(&self, id: &str, padding_bytes: usize, out: &mut Vec<u8>) {
        append_single_value(out, &[id.as_bytes(), &vec![b' '; padding_bytes]].concat());
        append_parameter_status(out, "recovery", if self.primary { "off" } else { "on" });
        append_parameter_status(out, "lsn_ms", &(unix_ms() - LAG_MS).to_string());
    }
}

/// Returns the value of a key in the comment at the start of a statement.
fn comment_value<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let comment = text.strip_prefix("/*")?.split("*/").next()?;
    comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('=')).map(str::trim)
}
