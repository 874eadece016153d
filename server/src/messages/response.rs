//! The responses to a connection's requests: the channel by which they reach it, and the ticket by which each request gets
//! exactly one.

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

/// What a value shows its session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionEvidence {
    /// The position that it shows.
    pub position: Option<LogPosition>,
    /// It also shows that what the session saw before is lost, which its next request is told.
    pub session_lost: bool,
}

/// What a client gets for a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Response {
    /// RowDescription, DataRow and CommandComplete as the endpoint sent them.
    Value {
        /// The messages.
        messages: Vec<u8>,
        /// What they show the session.
        evidence: SessionEvidence,
    },
    /// What its session saw of the group is lost, and it did not run.
    SessionLost {
        /// Where the session goes on.
        restart_position: LogPosition,
    },
    /// What became of a write.
    Fate(Fate),
    /// It did not run, or may be sent again.
    Rejected {
        /// When to come back, if that may be told.
        retry_after: Option<TimeDelta>,
    },
    /// It may have run.
    Aborted,
    /// It cannot be taken.
    Error(ClientError),
}

/// The only part of a client's connection that others hold: responses are left here.
pub struct ResponseChannel {
    responses: Mutex<Vec<(RequestId, Response)>>,
    close_requested: AtomicBool,
    waker: WaitIoWaker,
}

impl ResponseChannel {
    /// For a connection that is woken by `waker`.
    pub fn new(waker: WaitIoWaker) -> Arc<ResponseChannel> {
        Arc::new(ResponseChannel {
            responses: Mutex::default(),
            close_requested: AtomicBool::new(false),
            waker,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(RequestId, Response)>> {
        self.responses.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The responses that have come since the last call.
    pub fn take(&self) -> Vec<(RequestId, Response)> {
        std::mem::take(&mut *self.lock())
    }

    fn send(&self, request: RequestId, response: Response) {
        self.lock().push((request, response));
        self.wake();
    }

    /// Whether the connection was asked to close.
    pub fn is_close_requested(&self) -> bool {
        self.close_requested.load(Ordering::Acquire)
    }

    /// Whether the connection was asked to close since this was last called.
    pub fn take_close_request(&self) -> bool {
        self.close_requested.swap(false, Ordering::AcqRel)
    }

    /// Wakes the connection.
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

/// The obligation to answer a request. Dropped unanswered, by a panic or a lost message, it aborts.
pub struct ResponseTicket {
    /// The request.
    pub request: RequestId,
    channel: Option<Arc<ResponseChannel>>,
}

impl ResponseTicket {
    /// For a request of the connection with this channel.
    pub fn new(request: RequestId, channel: Arc<ResponseChannel>) -> ResponseTicket {
        ResponseTicket { request, channel: Some(channel) }
    }

    /// Answers the request.
    pub fn answer(mut self, response: Response) {
        if let Some(channel) = self.channel.take() {
            channel.send(self.request, response);
        }
    }

    /// Its client is gone: it needs no answer.
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
