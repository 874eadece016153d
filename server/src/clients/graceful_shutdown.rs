//! Graceful shutdown: after SIGTERM connections still arrive for a while, so the server goes on accepting, closes idle
//! connections at once and the others once they are answered. Then it closes: every connection that has arrived by then is
//! waited for, nothing more is taken, and the process ends as soon as none is left.

use crate::log;
use crate::messages::response::ResponseChannel;
use crate::runtime::clock::Timers;
use routing::time::TimeDelta;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// Connections arrive for up to 0.4 s after the signal.
const ACCEPT_FOR: TimeDelta = TimeDelta::from_millis(500);

#[derive(Default)]
struct Connections {
    channels: BTreeMap<u64, Arc<ResponseChannel>>,
    serial: u64,
}

/// The shutdown, and the connections that it waits for.
pub struct GracefulShutdown {
    begun: AtomicBool,
    closed: AtomicBool,
    connections: Mutex<Connections>,
    /// Called once the server is closed and no connection is left.
    on_end: Box<dyn Fn() + Send + Sync>,
}

/// A connection that the shutdown waits for, until this is dropped.
pub struct ConnectionGuard {
    shutdown: Arc<GracefulShutdown>,
    serial: u64,
    /// It was there before the shutdown began.
    is_early: bool,
}

impl ConnectionGuard {
    /// Whether the connection should close once none of its requests is open: when the shutdown begins, if it has had what it
    /// came for, an answer to an empty query at least (`answered`) or to a request (`served`), and after the close in any case.
    /// A client that arrives during the shutdown may send one request; so may one that had only just arrived.
    pub fn should_close(&self, answered: bool, served: bool) -> bool {
        let finished = served || (answered && self.is_early);
        self.shutdown.is_closed() || (self.shutdown.has_begun() && finished)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut connections = self.shutdown.lock();
        connections.channels.remove(&self.serial);
        self.shutdown.end_if_empty(connections);
    }
}

impl GracefulShutdown {
    /// `on_end` is called once the server is closed and no connection is left.
    pub fn new(on_end: impl Fn() + Send + Sync + 'static) -> Arc<GracefulShutdown> {
        Arc::new(GracefulShutdown {
            begun: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            connections: Mutex::default(),
            on_end: Box::new(on_end),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.connections.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Whether it has begun.
    pub fn has_begun(&self) -> bool {
        self.begun.load(Ordering::Acquire)
    }

    /// Whether nothing more is taken.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Connections that are there.
    pub fn connections(&self) -> usize {
        self.lock().channels.len()
    }

    /// Registers a connection. Called right after it was accepted, before anything else can run: an accepted connection is
    /// waited for.
    pub fn register(self: &Arc<Self>, channel: &Arc<ResponseChannel>) -> ConnectionGuard {
        let mut connections = self.lock();
        connections.serial += 1;
        let serial = connections.serial;
        connections.channels.insert(serial, channel.clone());
        ConnectionGuard { shutdown: self.clone(), serial, is_early: !self.has_begun() }
    }

    /// Begins the shutdown. Called once, from the thread that waits for signals.
    pub fn begin(&self, timers: &Timers, stop_accepting: impl FnOnce() + Send + 'static) {
        let connections = self.lock();
        log!(INFO, connections = connections.channels.len(); "shutting down");
        self.begun.store(true, Ordering::Release);
        connections.channels.values().for_each(|channel| channel.wake());
        drop(connections);
        timers.call_at(timers.now() + ACCEPT_FOR, stop_accepting);
    }

    /// Closes the server. Called once, by the accept loop, when no connection waits to be accepted: none is registered after
    /// this.
    pub fn close(&self) {
        let connections = self.lock();
        self.closed.store(true, Ordering::Release);
        connections.channels.values().for_each(|channel| channel.wake());
        self.end_if_empty(connections);
    }

    fn end_if_empty(&self, connections: MutexGuard<'_, Connections>) {
        let is_over = connections.channels.is_empty() && self.is_closed();
        drop(connections);
        if is_over {
            (self.on_end)();
        }
    }
}
