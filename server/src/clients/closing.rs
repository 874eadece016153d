//! The end of a client connection. Every end passes through [`ClientConnection::end`], which checks that no request is
//! lost with it.

use crate::clients::close_reason::CloseReason;
use crate::clients::connection::{ClientConnection, CLIENT_TIMEOUT};
use crate::runtime::idle_clients::IdleRank;
use crate::runtime::invariants::{record_violation, Invariant};
use routing::time::{TimeDelta, Timestamp};

/// The counter of ended client connections, by reason.
const CLOSED_COUNTER: &str = "gingerwick_client_connections_closed_total";
/// How long the server waits for a client to read its last responses and close its side.
const CLOSE_TIMEOUT: TimeDelta = TimeDelta::from_millis(500);
/// [`CLOSE_TIMEOUT`] is divided by this if the descriptor is needed for another client.
const RECLAIM_TIMEOUT_DIVISOR: i64 = 10;
/// The interval at which the kernel is asked whether the client has acknowledged the last bytes.
const ACKNOWLEDGEMENT_POLL_INTERVAL: TimeDelta = TimeDelta::from_millis(20);

/// The progress of the client's TCP acknowledgements.
struct AcknowledgementProgress {
    /// The lowest number of unacknowledged bytes so far.
    min_unacknowledged: usize,
    /// When `min_unacknowledged` last decreased.
    last_progress_at: Timestamp,
}

impl AcknowledgementProgress {
    /// Records the current number of unacknowledged bytes; returns true if it has not decreased for
    /// [`CLIENT_TIMEOUT`].
    fn has_stalled(&mut self, unacknowledged: usize, now: Timestamp) -> bool {
        if unacknowledged < self.min_unacknowledged {
            self.min_unacknowledged = unacknowledged;
            self.last_progress_at = now;
        }
        now >= self.last_progress_at + CLIENT_TIMEOUT
    }
}

impl ClientConnection {
    /// Ends the connection: counts and logs the reason, checks that a graceful close leaves no request without its
    /// answer, and closes the socket.
    pub fn end(&mut self, reason: CloseReason) {
        self.turns.stop(self.context.timers.now());
        let (unanswered, unwritten) = (self.responses.len(), self.socket.queued());
        tracing::debug!(reason = reason.label(), unanswered, unwritten, "client connection ends");
        metrics::counter!(CLOSED_COUNTER, "reason" => reason.label()).increment(1);
        if !reason.is_graceful() {
            return;
        }
        if unanswered + unwritten > 0 {
            record_violation(Invariant::AnswerBeforeClose, unanswered + unwritten);
        }
        self.close_gracefully();
    }

    /// Shuts down the sending side and waits for the client to close its own, without reading.
    ///
    /// A query that arrives during the close stays unread, so it is never executed. But closing a socket with
    /// unread bytes resets the connection, which discards response bytes that the client has not acknowledged. So
    /// if there are both unread and unacknowledged bytes, the wait goes on after the timeout, for as long as the
    /// client keeps acknowledging bytes.
    fn close_gracefully(&mut self) {
        if self.socket.shutdown_write().is_err() {
            return;
        }
        self.unregister_idle();
        let started_at = self.context.timers.now();
        let is_descriptor_needed = self.channel.take_close_request();
        let timeout =
            if is_descriptor_needed { CLOSE_TIMEOUT / RECLAIM_TIMEOUT_DIVISOR } else { CLOSE_TIMEOUT };
        self.register_idle(IdleRank::Closing, None);
        self.wake_at(started_at + timeout);
        let mut progress =
            AcknowledgementProgress { min_unacknowledged: usize::MAX, last_progress_at: started_at };
        while !self.socket.is_closed_by_client() {
            let now = self.context.timers.now();
            if now >= started_at + timeout || self.channel.is_close_requested() {
                if self.may_close(&mut progress, now) {
                    return;
                }
                self.wake_at(now + ACKNOWLEDGEMENT_POLL_INTERVAL);
            }
            self.socket.wait();
        }
    }

    /// Whether the socket can be closed: no response bytes would be lost, or the client has stopped acknowledging
    /// them.
    fn may_close(&self, progress: &mut AcknowledgementProgress, now: Timestamp) -> bool {
        let unacknowledged = self.socket.unacknowledged_bytes();
        let has_stalled = progress.has_stalled(unacknowledged, now);
        unacknowledged == 0 || !self.socket.has_unread() || has_stalled
    }
}
