//! Read throughput with and without a cached endpoint list, to measure the cost of caching it.

use super::plan::Plan;
use super::run::{LIMITS, LIST_VERSION};
use super::scenario::Scenario;
use crate::client::{Answer, Kind};
use crate::closed_loop::reconnect_until_over;
use crate::daemon::{Daemon, DaemonOptions};
use crate::discovery::{Discovery, DiscoveryMode};
use crate::endpoint::free_address;
use crate::settings::settings;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time before reads are counted.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// Interval at which discovery publishes a new version of the endpoint list.
const LIST_INTERVAL: Duration = Duration::from_millis(100);
/// Pause of a client after a read that was not served.
const RETRY_DELAY: Duration = Duration::from_millis(2);
/// Any fixed number, so that the cluster is the same in every measurement.
const SEED: u64 = 1;
/// Age of the cached list in the plan. The measurement does not use that list.
const LIST_AGE_S: i64 = 5;
const READ_TIMEOUT_MS: i64 = 400;

/// Measures how many reads a daemon serves per second, while discovery publishes a new version of the endpoint list
/// every 100 ms. `caches_list` says whether the daemon caches the list. Each client sends one request after another.
///
/// # Errors
/// The daemon cannot be started, or a file cannot be written.
pub fn reads_per_second(
    program: &Path,
    caches_list: bool,
    clients: usize,
    duration: Duration,
) -> std::io::Result<f64> {
    let folder = tempfile::tempdir()?;
    let scenario = Scenario::new(&Plan::without_faults(SEED, LIST_AGE_S));
    let discovery = Discovery::start(DiscoveryMode::Up, LIST_VERSION, scenario.lists.current.clone());
    let listen = free_address();
    let daemon = start_daemon(program, caches_list, folder.path(), listen, &discovery)?;
    let count_from = Instant::now() + WARM_UP;
    let is_over = Arc::new(AtomicBool::new(false));
    let start = |index: usize| {
        let (is_over, groups) = (is_over.clone(), scenario.groups.clone());
        thread::spawn(move || count_reads(&listen, index, &groups, count_from, &is_over))
    };
    let client_threads: Vec<_> = (0..clients).map(start).collect();
    let mut version = LIST_VERSION;
    while Instant::now() < count_from + duration {
        thread::sleep(LIST_INTERVAL);
        version += 1;
        discovery.set_list(version, scenario.lists.current.clone());
    }
    is_over.store(true, Ordering::Release);
    let reads: usize = client_threads.into_iter().filter_map(|client| client.join().ok()).sum();
    daemon.kill();
    Ok(reads as f64 / duration.as_secs_f64())
}

fn start_daemon(
    program: &Path,
    caches_list: bool,
    folder: &Path,
    listen: SocketAddr,
    discovery: &Discovery,
) -> std::io::Result<Daemon> {
    let bootstrap = format!(r#"{{"seed":"1","limits":{},"settings":{}}}"#, LIMITS.to_json(), settings());
    let state_dir = folder.join("state");
    std::fs::create_dir(&state_dir)?;
    let operator_file =
        format!("state-dir {}\nstore-identity postgres\nsave-gap 100ms\n", state_dir.display());
    Daemon::start(&DaemonOptions {
        program,
        bootstrap: &bootstrap,
        operator_file: caches_list.then_some(operator_file.as_str()),
        folder,
        listen,
        discovery: discovery.addr,
        environment: Vec::new(),
    })
}

/// Sends reads until `is_over` is set. Returns the number of reads that were served after `count_from`.
fn count_reads(
    listen: &SocketAddr,
    index: usize,
    groups: &[i64],
    count_from: Instant,
    is_over: &AtomicBool,
) -> usize {
    let (mut count, mut serial) = (0, 0);
    reconnect_until_over(listen, is_over, Duration::ZERO, |mut client| {
        while !is_over.load(Ordering::Acquire) {
            serial += 1;
            let id = format!("{index:04x}{serial:012x}");
            let record = client.request(&id, groups[serial % groups.len()], Kind::Read, READ_TIMEOUT_MS);
            match record.answer {
                Answer::Value(_) => count += usize::from(Instant::now() > count_from),
                Answer::Missing => break,
                _ => thread::sleep(RETRY_DELAY),
            }
        }
    });
    count
}
