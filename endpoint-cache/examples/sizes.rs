//! Measures the cost of saving and loading lists of different lengths: time, file size and resident memory.

use endpoint_cache::{CacheDirectory, CachedEndpoint, CachedEndpointList, CachedReport};
use std::path::{Path, PathBuf};
use std::time::Instant;

/// Number of saves and loads of each list. It is odd, so that the median is a measured value.
const ROUNDS: usize = 21;

/// Cost of saving and loading one list, measured over [`ROUNDS`] saves and loads.
struct Costs {
    bytes: usize,
    median_save_ms: f64,
    median_load_ms: f64,
}

fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

fn endpoint(index: usize) -> CachedEndpoint {
    let report = CachedReport {
        primary: false,
        position_ms: Some(1_790_000_000_000),
        timeline: Some(7),
        received_ms: 1,
    };
    CachedEndpoint {
        name: format!("s-{index:08x}"),
        address: format!("10.1.{}.{}:6543", index / 250, index % 250),
        zone: "a".into(),
        group: index as i64 / 3,
        health: "SERVING".into(),
        started_ms: 1_790_000_000_000.0,
        recovery: "on".into(),
        report: Some(report),
    }
}

fn endpoint_list(count: usize) -> CachedEndpointList {
    CachedEndpointList {
        version: 9,
        endpoints: (0..count).map(endpoint).collect(),
        ..CachedEndpointList::default()
    }
}

fn median(mut samples: Vec<f64>) -> f64 {
    samples.sort_by(f64::total_cmp);
    samples[samples.len() / 2]
}

fn measure(directory_path: &Path, list: &mut CachedEndpointList) -> Costs {
    let (mut directory, _) = CacheDirectory::open(directory_path).expect("the directory is free");
    let (mut saves, mut loads, mut bytes) = (Vec::new(), Vec::new(), 0);
    for _ in 0..ROUNDS {
        let started = Instant::now();
        bytes = directory.save(list).expect("saved");
        saves.push(started.elapsed().as_secs_f64() * 1e3);
        let started = Instant::now();
        let loaded = CacheDirectory::read(directory_path).list.expect("a valid list");
        loads.push(started.elapsed().as_secs_f64() * 1e3);
        assert_eq!(loaded.list.endpoints.len(), list.endpoints.len());
    }
    Costs { bytes, median_save_ms: median(saves), median_load_ms: median(loads) }
}

fn main() {
    let directory_path = std::env::args().nth(1).map(PathBuf::from);
    let directory_path =
        directory_path.unwrap_or_else(|| std::env::temp_dir().join(format!("sizes-{}", std::process::id())));
    std::fs::create_dir_all(&directory_path).expect("a writable directory");
    println!(
        "{:>9} {:>10} {:>14} {:>14} {:>12}",
        "endpoints", "bytes", "save ms (med)", "load ms (med)", "resident kB"
    );
    for count in [10, 1_000, 10_000] {
        // The list must stay alive until the resident memory has been read.
        let mut list = endpoint_list(count);
        let Costs { bytes, median_save_ms, median_load_ms } = measure(&directory_path, &mut list);
        println!(
            "{count:>9} {bytes:>10} {median_save_ms:>14.2} {median_load_ms:>14.2} {:>12}",
            resident_kb()
        );
    }
    let _ = std::fs::remove_dir_all(&directory_path);
}
