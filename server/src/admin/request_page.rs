//! The page `rpcs`: open requests, the oldest first, those that wait for admission before the others.

use crate::admin::table::{format_delta, Table, EMPTY_CELL};
use crate::admin::view::{AdminView, PageError};
use crate::messages::snapshot::{RequestSnapshot, MAX_REQUESTS};
use routing::time::Timestamp;

const COLUMNS: [&str; 6] = ["id", "method", "group", "age", "call-outs", "where"];

impl AdminView {
    /// The page.
    ///
    /// # Errors
    /// The control loop gives no snapshot.
    pub fn request_page(&self) -> Result<String, PageError> {
        let snapshot = self.snapshot()?;
        let mut table = Table::new(&COLUMNS);
        let waiting = snapshot.queue.iter().flat_map(|queue| &queue.waiting);
        for (id, received_at) in waiting.clone().take(MAX_REQUESTS) {
            table.push(waiting_cells(id, *received_at, snapshot.now));
        }
        for request in &snapshot.requests {
            table.push(self.request_cells(request, snapshot.now));
        }
        let (open, waiting) = (snapshot.open_requests, waiting.count());
        Ok(format!("{open} open, {waiting} wait their turn\n\n{table}"))
    }

    fn request_cells(&self, request: &RequestSnapshot, now: Timestamp) -> [String; COLUMNS.len()] {
        [
            request.identity.id.to_string(),
            self.methods.get(request.identity.method).cloned().unwrap_or_default(),
            request.identity.group.to_string(),
            format_delta(now - request.received_at),
            request.attempts.to_string(),
            whereabouts(request, now),
        ]
    }
}

fn waiting_cells(id: &str, received_at: Timestamp, now: Timestamp) -> [String; COLUMNS.len()] {
    let age = format_delta(now - received_at);
    [id, EMPTY_CELL, EMPTY_CELL, &age, "0", "waits its turn"].map(String::from)
}

fn whereabouts(request: &RequestSnapshot, now: Timestamp) -> String {
    let place = match &request.in_flight {
        Some(attempt) => format!("at {} for {}", attempt.endpoint, format_delta(now - attempt.since)),
        None => "held".to_string(),
    };
    if request.closed {
        format!("answered, still {place}")
    } else {
        place
    }
}
