//! The page `requests` (`rpcs` in earlier terms): the requests in the request queue, then the other open requests,
//! oldest first.

use crate::admin::table::{format_delta, Table, EMPTY_CELL};
use crate::admin::view::{AdminView, PageError};
use crate::messages::snapshot::{RequestSnapshot, WaitingRequest, MAX_REQUESTS};
use crate::runtime::terms::{Term, Vocabulary};
use routing::time::Timestamp;

const COLUMNS: [Term; 6] = [
    Term::same("id"),
    Term::same("method"),
    Term::same("group"),
    Term::same("age"),
    Term::new("call-outs", "attempts"),
    Term::new("where", "state"),
];
const QUEUED_COUNT: Term = Term::new("wait their turn", "queued");
const QUEUED: Term = Term::new("waits its turn", "queued");
const IN_FLIGHT: Term = Term::new("at", "in flight at");
const NO_ATTEMPT: Term = Term::new("held", "waiting for an endpoint");

impl AdminView {
    /// Renders the page `requests`.
    ///
    /// # Errors
    /// The control loop has not sent a snapshot.
    pub fn request_page(&self, vocabulary: Vocabulary) -> Result<String, PageError> {
        let snapshot = self.snapshot()?;
        let mut table = Table::new(&COLUMNS, vocabulary);
        let waiting = snapshot.queue.iter().flat_map(|queue| &queue.waiting);
        for request in waiting.clone().take(MAX_REQUESTS) {
            table.push(waiting_cells(request, snapshot.now, vocabulary));
        }
        for request in &snapshot.requests {
            table.push(self.request_cells(request, snapshot.now, vocabulary));
        }
        let (open, waiting) = (snapshot.open_requests, waiting.count());
        Ok(format!("{open} open, {waiting} {}\n\n{table}", QUEUED_COUNT.text(vocabulary)))
    }

    fn request_cells(
        &self,
        request: &RequestSnapshot,
        now: Timestamp,
        vocabulary: Vocabulary,
    ) -> [String; COLUMNS.len()] {
        [
            request.identity.id.to_string(),
            self.methods.get(request.identity.method).cloned().unwrap_or_default(),
            request.identity.group.to_string(),
            format_delta(now - request.received_at),
            request.attempts.to_string(),
            request_state(request, now, vocabulary),
        ]
    }
}

fn waiting_cells(
    request: &WaitingRequest,
    now: Timestamp,
    vocabulary: Vocabulary,
) -> [String; COLUMNS.len()] {
    let age = format_delta(now - request.received_at);
    [&*request.id, EMPTY_CELL, EMPTY_CELL, &age, "0", QUEUED.text(vocabulary)].map(String::from)
}

fn request_state(request: &RequestSnapshot, now: Timestamp, vocabulary: Vocabulary) -> String {
    let state = match &request.in_flight {
        Some(attempt) => {
            let time = format_delta(now - attempt.started_at);
            format!("{} {} for {time}", IN_FLIGHT.text(vocabulary), attempt.endpoint)
        }
        None => NO_ATTEMPT.text(vocabulary).to_string(),
    };
    if request.is_closed {
        format!("answered, still {state}")
    } else {
        state
    }
}
