//! A guard that reports the end of a coroutine's work to the control loop, even if the coroutine panics.

use crate::messages::control::ControlMessage;
use may::sync::mpsc::Sender;

/// Reports the end of one piece of work to the control loop exactly once, when the guard is dropped. The control loop
/// waits for the end of everything that it has started, so an end must be reported even after a panic.
pub struct CompletionGuard<T> {
    control: Sender<ControlMessage>,
    /// The end to report; `None` once it was reported.
    end: Option<T>,
    /// Wraps the end in a message.
    message: fn(T) -> ControlMessage,
}

impl<T> CompletionGuard<T> {
    /// Creates a guard that reports `if_lost`, unless the work is completed first. `message` wraps the end in a
    /// message to the control loop.
    pub fn new(
        control: Sender<ControlMessage>,
        if_lost: T,
        message: fn(T) -> ControlMessage,
    ) -> CompletionGuard<T> {
        CompletionGuard { control, end: Some(if_lost), message }
    }

    /// The channel to the control loop.
    pub fn control(&self) -> &Sender<ControlMessage> {
        &self.control
    }

    /// Reports the end of the work.
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
