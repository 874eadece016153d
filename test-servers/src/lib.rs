//! Stand-ins for what a front talks to, on loopback and without privileges: stores with a log that ships and
//! lags, roles that change, cold starts and drains ([`world`], [`store`]), discovery with lives and outages
//! ([`discovery`]), a client that remembers what it asked and saw ([`client`]), the daemon as a child
//! process ([`daemon`]), the smallest place to start one ([`lone`]), and what is drawn from a seed: starts with discovery down ([`starts`]), sessions
//! through kills, moves, lag and a switch ([`sessions`]).
//!
//! Written from the public description of PostgreSQL's protocol, version 3, and of HTTP/1.1.

pub mod client;
pub mod daemon;
pub mod discovery;
pub mod lone;
pub mod message;
pub mod sessions;
pub mod starts;
pub mod store;
pub mod world;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Plays each seed once, so many at a time; what came of them in the order of the seeds.
pub fn each_seed<T: Send>(
    seeds: std::ops::Range<u64>,
    at_once: usize,
    play: impl Fn(u64) -> T + Sync,
) -> Vec<T> {
    let (next, all) = (AtomicU64::new(seeds.start), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..at_once {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds.end {
                    return;
                }
                let played = play(seed);
                all.lock().expect("no play panicked").push((seed, played));
            });
        }
    });
    let mut all = all.into_inner().expect("no play panicked");
    all.sort_by_key(|(seed, _)| *seed);
    all.into_iter().map(|(_, played)| played).collect()
}
