//! A gate that delays the answers of a cluster's endpoints.

use crate::lock;
use std::sync::{Condvar, Mutex, PoisonError};

/// Delays answers while it is closed. It does not delay the execution of statements.
#[derive(Default)]
pub struct AnswerGate {
    is_closed: Mutex<bool>,
    opened: Condvar,
}

impl AnswerGate {
    /// Delays all answers that have not been sent yet, until the gate is opened.
    pub fn close(&self) {
        *lock(&self.is_closed) = true;
    }

    /// Releases the delayed answers, and lets later answers pass without a delay.
    pub fn open(&self) {
        *lock(&self.is_closed) = false;
        self.opened.notify_all();
    }

    /// Waits until the gate is open.
    pub(crate) fn wait_until_open(&self) {
        let is_closed = lock(&self.is_closed);
        let _open =
            self.opened.wait_while(is_closed, |is_closed| *is_closed).unwrap_or_else(PoisonError::into_inner);
    }
}
