//! The loop of one client: sends reads and writes until the run is over, and reconnects whenever its connection ends.

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
/// On average one in this many requests is preceded by a pipeline of reads.
const REQUESTS_PER_PIPELINE: usize = 40;
/// Reads in a pipeline: enough to overload an endpoint in slow start that is treated as warm.
const PIPELINE_LENGTH: usize = 32;
/// On average one in this many requests is a write.
const REQUESTS_PER_WRITE: usize = 3;
const RECONNECT_DELAY: Duration = Duration::from_millis(2);
/// Pause after a rejection without a Retry-After time.
const DEFAULT_RETRY_AFTER_MS: i64 = 20;
/// Shortest and longest pause after a rejection: clients may return before their Retry-After time, to keep up the
/// load.
const MIN_RETRY_PAUSE_MS: i64 = 5;
const MAX_RETRY_PAUSE_MS: i64 = 60;
/// Pause between two requests.
const REQUEST_PAUSE: JitteredMs = JitteredMs { min_ms: 4, jitter_ms: 8 };

/// State shared by all clients of a run.
pub struct ClientRun {
    pub started: Instant,
    pub groups: Vec<i64>,
    pub is_over: AtomicBool,
    pub records: Mutex<Vec<RequestRecord>>,
}

/// When the first read and the first write were served, in milliseconds since the run started: a client's own, or the
/// earliest of all clients.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstServed {
    /// The first read.
    pub read_ms: Option<f64>,
    /// The first write.
    pub write_ms: Option<f64>,
}

impl ClientRun {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Acquire)
    }

    /// Runs one client until the run is over.
    pub fn run(&self, listen: &SocketAddr, index: usize, seed: u64) -> FirstServed {
        let mut client_loop =
            ClientLoop { run: self, index, rng: Mwc::new(seed), serial: 0, first: FirstServed::default() };
        reconnect_until_over(listen, &self.is_over, RECONNECT_DELAY, |client| {
            client_loop.use_connection(client);
        });
        client_loop.first
    }
}

struct ClientLoop<'a> {
    run: &'a ClientRun,
    index: usize,
    rng: Mwc,
    serial: usize,
    first: FirstServed,
}

impl ClientLoop<'_> {
    /// Sends requests until the connection ends.
    fn use_connection(&mut self, mut client: Client) {
        while !self.run.is_over() {
            let record = self.next_request(&mut client);
            let answer = record.answer.clone();
            lock(&self.run.records).push(record);
            if answer == Answer::Missing {
                return;
            }
            thread::sleep(self.pause(&answer));
        }
    }

    fn next_request(&mut self, client: &mut Client) -> RequestRecord {
        self.serial += 1;
        let kind = if one_in(&mut self.rng, REQUESTS_PER_WRITE) { Kind::Write } else { Kind::Read };
        let group = choose(&mut self.rng, &self.run.groups);
        let id = format!("{:04x}{:012x}", self.index, self.serial);
        if one_in(&mut self.rng, REQUESTS_PER_PIPELINE) {
            // The load of a page that is opened.
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

    fn pause(&mut self, answer: &Answer) -> Duration {
        let pause_ms = match answer {
            Answer::Rejected(retry_after_ms) => {
                let wait_ms = retry_after_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS);
                wait_ms.clamp(MIN_RETRY_PAUSE_MS, MAX_RETRY_PAUSE_MS)
            }
            _ => REQUEST_PAUSE.draw(&mut self.rng),
        };
        Duration::from_millis(pause_ms as u64)
    }
}
