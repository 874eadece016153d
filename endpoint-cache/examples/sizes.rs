//! What saving and loading cost, by the number of stores: time, bytes, resident memory.

use endpoint_cache::{CacheDirectory, CachedEndpoint, CachedEndpointList, CachedReport};
use std::time::Instant;

fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

fn main() {
    let folder = std::env::args().nth(1).map(std::path::PathBuf::from);
    let folder = folder.unwrap_or_else(|| std::env::temp_dir().join(format!("sizes-{}", std::process::id())));
    std::fs::create_dir_all(&folder).expect("a folder to write to");
    println!(
        "{:>8} {:>10} {:>14} {:>14} {:>12}",
        "stores", "bytes", "save ms (med)", "load ms (med)", "resident kB"
    );
    for many in [10, 1_000, 10_000] {
        let report = CachedReport {
            primary: false,
            position_ms: Some(1_790_000_000_000),
            timeline: Some(7),
            at_ms: 1,
        };
        let store = |nth: usize| CachedEndpoint {
            host: format!("s-{nth:08x}"),
            dial: format!("10.1.{}.{}:6543", nth / 250, nth % 250),
            site: "a".into(),
            block: nth as i64 / 3,
            health: "SERVING".into(),
            born_ms: 1_790_000_000_000.0,
            recovery: "on".into(),
            report: Some(report),
        };
        let mut list = CachedEndpointList {
            version: 9,
            endpoints: (0..many).map(store).collect(),
            ..CachedEndpointList::default()
        };
        let (mut dir, _) = CacheDirectory::open(&folder).expect("it opens");
        let (mut saves, mut loads, mut bytes) = (Vec::new(), Vec::new(), 0);
        for _ in 0..21 {
            let began = Instant::now();
            bytes = dir.save(&mut list).expect("saved");
            saves.push(began.elapsed().as_secs_f64() * 1e3);
            let began = Instant::now();
            let loaded = CacheDirectory::read(&folder).list.expect("a whole one");
            loads.push(began.elapsed().as_secs_f64() * 1e3);
            assert_eq!(loaded.0.endpoints.len(), many);
        }
        saves.sort_by(f64::total_cmp);
        loads.sort_by(f64::total_cmp);
        println!("{many:>8} {bytes:>10} {:>14.2} {:>14.2} {:>12}", saves[10], loads[10], resident_kb());
    }
    let _ = std::fs::remove_dir_all(&folder);
}
