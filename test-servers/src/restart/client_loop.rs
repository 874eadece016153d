//! The request loop of a client: it sends reads and writes until the run is over, and reconnects when its connection
//! ends.

use crate::client::{Answer, Client, Kind, RequestRecord, RequestTimeouts};
use crate::closed_loop::reconnect_until_over;
use crate::lock;
use crate::random::{choose, one_in, JitteredMs};
use routing::rng::Mwc;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

const TIMEOUTS: RequestTimeouts = RequestTimeouts { read_ms: 400, write_ms: 600 };
/// A pipeline of reads precedes a request with a probability of one in this number.
const REQUESTS_PER_PIPELINE: usize = 40;
/// Number of reads in a pipeline: enough to overload an endpoint in slow start if the router does not limit the load.
const PIPELINE_LENGTH: usize = 32;
/// A request is a write with a probability of one in this number.
const REQUESTS_PER_WRITE: usize = 3;
const RECONNECT_DELAY: Duration = Duration::from_millis(2);
/// Pause after a rejection without a Retry-After time.
const DEFAULT_RETRY_AFTER_MS: i64 = 20;
/// Shortest pause after a rejection, also if the Retry-After time is shorter.
const MIN_RETRY_PAUSE_MS: i64 = 5;
/// Longest pause after a rejection. Clients may retry before their Retry-After time, which keeps the load high.
const MAX_RETRY_PAUSE_MS: i64 = 60;
/// Pause between two requests if the first one was not rejected.
const REQUEST_PAUSE: JitteredMs = JitteredMs { min_ms: 4, jitter_ms: 8 };

/// State that all clients of a run share.
pub struct RunState {
    /// When the run started, before the start of the instances.
    pub started: Instant,
    /// Numbers of the groups that requests are sent to.
    pub groups: Vec<i64>,
    /// Set at the end of the run.
    pub is_over: AtomicBool,
    /// Records of the requests of all clients.
    pub records: Mutex<Vec<RequestRecord>>,
}

/// When the first read and the first write of one client or of all clients were served.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstServed {
    /// Milliseconds from the start of the run until the first read was served; `None` if no read was served.
    pub read_ms: Option<f64>,
    /// Milliseconds from the start of the run until the first write was served; `None` if no write was served.
    pub write_ms: Option<f64>,
}

impl RunState {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Acquire)
    }

    /// Runs the client with this index, which connects to `listen`, until the run is over.
    pub fn run_client(&self, listen: &SocketAddr, index: usize, seed: u64) -> FirstServed {
        let mut client_loop =
            ClientLoop { run: self, index, rng: Mwc::new(seed), serial: 0, first: FirstServed::default() };
        reconnect_until_over(listen, &self.is_over, RECONNECT_DELAY, |client| {
            client_loop.use_connection(client);
        });
        client_loop.first
    }
}

/// State of one client.
struct ClientLoop<'a> {
    run: &'a RunState,
    index: usize,
    rng: Mwc,
    serial: usize,
    first: FirstServed,
}

impl ClientLoop<'_> {
    /// Sends requests until the connection ends or the run is over.
    fn use_connection(&mut self, mut client: Client) {
        while !self.run.is_over() {
            let record = self.send_next(&mut client);
            let answer = record.answer.clone();
            lock(&self.run.records).push(record);
            if answer == Answer::Missing {
                return;
            }
            thread::sleep(self.pause(&answer));
        }
    }

    /// Sends a random request, in some cases after a pipeline of reads, and waits for its answer.
    fn send_next(&mut self, client: &mut Client) -> RequestRecord {
        self.serial += 1;
        let kind = if one_in(&mut self.rng, REQUESTS_PER_WRITE) { Kind::Write } else { Kind::Read };
        let group = choose(&mut self.rng, &self.run.groups);
        let id = format!("{:04x}{:012x}", self.index, self.serial);
        if one_in(&mut self.rng, REQUESTS_PER_PIPELINE) {
            // As when a user opens a page that needs many reads.
            let ids: Vec<String> = (0..PIPELINE_LENGTH).map(|member| format!("{id}b{member}")).collect();
            let records = client.pipeline(&ids, group, Kind::Read, TIMEOUTS.read_ms);
            lock(&self.run.records).extend(records);
        }
        let record = client.request(&id, group, kind, TIMEOUTS.of(kind));
        if matches!(record.answer, Answer::Value(_)) {
            let elapsed_ms = self.run.started.elapsed().as_secs_f64() * 1e3;
            let first = if kind == Kind::Write { &mut self.first.write_ms } else { &mut self.first.read_ms };
            first.get_or_insert(elapsed_ms);
        }
        record
    }

    /// The pause after a request with this answer.
    fn pause(&mut self, answer: &Answer) -> Duration {
        let pause_ms = match answer {
            Answer::Rejected(retry_after_ms) => {
                let wait_ms = retry_after_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS);
                wait_ms.clamp(MIN_RETRY_PAUSE_MS, MAX_RETRY_PAUSE_MS)
            }
            _ => REQUEST_PAUSE.sample(&mut self.rng),
        };
        Duration::from_millis(pause_ms as u64)
    }
}
