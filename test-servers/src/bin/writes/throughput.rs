//! Throughput and latency of writes by the number of clients and the durability that a record must have before its
//! write is sent.

use crate::{start, Arguments, WORK_MS, WRITE_TIMEOUT_MS};
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use test_servers::client::{Answer, Kind};
use test_servers::closed_loop::reconnect_until_over;
use test_servers::endpoint::free_address;
use test_servers::single_endpoint::SingleEndpoint;

const CLIENT_COUNTS: [usize; 3] = [1, 64, 512];
const JOURNAL_MODES: [&str; 3] = ["off", "system", "disk"];
/// Time before writes are counted.
const WARM_UP: Duration = Duration::from_millis(1_500);
const RECONNECT_DELAY: Duration = Duration::from_millis(5);
/// Range of the measured latencies in microseconds: longer ones are recorded as the maximum.
const MIN_LATENCY_US: u64 = 1;
const MAX_LATENCY_US: u64 = 10_000_000;
/// Significant decimal digits of the measured latencies.
const LATENCY_DIGITS: u8 = 3;

/// Measures throughput and latency of writes, by the number of clients and the durability of the records.
pub fn measure_writes(arguments: &Arguments) {
    println!(
        "{:<8} {:>8} {:>12} {:>10} {:>10} {:>10}",
        "journal", "at once", "ok a second", "p50 us", "p99 us", "other"
    );
    for clients in CLIENT_COUNTS {
        for journal in JOURNAL_MODES {
            measure_row(arguments, journal, clients);
        }
    }
}

/// Measurements of one client or of all clients of a row.
struct Measured {
    latency_us: Histogram<u64>,
    /// Number of requests that were not served.
    others: u64,
}

impl Measured {
    fn new() -> Measured {
        let latency_us =
            Histogram::new_with_bounds(MIN_LATENCY_US, MAX_LATENCY_US, LATENCY_DIGITS).expect("sound bounds");
        Measured { latency_us, others: 0 }
    }

    fn add(&mut self, other: &Measured) {
        self.latency_us.add(&other.latency_us).expect("the same bounds");
        self.others += other.others;
    }
}

/// State shared by the clients of one row.
#[derive(Default)]
struct RowState {
    is_counting: AtomicBool,
    is_over: AtomicBool,
}

fn measure_row(arguments: &Arguments, journal: &str, clients: usize) {
    let (fixture, listen) = (SingleEndpoint::new(WORK_MS), free_address());
    let daemon = start(arguments, &fixture, listen, journal);
    let state = Arc::new(RowState::default());
    let start_client = |index: usize| {
        let state = state.clone();
        thread::spawn(move || write_until_over(&listen, index, &state))
    };
    let writing: Vec<_> = (0..clients).map(start_client).collect();
    thread::sleep(WARM_UP);
    state.is_counting.store(true, Ordering::Release);
    thread::sleep(Duration::from_secs(arguments.seconds));
    state.is_over.store(true, Ordering::Release);
    let mut sum = Measured::new();
    for client in writing {
        sum.add(&client.join().expect("no client panics"));
    }
    drop(daemon);
    let Measured { latency_us, others } = sum;
    let rate = latency_us.len() as f64 / arguments.seconds as f64;
    let (p50, p99) = (latency_us.value_at_quantile(0.5), latency_us.value_at_quantile(0.99));
    println!("{journal:<8} {clients:>8} {rate:>12.0} {p50:>10} {p99:>10} {others:>10}");
}

/// Sends writes until the row is over and measures those that are counted.
fn write_until_over(listen: &SocketAddr, index: usize, state: &RowState) -> Measured {
    let mut measured = Measured::new();
    let mut serial = 0u64;
    reconnect_until_over(listen, &state.is_over, RECONNECT_DELAY, |mut client| {
        while !state.is_over.load(Ordering::Acquire) {
            serial += 1;
            let sent = Instant::now();
            let id = format!("{index:x}.{serial:x}");
            let answer = client.request(&id, 1, Kind::Write, WRITE_TIMEOUT_MS).answer;
            let took_us = sent.elapsed().as_micros() as u64;
            match answer {
                Answer::Missing => break,
                _ if !state.is_counting.load(Ordering::Acquire) => {}
                Answer::Value(_) => measured.latency_us.saturating_record(took_us),
                _ => measured.others += 1,
            }
        }
    });
    measured
}
