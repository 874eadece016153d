//! The state that the control loop keeps for one request until the request is answered and its attempt has ended.

use crate::messages::control::OutgoingRequest;
use crate::messages::journal_entry::JournalEntry;
use crate::messages::request::{RequestIdentity, RequestSession, RequestText};
use crate::messages::response::{Response, ResponseTicket};
use crate::runtime::cancellation::CancellationToken;
use crate::runtime::invariants::{record_violation, Invariant};
use crate::runtime::metrics::{Metrics, ResponseKind};
use routing::time::{TimeDelta, Timestamp};
use routing::EndpointIndex;
use std::sync::Arc;
use write_journal::record_state::{Deduplication, RecordEvent};

/// Where and since when an attempt is in flight.
pub struct AttemptLocation {
    /// The endpoint that executes the attempt.
    pub endpoint: EndpointIndex,
    /// When the routing policy requested the attempt.
    pub started_at: Timestamp,
}

/// A request's latest attempt.
pub struct StartedAttempt {
    /// The number of the attempt within its request, from 0.
    pub number: u32,
    /// Cancels the attempt when the routing policy asks for it.
    pub cancellation: Arc<CancellationToken>,
    /// Where the attempt is in flight; `None` once the attempt has ended.
    pub in_flight: Option<AttemptLocation>,
}

impl StartedAttempt {
    /// Creates the state of an attempt that is in flight at `endpoint` since `started_at`.
    pub fn new(number: u32, endpoint: EndpointIndex, started_at: Timestamp) -> StartedAttempt {
        StartedAttempt {
            number,
            cancellation: Arc::default(),
            in_flight: Some(AttemptLocation { endpoint, started_at }),
        }
    }
}

/// What is known of a request's execution, and whether the write journal has recorded the request.
#[derive(Default)]
pub struct ExecutionState {
    /// The request must not be executed twice, unless endpoints drop duplicates of it.
    pub must_run_once: bool,
    /// The attempts of the request are recorded in the write journal: a journal is configured, and the request is
    /// not idempotent.
    pub is_journaled: bool,
    /// The scope and window in which endpoints drop duplicates of the request; `None` without an idempotency key.
    pub deduplication: Option<Deduplication>,
    /// The journal has recorded an attempt of the request.
    pub is_recorded: bool,
    /// The request is a duplicate of a recorded request that may have been executed. It is sent only within the
    /// deduplication window, in which endpoints drop duplicates.
    pub is_duplicate: bool,
    /// An attempt of the request was executed, or may have been executed.
    pub may_have_run: bool,
}

impl ExecutionState {
    /// The entry to record before an attempt of the request `id` is sent; `None` if the request is not journaled.
    fn journal_entry(&self, id: &Arc<str>) -> Option<JournalEntry> {
        if !self.is_journaled {
            return None;
        }
        // Each attempt of a duplicate is recorded as `FirstAttempt`, so that the journal checks whether the
        // deduplication window is still open.
        let event = if self.is_recorded && !self.is_duplicate {
            RecordEvent::RetryAttempt
        } else {
            RecordEvent::FirstAttempt
        };
        Some(JournalEntry { id: id.clone(), event, deduplication: self.deduplication })
    }
}

/// The response that a client waits for.
pub struct PendingResponse {
    /// Sends the response; `None` once the request was answered or the client has disconnected.
    pub ticket: Option<ResponseTicket>,
    /// When the control loop received the request.
    pub received_at: Timestamp,
    /// When the control loop aborts the request if it has not been answered by then.
    pub abort_at: Timestamp,
}

/// A request that has not been answered yet, or that has an attempt in flight.
pub struct ActiveRequest {
    /// The id, method and group of the request.
    pub identity: RequestIdentity,
    /// The request's method only reads.
    pub is_read: bool,
    /// What the client has specified about its session.
    pub session: RequestSession,
    /// What is known of the request's execution.
    pub execution: ExecutionState,
    /// The response that the client waits for.
    pub response: PendingResponse,
    /// The statement that is sent to endpoints.
    pub text: Arc<RequestText>,
    /// The latest attempt; `None` before the first one.
    pub attempt: Option<StartedAttempt>,
}

/// How long after its time a request may be answered. Its client has then lost interest in the answer, but not yet
/// counted the request as lost.
const MAX_LATE_ANSWER: TimeDelta = TimeDelta::from_millis(500);

impl ActiveRequest {
    /// Discards the response because the client has disconnected. Returns false if there is nothing to discard: the
    /// request was answered or discarded before.
    pub fn discard(&mut self, metrics: &Metrics, now: Timestamp) -> bool {
        let Some(ticket) = self.response.ticket.take() else { return false };
        self.count_response(metrics, now, ResponseKind::ClientGone);
        ticket.discard();
        true
    }

    /// Answers the request. Has no effect if the request was answered or discarded before.
    pub fn answer(&mut self, metrics: &Metrics, now: Timestamp, response: Response) {
        if let Some(ticket) = self.response.ticket.take() {
            if now > self.response.abort_at + MAX_LATE_ANSWER {
                record_violation(Invariant::AnswerInTime, 1);
            }
            self.count_response(metrics, now, response_kind(&response));
            ticket.answer(response);
        }
    }

    /// Counts the response in the metrics, with the time since the request was received.
    fn count_response(&self, metrics: &Metrics, now: Timestamp, kind: ResponseKind) {
        metrics.request_answered(self.identity.method, kind, now - self.response.received_at);
    }

    /// The number of the session, if the request is a write and belongs to a session.
    pub fn write_session(&self) -> Option<u64> {
        self.session.number.filter(|_| !self.is_read)
    }

    /// Records that the latest attempt has ended.
    pub fn end_attempt(&mut self) {
        if let Some(attempt) = &mut self.attempt {
            attempt.in_flight = None;
        }
    }

    /// Where the latest attempt is in flight; `None` if the attempt has ended or none was started.
    pub fn in_flight(&self) -> Option<&AttemptLocation> {
        self.attempt.as_ref()?.in_flight.as_ref()
    }

    /// The text that an attempt sends, and what the attempt must do before sending it.
    pub fn outgoing_request(&self) -> OutgoingRequest {
        OutgoingRequest {
            text: self.text.clone(),
            journal_entry: self.execution.journal_entry(&self.identity.id),
            needs_epoch: self.needs_epoch(),
        }
    }

    /// Whether the endpoint's epoch must be known before an attempt is sent. This is true for a write of a session that
    /// has seen an epoch, because the write must be appended to a log that contains the position that the session has
    /// seen.
    fn needs_epoch(&self) -> bool {
        !self.is_read && self.session.seen_position.is_some_and(|seen| seen.epoch > 0)
    }
}

/// The kind under which the metrics count a response.
fn response_kind(response: &Response) -> ResponseKind {
    match response {
        Response::Value { .. } | Response::Fate(_) => ResponseKind::Value,
        Response::Rejected { .. } => ResponseKind::Rejected,
        Response::Aborted => ResponseKind::Aborted,
        Response::SessionLost { .. } | Response::Error(_) => ResponseKind::Error,
    }
}
