//! Encoding of responses as messages of the wire protocol.

use crate::messages::response::Response;
use crate::protocol::encode::{self, Severity, SESSION_PARAMETER};
use crate::protocol::sqlstate::SqlState;
use crate::runtime::clock::NANOS_PER_MILLI;
use routing::time::TimeDelta;
use write_journal::record_state::Fate;

/// The name of the column in the response to a fate query.
const FATE_COLUMN: &str = "fate";

/// Encodes a response and its ReadyForQuery, with the session's token if it has changed.
pub fn encode_response(response: Response, token: Option<&str>) -> Vec<u8> {
    let mut out = Vec::new();
    match response {
        Response::Value { messages, .. } => out = messages,
        Response::Fate(fate) => encode_fate(&mut out, fate),
        Response::SessionLost { .. } => {
            let reason =
                "what this session saw of the group is lost, by a switch of its primary; it did not run";
            error(&mut out, SqlState::SESSION_LOST, reason, None);
        }
        Response::Rejected { retry_after } => {
            let reason = "pushed back: it did not run, or may run again";
            error(&mut out, SqlState::TOO_MANY_CONNECTIONS, reason, millis(retry_after).as_deref());
        }
        Response::Aborted => {
            error(&mut out, SqlState::SYSTEM_ERROR, "aborted: it may have run", None);
        }
        Response::Error(client_error) => error(&mut out, client_error.code, client_error.message, None),
    }
    if let Some(token) = token {
        encode::parameter_status(&mut out, SESSION_PARAMETER, token);
    }
    encode::ready_for_query(&mut out);
    out
}

/// Appends an ErrorResponse that leaves the connection open.
fn error(out: &mut Vec<u8>, code: SqlState, reason: &str, detail: Option<&str>) {
    encode::error_response(out, Severity::Error, code, reason, detail);
}

/// Appends the response to a fate query: a row, or an error if the fate is unknown.
fn encode_fate(out: &mut Vec<u8>, fate: Fate) {
    match fate {
        Fate::Executed(None) => encode::text_row(out, FATE_COLUMN, "ran"),
        Fate::Executed(Some(commit_ms)) => {
            encode::text_row(out, FATE_COLUMN, &format!("ran {commit_ms}"));
        }
        Fate::NeverExecuted => encode::text_row(out, FATE_COLUMN, "never"),
        Fate::InFlight => encode::text_row(out, FATE_COLUMN, "under way"),
        Fate::Unknown => {
            let reason = "what became of it is not known here: it may have run";
            error(out, SqlState::STATEMENT_COMPLETION_UNKNOWN, reason, None);
        }
    }
}

/// A Retry-After in whole milliseconds, as the detail of an error carries it.
fn millis(retry_after: Option<TimeDelta>) -> Option<String> {
    retry_after.map(|wait| (wait.0 / NANOS_PER_MILLI).max(0).to_string())
}

/// Appends the ErrorResponse that rejects a connection.
pub fn encode_rejection(out: &mut Vec<u8>, reason: &str, retry_after: Option<TimeDelta>) {
    let detail = millis(retry_after);
    let code = SqlState::TOO_MANY_CONNECTIONS;
    encode::error_response(out, Severity::Fatal, code, reason, detail.as_deref());
}
