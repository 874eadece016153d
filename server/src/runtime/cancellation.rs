//! Cancellation of a coroutine's work: whoever cancels it never touches the socket that the coroutine waits for.

use may::coroutine::Coroutine;
use may::io::WaitIoWaker;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

/// Cancels the work of one coroutine at a time.
#[derive(Default)]
pub struct CancellationToken {
    cancelled: AtomicBool,
    waiter: Mutex<Option<Waiter>>,
}

/// What is woken when the token is cancelled.
enum Waiter {
    Socket(WaitIoWaker),
    Coroutine(Coroutine),
}

impl CancellationToken {
    fn lock(&self) -> MutexGuard<'_, Option<Waiter>> {
        self.waiter.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Cancels the work, and wakes whoever waits.
    pub fn cancel(&self) {
        self.cancelled.store(true, Ordering::Release);
        match &*self.lock() {
            Some(Waiter::Socket(waker)) => waker.wakeup(),
            Some(Waiter::Coroutine(coroutine)) => coroutine.unpark(),
            None => {}
        }
    }

    /// Whether the work was cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Acquire)
    }

    /// Wakes the calling coroutine on cancellation; it is about to park.
    pub fn wake_current_coroutine(&self) {
        *self.lock() = Some(Waiter::Coroutine(may::coroutine::current()));
    }

    /// Wakes the coroutine that waits for a socket on cancellation.
    pub fn wake_socket(&self, waker: WaitIoWaker) {
        *self.lock() = Some(Waiter::Socket(waker));
    }
}
