//! Time: a monotonic clock set by one look at the wall, and alarms that ring from a thread of their own.

use crate::bell::Bell;
use routing::time::{Moment, Span};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Moments count nanoseconds of Unix time; steps of the wall clock after the start don't move them.
#[derive(Clone, Copy)]
pub struct Clock {
    wall: i64,
    start: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { wall: wall.as_nanos() as i64, start: Instant::now() }
    }

    pub fn now(&self) -> Moment {
        Moment(self.wall + self.start.elapsed().as_nanos() as i64)
    }
}

/// A position or a start as sockets tell it, in Unix milliseconds; what cannot be a time is none.
pub fn from_unix_ms(ms: f64) -> Option<Moment> {
    (ms.is_finite() && ms > 0.0 && ms < 9.0e12).then(|| Moment((ms as i64) * 1_000_000))
}

/// A position as load reports tell it, in Unix seconds with a fraction of whole milliseconds.
pub fn from_unix_s(secs: f64) -> Option<Moment> {
    from_unix_ms((secs * 1e3).round())
}

pub fn duration(span: Span) -> Duration {
    Duration::from_nanos(span.0.max(0) as u64)
}

type Ring = Box<dyn FnOnce() + Send>;

/// Rings at a moment. Coroutines never sleep by their own runtime: that would go on with them on its timer
/// thread, beside the worker.
pub struct Alarms {
    clock: Clock,
    asked: Mutex<Sender<(Moment, Ring)>>,
}

impl Alarms {
    pub fn start(clock: Clock) -> Alarms {
        let (asked, asks) = channel::<(Moment, Ring)>();
        thread::spawn(move || {
            let mut due: BTreeMap<(Moment, u64), Ring> = BTreeMap::new();
            let mut serial = 0;
            loop {
                let wait = due.keys().next().map(|(at, _)| duration(*at - clock.now()));
                match asks.recv_timeout(wait.unwrap_or(Duration::from_secs(3600))) {
                    Ok((at, ring)) => {
                        serial += 1;
                        due.insert((at, serial), ring);
                    }
                    Err(RecvTimeoutError::Timeout) => {}
                    Err(RecvTimeoutError::Disconnected) => return,
                }
                let now = clock.now();
                while let Some(first) = due.first_entry().filter(|first| first.key().0 <= now) {
                    // All that waits waits for this thread: what one ring does must not end it.
                    let _ = catch_unwind(AssertUnwindSafe(first.remove()));
                }
            }
        });
        Alarms { clock, asked: Mutex::new(asked) }
    }

    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    pub fn at(&self, at: Moment, ring: impl FnOnce() + Send + 'static) {
        let asked = self.asked.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = asked.send((at, Box::new(ring)));
    }

    /// Holds the calling coroutine for so long.
    pub fn pause(&self, span: Span) {
        self.pause_unless(span, &Bell::default());
    }

    /// Holds the calling coroutine for so long, or until the bell rings.
    pub fn pause_unless(&self, span: Span, bell: &Bell) {
        let (until, this) = (self.now() + span, may::coroutine::current());
        bell.wakes_parked();
        self.at(until, move || this.unpark());
        while self.now() < until && !bell.is_rung() {
            may::coroutine::park();
        }
    }
}
