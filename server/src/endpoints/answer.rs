//! Reads an endpoint's answer to one query.

use crate::endpoints::connection::{IoError, IoLimits, PeerConnection};
use crate::endpoints::response_parser::ResponseParser;
use crate::messages::control::AnswerMetadata;
use crate::runtime::resource_limits::BufferCharge;
use routing::{AttemptOutcome, Role};

/// The answer to one query, and the connection on which it was received.
pub struct Answer {
    /// How the query ended.
    pub outcome: AttemptOutcome,
    /// The encoded messages of the value; empty unless the attempt succeeded.
    pub value: Vec<u8>,
    /// The memory of the value beyond what its request has reserved; `None` without an answer.
    pub charge: Option<BufferCharge>,
    /// What the answer reports about the endpoint.
    pub metadata: AnswerMetadata,
    /// The connection; `None` if it cannot be reused.
    pub connection: Option<PeerConnection>,
}

impl Answer {
    /// Creates the result of a query to which no answer was received.
    pub fn not_received(outcome: AttemptOutcome) -> Answer {
        Answer {
            outcome,
            value: Vec::new(),
            charge: None,
            metadata: AnswerMetadata::default(),
            connection: None,
        }
    }
}

/// Reads the answer to the query that was sent on a connection.
///
/// The connection is returned only if the answer is complete and no bytes follow it, because bytes that follow would
/// be taken for the answer to the next query.
pub fn read_answer(mut connection: PeerConnection, limits: IoLimits) -> Answer {
    let mut parser = ResponseParser::default();
    let outcome = loop {
        if let Some(outcome) = parser.parse(&connection.buffer) {
            break outcome;
        }
        connection.expect_bytes(parser.expected_bytes(&connection.buffer));
        if let Err(error) = connection.read(limits) {
            break parser.outcome(incomplete_outcome(error));
        }
    };
    let is_reusable = parser.leaves_connection_reusable(&connection.buffer);
    let (buffer, charge) = connection.take_buffer();
    let value = if outcome == AttemptOutcome::Succeeded { parser.value(buffer) } else { Vec::new() };
    let metadata = parser.metadata();
    if metadata.answer_report.role == Some(Role::Primary) {
        connection.primary_epoch = metadata.epoch.or(connection.primary_epoch);
    }
    Answer { outcome, value, charge: Some(charge), metadata, connection: is_reusable.then_some(connection) }
}

/// The outcome of an attempt whose answer is incomplete. The request was sent, so it may have been executed.
fn incomplete_outcome(error: IoError) -> AttemptOutcome {
    match error {
        IoError::ConnectionLost => AttemptOutcome::ConnectionLost,
        IoError::TimedOut => AttemptOutcome::TimedOut,
        IoError::Cancelled => AttemptOutcome::Cancelled,
    }
}
