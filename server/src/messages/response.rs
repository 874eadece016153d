//! The responses to a connection's requests: the channel to the connection, and the ticket that gives each request
//! exactly one response.

use crate::log;
use crate::protocol::sqlstate::ClientError;
use crate::runtime::idle_clients::RequestClose;
use may::io::WaitIoWaker;
use routing::time::TimeDelta;
use routing::RequestId;
use sessions::positions::LogPosition;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use write_journal::record_state::Fate;

/// What a value proves to its session about the group's log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionUpdate {
    /// The position that the value reflects.
    pub position: Option<LogPosition>,
    /// The position that the session had seen before is lost. The session's next request is answered with that.
    pub session_lost: bool,
}

/// The response to a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Response {
    /// A value: RowDescription, DataRow and CommandComplete as the endpoint sent them.
    Value {
        /// The messages.
        messages: Vec<u8>,
        /// What the value proves to the session.
        session_update: SessionUpdate,
    },
    /// The position that the session has seen is lost; the request was not executed.
    SessionLost {
        /// The position from which the session can continue.
        restart_position: LogPosition,
    },
    /// The fate of a write.
    Fate(Fate),
    /// The request was not executed, or it can safely be retried.
    Rejected {
        /// The Retry-After, if one may be sent.
        retry_after: Option<TimeDelta>,
    },
    /// The request may have been executed.
    Aborted,
    /// The request is invalid.
    Error(ClientError),
}

/// A response, and the request that it answers.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestResponse {
    /// The request.
    pub request: RequestId,
    /// The response to it.
    pub response: Response,
}

/// The channel to a client's connection, for responses and requests to close. It is the only part of the connection
/// that other parts of the server hold.
pub struct ResponseChannel {
    responses: Mutex<Vec<RequestResponse>>,
    close_requested: AtomicBool,
    waker: WaitIoWaker,
}

impl ResponseChannel {
    /// Creates the channel of a connection that `waker` wakes.
    pub fn new(waker: WaitIoWaker) -> Arc<ResponseChannel> {
        Arc::new(ResponseChannel {
            responses: Mutex::default(),
            close_requested: AtomicBool::new(false),
            waker,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Vec<RequestResponse>> {
        self.responses.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Takes the responses that were sent since the last call.
    pub fn take_responses(&self) -> Vec<RequestResponse> {
        std::mem::take(&mut *self.lock())
    }

    /// Sends a response and wakes the connection.
    fn send(&self, request: RequestId, response: Response) {
        self.lock().push(RequestResponse { request, response });
        self.wake();
    }

    /// Whether a close was requested.
    pub fn is_close_requested(&self) -> bool {
        self.close_requested.load(Ordering::Acquire)
    }

    /// Whether a close was requested since the last call; clears the request.
    pub fn take_close_request(&self) -> bool {
        self.close_requested.swap(false, Ordering::AcqRel)
    }

    /// Wakes the connection's coroutine.
    pub fn wake(&self) {
        self.waker.wakeup();
    }
}

impl RequestClose for ResponseChannel {
    fn request_close(&self) {
        self.close_requested.store(true, Ordering::Release);
        self.wake();
    }
}

/// Answers one request. If it is dropped without an answer, by a panic or a lost message, the request is aborted.
pub struct ResponseTicket {
    /// The request.
    pub request: RequestId,
    channel: Option<Arc<ResponseChannel>>,
}

impl ResponseTicket {
    /// Creates the ticket of a request that arrived on the connection with this channel.
    pub fn new(request: RequestId, channel: Arc<ResponseChannel>) -> ResponseTicket {
        ResponseTicket { request, channel: Some(channel) }
    }

    /// Answers the request.
    pub fn answer(mut self, response: Response) {
        if let Some(channel) = self.channel.take() {
            channel.send(self.request, response);
        }
    }

    /// Drops the ticket without an answer, because the client has disconnected.
    pub fn discard(mut self) {
        self.channel = None;
    }
}

impl Drop for ResponseTicket {
    fn drop(&mut self) {
        if let Some(channel) = self.channel.take() {
            log!(WARN, request = self.request; "request dropped without an answer, aborted");
            channel.send(self.request, Response::Aborted);
        }
    }
}
