//! Stand-ins for what an instance of the router talks to, on loopback and without privileges, and runs drawn from a seed.
//!
//! - [`cluster`]: groups, their logs in branches, primaries, slow starts and drains
//! - [`endpoint`]: a listening endpoint of a cluster
//! - [`discovery`]: discovery with outages and restarts
//! - [`client`]: a client that records what it sent and saw
//! - [`daemon`]: the daemon as a child process
//! - [`settings`]: bootstrap settings for all of them
//! - [`single_endpoint`]: the smallest cluster
//! - [`restart`]: starts with discovery down and a cached list that may be wrong
//! - [`sessions`]: sessions through kills, lag and a failover
//! - [`wire`]: messages of the protocol
//!
//! Written from the public description of PostgreSQL's protocol, version 3, and of HTTP/1.1.

#![warn(clippy::too_many_lines)]

pub mod client;
pub mod cluster;
pub mod daemon;
pub mod discovery;
pub mod endpoint;
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

/// A build of the daemon.
#[derive(Clone, Copy, Debug)]
pub struct Build<'a> {
    /// Its program.
    pub program: &'a Path,
    /// It knows operators' files. An earlier build is started without one.
    pub has_operator_file: bool,
}

/// Runs each seed once, so many at a time; the results in the order of the seeds.
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
                results.lock().expect("no run panicked").push((seed, result));
            });
        }
    });
    let mut results = results.into_inner().expect("no run panicked");
    results.sort_by_key(|(seed, _)| *seed);
    results.into_iter().map(|(_, result)| result).collect()
}

/// Locks, whatever a thread that panicked has left behind.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
