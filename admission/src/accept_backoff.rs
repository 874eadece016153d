//! What is done if a connection cannot be accepted, so that the accept loop neither spins nor stands still.

use routing::time::TimeDelta;

/// What went wrong, in the operating system's terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptError {
    /// The connection was over before it was accepted (ECONNABORTED, EPROTO and the network's own errors that accept(2)
    /// passes on): it is out of the queue.
    Aborted,
    /// No descriptor is left (EMFILE, ENFILE): it stays in the queue.
    NoDescriptor,
    /// No memory for buffers (ENOBUFS, ENOMEM): it stays in the queue, or is dropped by the kernel.
    NoMemory,
    /// The call was interrupted (EINTR).
    Interrupted,
    /// Anything else.
    Other,
}

/// What to do before the next connection is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptStep {
    /// Nothing.
    RetryNow,
    /// Use the descriptor that is held in reserve to reject one client; then wait, and longer if that failed.
    RejectOne {
        /// The wait if a client was rejected.
        wait: TimeDelta,
        /// The wait if not.
        wait_on_failure: TimeDelta,
    },
    /// Wait.
    Wait(TimeDelta),
}

/// The first wait; each is twice the one before.
const MIN_WAIT: TimeDelta = TimeDelta::from_millis(1);
const MAX_WAIT: TimeDelta = TimeDelta::from_millis(100);
/// Errors in a row without a wait: connections that are over before they are accepted come as fast as a peer likes.
const MAX_IMMEDIATE_RETRIES: u32 = 8;

/// How accepting went lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AcceptBackoff {
    /// Errors since the last connection that was accepted.
    errors: u32,
    wait: TimeDelta,
}

impl AcceptBackoff {
    /// A connection was accepted.
    pub fn accepted(&mut self) {
        *self = AcceptBackoff::default();
    }

    /// A connection could not be accepted.
    pub fn failed(&mut self, error: AcceptError) -> AcceptStep {
        let may_retry_now = self.errors % (MAX_IMMEDIATE_RETRIES + 1) < MAX_IMMEDIATE_RETRIES;
        self.errors = self.errors.wrapping_add(1);
        let doubled = (self.wait * 2).max(MIN_WAIT).min(MAX_WAIT);
        match error {
            AcceptError::Interrupted | AcceptError::Aborted if may_retry_now => {
                self.wait = TimeDelta::ZERO;
                AcceptStep::RetryNow
            }
            // Clients in the queue are rejected one by one, at a rate that leaves the worker to others.
            AcceptError::NoDescriptor => {
                self.wait = MIN_WAIT;
                AcceptStep::RejectOne { wait: MIN_WAIT, wait_on_failure: MAX_WAIT / 2 }
            }
            AcceptError::Interrupted | AcceptError::Aborted => self.wait_for(MIN_WAIT),
            // The kernel frees memory as others end: soon, or not for long.
            AcceptError::NoMemory | AcceptError::Other => self.wait_for(doubled),
        }
    }

    fn wait_for(&mut self, wait: TimeDelta) -> AcceptStep {
        self.wait = wait;
        AcceptStep::Wait(wait)
    }
}
