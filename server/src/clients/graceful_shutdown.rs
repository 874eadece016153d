//! The graceful shutdown, in three phases. After SIGTERM or SIGINT the server accepts connections for a grace period,
//! and closes connections as they become idle. Then the server is closed: only the rest of a query that has begun to
//! arrive is read. Shortly before the process may be killed all queries are answered and nothing more is read. The process
//! exits once all connections have ended.

use crate::log;
use crate::messages::response::ResponseChannel;
use crate::runtime::clock::Timers;
use routing::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};

/// How long connections are accepted after the signal. Clients keep connecting to the instance for up to 0.4 s
/// after the signal.
const ACCEPT_GRACE_PERIOD: TimeDelta = TimeDelta::from_millis(500);
/// When the server is closed after the signal, even if the accept loop has not emptied the listen queue, because
/// accept(2) fails or no descriptor is free.
const MAX_CLOSE_DELAY: TimeDelta = TimeDelta::from_millis(550);
/// The process may be killed this long after the signal, plus the longest timeout of a request.
const KILL_DELAY: TimeDelta = TimeDelta::from_millis(700);
/// A longer timeout does not delay the kill further.
const MAX_KILL_TIMEOUT: TimeDelta = TimeDelta::from_millis(3_000);
/// How long before the kill every query is answered. The process may be held up for that long.
const KILL_MARGIN: TimeDelta = TimeDelta::from_millis(150);

/// The registered connections.
#[derive(Default)]
struct Connections {
    channels: BTreeMap<u64, Arc<ResponseChannel>>,
    /// The id of the connection that was registered last.
    last_id: u64,
}

/// The state of the shutdown, and the connections that it waits for.
pub struct GracefulShutdown {
    begun: AtomicBool,
    closed: AtomicBool,
    ended: AtomicBool,
    /// The longest timeout of a request, by the settings.
    longest_timeout: TimeDelta,
    /// When every query must have been answered; set when the shutdown begins.
    answer_by: OnceLock<Timestamp>,
    connections: Mutex<Connections>,
    /// Called once the server is closed and all connections have ended.
    on_end: Box<dyn Fn() + Send + Sync>,
}

/// The registration of a connection; the shutdown waits until the guard is dropped.
pub struct ConnectionGuard {
    shutdown: Arc<GracefulShutdown>,
    connection_id: u64,
    /// Whether the connection was accepted before the shutdown began.
    accepted_before_shutdown: bool,
}

impl ConnectionGuard {
    /// Whether the connection should be closed now that it has no open request.
    ///
    /// Once the server is closed, the result is always true. During the grace period, it is true only if a request
    /// was answered (`has_served`), or if the connection was accepted before the shutdown and its client has sent
    /// any query (`has_queried`). So a client that has just connected, before or during the shutdown, can still
    /// send one request.
    pub fn should_close(&self, has_queried: bool, has_served: bool) -> bool {
        let finished = has_served || (has_queried && self.accepted_before_shutdown);
        self.shutdown.is_closed() || (self.shutdown.has_begun() && finished)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut connections = self.shutdown.lock();
        connections.channels.remove(&self.connection_id);
        self.shutdown.end_if_empty(connections);
    }
}

impl GracefulShutdown {
    /// Creates a shutdown that has not begun; `on_end` is called once the server is closed and all connections have
    /// ended. `longest_timeout` is that of the requests that the settings allow.
    pub fn new(
        longest_timeout: TimeDelta,
        on_end: impl Fn() + Send + Sync + 'static,
    ) -> Arc<GracefulShutdown> {
        Arc::new(GracefulShutdown {
            begun: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            longest_timeout,
            answer_by: OnceLock::new(),
            connections: Mutex::default(),
            on_end: Box::new(on_end),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.connections.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Whether the signal for the shutdown has arrived.
    pub fn has_begun(&self) -> bool {
        self.begun.load(Ordering::Acquire)
    }

    /// Whether the server is closed: no further queries are read.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.lock().channels.len()
    }

    /// The channels of all open connections.
    pub fn channels(&self) -> Vec<Arc<ResponseChannel>> {
        self.lock().channels.values().cloned().collect()
    }

    /// Registers a connection. Must be called right after accept(2), before another coroutine can run, so that the
    /// shutdown waits for every accepted connection.
    pub fn register(self: &Arc<Self>, channel: &Arc<ResponseChannel>) -> ConnectionGuard {
        let mut connections = self.lock();
        connections.last_id += 1;
        let connection_id = connections.last_id;
        connections.channels.insert(connection_id, channel.clone());
        let accepted_before_shutdown = !self.has_begun();
        ConnectionGuard { shutdown: self.clone(), connection_id, accepted_before_shutdown }
    }

    /// Begins the shutdown, and schedules its later phases; `stop_accepting` is called at the end of the accept grace
    /// period. Called once, by the thread that handles signals.
    pub fn begin(self: &Arc<Self>, timers: &Timers, stop_accepting: impl FnOnce() + Send + 'static) {
        let connections = self.lock();
        log!(INFO, connections = connections.channels.len(); "shutting down");
        let now = timers.now();
        let answer_by = now + KILL_DELAY + self.longest_timeout.min(MAX_KILL_TIMEOUT) - KILL_MARGIN;
        let _ = self.answer_by.set(answer_by);
        self.begun.store(true, Ordering::Release);
        connections.channels.values().for_each(|channel| channel.wake());
        drop(connections);
        timers.call_at(now + ACCEPT_GRACE_PERIOD, stop_accepting);
        let this = self.clone();
        timers.call_at(now + MAX_CLOSE_DELAY, move || this.close());
        let this = self.clone();
        timers.call_at(answer_by, move || this.wake_all());
    }

    /// When every query must have been answered, because the process may be killed soon after; `None` before the
    /// shutdown.
    pub fn answer_by(&self) -> Option<Timestamp> {
        self.answer_by.get().copied()
    }

    /// Whether the time has come at which nothing more is read.
    pub fn has_answer_time_passed(&self, now: Timestamp) -> bool {
        self.answer_by().is_some_and(|answer_by| now >= answer_by)
    }

    fn wake_all(&self) {
        self.lock().channels.values().for_each(|channel| channel.wake());
    }

    /// Closes the server: by the accept loop after it has emptied the listen queue, or after the maximum delay. Later
    /// calls have no effect. A connection that is registered later is closed unread.
    pub fn close(&self) {
        let connections = self.lock();
        self.closed.store(true, Ordering::Release);
        connections.channels.values().for_each(|channel| channel.wake());
        self.end_if_empty(connections);
    }

    /// Releases the lock, and calls `on_end` if the server is closed and all connections have ended.
    fn end_if_empty(&self, connections: MutexGuard<'_, Connections>) {
        let has_ended = connections.channels.is_empty() && self.is_closed();
        drop(connections);
        if has_ended && !self.ended.swap(true, Ordering::AcqRel) {
            (self.on_end)();
        }
    }
}
