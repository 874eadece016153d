//! Handling of the messages of attempts and health checks: the confirmation before an attempt is sent, and the result.

use crate::control::active_request::ActiveRequest;
use crate::control::control_loop::ControlLoop;
use crate::control::response_check::{is_session_lost, response_for_value};
use crate::control::router_state::RouterState;
use crate::messages::control::{AttemptConfirmation, AttemptResult, HealthCheckResult};
use crate::messages::journal_entry::JournalVerdict;
use crate::messages::response::Response;
use crate::protocol::sqlstate::{ClientError, SqlState};
use crate::runtime::clock::{NANOS_PER_MICRO, NANOS_PER_MILLI};
use crate::storage::journal::WriteJournal;
use routing::time::{TimeDelta, Timestamp};
use routing::{AttemptEnd, AttemptId, AttemptOutcome, Event, RequestId};
use write_journal::record_state::RecordEvent;

/// The error for a request whose id the write journal has recorded for an earlier write. The client can query the fate
/// of that write.
const ID_RECORDED: ClientError =
    ClientError::new(SqlState::DUPLICATE_OBJECT, "id is that of a write on record: ask for its fate");

impl ControlLoop {
    /// Replies whether an attempt may still be sent: its request is open, the routing policy agrees, and the position
    /// that the request's session has seen is not lost. The epoch of the attempt's connection is recorded first, because
    /// it may be the first evidence of a loss.
    pub(super) fn on_confirm_attempt(&mut self, now: Timestamp, confirmation: &AttemptConfirmation) {
        let AttemptId { request, number, endpoint } = confirmation.attempt;
        if let (Some(active), Some(epoch)) = (self.state.requests.get(request), confirmation.epoch) {
            self.state.epochs.record(active.identity.group, epoch);
        }
        let is_open = self.state.requests.is_open(request);
        let is_allowed = is_open && self.state.policy.may_send_attempt(now, request, number, endpoint);
        let is_confirmed = is_allowed && self.state.check_session(now, request);
        if !is_confirmed {
            tracing::debug!(request, attempt = number, is_open, is_allowed, "attempt not confirmed");
        }
        let _ = confirmation.reply.send(is_confirmed);
    }

    /// Handles the result of an attempt, and passes the endpoint's report to primary discovery.
    pub(super) fn on_attempt_ended(&mut self, now: Timestamp, result: AttemptResult) {
        let (endpoint, queried_at) = (result.attempt.endpoint, result.started_at);
        let answer_report = result.metadata.answer_report;
        self.state.end_attempt(now, result, self.config.settings.max_retry_after);
        self.record_endpoint_report(now, endpoint, queried_at, answer_report);
    }

    /// Handles the result of a health check, and passes the endpoint's report to primary discovery.
    pub(super) fn on_health_check_ended(&mut self, now: Timestamp, result: HealthCheckResult) {
        let HealthCheckResult { endpoint, outcome, elapsed, report } = result;
        if tracing::enabled!(tracing::Level::DEBUG) {
            let (name, took_us) = (self.state.endpoints.id(endpoint), elapsed.0 / NANOS_PER_MICRO);
            // A value that was not reported is logged as -1.
            let lag_us = report.position.map_or(-1, |position| (now - position).0 / NANOS_PER_MICRO);
            let load = report.load.unwrap_or(-1.0);
            tracing::debug!(endpoint = %name, ?outcome, took_us, lag_us, load, "health check ended");
        }
        self.state.metrics.health_check_ended(outcome);
        self.state.report_to_policy(now, Event::HealthCheckEnded { endpoint, outcome, elapsed, report });
        self.record_endpoint_report(now, endpoint, now - elapsed, report);
    }
}

impl RouterState {
    /// Ends an attempt: answers its request if the attempt succeeded, and reports the end to the routing policy.
    /// `retry_after` is sent with the rejection of a read whose answer is staler than its session allows.
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
        self.report_to_policy(now, Event::AttemptEnded(end));
        let removed = self.requests.end_attempt(request, request_closed);
        self.release(now, request, removed);
    }

    /// Handles the answer to an attempt that succeeded: records the endpoint's epoch, and answers the request if it is
    /// still open.
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

    /// Logs the end of an attempt at debug level.
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

    /// Checks by the epochs reported so far that the group's log still contains the position that a request's session
    /// has seen. If it does not, answers the request with [`Response::SessionLost`] and returns false.
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

/// Converts the result of an attempt to the routing policy's type. The request is assumed to be still open; the caller
/// sets `request_closed` if it is not.
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

/// Updates the request's execution state from the result of an attempt, and records a success in the journal.
///
/// The commit position is recorded only if no earlier attempt may have been executed. Otherwise the endpoint may have
/// treated this attempt as a duplicate, and the position in its answer is not that of the commit.
fn record_outcome(active: &mut ActiveRequest, result: &AttemptResult, journal: Option<&WriteJournal>) {
    let execution = &mut active.execution;
    execution.is_duplicate |= result.journal_verdict == Some(JournalVerdict::GrantedAsDuplicate);
    let is_first_execution = !execution.is_duplicate && !execution.may_have_run;
    execution.is_recorded |= result.journal_verdict.is_some_and(JournalVerdict::allows_sending);
    execution.may_have_run |= execution.is_duplicate || !result.outcome.proves_not_executed();
    let Some(journal) = journal.filter(|_| execution.is_recorded) else { return };
    if result.outcome == AttemptOutcome::Succeeded {
        let commit = result.metadata.answer_report.position.filter(|_| is_first_execution);
        let commit_ms = commit.map(|position| position.0 / NANOS_PER_MILLI);
        journal.record_outcome(&active.identity.id, RecordEvent::Executed(commit_ms));
    }
}
