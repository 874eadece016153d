//! Waiting for the worker's next poll for I/O events.
//!
//! The worker of the coroutine runtime polls for events only when no coroutine is ready to run. A coroutine that has much
//! to do therefore has to wait for a poll now and then: yielding to the other coroutines, or a short sleep, is not
//! enough, because two such coroutines that take turns would keep the worker from polling for good.
//!
//! An event descriptor is written to, and the coroutine that waits for its event runs the callbacks. The event is seen
//! only by a poll.

use crate::runtime::clock::Timers;
use crate::runtime::tasks::spawn;
use may::io::{CoIo, WaitIo};
use routing::time::TimeDelta;
use std::fs::File;
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::os::fd::FromRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};

/// The size of an event descriptor's counter.
const COUNTER_BYTES: usize = 8;

/// How long callbacks wait for the event. It normally comes within milliseconds; if it is lost, clients must not wait
/// for good.
const MAX_EVENT_DELAY: TimeDelta = TimeDelta::from_millis(100);
/// How often a read or write is made that signals interrupt.
const MAX_CALLS: usize = 16;

type Callback = Box<dyn FnOnce() + Send>;

/// The event descriptor, and what is to be called after the next poll.
struct PollNotifier {
    event: CoIo<File>,
    callbacks: Mutex<Vec<Callback>>,
    timers: Arc<Timers>,
    /// How often the event was seen.
    events_seen: AtomicU64,
    /// Whether a timer is set that checks that the event is seen.
    is_watched: AtomicBool,
}

/// The notifier of the process, whose only worker is the runtime's.
static NOTIFIER: OnceLock<Arc<PollNotifier>> = OnceLock::new();

/// Starts the coroutine that runs the callbacks. Later calls have no effect. If an event is not seen within
/// [`MAX_EVENT_DELAY`], the callbacks run on the thread of `timers`.
///
/// # Errors
/// The operating system refuses the event descriptor.
pub fn start(timers: Arc<Timers>) -> Result<()> {
    if NOTIFIER.get().is_some() {
        return Ok(());
    }
    // SAFETY: eventfd(2) has no pointers.
    let descriptor = unsafe { libc::eventfd(0, libc::EFD_NONBLOCK | libc::EFD_CLOEXEC) };
    if descriptor < 0 {
        return Err(Error::last_os_error());
    }
    // SAFETY: the descriptor was just opened, and nothing else owns it.
    let file = unsafe { File::from_raw_fd(descriptor) };
    let event = CoIo::new(file).map_err(|_| Error::from(ErrorKind::OutOfMemory))?;
    let notifier = Arc::new(PollNotifier {
        event,
        callbacks: Mutex::default(),
        timers,
        events_seen: AtomicU64::new(0),
        is_watched: AtomicBool::new(false),
    });
    if NOTIFIER.set(notifier.clone()).is_ok() {
        spawn(move || notifier.run());
    }
    Ok(())
}

/// Calls `callback` on the worker after it has polled for I/O events. Before [`start`], it is called at once.
pub fn after_next_poll(callback: impl FnOnce() + Send + 'static) {
    match NOTIFIER.get() {
        Some(notifier) => notifier.add(Box::new(callback)),
        None => callback(),
    }
}

/// Suspends the calling coroutine until the worker has polled for I/O events, so that everything that is ready by then
/// has its turn.
pub fn wait_for_poll() {
    let coroutine = may::coroutine::current();
    let has_polled = Arc::new(AtomicBool::new(false));
    let polled = has_polled.clone();
    after_next_poll(move || {
        polled.store(true, Ordering::Release);
        coroutine.unpark();
    });
    while !has_polled.load(Ordering::Acquire) {
        may::coroutine::park();
    }
}

impl PollNotifier {
    fn lock(&self) -> MutexGuard<'_, Vec<Callback>> {
        self.callbacks.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn add(self: &Arc<Self>, callback: Callback) {
        let is_first = {
            let mut callbacks = self.lock();
            callbacks.push(callback);
            callbacks.len() == 1
        };
        if !is_first {
            return;
        }
        if self.signal().is_err() {
            // Without the event nobody would run the callbacks.
            self.run_callbacks();
        } else if !self.is_watched.swap(true, Ordering::AcqRel) {
            self.watch();
        }
    }

    /// Sets a timer that runs the callbacks if no event is seen until then.
    fn watch(self: &Arc<Self>) {
        let this = self.clone();
        let events_seen = self.events_seen.load(Ordering::Acquire);
        self.timers.call_at(self.timers.now() + MAX_EVENT_DELAY, move || this.check(events_seen));
    }

    /// Runs the callbacks if no event was seen since there were `events_seen`.
    fn check(self: &Arc<Self>, events_seen: u64) {
        if self.events_seen.load(Ordering::Acquire) == events_seen {
            self.run_callbacks();
        }
        self.is_watched.store(false, Ordering::Release);
        if !self.lock().is_empty() && !self.is_watched.swap(true, Ordering::AcqRel) {
            self.watch();
        }
    }

    /// Makes the event descriptor readable. A counter at its maximum is readable already.
    ///
    /// # Errors
    /// The kernel refuses the write, or has interrupted it too often.
    fn signal(&self) -> Result<()> {
        for _ in 0..MAX_CALLS {
            match self.event.inner().write(&1_u64.to_ne_bytes()) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                result => return result.map(drop),
            }
        }
        Err(ErrorKind::Interrupted.into())
    }

    /// Runs the callbacks after each poll that has seen the event.
    fn run(&self) {
        loop {
            self.event.wait_io();
            self.events_seen.fetch_add(1, Ordering::AcqRel);
            self.clear();
            self.run_callbacks();
        }
    }

    /// Makes the event descriptor unreadable, so that the next write is a new event.
    fn clear(&self) {
        let mut counter = [0; COUNTER_BYTES];
        for _ in 0..MAX_CALLS {
            match self.event.inner().read(&mut counter) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                _ => return,
            }
        }
    }

    fn run_callbacks(&self) {
        let callbacks = std::mem::take(&mut *self.lock());
        callbacks.into_iter().for_each(|callback| callback());
    }
}
