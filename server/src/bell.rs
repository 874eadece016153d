//! The bell that calls a coroutine off: whoever rings it never touches the socket that the coroutine waits
//! for.

use may::coroutine::Coroutine;
use may::io::WaitIoWaker;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

/// By which the owner calls a call-out off: it never touches the call-out's socket itself.
#[derive(Default)]
pub struct Bell {
    rung: AtomicBool,
    sleeper: Mutex<Option<Sleeper>>,
}

/// Whom the bell wakes.
enum Sleeper {
    Socket(WaitIoWaker),
    Parked(Coroutine),
}

impl Bell {
    fn lock(&self) -> MutexGuard<'_, Option<Sleeper>> {
        self.sleeper.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn ring(&self) {
        self.rung.store(true, Ordering::Release);
        match &*self.lock() {
            Some(Sleeper::Socket(waker)) => waker.wakeup(),
            Some(Sleeper::Parked(coroutine)) => coroutine.unpark(),
            None => {}
        }
    }

    pub fn is_rung(&self) -> bool {
        self.rung.load(Ordering::Acquire)
    }

    /// The calling coroutine, which is about to park, hears it.
    pub fn wakes_parked(&self) {
        *self.lock() = Some(Sleeper::Parked(may::coroutine::current()));
    }

    /// Whoever waits for that socket hears it.
    pub fn wakes(&self, waker: WaitIoWaker) {
        *self.lock() = Some(Sleeper::Socket(waker));
    }
}
