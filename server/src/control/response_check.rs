//! The check of an endpoint's answer against the position that the request's session has seen. The check uses the
//! epoch and position in the answer itself, not earlier reports of the endpoint.

use crate::control::active_request::ActiveRequest;
use crate::messages::control::AttemptResult;
use crate::messages::response::{Response, SessionUpdate};
use routing::time::{TimeDelta, Timestamp};
use sessions::epochs::{EpochHistory, PositionStatus};
use sessions::positions::LogPosition;

/// Whether the position that a request's session has seen is lost: by the epochs reported so far, the group's log no
/// longer contains it.
pub fn is_session_lost(epochs: &EpochHistory, request: &ActiveRequest) -> bool {
    let status = |seen| epochs.position_status(request.identity.group, seen);
    request.session.seen_position.is_some_and(|seen| status(seen) == PositionStatus::Lost)
}

/// The response to a request for which an endpoint has returned a value. A read is rejected if its session has seen a
/// position that this endpoint's log does not contain.
pub fn response_for_value(
    epochs: &EpochHistory,
    request: &ActiveRequest,
    result: AttemptResult,
    now: Timestamp,
    retry_after: Option<TimeDelta>,
) -> Response {
    let session_lost = is_session_lost(epochs, request);
    let position = result.metadata.answer_report.position;
    let includes =
        |seen| epochs.answer_includes(request.identity.group, seen, result.metadata.epoch, position);
    if request.is_read && session_lost {
        return Response::SessionLost { restart_position: epochs.restart_position(request.identity.group) };
    }
    if request.is_read && !request.session.seen_position.is_none_or(includes) {
        return Response::Rejected { retry_after };
    }
    // If the endpoint reported no position, the value may reflect every write up to now.
    let position = LogPosition {
        epoch: result.metadata.epoch.map_or(0, |epoch| epoch.number),
        position: position.unwrap_or(now),
    };
    let session_update = SessionUpdate { position: Some(position), session_lost };
    Response::Value { messages: result.value, charge: result.charge, session_update }
}
