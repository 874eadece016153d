//! The limits of a client connection: pipelined queries, timeouts and buffer memory.

use crate::clients::connection::{ClientConnection, CLIENT_TIMEOUT, RESERVATION_RETRY_DELAY};
use crate::clients::socket::FlushOutcome;
use crate::clients::stall::StallDetector;
use crate::log;
use crate::protocol::sqlstate::SqlState;
use crate::runtime::resource_limits::BufferCharge;
use admission::memory_plan::{CONNECTION_BUFFER_BYTES, REQUEST_BYTES};
use routing::time::{TimeDelta, Timestamp};

/// The maximum number of one client's queries in progress. Further queries stay in the socket's receive buffer.
const MAX_PIPELINED_QUERIES: usize = 64;
/// A client that does not read its responses is closed when memory is short if it holds more than this, in bytes.
const MAX_BLOCKED_BYTES: usize = 16 << 10;
/// How long messages that were read wait while memory is short and their client has not read its responses.
const MAX_HELD_BACK_TIME: TimeDelta = TimeDelta::from_millis(300);
/// The error message for a client that is shed because the process's memory is nearly used up.
const MEMORY_NEEDED: &str = "the memory of this connection is needed";

impl ClientConnection {
    /// Whether the client has fewer queries in progress, and fewer responses in the outbox, than the maximum, and its
    /// queries in progress hold no more than its share of the memory.
    pub fn may_read_more(&self) -> bool {
        self.responses.len() < MAX_PIPELINED_QUERIES
            && self.socket.queued() < MAX_PIPELINED_QUERIES
            && self.responses.pending_bytes() < self.context.resources.max_client_bytes()
    }

    /// Whether the next message may be processed, if one was read. Once queries are no longer taken, those that were
    /// read are rejected at once, however many there are.
    ///
    /// While memory is short, a client has one query at a time, and none before it has read the response to the last one.
    pub fn may_handle_message(&self) -> bool {
        let must_wait = self.responses.len() >= MAX_PIPELINED_QUERIES || self.must_read_responses_first();
        !self.input_closed && (!must_wait || self.has_answer_time_passed())
    }

    /// Whether memory is short, and the client has a query in progress or a response that it has not read. Messages do not
    /// wait for long: then they are handled, and queries for which there is no memory are rejected.
    fn must_read_responses_first(&self) -> bool {
        let now = self.context.timers.now();
        let has_waited = self.held_back_since.is_some_and(|since| now - since >= MAX_HELD_BACK_TIME);
        !has_waited && self.context.resources.is_memory_short() && self.has_unread_responses()
    }

    /// Notes since when messages are held back, and wakes the connection when they must be handled.
    pub fn update_held_back(&mut self) {
        let is_held_back = self.codec.has_complete_message() && self.must_read_responses_first();
        if is_held_back && self.held_back_since.is_none() {
            let now = self.context.timers.now();
            self.held_back_since = Some(now);
            self.wake_at(now + MAX_HELD_BACK_TIME);
        }
    }

    /// Whether the client has a query in progress or a response that it has not read, as far as its TCP stack tells.
    fn has_unread_responses(&self) -> bool {
        !self.responses.is_empty() || self.socket.queued() > 0 || self.socket.unacknowledged_bytes() > 0
    }

    /// Whether the shutdown no longer leaves the time to answer a query.
    pub fn has_answer_time_passed(&self) -> bool {
        self.context.shutdown.has_answer_time_passed(self.context.timers.now())
    }

    /// The number of bytes that may be read now. Of a large message only its rest is read, for which memory is reserved.
    /// While a message that was read has not been handled, further ones stay
    /// in the socket, so that the buffer never holds more than one large message.
    ///
    /// Once the shutdown has closed the server, only the rest of a partial message is read. Each query that is read
    /// must be answered, so otherwise a client that keeps sending would keep the connection open. The client can
    /// retry an unread query on another instance.
    pub fn max_read_bytes(&self) -> usize {
        let may_read = !self.input_closed && self.may_read_more() && !self.codec.has_complete_message();
        if !may_read || self.has_answer_time_passed() {
            0
        } else if self.context.shutdown.is_closed() || self.large_message_bytes().is_some() {
            self.codec.missing_bytes()
        } else {
            CONNECTION_BUFFER_BYTES - self.codec.undecoded_bytes().min(CONNECTION_BUFFER_BYTES - 1)
        }
    }

    /// Whether the client has closed the connection while requests are pending.
    pub fn has_client_disconnected(&self) -> bool {
        self.responses.pending().next().is_some() && self.socket.is_closed_by_client()
    }

