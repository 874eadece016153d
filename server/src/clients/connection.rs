//! A client connection: one coroutine that owns the socket, reads the client's messages, and writes the responses
//! in the order of the queries. The coroutine keeps reading while requests are open, to notice when the client
//! closes the connection. When it must not read more, it polls the socket for a close instead.

use crate::clients::admission_control::ConnectionPermit;
use crate::clients::close_reason::CloseReason;
use crate::clients::context::{AdmissionDecision, ClientContext, NewConnection};
use crate::clients::graceful_shutdown::ConnectionGuard;
use crate::clients::response_encoding::encode_response;
use crate::clients::response_queue::ResponseQueue;
use crate::clients::session_tokens::ClientSession;
use crate::clients::socket::{ClientSocket, FlushOutcome, ReadOutcome};
use crate::clients::stall::StallDetector;
use crate::clients::turn::ClientTurns;
use crate::log;
use crate::messages::control::ControlMessage;
use crate::messages::response::{RequestResponse, Response, ResponseChannel};
use crate::protocol::frontend_codec::FrontendCodec;
use crate::protocol::sqlstate::SqlState;
use crate::runtime::idle_clients::{IdleRank, IdleRegistration};
use crate::runtime::resource_limits::BufferCharge;
use crate::runtime::socket_errors::MEMORY_RETRY_DELAY;
use admission::arrival_time::ArrivalTime;
use admission::concurrency_limiter::ClientKey;
use admission::Rejection;
use routing::time::{TimeDelta, Timestamp};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;

/// The time that a client has to send its startup message and first query after it has connected, to send the rest of
/// a message after its first bytes, and to read its responses.
pub(super) const CLIENT_TIMEOUT: TimeDelta = TimeDelta::from_millis(2_500);
/// How long a client waits before it tries again to reserve memory for its next query.
pub(super) const RESERVATION_RETRY_DELAY: TimeDelta = TimeDelta::from_millis(100);
/// The error message for a startup message, first query or partial message that is not complete within
/// [`CLIENT_TIMEOUT`].
const MESSAGE_TIMEOUT: &str = "what was begun did not come to its end in time";
/// The error message for a large message for which no memory became free within [`CLIENT_TIMEOUT`].
const BUFFER_MEMORY_EXHAUSTED: &str = "the memory for buffers is used up";
/// The error message for a partial message whose connection is needed for another client.
const CONNECTION_NEEDED: &str = "what was begun is slow, and its place is needed";
/// The error message for a partial message that is not complete when the shutdown ends.
const SHUTTING_DOWN: &str = "the server shuts down";
/// The error message after a panic of the connection's coroutine.
const INTERNAL_FAULT: &str = "internal fault";

/// How the connection loop continues after one step.
enum NextStep {
    /// Repeat at once, because bytes were read or a response was queued.
    Continue,
    /// Wait for an event of the socket, or a wake-up.
    Wait,
    /// End the connection.
    Close(CloseReason),
}

/// The state of a client connection.
pub(super) struct ClientConnection {
    pub context: Arc<ClientContext>,
    pub socket: ClientSocket,
    pub channel: Arc<ResponseChannel>,
    pub codec: FrontendCodec,
    pub responses: ResponseQueue,
    /// Whether no further messages are processed; pending requests are still answered.
    pub input_closed: bool,
    /// Whether at least one request was answered.
    has_served: bool,
    /// Whether the client has sent at least one query, possibly an empty one.
    pub has_queried: bool,
    /// Since when the client's next message, or the rest of one, has been awaited; `None` while no timeout runs.
    pub message_due_since: Option<Timestamp>,
    /// The client's progress while the socket's send buffer is full; `None` while all responses are written.
    pub stall: Option<StallDetector>,
    /// When the bytes that were read last had arrived; `None` once the coroutine has waited since.
    pub received_at: Option<Timestamp>,
    /// What is known of the arrival of the client's bytes.
    arrival: ArrivalTime,
    /// The turns in which messages are read and handled.
    pub turns: ClientTurns,
    /// The registration as an idle client; `None` while the connection is in use.
    pub idle: Option<IdleRegistration>,
    /// The registration as a client that has begun a message; `None` without a partial message, and while a query is in
    /// progress.
    pub partial: Option<IdleRegistration>,
    /// Counts the connection's buffers towards the limit on buffer memory.
    pub charge: BufferCharge,
    /// Since when messages wait because memory is short and the client has not read its responses; `None` if none have
    /// waited for that reason since the socket was empty.
    pub held_back_since: Option<Timestamp>,
    /// Whether a large message waits in the socket until there is memory for it.
    pub awaits_memory: bool,
    /// The client's session; `None` if the client asked for none, or no session keys are configured.
    pub session: Option<ClientSession>,
    /// The slot in the handshake queue or in the client's class; `None` without admission control or after a
    /// rejection.
    pub permit: Option<ConnectionPermit>,
    /// The client to which requests are attributed; `None` without an operators' file.
    pub client: Option<ClientKey>,
    /// The last field to be dropped, because the process may exit when the guard is dropped.
    guard: ConnectionGuard,
}

