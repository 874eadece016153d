//! A guard that reports the result of a coroutine to the control loop, even if the coroutine panics.

use crate::messages::control::ControlMessage;
use may::sync::mpsc::Sender;

/// Reports the result of an attempt, health check or role query to the control loop exactly once, when the guard is
/// dropped. The control loop waits for the result of everything that it has started, so a result must be reported even
/// after a panic.
pub struct CompletionGuard<T> {
    control: Sender<ControlMessage>,
    /// The result to report; `None` once it was reported.
    result: Option<T>,
    /// Converts the result to a message.
    to_message: fn(T) -> ControlMessage,
}

impl<T> CompletionGuard<T> {
    /// Creates a guard that reports `after_panic` if it is dropped before [`CompletionGuard::complete`] is called.
    /// `to_message` converts the result to a message to the control loop.
    pub fn new(
        control: Sender<ControlMessage>,
        after_panic: T,
        to_message: fn(T) -> ControlMessage,
    ) -> CompletionGuard<T> {
        CompletionGuard { control, result: Some(after_panic), to_message }
    }

    /// The channel to the control loop, for other messages of the same coroutine.
    pub fn control(&self) -> &Sender<ControlMessage> {
        &self.control
    }

    /// Reports `result` instead of the result after a panic.
    pub fn complete(mut self, result: T) {
        self.result = Some(result);
    }
}

impl<T> Drop for CompletionGuard<T> {
    fn drop(&mut self) {
        if let Some(result) = self.result.take() {
            let _ = self.control.send((self.to_message)(result));
        }
    }
}