    /// Whether the client's next message, or the rest of one, has not arrived within [`CLIENT_TIMEOUT`]. Between two
    /// queries a client has no timeout.
    pub fn is_message_overdue(&mut self, now: Timestamp) -> bool {
        let between_queries = self.has_queried && self.codec.is_empty();
        if self.input_closed || !self.may_read_more() || between_queries {
            self.message_due_since = None;
            return false;
        }
        let is_overdue = self.is_overdue(self.message_due_since, now);
        self.message_due_since.get_or_insert(now);
        is_overdue
    }

    /// Whether the client has read none of its responses for [`CLIENT_TIMEOUT`].
    pub fn is_stalled(&mut self, flushed: FlushOutcome, now: Timestamp) -> bool {
        if flushed == FlushOutcome::Complete {
            self.stall = None;
            return false;
        }
        let acknowledged = self.socket.acknowledged_bytes();
        let check_before = self.stall.as_ref().map(StallDetector::check_at);
        let stall = self.stall.get_or_insert_with(|| StallDetector::start(acknowledged, now));
        let is_stalled = stall.is_stalled(acknowledged, now, CLIENT_TIMEOUT);
        let check_at = stall.check_at();
        if check_before != Some(check_at) {
            self.wake_at(check_at);
        }
        is_stalled
    }

    /// Whether [`CLIENT_TIMEOUT`] has passed since `since`. If `since` is `None`, the timeout starts now, and a
    /// wake-up is scheduled for its end.
    fn is_overdue(&self, since: Option<Timestamp>, now: Timestamp) -> bool {
        if since.is_none() {
            self.wake_at(now + CLIENT_TIMEOUT);
        }
        since.is_some_and(|since| now >= since + CLIENT_TIMEOUT)
    }

    /// Updates the charge for the connection's buffers, as far as they are larger than each connection's small buffers.
    pub fn update_charge(&mut self) {
        let bytes = self.codec.buffer_bytes() + self.other_buffer_bytes();
        self.charge.set(bytes.saturating_sub(CONNECTION_BUFFER_BYTES));
        self.channel.set_held_bytes(self.charge.bytes() + self.responses.pending_bytes());
    }

    /// Whether the client is shed: nothing more is read from it, and its queries are aborted. Returns whether it must be
    /// closed at once, because it does not read what it would be told.
    pub fn shed_if_requested(&mut self, flushed: FlushOutcome) -> bool {
        if self.input_closed || !self.channel.is_shedding_requested() {
            return false;
        }
        self.fail(SqlState::OUT_OF_MEMORY, MEMORY_NEEDED);
        self.codec.discard();
        flushed != FlushOutcome::Complete
    }

    /// The memory of the responses that wait to be written, in bytes.
    fn other_buffer_bytes(&self) -> usize {
        self.responses.ready_bytes() + self.socket.queued_bytes()
    }

    /// Whether the client does not read its responses, these are large, and memory is short.
    pub fn blocks_memory(&mut self, flushed: FlushOutcome) -> bool {
        self.update_charge();
        let held = self.charge.bytes() + self.responses.pending_bytes();
        let blocks = flushed == FlushOutcome::Blocked
            && !self.input_closed
            && self.context.resources.is_memory_short()
            && held > MAX_BLOCKED_BYTES;
        if blocks {
            log!(WARN, held = held, reason = "memory is short"; "client connection closed, the client does not read its responses");
        }
        blocks
    }

    /// The length of the partial message, if it does not fit into the connection's small buffer.
    fn large_message_bytes(&self) -> Option<usize> {
        self.codec.partial_message_bytes().filter(|bytes| *bytes > CONNECTION_BUFFER_BYTES)
    }

    /// Reserves the memory for the rest of a large message before it is read. If memory would become short, returns false;
    /// the message then waits in its socket, and is tried again later.
    pub fn reserve_large_message(&mut self) -> bool {
        let Some(bytes) = self.large_message_bytes() else { return true };
        if self.codec.buffer_bytes() >= bytes {
            return true;
        }
        let is_reserved = self.charge.try_set_for_message(bytes + self.other_buffer_bytes());
        if is_reserved {
            self.codec.reserve_message(bytes);
        } else {
            self.wake_at(self.context.timers.now() + RESERVATION_RETRY_DELAY);
        }
        self.awaits_memory = !is_reserved;
        is_reserved
    }

    /// Reserves the memory of a request whose statement takes `statement_bytes`; `None` if memory is short.
    pub fn reserve_request(&self, statement_bytes: usize) -> Option<BufferCharge> {
        let mut charge = self.context.resources.buffer_charge();
        let bytes = REQUEST_BYTES + statement_bytes;
        let is_first = !self.has_unread_responses();
        let is_reserved =
            if is_first { charge.try_set_for_first_request(bytes) } else { charge.try_set(bytes) };
        is_reserved.then_some(charge)
    }
}
