//! What the journal of writes costs: writes a second and their times, by how many are at once and how far a
//! record must come before the write leaves.

use clap::Parser;
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use test_servers::client::{Answer, Client, Kind};
use test_servers::daemon::Daemon;
use test_servers::lone::Lone;
use test_servers::store::free_address;
use test_servers::world::unix_ms;
use write_journal::journal::{ClockReading, Durability, Journal, Operation, Retention};
use write_journal::record_state::RecordEvent;

/// The cost of keeping writes on record.
#[derive(Parser)]
struct Line {
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
    let line = Line::parse();
    if let Some(mb) = line.start_on_mb {
        return start_on(&line, mb);
    }
    println!(
        "{:<8} {:>8} {:>12} {:>10} {:>10} {:>10}",
        "journal", "at once", "ok a second", "p50 us", "p99 us", "other"
    );
    for at_once in [1, 64, 512] {
        for journal in ["off", "system", "disk"] {
            row(&line, journal, at_once);
        }
    }
}

fn start(line: &Line, place: &Lone, listen: SocketAddr, journal: &str) -> Daemon {
    let folder = place.folder.path();
    let state = folder.join("state").display().to_string();
    let conf = format!("state-dir {state}\nwrite-journal {journal}\nwrite-journal-most 100000000\n");
    place.start(&line.daemon, folder, listen, 4_096, &conf)
}

/// What lies in a folder and the folders in it, in bytes.
fn bytes_in(path: &Path) -> u64 {
    let entries = std::fs::read_dir(path).into_iter().flatten().flatten();
    let size = |entry: std::fs::DirEntry| match entry.metadata() {
        Ok(meta) if meta.is_dir() => bytes_in(&entry.path()),
        Ok(meta) => meta.len(),
        Err(_) => 0,
    };
    entries.map(size).sum()
}

/// Spreads a number over all its bits.
fn mixed(nth: u64) -> u64 {
    let nth = (nth ^ (nth >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (nth ^ (nth >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

fn start_on(line: &Line, mb: u64) {
    let (place, listen) = (Lone::new(0), free_address());
    let path = place.folder.path().join("state").join("writes");
    std::fs::create_dir_all(&path).expect("made");
    let retention = Retention { max_records: 100_000_000, max_age_ms: 3_600_000 };
    let mut journal = Journal::open(&path, Durability::System, retention, 7).expect("it opens");
    let mut records = 0u64;
    // Sizes on disk follow with a delay, so the folder is looked at now and then.
    while bytes_in(&path) < mb << 20 {
        for _ in 0..20 {
            let one = |nth: u64| Operation::Record {
                // As long as an id may be, and as unlike the next.
                id: [1u64, 3, 5, 7].map(|odd| format!("{:016x}", mixed(nth * odd))).concat(),
                event: RecordEvent::Starting,
                deduplication: None,
            };
            let operations: Vec<Operation> = (records..records + 8_192).map(one).collect();
            records += 8_192;
            journal.apply(ClockReading { wall_ms: unix_ms(), uptime: None }, &operations).expect("kept");
        }
    }
    drop(journal);
    println!("{records} records, {} MB on disk", bytes_in(&path) >> 20);
    for _ in 0..3 {
        let began = Instant::now();
        let daemon = start(line, &place, listen, "system");
        let mut first = None;
        while first.is_none() {
            let asked = Client::open(&listen).map(|mut client| {
                let id = format!("first-{}", unix_ms());
                client.ask(&id, 1, Kind::Write, 900).answer
            });
            first = asked.ok().filter(|answer| matches!(answer, Answer::Value(_))).map(|_| began.elapsed());
        }
        let status = std::fs::read_to_string(format!("/proc/{}/status", daemon.pid())).unwrap_or_default();
        let memory = status.lines().find(|line| line.starts_with("VmHWM")).unwrap_or_default();
        println!("first write after {:?}; {memory}", first.unwrap_or_default());
        daemon.kill();
    }
}

fn row(line: &Line, journal: &str, at_once: usize) {
    let (place, listen) = (Lone::new(0), free_address());
    let daemon = start(line, &place, listen, journal);
    let (over, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let times = Arc::new(Mutex::new((
        Histogram::<u64>::new_with_bounds(1, 10_000_000, 3).expect("sound bounds"),
        0u64,
    )));
    let asking: Vec<_> = (0..at_once)
        .map(|nth| {
            let (over, counts, times) = (over.clone(), counts.clone(), times.clone());
            thread::spawn(move || {
                let (mut mine, mut other) =
                    (Histogram::<u64>::new_with_bounds(1, 10_000_000, 3).expect("sound bounds"), 0);
                while !over.load(Ordering::Acquire) {
                    let Ok(mut client) = Client::open(&listen) else {
                        thread::sleep(Duration::from_millis(5));
                        continue;
                    };
                    let mut serial = 0u64;
                    while !over.load(Ordering::Acquire) {
                        serial += 1;
                        let began = Instant::now();
                        let record = client.ask(&format!("{nth:x}.{serial:x}"), 1, Kind::Write, 900);
                        let took = began.elapsed().as_micros() as u64;
                        match record.answer {
                            Answer::None => break,
                            _ if !counts.load(Ordering::Acquire) => {}
                            Answer::Value(_) => mine.saturating_record(took),
                            _ => other += 1,
                        }
                    }
                }
                let mut all = times.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                all.0.add(&mine).expect("the same bounds");
                all.1 += other;
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    counts.store(true, Ordering::Release);
    thread::sleep(Duration::from_secs(line.seconds));
    over.store(true, Ordering::Release);
    asking.into_iter().for_each(|asking| asking.join().expect("no client panics"));
    drop(daemon);
    let (times, other) = &*times.lock().expect("no client panicked");
    let rate = times.len() as f64 / line.seconds as f64;
    let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    println!("{journal:<8} {at_once:>8} {rate:>12.0} {p50:>10} {p99:>10} {other:>10}");
}