/// Runs a connection from accept to close.
pub fn run(context: Arc<ClientContext>, connection: NewConnection, decision: AdmissionDecision) {
    // `_descriptor` is released when this function returns, after the socket has been closed.
    let NewConnection { stream, channel, guard, client_address, descriptor: _descriptor } = connection;
    let connected_at = context.timers.now();
    let client = context.client_prefixes.map(|prefixes| ClientKey::unclassified(client_address, prefixes));
    let turns = ClientTurns::new(context.turns.clone(), channel.clone(), connected_at);
    let mut connection = ClientConnection {
        turns,
        charge: context.resources.buffer_charge(),
        held_back_since: None,
        awaits_memory: false,
        context,
        socket: ClientSocket::new(stream),
        channel,
        codec: FrontendCodec::default(),
        responses: ResponseQueue::default(),
        input_closed: false,
        has_served: false,
        has_queried: false,
        message_due_since: Some(connected_at),
        stall: None,
        received_at: None,
        arrival: ArrivalTime::new(),
        idle: None,
        partial: None,
        session: None,
        permit: None,
        client,
        guard,
    };
    connection.wake_at(connected_at + CLIENT_TIMEOUT);
    match decision {
        AdmissionDecision::Admitted(permit) => connection.set_permit(permit),
        AdmissionDecision::Rejected { reason, retry_after } => connection.reject(reason, retry_after),
    }
    let reason = catch_unwind(AssertUnwindSafe(|| connection.serve()));
    let reason = reason.unwrap_or_else(|_| connection.fail_after_panic());
    connection.end(reason);
}

impl Drop for ClientConnection {
    /// Tells the control loop that the client of the pending requests is gone, however the connection has ended.
    fn drop(&mut self) {
        self.unregister_idle();
        self.unregister_partial();
        for pending in self.responses.pending() {
            let request = pending.request;
            let _ = self.context.control.send(ControlMessage::ClientGone { request });
        }
    }
}

impl ClientConnection {
    /// Stores the connection's permit, and rejects the connection if it was displaced from the handshake queue
    /// already.
    fn set_permit(&mut self, permit: Option<ConnectionPermit>) {
        let Some(permit) = permit else { return };
        if !permit.set_channel(&self.channel) {
            self.reject_displaced(&permit);
        }
        self.set_client(permit.client());
        self.permit = Some(permit);
    }

    /// Sets the client to which requests are attributed, if it is known.
    pub fn set_client(&mut self, client: Option<ClientKey>) {
        if client.is_some() {
            self.client = client;
        }
    }

    /// Rejects a connection that a newer one has displaced from the handshake queue.
    fn reject_displaced(&mut self, permit: &ConnectionPermit) {
        self.reject_with(&permit.reject_displaced());
    }

    /// Queues a rejection by admission control, with its Retry-After if rejections may carry one.
    pub fn reject_with(&mut self, rejection: &Rejection) {
        let retry_after = self.context.max_retry_after.map(|_| rejection.retry_after);
        self.reject(rejection.reason.message(), retry_after);
    }

    /// Serves the client; returns why the connection ends.
    fn serve(&mut self) -> CloseReason {
        loop {
            self.begin_turn();
            self.handle_messages();
            self.reject_partial_message_before_kill();
            self.reject_partial_message_if_displaced();
            self.reject_if_displaced();
            self.collect_responses();
            match self.write_and_read() {
                NextStep::Continue => {}
                NextStep::Wait => self.wait(),
                NextStep::Close(reason) => return reason,
            }
        }
    }

    /// Begins a turn or queues for one, unless nothing more is read from the client.
    fn begin_turn(&mut self) {
        let now = self.context.timers.now();
        if self.input_closed {
            self.turns.stop(now);
        } else {
            self.turns.begin(now);
        }
    }

    /// Ends the turn, and waits for an event of the socket, a wake-up or the next turn.
    fn wait(&mut self) {
        self.turns.end(self.context.timers.now());
        // The time for which messages wait for a turn or for memory counts, but not the time behind earlier messages of the
        // client.
        if !self.turns.is_waiting() && self.held_back_since.is_none() {
            self.received_at = None;
        }
        self.socket.wait();
    }

