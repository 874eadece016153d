//! Attempts and health checks: whether an attempt may be sent, and what follows from its end.

use crate::control::active_request::ActiveRequest;
use crate::control::control_loop::ControlLoop;
use crate::control::response_check::{checked_response, is_session_lost};
use crate::control::router_state::RouterState;
use crate::messages::control::{AttemptReport, ConfirmAttempt, HealthCheckEnd};
use crate::messages::journal_entry::JournalVerdict;
use crate::messages::response::Response;
use crate::protocol::sqlstate::{ClientError, SqlState};
use crate::storage::journal::WriteJournal;
use routing::time::{TimeDelta, Timestamp};
use routing::{AttemptEnd, AttemptId, AttemptOutcome, Event, RequestId};
use sessions::epochs::Epoch;
use write_journal::record_state::RecordEvent;

const NANOS_PER_MILLI: i64 = 1_000_000;
const ID_RECORDED: ClientError =
    ClientError::new(SqlState::DUPLICATE_OBJECT, "id is that of a write on record: ask for its fate");

impl ControlLoop {
    pub(super) fn on_confirm(&mut self, now: Timestamp, question: &ConfirmAttempt) {
        let AttemptId { request, number, endpoint } = question.attempt;
        let holds = self.state.requests.is_open(request)
            && self.state.policy.confirm_attempt(now, request, number, endpoint);
        let _ = question.reply.send(holds && self.state.session_is_consistent(now, request));
    }

    pub(super) fn on_epoch_reported(&mut self, request: RequestId, epoch: Epoch) {
        if let Some(active) = self.state.requests.get(request) {
            self.state.epochs.record(active.identity.group, epoch);
        }
    }

    pub(super) fn on_attempt_ended(&mut self, now: Timestamp, report: AttemptReport) {
        let (endpoint, queried_at) = (report.attempt.endpoint, report.started_at);
        let answer_report = report.reports.answer;
        self.state.end_attempt(now, report, self.config.settings.max_retry_after);
        self.observe_report(now, endpoint, queried_at, answer_report);
    }

    pub(super) fn on_health_check_ended(&mut self, now: Timestamp, end: HealthCheckEnd) {
        let HealthCheckEnd { endpoint, outcome, elapsed, report } = end;
        if tracing::enabled!(tracing::Level::DEBUG) {
            let (name, took_us) = (self.state.endpoints.id(endpoint), elapsed.0 / 1_000);
            let lag_us = report.position.map_or(-1, |position| (now - position).0 / 1_000);
            let load = report.load.unwrap_or(-1.0);
            tracing::debug!(endpoint = %name, ?outcome, took_us, lag_us, load, "health check ended");
        }
        self.state.metrics.health_check_ended(outcome);
        self.state.report(now, Event::HealthCheckEnded { endpoint, outcome, elapsed, report });
        self.observe_report(now, endpoint, now - elapsed, report);
    }
}

impl RouterState {
    pub(super) fn end_attempt(
        &mut self,
        now: Timestamp,
        report: AttemptReport,
        retry_after: Option<TimeDelta>,
    ) {
        let Some(active) = self.requests.get_mut(report.attempt.request) else { return };
        active.leave_endpoint();
        record_outcome(active, &report, self.journal.as_deref());
        if report.journal_verdict == Some(JournalVerdict::IdInUse) {
            active.answer(&self.metrics, now, Response::Error(ID_RECORDED));
        }
        let mut end = attempt_end(active, &report, now);
        if report.outcome == AttemptOutcome::Succeeded {
            self.take_response(now, report, retry_after);
        }
        self.metrics.attempt_ended(end.outcome, end.elapsed);
        let request = end.attempt.request;
        let is_closed = |active: &ActiveRequest| active.response.ticket.is_none();
        end.request_closed = self.requests.get(request).is_none_or(is_closed);
        let request_closed = end.request_closed;
        self.trace_attempt_end(&end);
        self.report(now, Event::AttemptEnded(end));
        let removed = self.requests.end_attempt(request, request_closed);
        self.finish(request, removed);
    }

    /// Takes the response of an attempt that succeeded: its epoch counts, and its request is answered unless it was before.
    fn take_response(&mut self, now: Timestamp, report: AttemptReport, retry_after: Option<TimeDelta>) {
        let Some(active) = self.requests.get_mut(report.attempt.request) else { return };
        if let Some(epoch) = report.reports.epoch {
            self.epochs.record(active.identity.group, epoch);
        }
        if active.response.ticket.is_some() {
            let response = checked_response(&self.epochs, active, report, now, retry_after);
            active.answer(&self.metrics, now, response);
        }
    }

    fn trace_attempt_end(&self, end: &AttemptEnd) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let AttemptId { request, number: attempt, endpoint } = end.attempt;
        let Some(active) = self.requests.get(request) else { return };
        let group = active.identity.group;
        let (endpoint, outcome) = (self.endpoints.id(endpoint), end.outcome);
        let took_us = end.elapsed.0 / 1_000;
        tracing::debug!(
            request, request_id = %active.identity.id, attempt, %endpoint, group, ?outcome, took_us, "attempt ended"
        );
    }

    /// Whether what a request's session has seen is still on the log, by all that was reported until now; if not, its client is
    /// told.
    fn session_is_consistent(&mut self, now: Timestamp, request: RequestId) -> bool {
        let Some(active) = self.requests.get_mut(request) else { return false };
        let is_lost = is_session_lost(&self.epochs, active);
        if is_lost {
            let restart_position = self.epochs.restart_position(active.identity.group);
            active.answer(&self.metrics, now, Response::SessionLost { restart_position });
        }
        !is_lost
    }
}

/// The end of an attempt as the routing policy has it, for a request that is still open.
fn attempt_end(active: &ActiveRequest, report: &AttemptReport, now: Timestamp) -> AttemptEnd {
    AttemptEnd {
        attempt: report.attempt,
        outcome: report.outcome,
        elapsed: now - report.started_at,
        request_closed: false,
        write_session: active.write_session(),
        answer_report: report.reports.answer,
        load_report: report.reports.load,
    }
}

/// Keeps what an attempt shows of its request, in the journal too. If an attempt before may have run, the answer may be that to
/// a retry, and its position no commit's.
fn record_outcome(active: &mut ActiveRequest, report: &AttemptReport, journal: Option<&WriteJournal>) {
    let execution = &mut active.execution;
    execution.is_duplicate |= report.journal_verdict == Some(JournalVerdict::GrantedAsDuplicate);
    let is_first = !execution.is_duplicate && !execution.may_have_run;
    execution.recorded |= report.journal_verdict.is_some_and(JournalVerdict::allows_sending);
    execution.may_have_run |= execution.is_duplicate || !report.outcome.proves_not_executed();
    let Some(journal) = journal.filter(|_| execution.recorded) else { return };
    if report.outcome == AttemptOutcome::Succeeded {
        let commit = report.reports.answer.position.filter(|_| is_first);
        let commit_ms = commit.map(|position| position.0 / NANOS_PER_MILLI);
        journal.record_end(&active.identity.id, RecordEvent::Executed(commit_ms));
    }
}
