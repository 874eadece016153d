//! Time: a monotonic clock that is set once by the wall clock, and timers that fire on a separate thread.

use crate::runtime::cancellation::CancellationToken;
use routing::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Nanoseconds, the unit of timestamps, in a microsecond.
pub const NANOS_PER_MICRO: i64 = 1_000;
/// Nanoseconds in a millisecond.
pub const NANOS_PER_MILLI: i64 = 1_000_000;
/// Nanoseconds in a second.
pub const NANOS_PER_SECOND: i64 = 1_000_000_000;
const MILLIS_PER_SECOND: f64 = 1e3;
/// Unix milliseconds from this on are invalid; in nanoseconds, they would come close to the range of an `i64`.
const MAX_UNIX_MS: f64 = 9.0e12;
/// The timer thread's wait if no timer is set; a new timer wakes it earlier.
const IDLE_WAIT: Duration = Duration::from_secs(3600);

/// The clock of the process. Timestamps are nanoseconds of Unix time, unaffected by steps of the wall clock after
/// the start.
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

    /// The present time.
    pub fn now(&self) -> Timestamp {
        self.started_at + TimeDelta(self.started.elapsed().as_nanos() as i64)
    }
}

/// The present wall-clock time in Unix milliseconds.
pub fn unix_time_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as i64
}

/// Converts Unix milliseconds, as the wire protocol carries them; `None` if the value is out of range.
pub fn timestamp_from_unix_ms(millis: f64) -> Option<Timestamp> {
    let is_time = millis.is_finite() && millis > 0.0 && millis < MAX_UNIX_MS;
    is_time.then(|| Timestamp((millis as i64) * NANOS_PER_MILLI))
}

/// Converts Unix seconds, as load reports carry them, rounded to milliseconds; `None` if the value is out of range.
pub fn timestamp_from_unix_s(secs: f64) -> Option<Timestamp> {
    timestamp_from_unix_ms((secs * MILLIS_PER_SECOND).round())
}

/// Converts a time difference to a [`Duration`]; a negative one becomes zero.
pub fn to_duration(delta: TimeDelta) -> Duration {
    Duration::from_nanos(delta.0.max(0) as u64)
}

type Callback = Box<dyn FnOnce() + Send>;

/// A timer that was set.
struct TimerRequest {
    at: Timestamp,
    callback: Callback,
}

/// The timers of the process. Coroutines sleep by these instead of the coroutine runtime's own timers, which would
/// resume them on the runtime's timer thread, in parallel with the worker thread.
pub struct Timers {
    clock: Clock,
    requests: Mutex<Sender<TimerRequest>>,
}

impl Timers {
    /// Starts the timer thread.
    pub fn start(clock: Clock) -> Timers {
        let (requests, received) = channel();
        thread::spawn(move || run_timers(clock, &received));
        Timers { clock, requests: Mutex::new(requests) }
    }

    /// The present time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Runs a callback on the timer thread at a time. The callback must not block.
    pub fn call_at(&self, at: Timestamp, callback: impl FnOnce() + Send + 'static) {
        let requests = self.requests.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = requests.send(TimerRequest { at, callback: Box::new(callback) });
    }

    /// Suspends the calling coroutine for a time.
    pub fn sleep(&self, time: TimeDelta) {
        self.sleep_unless_cancelled(time, &CancellationToken::default());
    }

    /// Suspends the calling coroutine for a time, or until the token is cancelled.
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

/// The timer thread: runs callbacks in the order of their times, until the [`Timers`] are dropped.
fn run_timers(clock: Clock, requests: &Receiver<TimerRequest>) {
    let mut due: BTreeMap<(Timestamp, u64), Callback> = BTreeMap::new();
    let mut serial = 0;
    loop {
        let wait = due.keys().next().map(|(at, _)| to_duration(*at - clock.now()));
        match requests.recv_timeout(wait.unwrap_or(IDLE_WAIT)) {
            Ok(TimerRequest { at, callback }) => {
                serial += 1;
                due.insert((at, serial), callback);
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let now = clock.now();
        while let Some(first) = due.first_entry().filter(|first| first.key().0 <= now) {
            // A panic in one callback must not end the thread, on which all other timers depend.
            let _ = catch_unwind(AssertUnwindSafe(first.remove()));
        }
    }
}
