//! A client's connection: one coroutine, which owns the socket, takes what the client sends and writes the responses in the
//! order of its queries. It goes on reading while requests are open, so a client that closes is noticed; where it may not read
//! on, it asks the system whether the client has ended the connection.

use crate::clients::admission_control::ConnectionPermit;
use crate::clients::context::{ClientContext, NewConnection, Reception};
use crate::clients::graceful_shutdown::ConnectionGuard;
use crate::clients::response_encoding::encode_response;
use crate::clients::response_queue::ResponseQueue;
use crate::clients::session_tokens::ClientSession;
use crate::clients::socket::{ClientSocket, FlushOutcome, ReadOutcome};
use crate::endpoints::connection::{BURST_PAUSE, MAX_BURST_BYTES, SMALL_BUFFER_BYTES};
use crate::log;
use crate::messages::control::ControlMessage;
use crate::messages::response::{Response, ResponseChannel};
use crate::protocol::frontend_codec::FrontendCodec;
use crate::protocol::sqlstate::SqlState;
use crate::runtime::idle_clients::{IdleRank, IdleRegistration};
use crate::runtime::resource_limits::BufferCharge;
use admission::concurrency_limiter::ClientKey;
use admission::Rejection;
use routing::time::{TimeDelta, Timestamp};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;

/// Queries of one client that are answered side by side; what it sends beyond them stays unread.
const MAX_PIPELINED_QUERIES: usize = 64;
/// How long a client may take for its startup and first query from when it connects, for the rest of a message from when it
/// began it, and for reading its responses.
pub(super) const CLIENT_TIMEOUT: TimeDelta = TimeDelta::from_millis(2_500);

/// How a connection ends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// The client has time to read what it was sent.
    Graceful,
    /// The connection is dead.
    Immediate,
}

/// Whether the loop goes on at once.
enum ReadStep {
    GoOn,
    Wait,
    Closed,
}

/// A client's connection.
pub(super) struct ClientConnection {
    pub context: Arc<ClientContext>,
    pub socket: ClientSocket,
    pub channel: Arc<ResponseChannel>,
    pub codec: FrontendCodec,
    pub responses: ResponseQueue,
    /// Nothing more is taken; what is pending is still answered.
    pub is_last: bool,
    /// A request of it was answered.
    served: bool,
    /// It has sent a query, if only an empty one.
    pub has_asked: bool,
    /// Since when the client has owed its next message.
    pub message_due_since: Option<Timestamp>,
    /// Since when the client does not read its responses.
    stalled_since: Option<Timestamp>,
    /// Bytes read since it last waited.
    burst_bytes: usize,
    pub idle: Option<IdleRegistration>,
    charge: BufferCharge,
    /// The session that its client carries, if it asked for one.
    pub session: Option<ClientSession>,
    pub permit: Option<ConnectionPermit>,
    /// Whom its requests are counted for.
    pub client: Option<ClientKey>,
    /// Dropped last: the process may end with it.
    guard: ConnectionGuard,
}

/// Runs a connection from its first byte to its close.
pub fn run(context: Arc<ClientContext>, connection: NewConnection, reception: Reception) {
    // The descriptor is given back once the socket is closed.
    let NewConnection { stream, channel, guard, from, descriptor: _descriptor } = connection;
    let connected_at = context.timers.now();
    let client = context.client_prefixes.map(|prefixes| ClientKey::unclassified(from, prefixes));
    let mut connection = ClientConnection {
        charge: context.resources.buffer_charge(),
        context,
        socket: ClientSocket::new(stream),
        channel,
        codec: FrontendCodec::default(),
        responses: ResponseQueue::default(),
        is_last: false,
        served: false,
        has_asked: false,
        message_due_since: Some(connected_at),
        stalled_since: None,
        burst_bytes: 0,
        idle: None,
        session: None,
        permit: None,
        client,
        guard,
    };
    connection.wake_at(connected_at + CLIENT_TIMEOUT);
    match reception {
        Reception::Admitted(permit) => connection.take_permit(permit),
        Reception::Rejected { reason, retry_after } => connection.reject(reason, retry_after),
    }
    let end = catch_unwind(AssertUnwindSafe(|| connection.serve()));
    let end = end.unwrap_or_else(|_| connection.end_after_panic());
    if end == ConnectionEnd::Graceful {
        connection.close_gracefully();
    }
}

impl Drop for ClientConnection {
    /// However the connection ends, the control loop is told of what it still waited for.
    fn drop(&mut self) {
        self.unregister_idle();
        for pending in self.responses.pending() {
            let request = pending.request;
            let _ = self.context.control.send(ControlMessage::ClientGone { request });
        }
    }
}

