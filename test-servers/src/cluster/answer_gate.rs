//! A gate that holds back the answers of a cluster's endpoints.

use crate::lock;
use std::sync::{Condvar, Mutex, PoisonError};

/// Holds back answers while it is closed. Statements are executed all the same.
#[derive(Default)]
pub struct AnswerGate {
    is_closed: Mutex<bool>,
    opened: Condvar,
}

impl AnswerGate {
    /// Holds back all answers from now on.
    pub fn close(&self) {
        *lock(&self.is_closed) = true;
    }

    /// Lets the answers pass that were held back, and all later ones.
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
