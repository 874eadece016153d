//! Throughput and latency of writes, by the number of clients and the mode of the write journal.

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
/// Modes of the write journal: no journal, or the durability that a record must have before its write is sent.
const JOURNAL_MODES: [&str; 3] = ["off", "system", "disk"];
/// Time from the start of the clients until writes are counted.
const WARM_UP: Duration = Duration::from_millis(1_500);
const RECONNECT_DELAY: Duration = Duration::from_millis(5);
/// Shortest latency that is distinguished, in microseconds.
const MIN_LATENCY_US: u64 = 1;
/// Longest latency that is distinguished, in microseconds. Longer ones are recorded as this one.
const MAX_LATENCY_US: u64 = 10_000_000;
/// Number of significant decimal digits of the measured latencies.
const LATENCY_DIGITS: u8 = 3;

/// Measures throughput and latency of writes, and prints a row for each number of clients and mode of the write
/// journal.
pub fn measure_writes(arguments: &Arguments) {
    println!(
        "{:<8} {:>8} {:>12} {:>10} {:>10} {:>10}",
        "journal", "clients", "served/s", "p50 us", "p99 us", "not served"
    );
    for clients in CLIENT_COUNTS {
        for journal in JOURNAL_MODES {
            measure_row(arguments, journal, clients);
        }
    }
}

/// Measurements of one client or of all clients of a row.
struct Measurements {
    /// Latencies of the writes that were served, in microseconds.
    latency_us: Histogram<u64>,
    /// Number of writes that were answered otherwise.
    not_served: u64,
}

impl Measurements {
    fn new() -> Measurements {
        let latency_us = Histogram::new_with_bounds(MIN_LATENCY_US, MAX_LATENCY_US, LATENCY_DIGITS)
            .expect("the bounds of the histogram are valid");
        Measurements { latency_us, not_served: 0 }
    }

    fn add(&mut self, other: &Measurements) {
        self.latency_us.add(&other.latency_us).expect("both histograms have the same bounds");
        self.not_served += other.not_served;
    }
}

/// State that the clients of one row share.
#[derive(Default)]
struct RowState {
    /// Whether the warm-up is over, so that writes are counted.
    is_counting: AtomicBool,
    /// Set at the end of the measurement.
    is_over: AtomicBool,
}

/// Measures and prints one row.
fn measure_row(arguments: &Arguments, journal: &str, clients: usize) {
    let (fixture, listen) = (SingleEndpoint::new(WORK_MS), free_address());
    let daemon = start(arguments, &fixture, listen, journal);
    let state = Arc::new(RowState::default());
    let start_client = |index: usize| {
        let state = state.clone();
        thread::spawn(move || write_until_over(&listen, index, &state))
    };
    let client_threads: Vec<_> = (0..clients).map(start_client).collect();
    thread::sleep(WARM_UP);
    state.is_counting.store(true, Ordering::Release);
    thread::sleep(Duration::from_secs(arguments.seconds));
    state.is_over.store(true, Ordering::Release);
    let mut sum = Measurements::new();
    for client in client_threads {
        sum.add(&client.join().expect("a client panicked"));
    }
    drop(daemon);
    let Measurements { latency_us, not_served } = sum;
    let rate = latency_us.len() as f64 / arguments.seconds as f64;
    let (p50, p99) = (latency_us.value_at_quantile(0.5), latency_us.value_at_quantile(0.99));
    println!("{journal:<8} {clients:>8} {rate:>12.0} {p50:>10} {p99:>10} {not_served:>10}");
}

/// Sends writes until the measurement is over, and measures those that are answered while writes are counted.
fn write_until_over(listen: &SocketAddr, index: usize, state: &RowState) -> Measurements {
    let mut measurements = Measurements::new();
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
                Answer::Value(_) => measurements.latency_us.saturating_record(took_us),
                _ => measurements.not_served += 1,
            }
        }
    });
    measurements
}