impl ClientConnection {
    fn take_permit(&mut self, permit: Option<ConnectionPermit>) {
        let Some(permit) = permit else { return };
        if !permit.set_channel(&self.channel) {
            self.reject_displaced(&permit);
        }
        self.set_client(permit.client());
        self.permit = Some(permit);
    }

    /// Sets whom its requests are counted for, if that is known.
    pub fn set_client(&mut self, client: Option<ClientKey>) {
        if client.is_some() {
            self.client = client;
        }
    }

    /// Others come, and its client has not identified itself yet.
    fn reject_displaced(&mut self, permit: &ConnectionPermit) {
        self.reject_with(&permit.displacement());
    }

    /// Tells the client why it is rejected.
    pub fn reject_with(&mut self, rejection: &Rejection) {
        let retry_after = self.context.max_retry_after.map(|_| rejection.retry_after);
        self.reject(rejection.reason.message(), retry_after);
    }

    fn serve(&mut self) -> ConnectionEnd {
        loop {
            self.take_messages();
            self.leave_if_displaced();
            self.collect_responses();
            let Ok(flushed) = self.socket.flush() else { return ConnectionEnd::Immediate };
            let now = self.context.timers.now();
            if self.is_stalled(flushed, now) {
                return ConnectionEnd::Immediate;
            }
            if self.exceeds_memory() {
                if flushed == FlushOutcome::Blocked {
                    log!(WARN, reason = "buffer memory used up"; "connection of a client that does not read closed");
                    return ConnectionEnd::Immediate;
                }
                if self.codec.buffer_bytes() > SMALL_BUFFER_BYTES {
                    self.fail(SqlState::OUT_OF_MEMORY, "the memory for buffers is used up");
                    continue;
                }
            }
            match self.read() {
                ReadStep::GoOn => continue,
                ReadStep::Closed => return ConnectionEnd::Immediate,
                ReadStep::Wait => {}
            }
            if self.is_message_overdue(now) {
                self.fail(SqlState::PROTOCOL_VIOLATION, "what was begun did not come to its end in time");
                continue;
            }
            if self.responses.is_empty() && self.socket.queued() == 0 {
                // Without a message: one behind the last response would be a second one to that request. A query that crosses
                // the close did not run, and its client sends it again elsewhere.
                if self.is_last || (self.codec.is_empty() && self.should_close()) {
                    return ConnectionEnd::Graceful;
                }
                self.rest();
            }
            self.burst_bytes = 0;
            self.socket.wait();
        }
    }

    fn leave_if_displaced(&mut self) {
        let close_requested = !self.is_last && self.channel.is_close_requested();
        if let Some(permit) = self.permit.take_if(|permit| close_requested && permit.is_handshake()) {
            self.reject_displaced(&permit);
        }
    }

    /// Whether the client has not read its responses for too long.
    fn is_stalled(&mut self, flushed: FlushOutcome, now: Timestamp) -> bool {
        if flushed == FlushOutcome::Complete {
            self.stalled_since = None;
            return false;
        }
        let is_overdue = self.is_overdue(self.stalled_since, now);
        self.stalled_since.get_or_insert(now);
        is_overdue
    }

    fn read(&mut self) -> ReadStep {
        let max_bytes = self.max_read_bytes();
        if max_bytes == 0 {
            return if self.has_client_left() { ReadStep::Closed } else { ReadStep::Wait };
        }
        let codec = &mut self.codec;
        match self.socket.read(max_bytes, |bytes| codec.feed(bytes)) {
            ReadOutcome::Bytes(count) => {
                self.unregister_idle();
                self.burst_bytes += count;
                if self.burst_bytes >= MAX_BURST_BYTES {
                    self.burst_bytes = 0;
                    self.context.timers.sleep(BURST_PAUSE);
                }
                ReadStep::GoOn
            }
            ReadOutcome::WouldBlock => ReadStep::Wait,
            ReadOutcome::Closed => ReadStep::Closed,
        }
    }

    /// Whether more of what the client sends may be taken.
    pub fn may_take_more(&self) -> bool {
        self.responses.len() < MAX_PIPELINED_QUERIES && self.socket.queued() < MAX_PIPELINED_QUERIES
    }

    /// Whether the next message may be answered beside the others.
    pub fn may_take_message(&self) -> bool {
        !self.is_last && self.responses.len() < MAX_PIPELINED_QUERIES
    }

