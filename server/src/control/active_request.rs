//! What the control loop keeps of an open request.

use crate::messages::control::SendPreconditions;
use crate::messages::journal_entry::JournalEntry;
use crate::messages::request::RequestText;
use crate::messages::response::{Response, ResponseTicket};
use crate::runtime::cancellation::CancellationToken;
use crate::runtime::metrics::{Metrics, ResponseKind};
use routing::time::Timestamp;
use routing::{EndpointIndex, MethodIndex};
use sessions::positions::{GroupNumber, LogPosition};
use std::sync::Arc;
use write_journal::record_state::{Deduplication, RecordEvent};

/// The attempt that was started last.
pub struct StartedAttempt {
    /// Its number, from 0.
    pub number: u32,
    /// Cancels it.
    pub cancellation: Arc<CancellationToken>,
}

/// Where an attempt is in flight.
pub struct Location {
    /// The endpoint.
    pub endpoint: EndpointIndex,
    /// Since when.
    pub since: Timestamp,
}

/// An open request.
pub struct ActiveRequest {
    pub id: Arc<str>,
    pub method: MethodIndex,
    pub group: GroupNumber,
    /// If it is a write, the session that it is made for.
    pub write_session: Option<u64>,
    /// What its session has seen. A read must show that much.
    pub seen: Option<LogPosition>,
    pub is_read: bool,
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
    pub received_at: Timestamp,
    /// The control loop answers it then, if nobody else has.
    pub abort_at: Timestamp,
    /// None once it was answered, or its client is gone.
    pub ticket: Option<ResponseTicket>,
    pub text: Arc<RequestText>,
    pub attempt: Option<StartedAttempt>,
    pub in_flight: Option<Location>,
}

impl ActiveRequest {
    /// Its client is gone; false if it was answered already.
    pub fn discard(&mut self, metrics: &Metrics, now: Timestamp) -> bool {
        let Some(ticket) = self.ticket.take() else { return false };
        metrics.request_answered(self.method, ResponseKind::ClientGone, now - self.received_at);
        ticket.discard();
        true
    }

    /// Answers it, unless that was done already.
    pub fn answer(&mut self, metrics: &Metrics, now: Timestamp, response: Response) {
        if let Some(ticket) = self.ticket.take() {
            metrics.request_answered(self.method, response_kind(&response), now - self.received_at);
            ticket.answer(response);
        }
    }

    /// What must be done before an attempt is sent.
    pub fn send_preconditions(&self) -> SendPreconditions {
        SendPreconditions { journal_entry: self.journal_entry(), needs_epoch: self.needs_epoch() }
    }

    /// What must be recorded before an attempt is sent.
    fn journal_entry(&self) -> Option<JournalEntry> {
        if !self.is_journaled {
            return None;
        }
        // A duplicate of another request asks each time whether it may still be sent.
        let event =
            if self.recorded && !self.is_duplicate { RecordEvent::Retrying } else { RecordEvent::Starting };
        Some(JournalEntry { id: self.id.clone(), event, deduplication: self.deduplication })
    }

    /// A write of a session that has seen an epoch: it must go to a log that has what the session saw.
    fn needs_epoch(&self) -> bool {
        !self.is_read && self.seen.is_some_and(|seen| seen.epoch > 0)
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
