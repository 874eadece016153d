//! Backoff of the accept loop: what to do when accept(2) fails, so that the loop neither spins nor stalls.

use routing::time::TimeDelta;

/// Classes of accept(2) errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptError {
    /// The connection failed before it was accepted (ECONNABORTED, EPROTO and the network errors that accept(2) passes
    /// on). It has left the listen queue.
    Aborted,
    /// No file descriptor is left (EMFILE, ENFILE). The connection stays in the listen queue.
    NoDescriptor,
    /// No memory for socket buffers (ENOBUFS, ENOMEM). The connection stays in the listen queue or is dropped by the
    /// kernel.
    NoMemory,
    /// The call was interrupted (EINTR).
    Interrupted,
    /// Any other error.
    Other,
}

/// What to do before the next connection is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptAction {
    /// Call accept again immediately.
    RetryNow,
    /// Use the reserved file descriptor to accept and reject one client, then wait.
    RejectOne {
        /// How long to wait if a client was rejected.
        wait: TimeDelta,
        /// How long to wait if that failed.
        wait_on_failure: TimeDelta,
    },
    /// Wait for this long.
    Wait(TimeDelta),
}

/// The first wait; each further one is twice as long.
const MIN_WAIT: TimeDelta = TimeDelta::from_millis(1);
/// The longest wait.
const MAX_WAIT: TimeDelta = TimeDelta::from_millis(100);
/// Consecutive errors without a wait. Bounded because a peer can abort connections at any rate.
const MAX_IMMEDIATE_RETRIES: u32 = 8;

/// Backoff state of one accept loop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AcceptBackoff {
    /// Errors since the last accepted connection.
    errors: u32,
    wait: TimeDelta,
}

impl AcceptBackoff {
    /// Records an accepted connection.
    pub fn accepted(&mut self) {
        *self = AcceptBackoff::default();
    }

    /// Records a failed accept and returns what to do next.
    pub fn failed(&mut self, error: AcceptError) -> AcceptAction {
        let may_retry_now = self.errors % (MAX_IMMEDIATE_RETRIES + 1) < MAX_IMMEDIATE_RETRIES;
        self.errors = self.errors.wrapping_add(1);
        let doubled = (self.wait * 2).max(MIN_WAIT).min(MAX_WAIT);
        match error {
            AcceptError::Interrupted | AcceptError::Aborted if may_retry_now => {
                self.wait = TimeDelta::ZERO;
                AcceptAction::RetryNow
            }
            // Queued clients are rejected one at a time, slowly enough to leave the worker to other connections.
            AcceptError::NoDescriptor => {
                self.wait = MIN_WAIT;
                AcceptAction::RejectOne { wait: MIN_WAIT, wait_on_failure: MAX_WAIT / 2 }
            }
            AcceptError::Interrupted | AcceptError::Aborted => self.wait_for(MIN_WAIT),
            // Memory becomes free as other connections end, which may take short or long.
            AcceptError::NoMemory | AcceptError::Other => self.wait_for(doubled),
        }
    }

    fn wait_for(&mut self, wait: TimeDelta) -> AcceptAction {
        self.wait = wait;
        AcceptAction::Wait(wait)
    }
}
