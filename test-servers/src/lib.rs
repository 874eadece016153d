//! Test doubles of the endpoints, the discovery service and the clients of a router instance, and randomized test runs
//! that are reproducible by their seed. The test doubles use only loopback addresses and need no privileges.
//!
//! - [`arrival_clock`]: when bytes have arrived in a socket
//! - [`cluster`]: model of a cluster: its groups, the branches of their logs, the primaries, slow starts and drains
//! - [`endpoint`]: a listening endpoint of a cluster
//! - [`discovery`]: a discovery service with simulated outages and restarts
//! - [`client`]: a client that records its requests and their answers
//! - [`closed_loop`]: clients that send one request after another and reconnect
//! - [`comparison`]: the builds of the daemon that an experiment compares
//! - [`daemon`]: the router daemon as a child process
//! - [`fault_soak`]: runs under faults of system calls, connections and endpoints, judged by the ids of requests
//! - [`flood`]: clients that flood an instance
//! - [`settings`]: bootstrap settings of the instances, and the matching models of endpoints
//! - [`single_endpoint`]: a cluster of one endpoint
//! - [`random`]: random choices that are reproducible by their seed
//! - [`restart`]: runs in which instances start while discovery is down, from a cached list that may be outdated
//! - [`sessions`]: runs of sessions with kills of instances, replication lag and a failover
//! - [`wire`]: PostgreSQL protocol messages
//!
//! Written from the public specifications of the PostgreSQL protocol, version 3, and of HTTP/1.1.

#![warn(clippy::too_many_lines)]

pub mod arrival_clock;
pub mod client;
pub mod closed_loop;
pub mod cluster;
pub mod comparison;
pub mod daemon;
pub mod discovery;
pub mod endpoint;
pub mod fault_soak;
pub mod flood;
pub mod random;
pub mod restart;
pub mod sessions;
pub mod settings;
pub mod single_endpoint;
pub mod wire;

use std::ops::Range;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::thread;

/// A build of the daemon that a run starts.
#[derive(Clone, Copy, Debug)]
pub struct Build<'a> {
    /// Path of the executable.
    pub program: &'a Path,
    /// Whether the build supports an operators' file. A build that does not is started without one.
    pub has_operator_file: bool,
}

/// The result of the run with one seed.
struct SeedResult<T> {
    seed: u64,
    result: T,
}

/// Calls `run` once with each seed, in `at_once` threads. Returns the results in the order of the seeds.
pub fn each_seed<T: Send>(seeds: Range<u64>, at_once: usize, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let next = AtomicU64::new(seeds.start);
    let results = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..at_once {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds.end {
                    return;
                }
                let result = run(seed);
                results.lock().expect("a run panicked").push(SeedResult { seed, result });
            });
        }
    });
    let mut results = results.into_inner().expect("a run panicked");
    results.sort_by_key(|run| run.seed);
    results.into_iter().map(|run| run.result).collect()
}

/// Locks a mutex, even if a thread has panicked while holding the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
