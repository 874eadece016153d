//! Time: a monotonic clock set once by the wall clock, and timers that fire on a thread of their own.

use crate::runtime::cancellation::CancellationToken;
use routing::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const NANOS_PER_MILLI: i64 = 1_000_000;
/// Unix milliseconds beyond this are no times.
const MAX_UNIX_MS: f64 = 9.0e12;
/// How long the timer thread waits if no timer is set.
const IDLE_WAIT: Duration = Duration::from_secs(3600);

/// The clock of the process. Timestamps are nanoseconds of Unix time; steps of the wall clock after the start do not move
/// them.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Timestamp,
    started: Instant,
}

impl Clock {
    /// Reads the wall clock, once.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: Timestamp(unix.as_nanos() as i64), started: Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> Timestamp {
        self.started_at + TimeDelta(self.started.elapsed().as_nanos() as i64)
    }
}

/// The wall clock as it stands, in Unix milliseconds.
pub fn wall_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as i64
}

/// A time in Unix milliseconds, as sockets carry it; none if it cannot be a time.
pub fn from_unix_ms(millis: f64) -> Option<Timestamp> {
    let is_time = millis.is_finite() && millis > 0.0 && millis < MAX_UNIX_MS;
    is_time.then(|| Timestamp((millis as i64) * NANOS_PER_MILLI))
}

/// A time in Unix seconds with a fraction of whole milliseconds, as load reports carry it.
pub fn from_unix_s(secs: f64) -> Option<Timestamp> {
    from_unix_ms((secs * 1e3).round())
}

/// A time difference as the standard library has it; negative ones are zero.
pub fn to_duration(delta: TimeDelta) -> Duration {
    Duration::from_nanos(delta.0.max(0) as u64)
}

type Callback = Box<dyn FnOnce() + Send>;

/// Calls back at a time. Coroutines never sleep by their own runtime: that would resume them on its timer thread, beside the
/// worker.
pub struct Timers {
    clock: Clock,
    requests: Mutex<Sender<(Timestamp, Callback)>>,
}

impl Timers {
    /// Starts the timer thread.
    pub fn start(clock: Clock) -> Timers {
        let (requests, received) = channel();
        thread::spawn(move || run_timers(clock, &received));
        Timers { clock, requests: Mutex::new(requests) }
    }

    /// The time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Calls back at a time, on the timer thread.
    pub fn call_at(&self, at: Timestamp, callback: impl FnOnce() + Send + 'static) {
        let requests = self.requests.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = requests.send((at, Box::new(callback)));
    }

    /// Suspends the calling coroutine for a time.
    pub fn sleep(&self, time: TimeDelta) {
        self.sleep_unless_cancelled(time, &CancellationToken::default());
    }

    /// Suspends the calling coroutine for a time, or until the token is cancelled.
    pub fn sleep_unless_cancelled(&self, time: TimeDelta, token: &CancellationToken) {
        let until = self.now() + time;
        let coroutine = may::coroutine::current();
        token.wake_current_coroutine();
        self.call_at(until, move || coroutine.unpark());
        while self.now() < until && !token.is_cancelled() {
            may::coroutine::park();
        }
    }
}

fn run_timers(clock: Clock, requests: &Receiver<(Timestamp, Callback)>) {
    let mut due: BTreeMap<(Timestamp, u64), Callback> = BTreeMap::new();
    let mut serial = 0;
    loop {
        let wait = due.keys().next().map(|(at, _)| to_duration(*at - clock.now()));
        match requests.recv_timeout(wait.unwrap_or(IDLE_WAIT)) {
            Ok((at, callback)) => {
                serial += 1;
                due.insert((at, serial), callback);
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let now = clock.now();
        while let Some(first) = due.first_entry().filter(|first| first.key().0 <= now) {
            // Every timer depends on this thread: a panic of one callback must not end it.
            let _ = catch_unwind(AssertUnwindSafe(first.remove()));
        }
    }
}
