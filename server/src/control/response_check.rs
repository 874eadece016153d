//! Whether an answer shows what its session has seen: what the endpoint that really answered says of itself goes before all
//! that was known of it.

use crate::control::active_request::ActiveRequest;
use crate::messages::control::AttemptReport;
use crate::messages::response::{Response, SessionEvidence};
use routing::time::{TimeDelta, Timestamp};
use sessions::epochs::{EpochHistory, PositionStatus};
use sessions::positions::LogPosition;

/// Whether what a request's session has seen is lost, by all that was reported until now.
pub fn is_session_lost(epochs: &EpochHistory, request: &ActiveRequest) -> bool {
    let status = |seen| epochs.status(request.identity.group, seen);
    request.session.seen.is_some_and(|seen| status(seen) == PositionStatus::Lost)
}

/// The response for a value that an endpoint has answered. A read whose session has seen more than this endpoint's log shows
/// does not get it.
pub fn checked_response(
    epochs: &EpochHistory,
    request: &ActiveRequest,
    report: AttemptReport,
    now: Timestamp,
    retry_after: Option<TimeDelta>,
) -> Response {
    let session_lost = is_session_lost(epochs, request);
    let position = report.reports.answer.position;
    let shows = |seen| epochs.shows(request.identity.group, seen, report.reports.epoch, position);
    if request.is_read && session_lost {
        return Response::SessionLost { restart_position: epochs.restart_position(request.identity.group) };
    }
    if request.is_read && !request.session.seen.is_none_or(shows) {
        return Response::Rejected { retry_after };
    }
    // What an endpoint does not report it may have seen up to now.
    let position = LogPosition {
        epoch: report.reports.epoch.map_or(0, |epoch| epoch.number),
        position: position.unwrap_or(now),
    };
    let evidence = SessionEvidence { position: Some(position), session_lost };
    Response::Value { messages: report.value, evidence }
}
