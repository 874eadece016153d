//! Handling of attempts and health checks: the confirmation right before a send, and the report at the end.

use crate::control::active_request::ActiveRequest;
use crate::control::control_loop::ControlLoop;
use crate::control::response_check::{is_session_lost, response_for_value};
use crate::control::router_state::RouterState;
use crate::messages::control::{AttemptConfirmation, AttemptResult, HealthCheckEnd};
use crate::messages::journal_entry::JournalVerdict;
use crate::messages::response::Response;
use crate::protocol::sqlstate::{ClientError, SqlState};
use crate::runtime::clock::{NANOS_PER_MICRO, NANOS_PER_MILLI};
use crate::storage::journal::WriteJournal;
use routing::time::{TimeDelta, Timestamp};
use routing::{AttemptEnd, AttemptId, AttemptOutcome, Event, RequestId};
use sessions::epochs::Epoch;
use write_journal::record_state::RecordEvent;

/// The error for an id that the journal holds for another write.
const ID_RECORDED: ClientError =
    ClientError::new(SqlState::DUPLICATE_OBJECT, "id is that of a write on record: ask for its fate");

impl ControlLoop {
    /// Replies whether an attempt may still be sent.
    pub(super) fn on_confirm_attempt(&mut self, now: Timestamp, confirm: &AttemptConfirmation) {
        let AttemptId { request, number, endpoint } = confirm.attempt;
        let is_confirmed = self.state.requests.is_open(request)
            && self.state.policy.may_send_attempt(now, request, number, endpoint);
        let _ = confirm.reply.send(is_confirmed && self.state.check_session(now, request));
    }

    /// Records the epoch that an endpoint has reported before an attempt.
    pub(super) fn on_epoch_reported(&mut self, request: RequestId, epoch: Epoch) {
        if let Some(active) = self.state.requests.get(request) {
            self.state.epochs.record(active.identity.group, epoch);
        }
    }

    /// Handles the end of an attempt, and reports the endpoint's role to primary discovery.
    pub(super) fn on_attempt_ended(&mut self, now: Timestamp, result: AttemptResult) {
        let (endpoint, queried_at) = (result.attempt.endpoint, result.started_at);
        let answer_report = result.metadata.answer_report;
        self.state.end_attempt(now, result, self.config.settings.max_retry_after);
        self.record_endpoint_report(now, endpoint, queried_at, answer_report);
    }

    /// Handles the end of a health check, and reports the endpoint's role to primary discovery.
    pub(super) fn on_health_check_ended(&mut self, now: Timestamp, end: HealthCheckEnd) {
        let HealthCheckEnd { endpoint, outcome, elapsed, report } = end;
        if tracing::enabled!(tracing::Level::DEBUG) {
            let (name, took_us) = (self.state.endpoints.id(endpoint), elapsed.0 / NANOS_PER_MICRO);
            // A value that was not reported is logged as -1.
            let lag_us = report.position.map_or(-1, |position| (now - position).0 / NANOS_PER_MICRO);
            let load = report.load.unwrap_or(-1.0);
            tracing::debug!(endpoint = %name, ?outcome, took_us, lag_us, load, "health check ended");
        }
        self.state.metrics.health_check_ended(outcome);
        self.state.report(now, Event::HealthCheckEnded { endpoint, outcome, elapsed, report });
        self.record_endpoint_report(now, endpoint, now - elapsed, report);
    }
}

