//! What the journal of writes costs: writes a second and their times, by how many are at once and how far a record must
//! come before the write leaves.

use clap::Parser;
use hdrhistogram::Histogram;
use standins::client::{Answer, Client, Kind};
use standins::daemon::{Daemon, Start};
use standins::discovery::{host, Discovery, Mode};
use standins::starts::settings;
use standins::store::{free_address, serve};
use standins::world::{Branch, Cold, Machine, World};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The cost of keeping writes on record.
#[derive(Parser)]
struct Line {
    #[arg(long)]
    daemon: PathBuf,
    /// Seconds for each row
    #[arg(long, default_value_t = 3)]
    seconds: u64,
}

fn main() {
    let line = Line::parse();
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

fn row(line: &Line, journal: &str, at_once: usize) {
    let cold = Cold { from: 1.0, for_ms: 1, fall_multiple: 9.0, window_ms: 500, work_ms: 0 };
    let world = Arc::new(World::new(cold, 250));
    world.lock().branches.insert(1, vec![Branch { forked_ms: 0, truth: true }]);
    world.lock().machines = vec![Machine::of("s-0".into(), 1, None, 0)];
    let served = serve(&world, 0);
    let discovery = Discovery::start(Mode::Up, 1, vec![host("s-0", &served.addr, 1, true, "SERVING", 0)]);
    let folder = tempfile::tempdir().expect("a folder");
    let state = folder.path().join("state");
    std::fs::create_dir(&state).expect("made");
    let listen = free_address();
    let start = Start {
        program: &line.daemon,
        facts: &format!(
            r#"{{"seed":"1","limits":{{"sockets":4096,"memory_mb":256}},"settings":{}}}"#,
            settings()
        ),
        conf: Some(&format!("state-dir {}\nwrite-journal {journal}\n", state.display())),
        folder: folder.path(),
        listen,
        discovery: discovery.addr,
    };
    let daemon = Daemon::start(&start).expect("it starts");
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
