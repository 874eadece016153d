//! Cost of the write journal: throughput and latency of writes by the number of clients and the durability that a
//! record must have before its write is sent.

use clap::Parser;
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use test_servers::client::{Answer, Client, Kind};
use test_servers::cluster::unix_ms;
use test_servers::daemon::Daemon;
use test_servers::endpoint::free_address;
use test_servers::single_endpoint::SingleEndpoint;
use write_journal::journal::{ClockReading, Durability, Journal, Operation, Retention};
use write_journal::record_state::RecordEvent;

const CLIENT_COUNTS: [usize; 3] = [1, 64, 512];
const JOURNAL_MODES: [&str; 3] = ["off", "system", "disk"];
const WARM_UP: Duration = Duration::from_millis(1_500);
const WRITE_TIMEOUT_MS: i64 = 900;
const DESCRIPTORS: usize = 4_096;
const MAX_RECORDS: u64 = 100_000_000;
const RECONNECT_DELAY: Duration = Duration::from_millis(5);
/// Measured starts on the same journal.
const STARTS: usize = 3;
/// Batches between two measurements of the size on disk, which lags behind the batches.
const BATCHES_PER_MEASUREMENT: u64 = 20;
const RECORDS_PER_BATCH: u64 = 8_192;
/// Records of the filled journal are kept for an hour, longer than the measurement takes.
const MAX_AGE_MS: i64 = 3_600_000;
/// Any fixed number: names the filled journal.
const JOURNAL_NAME_SEED: u64 = 7;

/// The cost of recording writes.
#[derive(Parser)]
struct Arguments {
    /// The daemon to test
    #[arg(long)]
    daemon: PathBuf,
    /// Seconds for each row
    #[arg(long, default_value_t = 3)]
    seconds: u64,
    /// Instead: how long a start takes on a journal of so many MB, and what memory it has then
    #[arg(long)]
    start_on_mb: Option<u64>,
}

fn main() {
    let arguments = Arguments::parse();
    match arguments.start_on_mb {
        Some(mb) => measure_starts(&arguments, mb),
        None => measure_writes(&arguments),
    }
}

fn start(arguments: &Arguments, fixture: &SingleEndpoint, listen: SocketAddr, journal: &str) -> Daemon {
    let folder = fixture.folder.path();
    let state_dir = folder.join("state").display().to_string();
    let operator_file =
        format!("state-dir {state_dir}\nwrite-journal {journal}\nwrite-journal-most {MAX_RECORDS}\n");
    fixture.start(&arguments.daemon, folder, listen, DESCRIPTORS, &operator_file)
}

fn measure_starts(arguments: &Arguments, mb: u64) {
    let (fixture, listen) = (SingleEndpoint::new(0), free_address());
    let path = fixture.folder.path().join("state").join("writes");
    std::fs::create_dir_all(&path).expect("a writable folder");
    let records = fill_journal(&path, mb);
    println!("{records} records, {} MB on disk", folder_bytes(&path) >> 20);
    for _ in 0..STARTS {
        let started = Instant::now();
        let daemon = start(arguments, &fixture, listen, "system");
        let first_write = wait_for_write(&listen, started);
        let status = std::fs::read_to_string(format!("/proc/{}/status", daemon.pid())).unwrap_or_default();
        let memory = status.lines().find(|line| line.starts_with("VmHWM")).unwrap_or_default();
        println!("first write after {first_write:?}; {memory}");
        daemon.kill();
    }
}

/// Fills a journal until it takes `mb` MB on disk. Returns the number of records.
fn fill_journal(path: &Path, mb: u64) -> u64 {
    let retention = Retention { max_records: MAX_RECORDS, max_age_ms: MAX_AGE_MS };
    let journal = Journal::open(path, Durability::System, retention, JOURNAL_NAME_SEED);
    let mut journal = journal.expect("it opens");
    let mut records = 0;
    while folder_bytes(path) < mb << 20 {
        for _ in 0..BATCHES_PER_MEASUREMENT {
            let operations: Vec<Operation> =
                (records..records + RECORDS_PER_BATCH).map(record_operation).collect();
            records += RECORDS_PER_BATCH;
            let clock = ClockReading { wall_ms: unix_ms(), uptime: None };
            journal.apply(clock, &operations).expect("it is recorded");
        }
    }
    records
}

/// A record with an id of the maximum length that has no prefix in common with the next one.
fn record_operation(index: u64) -> Operation {
    let id = [1u64, 3, 5, 7].map(|odd| format!("{:016x}", mix_bits(index.wrapping_mul(odd)))).concat();
    Operation::Record { id, event: RecordEvent::Starting, deduplication: None }
}

/// Mixes the bits of a number.
fn mix_bits(number: u64) -> u64 {
    let number = (number ^ (number >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (number ^ (number >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

/// Total size in bytes of the files in a directory and its subdirectories.
fn folder_bytes(path: &Path) -> u64 {
    let entries = std::fs::read_dir(path).into_iter().flatten().flatten();
    let size = |entry: std::fs::DirEntry| match entry.metadata() {
        Ok(metadata) if metadata.is_dir() => folder_bytes(&entry.path()),
        Ok(metadata) => metadata.len(),
        Err(_) => 0,
    };
    entries.map(size).sum()
}

/// Sends writes until one is served. Returns the time since `started`.
fn wait_for_write(listen: &SocketAddr, started: Instant) -> Duration {
    loop {
        let Ok(mut client) = Client::open(listen) else { continue };
        let id = format!("first-{}", unix_ms());
        let answer = client.request(&id, 1, Kind::Write, WRITE_TIMEOUT_MS).answer;
        if matches!(answer, Answer::Value(_)) {
            return started.elapsed();
        }
    }
}

fn measure_writes(arguments: &Arguments) {
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
        let latency_us = Histogram::new_with_bounds(1, 10_000_000, 3).expect("sound bounds");
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
    let (fixture, listen) = (SingleEndpoint::new(0), free_address());
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
    while !state.is_over.load(Ordering::Acquire) {
        let Ok(mut client) = Client::open(listen) else {
            thread::sleep(RECONNECT_DELAY);
            continue;
        };
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
    }
    measured
}