    /// Writes the responses that are ready, enforces the limits of the connection, and reads.
    fn write_and_read(&mut self) -> NextStep {
        let Ok(flushed) = self.socket.flush() else { return NextStep::Close(CloseReason::ClientGone) };
        let now = self.context.timers.now();
        if flushed == FlushOutcome::NoMemory {
            self.wake_at(now + MEMORY_RETRY_DELAY);
        }
        if self.is_stalled(flushed, now) {
            return NextStep::Close(CloseReason::ClientStalled);
        }
        if self.blocks_memory(flushed) || self.shed_if_requested(flushed) {
            return NextStep::Close(CloseReason::BufferMemory);
        }
        match self.read() {
            NextStep::Wait => {}
            step => return step,
        }
        if self.turns.is_waiting() {
            return NextStep::Wait;
        }
        // The messages before it may all have been answered at once, so that no response will wake the coroutine.
        if self.may_handle_message() && self.codec.has_complete_message() {
            return NextStep::Continue;
        }
        if self.codec.has_complete_message() && self.responses.is_empty() && self.socket.queued() == 0 {
            // The client has not read its last response. No event tells when it has.
            self.wake_at(now + RESERVATION_RETRY_DELAY);
        }
        if self.is_message_overdue(now) {
            self.fail_overdue();
            return NextStep::Continue;
        }
        if self.responses.is_empty() && self.socket.queued() == 0 {
            // No error message is sent: the client would take it for a second response to its last request. A query
            // that arrives during the close is not executed; the client can retry it on another instance.
            if self.input_closed {
                return NextStep::Close(CloseReason::SessionEnded);
            }
            if self.codec.is_empty() && self.should_close() {
                return NextStep::Close(CloseReason::Idle);
            }
            self.become_idle();
        }
        NextStep::Wait
    }

    /// Rejects the connection if a newer one has displaced it from the handshake queue.
    fn reject_if_displaced(&mut self) {
        let close_requested = !self.input_closed && self.channel.is_close_requested();
        if let Some(permit) = self.permit.take_if(|permit| close_requested && permit.is_handshake()) {
            self.reject_displaced(&permit);
        }
    }

    /// Rejects a message that is not complete when the shutdown no longer leaves the time to answer it.
    fn reject_partial_message_before_kill(&mut self) {
        if !self.input_closed && !self.codec.is_empty() && self.has_answer_time_passed() {
            log!(INFO; "message of a client was not complete in time, rejected because the server shuts down");
            self.reject(SHUTTING_DOWN, None);
        }
    }

    /// Rejects a message that is not complete because the descriptor and the memory of the connection are needed for another
    /// client.
    fn reject_partial_message_if_displaced(&mut self) {
        self.update_partial_registration();
        if self.partial.is_some() && self.channel.is_close_requested() {
            self.unregister_partial();
            self.fail(SqlState::TOO_MANY_CONNECTIONS, CONNECTION_NEEDED);
        }
    }

    /// Registers the connection as one that can be asked to close while it has a partial message and nothing else.
    fn update_partial_registration(&mut self) {
        let is_partial = !self.input_closed
            && !self.codec.is_empty()
            && !self.codec.has_complete_message()
            && self.responses.is_empty()
            && self.socket.queued() == 0;
        if !is_partial {
            self.unregister_partial();
        } else if self.partial.is_none() {
            let since = self.message_due_since.unwrap_or(self.context.timers.now());
            let class = self.permit.as_ref().and_then(ConnectionPermit::class);
            let resources = &self.context.resources;
            let registration =
                resources.register_idle(IdleRank::PartialMessage, since, self.channel.clone(), class);
            self.partial = Some(registration);
        }
    }

    fn unregister_partial(&mut self) {
        if let Some(registration) = self.partial.take() {
            self.context.resources.unregister_idle(registration);
        }
    }

    /// Reads bytes from the client, as many as the limits allow now.
    fn read(&mut self) -> NextStep {
        self.update_held_back();
        let max_bytes = self.max_read_bytes();
        if max_bytes == 0 || !self.turns.is_active() {
            self.record_unread();
            return if self.has_client_disconnected() {
                NextStep::Close(CloseReason::ClientGone)
            } else {
                NextStep::Wait
            };
        }
        if !self.reserve_large_message() {
            self.record_unread();
            return NextStep::Wait;
        }
        let codec = &mut self.codec;
        match self.socket.read(max_bytes, |bytes| codec.feed(bytes)) {
            ReadOutcome::Bytes(count) => {
                self.unregister_idle();
                self.record_arrival(count);
                if let Some(budget) = self.turns.budget_mut() {
                    budget.add_bytes(count);
                }
                NextStep::Continue
            }
            ReadOutcome::WouldBlock => {
                self.arrival.set_none_waiting(self.context.timers.now());
                self.held_back_since = None;
                NextStep::Wait
            }
            ReadOutcome::NoMemory => {
                self.wake_at(self.context.timers.now() + MEMORY_RETRY_DELAY);
                NextStep::Wait
            }
            ReadOutcome::Closed => NextStep::Close(CloseReason::ClientGone),
        }
    }

