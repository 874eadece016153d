//! Backoff of the accept loop: what to do when accept(2) fails, so that the loop neither busy-waits nor stops.

use routing::time::TimeDelta;

/// Classes of accept(2) errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptError {
    /// The connection failed before it was accepted (ECONNABORTED, EPROTO, and network errors that accept(2) reports).
    /// The connection is no longer in the listen queue.
    Aborted,
    /// No file descriptor is available (EMFILE, ENFILE). The connection stays in the listen queue.
    NoDescriptor,
    /// No memory is available for socket buffers (ENOBUFS, ENOMEM). The connection stays in the listen queue, or the
    /// kernel drops it.
    NoMemory,
    /// The call was interrupted (EINTR).
    Interrupted,
    /// Any other error.
    Other,
}

/// What to do before the next connection is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptAction {
    /// Call accept(2) again immediately.
    RetryNow,
    /// Accept one connection with the reserved file descriptor and reject it, then wait.
    RejectOne {
        /// How long to wait if a connection was rejected.
        wait: TimeDelta,
        /// How long to wait if no connection could be accepted.
        wait_on_failure: TimeDelta,
    },
    /// Wait for this long.
    Wait(TimeDelta),
}

/// The first wait. Each consecutive one is twice as long, up to [`MAX_WAIT`].
const MIN_WAIT: TimeDelta = TimeDelta::from_millis(1);
/// The longest wait. Clients in the listen queue lose this time from their timeouts.
const MAX_WAIT: TimeDelta = TimeDelta::from_millis(10);
/// Maximum number of consecutive retries without a wait. It is limited because a client can abort connections at any
/// rate, and a shortage of memory can last.
const MAX_IMMEDIATE_RETRIES: u32 = 8;

/// How often accept(2) is called without a descriptor before a connection is rejected.
const CALLS_BEFORE_REJECTION: u32 = 3;

/// Backoff state of one accept loop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AcceptBackoff {
    /// Number of errors since the last accepted connection.
    errors: u32,
    /// The wait after the last error; zero if that error was retried at once, or if no error has occurred since the
    /// last accepted connection.
    wait: TimeDelta,
}

impl AcceptBackoff {
    /// Records an accepted connection.
    pub fn accepted(&mut self) {
        *self = AcceptBackoff::default();
    }

    /// Records a failed call of accept(2) and returns what to do next.
    pub fn failed(&mut self, error: AcceptError) -> AcceptAction {
        let may_retry_now = self.errors % (MAX_IMMEDIATE_RETRIES + 1) < MAX_IMMEDIATE_RETRIES;
        self.errors = self.errors.wrapping_add(1);
        let doubled = (self.wait * 2).max(MIN_WAIT).min(MAX_WAIT);
        match error {
            AcceptError::Interrupted | AcceptError::Aborted | AcceptError::NoMemory if may_retry_now => {
                self.wait = TimeDelta::ZERO;
                AcceptAction::RetryNow
            }
            AcceptError::NoDescriptor if !self.errors.is_multiple_of(CALLS_BEFORE_REJECTION) => {
                self.wait = TimeDelta::ZERO;
                AcceptAction::RetryNow
            }
            // Waiting connections are rejected one at a time, so that the worker thread has time for open connections.
            AcceptError::NoDescriptor => {
                self.wait = MIN_WAIT;
                AcceptAction::RejectOne { wait: MIN_WAIT, wait_on_failure: MIN_WAIT * 2 }
            }
            AcceptError::Interrupted | AcceptError::Aborted => self.wait_for(MIN_WAIT),
            // If it does not become available at once, it may when other connections end.
            AcceptError::NoMemory | AcceptError::Other => self.wait_for(doubled),
        }
    }

    fn wait_for(&mut self, wait: TimeDelta) -> AcceptAction {
        self.wait = wait;
        AcceptAction::Wait(wait)
    }
}
