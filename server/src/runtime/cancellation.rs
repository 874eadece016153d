//! Cancels a coroutine's work from another coroutine or thread, which needs no access to the socket for which the
//! cancelled coroutine waits.

use may::coroutine::Coroutine;
use may::io::WaitIoWaker;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

/// A token by which the work of one coroutine at a time can be cancelled.
#[derive(Default)]
pub struct CancellationToken {
    cancelled: AtomicBool,
    waiter: Mutex<Option<Waiter>>,
}

/// The coroutine to wake when the token is cancelled.
enum Waiter {
    /// The coroutine waits for an event of a socket.
    Socket(WaitIoWaker),
    /// The coroutine is parked.
    Coroutine(Coroutine),
}

impl CancellationToken {
    fn lock(&self) -> MutexGuard<'_, Option<Waiter>> {
        self.waiter.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Cancels the work, and wakes the registered coroutine.
    pub fn cancel(&self) {
        self.cancelled.store(true, Ordering::Release);
        match &*self.lock() {
            Some(Waiter::Socket(waker)) => waker.wakeup(),
            Some(Waiter::Coroutine(coroutine)) => coroutine.unpark(),
            None => {}
        }
    }

    /// Whether [`CancellationToken::cancel`] has been called.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Acquire)
    }

    /// Registers the calling coroutine, which is about to park, to be woken on cancellation.
    pub fn register_current_coroutine(&self) {
        *self.lock() = Some(Waiter::Coroutine(may::coroutine::current()));
    }

    /// Registers a socket for which a coroutine is about to wait, so that the coroutine is woken on cancellation.
    pub fn register_socket(&self, waker: WaitIoWaker) {
        *self.lock() = Some(Waiter::Socket(waker));
    }
}
