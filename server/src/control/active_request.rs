//! The control loop's state of one open request.

use crate::messages::control::OutgoingRequest;
use crate::messages::journal_entry::JournalEntry;
use crate::messages::request::{RequestIdentity, RequestSession, RequestText};
use crate::messages::response::{Response, ResponseTicket};
use crate::runtime::cancellation::CancellationToken;
use crate::runtime::metrics::{Metrics, ResponseKind};
use routing::time::Timestamp;
use routing::EndpointIndex;
use std::sync::Arc;
use write_journal::record_state::{Deduplication, RecordEvent};

/// The endpoint at which an attempt is in flight.
pub struct AttemptLocation {
    /// The endpoint.
    pub endpoint: EndpointIndex,
    /// When the attempt was started.
    pub started_at: Timestamp,
}

/// A request's latest attempt.
pub struct StartedAttempt {
    /// The number of the attempt within its request, from 0.
    pub number: u32,
    /// Cancels the attempt.
    pub cancellation: Arc<CancellationToken>,
    /// Where the attempt is in flight; `None` once it has ended.
    pub in_flight: Option<AttemptLocation>,
}

/// Whether a request may have been executed, and whether the write journal has recorded it.
#[derive(Default)]
pub struct ExecutionState {
    /// The request is not idempotent, so its attempts are recorded in the write journal.
    pub is_journaled: bool,
    /// The scope and window of its deduplication, if the request has an idempotency key.
    pub deduplication: Option<Deduplication>,
    /// The journal has recorded the request.
    pub recorded: bool,
    /// The request is a duplicate of a recorded one that may have been executed. It is sent only within the
    /// deduplication window, in which endpoints drop duplicates.
    pub is_duplicate: bool,
    /// An attempt has been executed, or may have been.
    pub may_have_run: bool,
}

impl ExecutionState {
    /// The entry to record before an attempt of the request `id` is sent; `None` if the request is not journaled.
    fn journal_entry(&self, id: &Arc<str>) -> Option<JournalEntry> {
        if !self.is_journaled {
            return None;
        }
        // The journal checks before each attempt of a duplicate whether it may still be sent.
        let event = if self.recorded && !self.is_duplicate {
            RecordEvent::RetryAttempt
        } else {
            RecordEvent::FirstAttempt
        };
        Some(JournalEntry { id: id.clone(), event, deduplication: self.deduplication })
    }
}

/// The response to a request, until it is sent.
pub struct PendingResponse {
    /// `None` once the request was answered or its client has disconnected.
    pub ticket: Option<ResponseTicket>,
    /// When the control loop received the request.
    pub received_at: Timestamp,
    /// When the control loop aborts the request, if it was not answered before.
    pub abort_at: Timestamp,
}

/// A request that was not answered yet, or that has an attempt in flight.
pub struct ActiveRequest {
    /// The id, method and group.
    pub identity: RequestIdentity,
    /// The request's method does not write.
    pub is_read: bool,
    /// The client's session.
    pub session: RequestSession,
    /// Whether the request may have been executed.
    pub execution: ExecutionState,
    /// The response that the client waits for.
    pub response: PendingResponse,
    /// The statement that is sent to endpoints.
    pub text: Arc<RequestText>,
    /// The latest attempt, if one was started.
    pub attempt: Option<StartedAttempt>,
}

impl ActiveRequest {
    /// Discards the response, because the client has disconnected; returns false if the request was answered before.
    pub fn discard(&mut self, metrics: &Metrics, now: Timestamp) -> bool {
        let Some(ticket) = self.response.ticket.take() else { return false };
        self.count_response(metrics, now, ResponseKind::ClientGone);
        ticket.discard();
        true
    }

    /// Answers the request. Has no effect if it was answered or discarded before.
    pub fn answer(&mut self, metrics: &Metrics, now: Timestamp, response: Response) {
        if let Some(ticket) = self.response.ticket.take() {
            self.count_response(metrics, now, response_kind(&response));
            ticket.answer(response);
        }
    }

    /// Counts the response, with the time since the request was received.
    fn count_response(&self, metrics: &Metrics, now: Timestamp, kind: ResponseKind) {
        metrics.request_answered(self.identity.method, kind, now - self.response.received_at);
    }

    /// The number of the session, if the request is a write and has one.
    pub fn write_session(&self) -> Option<u64> {
        self.session.number.filter(|_| !self.is_read)
    }

    /// Records that the latest attempt has ended.
    pub fn end_attempt(&mut self) {
        if let Some(attempt) = &mut self.attempt {
            attempt.in_flight = None;
        }
    }

    /// Where the latest attempt is, if it is in flight.
    pub fn in_flight(&self) -> Option<&AttemptLocation> {
        self.attempt.as_ref()?.in_flight.as_ref()
    }

    /// The text that an attempt sends, and the steps before it is sent.
    pub fn outgoing_request(&self) -> OutgoingRequest {
        OutgoingRequest {
            text: self.text.clone(),
            journal_entry: self.execution.journal_entry(&self.identity.id),
            needs_epoch: self.needs_epoch(),
        }
    }

    /// Whether the endpoint's epoch must be known before an attempt is sent: for a write of a session that has seen
    /// an epoch, because the write must be appended to a log that contains the session's position.
    fn needs_epoch(&self) -> bool {
        !self.is_read && self.session.seen_position.is_some_and(|seen| seen.epoch > 0)
    }
}

/// The kind under which a response is counted.
fn response_kind(response: &Response) -> ResponseKind {
    match response {
        Response::Value { .. } | Response::Fate(_) => ResponseKind::Value,
        Response::Rejected { .. } => ResponseKind::Rejected,
        Response::Aborted => ResponseKind::Aborted,
        Response::SessionLost { .. } | Response::Error(_) => ResponseKind::Error,
    }
}
