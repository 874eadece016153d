//! One client: it sends reads and writes until the run is over, and connects again whenever its connection ends.

use crate::client::{Answer, Client, Kind, RequestRecord};
use crate::lock;
use routing::rng::Mwc;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

const READ_TIMEOUT_MS: i64 = 400;
const WRITE_TIMEOUT_MS: i64 = 600;
/// One request in so many is followed by a pipeline of reads.
const PIPELINE_EVERY: usize = 40;
const PIPELINE_LENGTH: usize = 32;
const RECONNECT_DELAY: Duration = Duration::from_millis(2);

/// What all clients of a run share.
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

    /// Runs one client.
    pub fn run(&self, listen: &SocketAddr, index: usize, seed: u64) -> FirstServed {
        let mut client_loop =
            ClientLoop { run: self, index, rng: Mwc::new(seed), serial: 0, first: FirstServed::default() };
        while !self.is_over() {
            match Client::open(listen) {
                Ok(client) => client_loop.use_connection(client),
                Err(_) => thread::sleep(RECONNECT_DELAY),
            }
        }
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
        let kind = if self.rng.below(3) == 0 { Kind::Write } else { Kind::Read };
        let group = self.run.groups[self.rng.below(self.run.groups.len())];
        let id = format!("{:04x}{:012x}", self.index, self.serial);
        if self.rng.below(PIPELINE_EVERY) == 0 {
            // As when a page is opened: enough to overload an endpoint in slow start that is taken for warm.
            let ids: Vec<String> = (0..PIPELINE_LENGTH).map(|member| format!("{id}b{member}")).collect();
            let records = client.pipeline(&ids, group, Kind::Read, READ_TIMEOUT_MS);
            lock(&self.run.records).extend(records);
        }
        let timeout_ms = if kind == Kind::Read { READ_TIMEOUT_MS } else { WRITE_TIMEOUT_MS };
        let record = client.request(&id, group, kind, timeout_ms);
        if matches!(record.answer, Answer::Value(_)) {
            let elapsed_ms = self.run.started.elapsed().as_secs_f64() * 1e3;
            let first = if kind == Kind::Write { &mut self.first.write_ms } else { &mut self.first.read_ms };
            first.get_or_insert(elapsed_ms);
        }
        record
    }

    fn pause(&mut self, answer: &Answer) -> Duration {
        let pause_ms = match answer {
            Answer::Rejected(retry_after_ms) => retry_after_ms.unwrap_or(20).clamp(5, 60),
            _ => 4 + self.rng.below(8) as i64,
        };
        Duration::from_millis(pause_ms as u64)
    }
}