    /// Records that nothing is read now. The time counts unless the client's own queries are the reason.
    fn record_unread(&mut self) {
        let now = self.context.timers.now();
        if self.may_read_more() {
            self.arrival.set_waiting(now, || self.socket.unread_bytes());
        } else {
            self.arrival.set_behind_own_queries();
        }
    }

    /// Records when the `bytes` that were just read had arrived.
    fn record_arrival(&mut self, bytes: usize) {
        let now = self.context.timers.now();
        let since_last_data = self.socket.time_since_last_data();
        let unread_bytes = || self.socket.unread_bytes();
        self.received_at = Some(self.arrival.record_read(now, bytes, since_last_data, unread_bytes));
    }

    /// Whether to close an idle connection, because its descriptor is needed or the server shuts down.
    fn should_close(&self) -> bool {
        self.channel.is_close_requested() || self.guard.should_close(self.has_queried, self.has_served)
    }

    /// Schedules a wake-up of the connection's coroutine at a time.
    pub fn wake_at(&self, at: Timestamp) {
        let waker = self.socket.waker();
        self.context.timers.call_at(at, move || waker.wakeup());
    }

    /// Registers the connection as idle and frees its buffers.
    fn become_idle(&mut self) {
        if self.idle.is_none() {
            let rank = if self.has_queried { IdleRank::Idle } else { IdleRank::NeverQueried };
            let class = self.permit.as_ref().and_then(ConnectionPermit::class);
            self.register_idle(rank, class);
        }
        self.codec.free_buffer();
        self.socket.free_outbox();
        self.update_charge();
    }

    /// Registers the connection as one that can be asked to close when descriptors run short.
    pub fn register_idle(&mut self, rank: IdleRank, class: Option<Arc<str>>) {
        let now = self.context.timers.now();
        let registration = self.context.resources.register_idle(rank, now, self.channel.clone(), class);
        self.idle = Some(registration);
    }

    /// Removes the idle registration, because the connection is in use again or is being closed.
    pub fn unregister_idle(&mut self) {
        if let Some(registration) = self.idle.take() {
            self.context.resources.unregister_idle(registration);
        }
    }

    /// Moves the responses that have arrived to the response queue, and from there those that are next in order to
    /// the socket's outbox.
    fn collect_responses(&mut self) {
        let now = self.context.timers.now();
        let tokens = self.context.session_tokens.clone();
        for RequestResponse { request, response } in self.channel.take_responses() {
            let session = self.session.as_mut();
            // Responses may arrive in another order than that of the queries, and each token is issued when its
            // response arrives. So a token may also cover responses that the client reads later, but always covers
            // the response that carries the token.
            let completed = self.responses.complete(request, |group| {
                let session_and_tokens = tokens.as_ref().zip(session);
                let token = session_and_tokens
                    .and_then(|(tokens, session)| tokens.record_response(now, session, group, &response));
                encode_response(response, token.as_deref())
            });
            self.has_served |= completed;
        }
        while let Some(response) = self.responses.pop_ready() {
            self.socket.push(response);
        }
    }

    /// Ends the connection because a message has not arrived in time, or because there was no memory for it.
    fn fail_overdue(&mut self) {
        if self.awaits_memory {
            log!(WARN, bytes = self.codec.partial_message_bytes().unwrap_or(0), reason = "memory is short"; "large message of a client not read");
            self.fail(SqlState::OUT_OF_MEMORY, BUFFER_MEMORY_EXHAUSTED);
        } else {
            self.fail(SqlState::PROTOCOL_VIOLATION, MESSAGE_TIMEOUT);
        }
    }

    /// Aborts all pending requests after a panic, and sends as many of the responses as the socket accepts without
    /// waiting.
    fn fail_after_panic(&mut self) -> CloseReason {
        self.fail(SqlState::INTERNAL_ERROR, INTERNAL_FAULT);
        self.collect_responses();
        match self.socket.flush() {
            Ok(FlushOutcome::Complete) => CloseReason::Panic,
            _ => CloseReason::PanicWhileStalled,
        }
    }

    /// Queues a fatal error and stops processing messages. Pending requests are aborted: responses are sent in the
    /// order of the queries, so the error would otherwise wait for the pending responses.
    pub fn fail(&mut self, code: SqlState, reason: &str) {
        let aborted = encode_response(Response::Aborted, None);
        for pending in self.responses.complete_all(&aborted) {
            let request = pending.request;
            let _ = self.context.control.send(ControlMessage::ClientGone { request });
        }
        self.push_fatal(code, reason);
        self.input_closed = true;
    }
}