    /// How much may be read now. Once the server is closed no more than what completes a query that has begun: what is read
    /// must be answered, and a client that always sends the next one would never be closed. What stays unread its client sends
    /// again elsewhere.
    fn max_read_bytes(&self) -> usize {
        if self.is_last || !self.may_take_more() {
            0
        } else if self.context.shutdown.is_closed() {
            self.codec.missing_bytes()
        } else {
            usize::MAX
        }
    }

    /// Whether a client that still waits for something has ended the connection.
    fn has_client_left(&self) -> bool {
        self.responses.pending().next().is_some() && self.socket.has_ended()
    }

    /// Whether the client has owed its next message, or the rest of one, for too long.
    fn is_message_overdue(&mut self, now: Timestamp) -> bool {
        let between_queries = self.has_asked && self.codec.is_empty();
        if self.is_last || !self.may_take_more() || between_queries {
            self.message_due_since = None;
            return false;
        }
        let is_overdue = self.is_overdue(self.message_due_since, now);
        self.message_due_since.get_or_insert(now);
        is_overdue
    }

    /// Whether the client has owed something for too long since then. If it owes it only from now on, the connection is woken
    /// when that will be too long.
    fn is_overdue(&self, since: Option<Timestamp>, now: Timestamp) -> bool {
        if since.is_none() {
            self.wake_at(now + CLIENT_TIMEOUT);
        }
        since.is_some_and(|since| now >= since + CLIENT_TIMEOUT)
    }

    fn should_close(&self) -> bool {
        self.channel.is_close_requested() || self.guard.should_close(self.has_asked, self.served)
    }

    /// Wakes the connection at a time.
    pub fn wake_at(&self, at: Timestamp) {
        let waker = self.socket.waker();
        self.context.timers.call_at(at, move || waker.wakeup());
    }

    /// Charges its buffers; true if all connections' are too much and this one's are no small part of that.
    fn exceeds_memory(&mut self) -> bool {
        let bytes = self.codec.buffer_bytes() + self.responses.ready_bytes() + self.socket.queued_bytes();
        self.charge.set(bytes);
        bytes > SMALL_BUFFER_BYTES && !self.is_last && self.context.resources.is_memory_short()
    }

    /// There is nothing to do: buffers are freed, and the connection may be asked to close.
    fn rest(&mut self) {
        if self.idle.is_none() {
            let rank = if self.has_asked { IdleRank::Idle } else { IdleRank::NeverAsked };
            let class = self.permit.as_ref().and_then(ConnectionPermit::class);
            self.register_idle(rank, class);
        }
        self.codec.free_buffer();
        self.socket.free_outbox();
        self.charge.set(self.codec.buffer_bytes());
    }

    /// The client may be asked to close for others.
    pub fn register_idle(&mut self, rank: IdleRank, class: Option<Arc<str>>) {
        let now = self.context.timers.now();
        let registration = self.context.resources.register_idle(rank, now, self.channel.clone(), class);
        self.idle = Some(registration);
    }

    /// The client has something to do.
    pub fn unregister_idle(&mut self) {
        if let Some(registration) = self.idle.take() {
            self.context.resources.unregister_idle(registration);
        }
    }

    /// Puts responses that have come in their places, and those whose turn it is in the outbox.
    fn collect_responses(&mut self) {
        let now = self.context.timers.now();
        let tokens = self.context.session_tokens.clone();
        for (request, response) in self.channel.take() {
            let session = self.session.as_mut();
            // In the order in which responses come: a token may show more than its response, never less.
            let completed = self.responses.complete(request, |group| {
                let session_and_tokens = tokens.as_ref().zip(session);
                let token = session_and_tokens
                    .and_then(|(tokens, session)| tokens.record_response(now, session, group, &response));
                encode_response(response, token.as_deref())
            });
            self.served |= completed;
        }
        while let Some(response) = self.responses.pop_ready() {
            self.socket.push(response);
        }
    }

    /// A fault of this program: all that is pending is aborted, as far as the client still takes it.
    fn end_after_panic(&mut self) -> ConnectionEnd {
        self.fail(SqlState::INTERNAL_ERROR, "internal fault");
        self.collect_responses();
        match self.socket.flush() {
            Ok(FlushOutcome::Complete) => ConnectionEnd::Graceful,
            _ => ConnectionEnd::Immediate,
        }
    }

    /// A fatal error, and nothing is taken behind it. What is pending is aborted, or a request that takes its time would hold
    /// the error back.
    pub fn fail(&mut self, code: SqlState, reason: &str) {
        let aborted = encode_response(Response::Aborted, None);
        for pending in self.responses.complete_all(&aborted) {
            let request = pending.request;
            let _ = self.context.control.send(ControlMessage::ClientGone { request });
        }
        self.push_fatal(code, reason);
        self.is_last = true;
    }
}
