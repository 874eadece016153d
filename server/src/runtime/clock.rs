//! Time: a monotonic clock that is set from the wall clock once, and timers whose callbacks run on a separate thread.

use crate::runtime::cancellation::CancellationToken;
use routing::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Nanoseconds (the unit of timestamps) in a microsecond.
pub const NANOS_PER_MICRO: i64 = 1_000;
/// Nanoseconds in a millisecond.
pub const NANOS_PER_MILLI: i64 = 1_000_000;
/// Nanoseconds in a second.
pub const NANOS_PER_SECOND: i64 = 1_000_000_000;
const MILLIS_PER_SECOND: f64 = 1e3;
/// The exclusive upper bound of valid times in Unix milliseconds, near the largest time in nanoseconds that an `i64`
/// can represent.
const MAX_UNIX_MS: f64 = 9.0e12;
/// The timer thread's wait while no timer is set; a new timer ends the wait.
const IDLE_WAIT: Duration = Duration::from_secs(3600);

/// The clock of the process. Its timestamps are Unix time in nanoseconds, and are not affected when the wall clock is
/// set after the start.
#[derive(Clone, Copy)]
pub struct Clock {
    /// The wall clock's time when the clock was started.
    started_at: Timestamp,
    /// The monotonic clock's time at the same moment.
    started: Instant,
}

impl Clock {
    /// Creates a clock that starts at the wall clock's current time.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: Timestamp(unix.as_nanos() as i64), started: Instant::now() }
    }

    /// The current time in nanoseconds since the Unix epoch. It never decreases.
    pub fn now(&self) -> Timestamp {
        self.started_at + TimeDelta(self.started.elapsed().as_nanos() as i64)
    }
}

/// The current time of the wall clock in Unix milliseconds. Unlike [`Clock::now`], this time follows changes of the
/// wall clock.
pub fn unix_time_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as i64
}

/// Converts a time in Unix milliseconds, the unit of positions on the wire; `None` if the time is not above 0 or
/// not below `MAX_UNIX_MS`.
pub fn timestamp_from_unix_ms(millis: f64) -> Option<Timestamp> {
    let is_time = millis.is_finite() && millis > 0.0 && millis < MAX_UNIX_MS;
    is_time.then(|| Timestamp((millis as i64) * NANOS_PER_MILLI))
}

/// Converts a time in Unix seconds, the unit of load reports, and rounds the time to milliseconds; `None` as for
/// [`timestamp_from_unix_ms`].
pub fn timestamp_from_unix_s(secs: f64) -> Option<Timestamp> {
    timestamp_from_unix_ms((secs * MILLIS_PER_SECOND).round())
}

/// Converts a time difference to a [`Duration`]; a negative difference becomes zero.
pub fn to_duration(delta: TimeDelta) -> Duration {
    Duration::from_nanos(delta.0.max(0) as u64)
}

type Callback = Box<dyn FnOnce() + Send>;

/// A timer to be set.
struct TimerRequest {
    at: Timestamp,
    callback: Callback,
}

/// The timers of the process. Coroutines sleep with these instead of the timers of the coroutine runtime, which would
/// resume them on the runtime's timer thread, in parallel with the worker thread.
pub struct Timers {
    clock: Clock,
    /// The number of timers that are set and have not fired.
    pending: Arc<AtomicUsize>,
    requests: Mutex<Sender<TimerRequest>>,
}

impl Timers {
    /// Starts the timer thread, which ends when the `Timers` are dropped.
    pub fn start(clock: Clock) -> Timers {
        let (requests, received) = channel();
        let pending = Arc::new(AtomicUsize::new(0));
        let counter = pending.clone();
        thread::spawn(move || run_timers(clock, &received, &counter));
        Timers { clock, pending, requests: Mutex::new(requests) }
    }

    /// The current time, as [`Clock::now`] returns it.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Runs a callback on the timer thread at the time `at`. The callback must not block, because it would delay
    /// all other timers.
    pub fn call_at(&self, at: Timestamp, callback: impl FnOnce() + Send + 'static) {
        let requests = self.requests.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        self.pending.fetch_add(1, Ordering::Relaxed);
        let _ = requests.send(TimerRequest { at, callback: Box::new(callback) });
    }

    /// The number of timers that are set and have not fired.
    pub fn pending(&self) -> usize {
        self.pending.load(Ordering::Relaxed)
    }

    /// Suspends the calling coroutine for the duration `time`.
    pub fn sleep(&self, time: TimeDelta) {
        self.sleep_unless_cancelled(time, &CancellationToken::default());
    }

    /// Suspends the calling coroutine for the duration `time`, or until the token is cancelled.
    pub fn sleep_unless_cancelled(&self, time: TimeDelta, token: &CancellationToken) {
        let until = self.now() + time;
        let coroutine = may::coroutine::current();
        token.register_current_coroutine();
        self.call_at(until, move || coroutine.unpark());
        while self.now() < until && !token.is_cancelled() {
            may::coroutine::park();
        }
    }
}

/// The timer thread: runs callbacks in the order of their times, and those of the same time in the order in which
/// they were set, until the [`Timers`] are dropped.
fn run_timers(clock: Clock, requests: &Receiver<TimerRequest>, pending_count: &AtomicUsize) {
    let mut pending: BTreeMap<(Timestamp, u64), Callback> = BTreeMap::new();
    let mut serial = 0;
    loop {
        let wait = pending.keys().next().map(|(at, _)| to_duration(*at - clock.now()));
        match requests.recv_timeout(wait.unwrap_or(IDLE_WAIT)) {
            Ok(TimerRequest { at, callback }) => {
                serial += 1;
                pending.insert((at, serial), callback);
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let now = clock.now();
        while let Some(first) = pending.first_entry().filter(|first| first.key().0 <= now) {
            pending_count.fetch_sub(1, Ordering::Relaxed);
            // A panic in a callback must not end the thread, because all other timers depend on it.
            let _ = catch_unwind(AssertUnwindSafe(first.remove()));
        }
    }
}
