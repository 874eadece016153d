//! What the control loop keeps of an open request.

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

/// Where an attempt is in flight.
pub struct Location {
    /// The endpoint.
    pub endpoint: EndpointIndex,
    /// Since when.
    pub since: Timestamp,
}

/// The attempt that was started last.
pub struct StartedAttempt {
    /// Its number, from 0.
    pub number: u32,
    /// Cancels it.
    pub cancellation: Arc<CancellationToken>,
    /// Where it is; none once it has ended.
    pub in_flight: Option<Location>,
}

/// Whether a request may have run, and what the journal knows of that.
#[derive(Default)]
pub struct ExecutionState {
    /// It must not run twice, so it is recorded.
    pub is_journaled: bool,
    /// Its idempotency key, if it has one.
    pub deduplication: Option<Deduplication>,
    /// It was recorded.
    pub recorded: bool,
    /// It is the duplicate of a recorded one, which may have run: it is sent for as long as duplicates are dropped.
    pub is_duplicate: bool,
    /// An attempt of it may have run, or has.
    pub may_have_run: bool,
}

impl ExecutionState {
    /// What must be recorded before an attempt of the request with this id is sent.
    fn journal_entry(&self, id: &Arc<str>) -> Option<JournalEntry> {
        if !self.is_journaled {
            return None;
        }
        // A duplicate of another request asks each time whether it may still be sent.
        let event =
            if self.recorded && !self.is_duplicate { RecordEvent::Retrying } else { RecordEvent::Starting };
        Some(JournalEntry { id: id.clone(), event, deduplication: self.deduplication })
    }
}

/// The response that a request is owed.
pub struct PendingResponse {
    /// None once it was answered, or its client is gone.
    pub ticket: Option<ResponseTicket>,
    pub received_at: Timestamp,
    /// The control loop answers it then, if nobody else has.
    pub abort_at: Timestamp,
}

/// An open request.
pub struct ActiveRequest {
    pub identity: RequestIdentity,
    pub is_read: bool,
    pub session: RequestSession,
    pub execution: ExecutionState,
    pub response: PendingResponse,
    pub text: Arc<RequestText>,
    pub attempt: Option<StartedAttempt>,
}

impl ActiveRequest {
    /// Its client is gone; false if it was answered already.
    pub fn discard(&mut self, metrics: &Metrics, now: Timestamp) -> bool {
        let Some(ticket) = self.response.ticket.take() else { return false };
        self.count_response(metrics, now, ResponseKind::ClientGone);
        ticket.discard();
        true
    }

    /// Answers it, unless that was done already.
    pub fn answer(&mut self, metrics: &Metrics, now: Timestamp, response: Response) {
        if let Some(ticket) = self.response.ticket.take() {
            self.count_response(metrics, now, response_kind(&response));
            ticket.answer(response);
        }
    }

    fn count_response(&self, metrics: &Metrics, now: Timestamp, kind: ResponseKind) {
        metrics.request_answered(self.identity.method, kind, now - self.response.received_at);
    }

    /// If it is a write, the session that it is made for.
    pub fn write_session(&self) -> Option<u64> {
        self.session.number.filter(|_| !self.is_read)
    }

    /// No attempt of it is in flight any more.
    pub fn leave_endpoint(&mut self) {
        if let Some(attempt) = &mut self.attempt {
            attempt.in_flight = None;
        }
    }

    /// Where its attempt is, if one is in flight.
    pub fn in_flight(&self) -> Option<&Location> {
        self.attempt.as_ref()?.in_flight.as_ref()
    }

    /// What an attempt of it sends, and what must be done before.
    pub fn outgoing_request(&self) -> OutgoingRequest {
        OutgoingRequest {
            text: self.text.clone(),
            journal_entry: self.execution.journal_entry(&self.identity.id),
            needs_epoch: self.needs_epoch(),
        }
    }

    /// A write of a session that has seen an epoch: it must go to a log that has what the session saw.
    fn needs_epoch(&self) -> bool {
        !self.is_read && self.session.seen.is_some_and(|seen| seen.epoch > 0)
    }
}

fn response_kind(response: &Response) -> ResponseKind {
    match response {
        Response::Value { .. } | Response::Fate(_) => ResponseKind::Value,
        Response::Rejected { .. } => ResponseKind::Rejected,
        Response::Aborted => ResponseKind::Aborted,
        Response::SessionLost { .. } | Response::Error(_) => ResponseKind::Error,
    }
}
