//! The encoding of responses as messages of the wire protocol.

use crate::messages::response::Response;
use crate::protocol::encode::{self, Severity, SESSION_PARAMETER};
use crate::protocol::sqlstate::SqlState;
use crate::runtime::clock::NANOS_PER_MILLI;
use routing::time::TimeDelta;
use write_journal::record_state::Fate;

/// The name of the column in the response to a fate query.
const FATE_COLUMN: &str = "fate";
/// The fate of a write that was executed; the commit time in Unix milliseconds follows if it is known.
const FATE_EXECUTED: &str = "ran";
/// The fate of a write that was not and will not be executed.
const FATE_NEVER_EXECUTED: &str = "never";
/// The fate of a write that is still open.
const FATE_IN_FLIGHT: &str = "under way";
/// The error message for a fate that this instance does not know: the write may have been executed.
const FATE_UNKNOWN: &str = "what became of it is not known here: it may have run";
/// The error message if a failover has lost the log position that the session had seen; the request was not executed.
const SESSION_LOST: &str =
    "what this session saw of the group is lost, by a switch of its primary; it did not run";
/// The error message for a rejected request: it was not executed, or can safely be retried.
const REQUEST_REJECTED: &str = "pushed back: it did not run, or may run again";
/// The error message for an aborted request: it may have been executed.
const REQUEST_ABORTED: &str = "aborted: it may have run";

/// Encodes a response with its ReadyForQuery, and with the session's new token if `token` is set.
pub fn encode_response(response: Response, token: Option<&str>) -> Vec<u8> {
    let mut out = Vec::new();
    match response {
        Response::Value { messages, .. } => out = messages,
        Response::Fate(fate) => encode_fate(&mut out, fate),
        Response::SessionLost { .. } => {
            append_error(&mut out, SqlState::SESSION_LOST, SESSION_LOST, None);
        }
        Response::Rejected { retry_after } => {
            let detail = retry_after_ms(retry_after);
            append_error(&mut out, SqlState::TOO_MANY_CONNECTIONS, REQUEST_REJECTED, detail.as_deref());
        }
        Response::Aborted => {
            append_error(&mut out, SqlState::SYSTEM_ERROR, REQUEST_ABORTED, None);
        }
        Response::Error(error) => append_error(&mut out, error.code, error.message, None),
    }
    if let Some(token) = token {
        encode::parameter_status(&mut out, SESSION_PARAMETER, token);
    }
    encode::ready_for_query(&mut out);
    out
}

/// Appends an ErrorResponse after which the connection stays open.
fn append_error(out: &mut Vec<u8>, code: SqlState, reason: &str, detail: Option<&str>) {
    encode::error_response(out, Severity::Error, code, reason, detail);
}

/// Appends the response to a fate query: a row, or an error if the fate is unknown.
fn encode_fate(out: &mut Vec<u8>, fate: Fate) {
    match fate {
        Fate::Executed(None) => encode::text_row(out, FATE_COLUMN, FATE_EXECUTED),
        Fate::Executed(Some(commit_ms)) => {
            encode::text_row(out, FATE_COLUMN, &format!("{FATE_EXECUTED} {commit_ms}"));
        }
        Fate::NeverExecuted => encode::text_row(out, FATE_COLUMN, FATE_NEVER_EXECUTED),
        Fate::InFlight => encode::text_row(out, FATE_COLUMN, FATE_IN_FLIGHT),
        Fate::Unknown => {
            append_error(out, SqlState::STATEMENT_COMPLETION_UNKNOWN, FATE_UNKNOWN, None);
        }
    }
}

/// A Retry-After in whole milliseconds, for the detail field of an error.
fn retry_after_ms(retry_after: Option<TimeDelta>) -> Option<String> {
    retry_after.map(|wait| (wait.0 / NANOS_PER_MILLI).max(0).to_string())
}

/// Appends the fatal ErrorResponse that rejects a connection.
pub fn encode_rejection(out: &mut Vec<u8>, reason: &str, retry_after: Option<TimeDelta>) {
    let detail = retry_after_ms(retry_after);
    let code = SqlState::TOO_MANY_CONNECTIONS;
    encode::error_response(out, Severity::Fatal, code, reason, detail.as_deref());
}
