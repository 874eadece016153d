//! The responses to clients' requests: the channel to a client's connection, and the ticket that ensures that each
//! request gets exactly one response.

use crate::log;
use crate::protocol::sqlstate::ClientError;
use crate::runtime::idle_clients::RequestClose;
use crate::runtime::resource_limits::BufferCharge;
use may::io::WaitIoWaker;
use routing::time::TimeDelta;
use routing::RequestId;
use sessions::positions::LogPosition;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use write_journal::record_state::Fate;

/// What the session of a request learns from a value about the group's log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionUpdate {
    /// The position in the log that the value reflects.
    pub position: Option<LogPosition>,
    /// The position that the session had seen before is lost. The response to the session's next request reports the
    /// loss.
    pub session_lost: bool,
}

/// The response to a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Response {
    /// The value that an endpoint has returned.
    Value {
        /// RowDescription, DataRow and CommandComplete as the endpoint sent them.
        messages: Vec<u8>,
        /// The memory of the messages beyond what the request has reserved.
        charge: Option<BufferCharge>,
        /// What the session learns from the value.
        session_update: SessionUpdate,
    },
    /// The position that the session has seen is lost; the request was not executed.
    SessionLost {
        /// The position that replaces the lost one, from which the session can continue.
        restart_position: LogPosition,
    },
    /// The fate of a write, in response to a query for it.
    Fate(Fate),
    /// The request was not executed, or it can safely be retried.
    Rejected {
        /// The Retry-After that the client is sent; `None` if the settings allow none.
        retry_after: Option<TimeDelta>,
    },
    /// The request may have been executed.
    Aborted,
    /// The request is invalid and was not executed.
    Error(ClientError),
}

/// A response together with the id of the request that it answers.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestResponse {
    /// The process-internal id of the request.
    pub request: RequestId,
    /// The response to the request.
    pub response: Response,
}

/// The channel to the coroutine of a client's connection, for responses and for requests to close the connection.
/// The channel is the only part of the connection that other parts of the server hold.
pub struct ResponseChannel {
    responses: Mutex<Vec<RequestResponse>>,
    close_requested: AtomicBool,
    shedding_requested: AtomicBool,
    /// The memory that the connection holds beyond its small buffers, in bytes.
    held_bytes: AtomicUsize,
    waker: WaitIoWaker,
    /// The client's address, for the log.
    pub peer: IpAddr,
}

impl ResponseChannel {
    /// Creates the channel to the connection of the client `peer`; `waker` wakes the connection's coroutine.
    pub fn new(waker: WaitIoWaker, peer: IpAddr) -> Arc<ResponseChannel> {
        Arc::new(ResponseChannel {
            responses: Mutex::default(),
            close_requested: AtomicBool::new(false),
            shedding_requested: AtomicBool::new(false),
            held_bytes: AtomicUsize::new(0),
            waker,
            peer,
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

    /// Whether the connection has been asked to close.
    pub fn is_close_requested(&self) -> bool {
        self.close_requested.load(Ordering::Acquire)
    }

    /// Returns whether the connection has been asked to close, and clears the request.
    pub fn take_close_request(&self) -> bool {
        self.close_requested.swap(false, Ordering::AcqRel)
    }

    /// The memory that the connection holds beyond its small buffers, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// Sets the memory that the connection holds, in bytes.
    pub fn set_held_bytes(&self, bytes: usize) {
        self.held_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Asks the connection to end and to free its memory.
    pub fn request_shedding(&self) {
        self.shedding_requested.store(true, Ordering::Release);
        self.wake();
    }

    /// Whether the connection has been asked to free its memory.
    pub fn is_shedding_requested(&self) -> bool {
        self.shedding_requested.load(Ordering::Acquire)
    }

    /// Wakes the connection's coroutine, so that it handles new responses, a request to close, or the shutdown.
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

/// Answers one request. If the ticket is dropped without an answer, because of a panic or a lost message, the request
/// is aborted.
pub struct ResponseTicket {
    /// The process-internal id of the request.
    pub request: RequestId,
    channel: Option<Arc<ResponseChannel>>,
}

impl ResponseTicket {
    /// Creates the ticket of a request that arrived on the connection with this channel.
    pub fn new(request: RequestId, channel: Arc<ResponseChannel>) -> ResponseTicket {
        ResponseTicket { request, channel: Some(channel) }
    }

    /// Sends the response to the client's connection.
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
            log!(WARN, request = self.request; "request was dropped without an answer; aborting it");
            channel.send(self.request, Response::Aborted);
        }
    }
}
