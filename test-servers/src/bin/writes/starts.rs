//! Duration and peak memory of a start with a large write journal.

use crate::{start, Arguments, MAX_RECORDS, WORK_MS, WRITE_TIMEOUT_MS};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use test_servers::client::{Answer, Client, Kind};
use test_servers::cluster::unix_ms;
use test_servers::endpoint::free_address;
use test_servers::random::GOLDEN_RATIO_64;
use test_servers::single_endpoint::SingleEndpoint;
use write_journal::journal::{ClockReading, Durability, Journal, Operation, Retention};
use write_journal::record_state::RecordEvent;

/// Number of measured starts with the same journal.
const STARTS: usize = 3;
/// Number of batches of records between two measurements of the size on disk, which increases after a delay.
const BATCHES_PER_MEASUREMENT: u64 = 20;
const RECORDS_PER_BATCH: u64 = 8_192;
/// Time for which records are kept: an hour, longer than the measurement takes.
const MAX_AGE_MS: i64 = 3_600_000;
/// Seed of the journal's name. Any fixed number.
const JOURNAL_NAME_SEED: u64 = 7;
/// Mode of the write journal in the measured starts.
const JOURNAL_MODE: &str = "system";
/// Binary logarithm of the number of bytes in a MB.
const MB_SHIFT: u32 = 20;
/// An id consists of four numbers of 16 hexadecimal digits. Each is computed from another odd multiple of the index of
/// the record.
const ID_MULTIPLIERS: [u64; 4] = [1, 3, 5, 7];
/// The first multiplier in the finalizer of `splitmix64`.
const SPLITMIX64_MULTIPLIER: u64 = 0xbf58_476d_1ce4_e5b9;

/// Measures and prints the duration and the peak memory of starts with a journal of `mb` MB.
pub fn measure_starts(arguments: &Arguments, mb: u64) {
    let (fixture, listen) = (SingleEndpoint::new(WORK_MS), free_address());
    let path = fixture.folder.path().join("state").join("writes");
    std::fs::create_dir_all(&path).expect("the directory of the journal could not be created");
    let records = fill_journal(&path, mb);
    println!("journal of {records} records, {} MB on disk", folder_bytes(&path) >> MB_SHIFT);
    for _ in 0..STARTS {
        let started = Instant::now();
        let daemon = start(arguments, &fixture, listen, JOURNAL_MODE);
        let first_write = wait_for_write(&listen, started);
        let status = std::fs::read_to_string(format!("/proc/{}/status", daemon.pid())).unwrap_or_default();
        let memory = status.lines().find(|line| line.starts_with("VmHWM")).unwrap_or_default();
        println!("first write served {first_write:?} after the start; peak memory: {memory}");
        daemon.kill();
    }
}

/// Adds records to a new journal until its size on disk is at least `mb` MB. Returns the number of records.
fn fill_journal(path: &Path, mb: u64) -> u64 {
    let retention = Retention { max_records: MAX_RECORDS, max_age_ms: MAX_AGE_MS };
    let journal = Journal::open(path, Durability::System, retention, JOURNAL_NAME_SEED);
    let mut journal = journal.expect("the journal could not be opened");
    let mut records = 0;
    while folder_bytes(path) < mb << MB_SHIFT {
        for _ in 0..BATCHES_PER_MEASUREMENT {
            let operations: Vec<Operation> =
                (records..records + RECORDS_PER_BATCH).map(record_operation).collect();
            records += RECORDS_PER_BATCH;
            let clock = ClockReading { wall_ms: unix_ms(), uptime: None };
            journal.apply(clock, &operations).expect("the records could not be written");
        }
    }
    records
}

/// The operation that adds the record with this index. Its id has the maximum length and no common prefix with the
/// next one.
fn record_operation(index: u64) -> Operation {
    let id = ID_MULTIPLIERS.map(|odd| format!("{:016x}", mix_bits(index.wrapping_mul(odd)))).concat();
    Operation::Record { id, event: RecordEvent::FirstAttempt, deduplication: None }
}

/// Mixes the bits of a number, in a similar way to the generator `splitmix64`.
fn mix_bits(number: u64) -> u64 {
    let number = (number ^ (number >> 31)).wrapping_mul(GOLDEN_RATIO_64);
    (number ^ (number >> 29)).wrapping_mul(SPLITMIX64_MULTIPLIER)
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

/// Connects and sends writes until one is served. Returns the time since `started`.
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
