//! The limits of a client connection: pipelined queries, timeouts and buffer memory.

use crate::clients::connection::{ClientConnection, CLIENT_TIMEOUT};
use crate::clients::socket::FlushOutcome;
use crate::clients::stall::StallDetector;
use crate::endpoints::connection::SMALL_BUFFER_BYTES;
use crate::log;
use routing::time::Timestamp;

/// The maximum number of one client's queries in progress. Further queries stay in the socket's receive buffer.
const MAX_PIPELINED_QUERIES: usize = 64;

impl ClientConnection {
    /// Whether the client has fewer queries in progress, and fewer responses in the outbox, than the maximum, and its
    /// queries in progress hold no more than its share of the memory.
    fn may_read_more(&self) -> bool {
        self.responses.len() < MAX_PIPELINED_QUERIES
            && self.socket.queued() < MAX_PIPELINED_QUERIES
            && self.responses.pending_bytes() < self.context.resources.max_client_bytes()
    }

    /// Whether the next message may be processed, if one was read. Once queries are no longer taken, those that were
    /// read are rejected at once, however many there are.
    pub fn may_handle_message(&self) -> bool {
        let may_wait = self.responses.len() >= MAX_PIPELINED_QUERIES && !self.has_answer_time_passed();
        !self.input_closed && !may_wait
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
        } else if self.context.shutdown.is_closed() || self.codec.buffer_bytes() > SMALL_BUFFER_BYTES {
            self.codec.missing_bytes()
        } else {
            usize::MAX
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

    /// The memory of the connection's buffers, of its pending requests and of its responses, in bytes.
    fn held_bytes(&self) -> usize {
        self.charge.bytes() + self.responses.pending_bytes()
    }

    /// Updates the charge for the connection's buffers.
    pub fn update_charge(&mut self) {
        let bytes = self.codec.buffer_bytes() + self.responses.ready_bytes() + self.socket.queued_bytes();
        self.charge.set(bytes);
    }

    /// Whether buffer memory is short and the connection, with further `bytes`, holds more than
    /// [`SMALL_BUFFER_BYTES`]. A connection may hold that much in any case, so that short memory is at the expense of
    /// those that hold much of it.
    pub fn exceeds_memory(&self, bytes: usize) -> bool {
        self.context.resources.is_memory_short() && self.held_bytes() + bytes > SMALL_BUFFER_BYTES
    }

    /// Whether the client does not read its responses, these are large, and buffer memory is short.
    pub fn blocks_memory(&mut self, flushed: FlushOutcome) -> bool {
        self.update_charge();
        let blocks = flushed == FlushOutcome::Blocked && !self.input_closed && self.exceeds_memory(0);
        if blocks {
            log!(WARN, reason = "buffer memory is used up"; "client connection closed, the client does not read its responses");
        }
        blocks
    }

    /// Charges and reserves the memory for the rest of a large message before it is read. Returns false if memory would
    /// become short.
    pub fn reserve_large_message(&mut self) -> bool {
        let Some(bytes) = self.codec.partial_message_bytes().filter(|bytes| *bytes > SMALL_BUFFER_BYTES)
        else {
            return true;
        };
        if self.codec.buffer_bytes() >= bytes {
            return true;
        }
        self.update_charge();
        let other_bytes = self.charge.bytes() - self.codec.buffer_bytes();
        let is_charged = self.charge.try_set(other_bytes + bytes);
        if is_charged {
            self.codec.reserve_message(bytes);
        }
        is_charged
    }
}