impl RouterState {
    /// Ends an attempt: answers its request if it succeeded, and reports the end to the routing policy.
    /// `retry_after` is for a read whose answer is staler than its session allows.
    pub(super) fn end_attempt(
        &mut self,
        now: Timestamp,
        result: AttemptResult,
        retry_after: Option<TimeDelta>,
    ) {
        let Some(active) = self.requests.get_mut(result.attempt.request) else { return };
        active.end_attempt();
        record_outcome(active, &result, self.journal.as_deref());
        if result.journal_verdict == Some(JournalVerdict::IdInUse) {
            active.answer(&self.metrics, now, Response::Error(ID_RECORDED));
        }
        let mut end = attempt_end(active, &result, now);
        if result.outcome == AttemptOutcome::Succeeded {
            self.handle_answer(now, result, retry_after);
        }
        self.metrics.attempt_ended(end.outcome, end.elapsed);
        let request = end.attempt.request;
        let is_closed = |active: &ActiveRequest| active.response.ticket.is_none();
        end.request_closed = self.requests.get(request).is_none_or(is_closed);
        let request_closed = end.request_closed;
        self.log_attempt_end(&end);
        self.report(now, Event::AttemptEnded(end));
        let removed = self.requests.end_attempt(request, request_closed);
        self.release(request, removed);
    }

    /// Handles the answer of an attempt that succeeded: records its epoch, and answers the request if that is still
    /// open.
    fn handle_answer(&mut self, now: Timestamp, result: AttemptResult, retry_after: Option<TimeDelta>) {
        let Some(active) = self.requests.get_mut(result.attempt.request) else { return };
        if let Some(epoch) = result.metadata.epoch {
            self.epochs.record(active.identity.group, epoch);
        }
        if active.response.ticket.is_some() {
            let response = response_for_value(&self.epochs, active, result, now, retry_after);
            active.answer(&self.metrics, now, response);
        }
    }

    /// Writes a debug line for the end of an attempt.
    fn log_attempt_end(&self, end: &AttemptEnd) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let AttemptId { request, number: attempt, endpoint } = end.attempt;
        let Some(active) = self.requests.get(request) else { return };
        let group = active.identity.group;
        let (endpoint, outcome) = (self.endpoints.id(endpoint), end.outcome);
        let took_us = end.elapsed.0 / NANOS_PER_MICRO;
        tracing::debug!(
            request, request_id = %active.identity.id, attempt, %endpoint, group, ?outcome, took_us, "attempt ended"
        );
    }

    /// Checks that the position that a request's session has seen is still on the group's log, by the epochs
    /// reported until now. If not, answers the request with [`Response::SessionLost`] and returns false.
    fn check_session(&mut self, now: Timestamp, request: RequestId) -> bool {
        let Some(active) = self.requests.get_mut(request) else { return false };
        let is_lost = is_session_lost(&self.epochs, active);
        if is_lost {
            let restart_position = self.epochs.restart_position(active.identity.group);
            active.answer(&self.metrics, now, Response::SessionLost { restart_position });
        }
        !is_lost
    }
}

/// The routing policy's view of the end of an attempt, for a request that is still open.
fn attempt_end(active: &ActiveRequest, result: &AttemptResult, now: Timestamp) -> AttemptEnd {
    AttemptEnd {
        attempt: result.attempt,
        outcome: result.outcome,
        elapsed: now - result.started_at,
        request_closed: false,
        write_session: active.write_session(),
        answer_report: result.metadata.answer_report,
        load_report: result.metadata.load_report,
    }
}

/// Updates the request's state from an attempt's outcome, and records a success in the journal.
///
/// The commit position is recorded only if no earlier attempt may have been executed: otherwise the answer may be to a
/// duplicate, and its position is not that of the commit.
fn record_outcome(active: &mut ActiveRequest, result: &AttemptResult, journal: Option<&WriteJournal>) {
    let execution = &mut active.execution;
    execution.is_duplicate |= result.journal_verdict == Some(JournalVerdict::GrantedAsDuplicate);
    let is_first = !execution.is_duplicate && !execution.may_have_run;
    execution.recorded |= result.journal_verdict.is_some_and(JournalVerdict::allows_sending);
    execution.may_have_run |= execution.is_duplicate || !result.outcome.proves_not_executed();
    let Some(journal) = journal.filter(|_| execution.recorded) else { return };
    if result.outcome == AttemptOutcome::Succeeded {
        let commit = result.metadata.answer_report.position.filter(|_| is_first);
        let commit_ms = commit.map(|position| position.0 / NANOS_PER_MILLI);
        journal.record_outcome(&active.identity.id, RecordEvent::Executed(commit_ms));
    }
}
