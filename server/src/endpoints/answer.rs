//! The answer to what was sent to an endpoint, read to its end.

use crate::endpoints::connection::{IoLimits, IoStop, PeerConnection};
use crate::endpoints::response_parser::ResponseParser;
use crate::messages::control::AnswerReports;
use routing::{AttemptOutcome, Role};

/// What came of an attempt, and the connection if it can be used again.
pub struct Answer {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The messages of the value.
    pub value: Vec<u8>,
    /// What it said of the endpoint.
    pub reports: AnswerReports,
    /// The connection.
    pub connection: Option<PeerConnection>,
}

impl Answer {
    /// Of an attempt that got none.
    pub fn without_value(outcome: AttemptOutcome) -> Answer {
        Answer { outcome, value: Vec::new(), reports: AnswerReports::default(), connection: None }
    }
}

/// Reads the answer to what was sent. Only an answer that was read to its end, with nothing behind it, gives the connection
/// back: late bytes would reach another request.
pub fn read_answer(mut connection: PeerConnection, limits: IoLimits) -> Answer {
    let mut parser = ResponseParser::default();
    let outcome = loop {
        if let Some(outcome) = parser.parse(&connection.buffer) {
            break outcome;
        }
        if let Err(stop) = connection.read(limits) {
            break parser.outcome(cut_off_by(stop));
        }
    };
    let is_free = parser.frees_connection(&connection.buffer);
    let buffer = connection.take_buffer();
    let value = if outcome == AttemptOutcome::Succeeded { parser.value(buffer) } else { Vec::new() };
    let reports = parser.reports();
    let is_primary = reports.answer.role == Some(Role::Primary);
    connection.epoch_confirmed |= is_primary && reports.epoch.is_some();
    Answer { outcome, value, reports, connection: is_free.then_some(connection) }
}

/// The request was sent, so it may have run.
fn cut_off_by(stop: IoStop) -> AttemptOutcome {
    match stop {
        IoStop::ConnectionLost => AttemptOutcome::ConnectionLost,
        IoStop::TimedOut => AttemptOutcome::TimedOut,
        IoStop::Cancelled => AttemptOutcome::Cancelled,
    }
}
