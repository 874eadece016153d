//! Reports how a coroutine's work ended, however the coroutine itself ends.

use crate::messages::control::ControlMessage;
use may::sync::mpsc::Sender;

/// Reports an end to the control loop exactly once: that which the work came to, or if it panics the one that the guard was
/// made with. Work whose end never came would be waited for for ever.
pub struct CompletionGuard<T> {
    control: Sender<ControlMessage>,
    end: Option<T>,
    message: fn(T) -> ControlMessage,
}

impl<T> CompletionGuard<T> {
    /// `if_lost` is reported if the work does not come to its end; `message` tells the control loop.
    pub fn new(
        control: Sender<ControlMessage>,
        if_lost: T,
        message: fn(T) -> ControlMessage,
    ) -> CompletionGuard<T> {
        CompletionGuard { control, end: Some(if_lost), message }
    }

    /// Where the end is reported.
    pub fn control(&self) -> &Sender<ControlMessage> {
        &self.control
    }

    /// The work has come to this end.
    pub fn complete(mut self, end: T) {
        self.end = Some(end);
    }
}

impl<T> Drop for CompletionGuard<T> {
    fn drop(&mut self) {
        if let Some(end) = self.end.take() {
            let _ = self.control.send((self.message)(end));
        }
    }
}
