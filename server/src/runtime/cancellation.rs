//! Cancellation of a coroutine's work from another coroutine or thread, without access to the socket that it waits for.

use may::coroutine::Coroutine;
use may::io::WaitIoWaker;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

/// A token that cancels the work of one coroutine at a time.
#[derive(Default)]
pub struct CancellationToken {
    cancelled: AtomicBool,
    waiter: Mutex<Option<Waiter>>,
}

/// What is woken up when the token is cancelled.
enum Waiter {
    Socket(WaitIoWaker),
    Coroutine(Coroutine),
}

impl CancellationToken {
    fn lock(&self) -> MutexGuard<'_, Option<Waiter>> {
        self.waiter.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Cancels the work, and wakes up the coroutine that is registered.
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

    /// Registers the calling coroutine, which is about to park, to be woken up on cancellation.
    pub fn register_current_coroutine(&self) {
        *self.lock() = Some(Waiter::Coroutine(may::coroutine::current()));
    }

    /// Registers the coroutine that waits for a socket to be woken up on cancellation.
    pub fn register_socket(&self, waker: WaitIoWaker) {
        *self.lock() = Some(Waiter::Socket(waker));
    }
}
