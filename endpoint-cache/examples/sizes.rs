//! Measures the cost of saving and loading by the number of endpoints: time, file size and resident memory.

use endpoint_cache::{CacheDirectory, CachedEndpoint, CachedEndpointList, CachedReport};
use std::path::{Path, PathBuf};
use std::time::Instant;

/// Saves and loads of each list. An odd number, so that the median is a measured value.
const ROUNDS: usize = 21;

/// Costs of one list, measured over [`ROUNDS`] saves and loads.
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

fn endpoint(nth: usize) -> CachedEndpoint {
    let report =
        CachedReport { primary: false, position_ms: Some(1_790_000_000_000), timeline: Some(7), at_ms: 1 };
    CachedEndpoint {
        name: format!("s-{nth:08x}"),
        address: format!("10.1.{}.{}:6543", nth / 250, nth % 250),
        zone: "a".into(),
        group: nth as i64 / 3,
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

fn measure(folder: &Path, list: &mut CachedEndpointList) -> Costs {
    let (mut directory, _) = CacheDirectory::open(folder).expect("it opens");
    let (mut saves, mut loads, mut bytes) = (Vec::new(), Vec::new(), 0);
    for _ in 0..ROUNDS {
        let began = Instant::now();
        bytes = directory.save(list).expect("saved");
        saves.push(began.elapsed().as_secs_f64() * 1e3);
        let began = Instant::now();
        let loaded = CacheDirectory::read(folder).list.expect("a whole one");
        loads.push(began.elapsed().as_secs_f64() * 1e3);
        assert_eq!(loaded.list.endpoints.len(), list.endpoints.len());
    }
    Costs { bytes, median_save_ms: median(saves), median_load_ms: median(loads) }
}

fn main() {
    let folder = std::env::args().nth(1).map(PathBuf::from);
    let folder = folder.unwrap_or_else(|| std::env::temp_dir().join(format!("sizes-{}", std::process::id())));
    std::fs::create_dir_all(&folder).expect("a folder to write to");
    println!(
        "{:>8} {:>10} {:>14} {:>14} {:>12}",
        "stores", "bytes", "save ms (med)", "load ms (med)", "resident kB"
    );
    for count in [10, 1_000, 10_000] {
        // The list stays alive until the resident memory has been read.
        let mut list = endpoint_list(count);
        let Costs { bytes, median_save_ms, median_load_ms } = measure(&folder, &mut list);
        println!(
            "{count:>8} {bytes:>10} {median_save_ms:>14.2} {median_load_ms:>14.2} {:>12}",
            resident_kb()
        );
    }
    let _ = std::fs::remove_dir_all(&folder);
}
