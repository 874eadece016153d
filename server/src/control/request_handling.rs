//! Requests: their admission, their attempts' ends, and clients that are gone.

use crate::control::active_request::{ActiveRequest, ExecutionState, PendingResponse};
use crate::control::control_loop::ControlLoop;
use crate::control::request_queue::QueuedRequest;
use crate::control::response_check::{checked_response, is_session_lost};
use crate::control::router_state::RouterState;
use crate::messages::control::{AttemptReport, ConfirmAttempt, FateQuery, HealthCheckEnd, IncomingRequest};
use crate::messages::journal_entry::JournalVerdict;
use crate::messages::request::ClientRequest;
use crate::messages::response::Response;
use crate::protocol::sqlstate::{ClientError, SqlState};
use crate::storage::journal::WriteJournal;
use recovery::primary_discovery;
use routing::time::{TimeDelta, Timestamp};
use routing::{
    Access, AttemptEnd, AttemptId, AttemptOutcome, Event, Idempotency, RequestArrival, RequestId,
    RoutingSettings,
};
use sessions::epochs::{Epoch, PositionStatus};
use sessions::positions::GroupNumber;
use std::sync::Arc;
use write_journal::record_state::{Deduplication, Fate, RecordEvent};

const NANOS_PER_MILLI: i64 = 1_000_000;
const UNKNOWN_GROUP: ClientError =
    ClientError::new(SqlState::UNDEFINED_OBJECT, "cluster names no listed group");
const ID_IN_USE: ClientError = ClientError::new(SqlState::DUPLICATE_OBJECT, "id is that of an open query");
const ID_RECORDED: ClientError =
    ClientError::new(SqlState::DUPLICATE_OBJECT, "id is that of a write on record: ask for its fate");

impl ControlLoop {
    pub(super) fn on_request(&mut self, now: Timestamp, queued: QueuedRequest) {
        let mut admitted = Vec::new();
        match &mut self.state.queue {
            Some(queue) => queue.arrive(now, queued, &mut admitted),
            None => admitted.push(queued),
        }
        self.admit(now, admitted);
    }

    /// Passes admitted requests on to the routing policy, and those that may go on because of that.
    pub(super) fn admit(&mut self, now: Timestamp, mut admitted: Vec<QueuedRequest>) {
        loop {
            for queued in admitted.drain(..) {
                let request = queued.request();
                if self.state.requests.len() >= self.config.max_open_requests {
                    let retry_after = self.config.settings.max_retry_after;
                    queued.incoming.ticket.answer(Response::Rejected { retry_after });
                    self.state.finished.push(request);
                } else if !self.state.take_request(now, queued, &self.config.settings) {
                    // Unless it is open, nothing else would tell that nothing more comes of it.
                    self.state.finished.push(request);
                }
            }
            let finished = std::mem::take(&mut self.state.finished);
            let Some(queue) = self.state.queue.as_mut().filter(|_| !finished.is_empty()) else { return };
            for request in finished {
                queue.remove(now, request, &mut admitted);
            }
        }
    }

    pub(super) fn on_client_gone(&mut self, now: Timestamp, request: RequestId) {
        let mut admitted = Vec::new();
        let queue = self.state.queue.as_mut();
        if queue.is_some_and(|queue| queue.client_gone(now, request, &mut admitted)) {
            return self.admit(now, admitted);
        }
        let state = &mut self.state;
        let active = state.requests.get_mut(request);
        if active.is_some_and(|active| active.discard(&state.metrics, now)) {
            state.report(now, Event::ClientGone { request });
            state.close(request);
        }
    }

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

    pub(super) fn on_fate_query(&mut self, query: FateQuery) {
        let FateQuery { id, origin, ticket } = query;
        let request_open = self.state.ids.contains(id.as_str());
        match &self.state.journal {
            Some(journal) => {
                journal.query_fate(id, origin, request_open, |fate| ticket.answer(Response::Fate(fate)));
            }
            None => ticket.answer(Response::Fate(Fate::Unknown)),
        }
    }
}

impl RouterState {
    /// Takes a request; false if it was answered instead.
    fn take_request(&mut self, now: Timestamp, queued: QueuedRequest, settings: &RoutingSettings) -> bool {
        let QueuedRequest { incoming, received_at } = queued;
        let arrival = match self.check_request(&incoming, received_at, settings) {
            Ok(arrival) => arrival,
            Err(response) => {
                incoming.ticket.answer(response);
                return false;
            }
        };
        let request = arrival.request;
        let abort_at = arrival.deadline - settings.clock_resolution;
        let active = self.active_request(*incoming, received_at, abort_at, settings);
        self.ids.insert(active.identity.id.clone());
        self.requests.insert(request, active);
        self.deadlines.set_abort_time(abort_at, request);
        let waiting = primary_discovery::Event::RequestWaiting { group: arrival.group };
        self.report_to_discovery(now, waiting);
        self.report(now, Event::RequestArrived(arrival));
        true
    }

    /// A request as the routing policy has it.
    ///
    /// # Errors
    /// The response, if it cannot be taken.
    fn check_request(
        &self,
        incoming: &IncomingRequest,
        received_at: Timestamp,
        settings: &RoutingSettings,
    ) -> Result<RequestArrival, Response> {
        let ClientRequest { identity, session, .. } = &incoming.header;
        if self.groups.is_empty() {
            // No list has come yet: which groups there are is not known.
            return Err(Response::Rejected { retry_after: settings.max_retry_after });
        }
        let group = self.groups.get(&identity.group).ok_or(Response::Error(UNKNOWN_GROUP))?;
        let seen_position = match session.seen.map(|seen| self.epochs.status(identity.group, seen)) {
            Some(PositionStatus::Lost) => {
                let restart_position = self.epochs.restart_position(identity.group);
                return Err(Response::SessionLost { restart_position });
            }
            Some(PositionStatus::OnLog(position) | PositionStatus::UnknownEpoch(position)) => Some(position),
            None => None,
        };
        // An endpoint would take the second request for a duplicate of the first.
        if self.ids.contains(&identity.id) {
            return Err(Response::Error(ID_IN_USE));
        }
        Ok(RequestArrival {
            request: incoming.ticket.request,
            method: identity.method,
            group,
            session: session.number,
            last_write: session.last_write,
            seen_position,
            received_at,
            deadline: incoming.header.deadline,
            client_retry: incoming.header.client_retry,
        })
    }

    fn active_request(
        &self,
        incoming: IncomingRequest,
        received_at: Timestamp,
        abort_at: Timestamp,
        settings: &RoutingSettings,
    ) -> ActiveRequest {
        let IncomingRequest { header, text, ticket } = incoming;
        let method = settings.methods.get(header.identity.method);
        let idempotency = method.map(|method| method.idempotency);
        let is_read = method.is_some_and(|method| method.access != Access::Write);
        ActiveRequest {
            execution: ExecutionState {
                is_journaled: self.journal.is_some() && idempotency != Some(Idempotency::Idempotent),
                deduplication: deduplication(idempotency, header.identity.group, settings.clock_resolution),
                ..ExecutionState::default()
            },
            identity: header.identity,
            is_read,
            session: header.session,
            response: PendingResponse { ticket: Some(ticket), received_at, abort_at },
            text: Arc::new(text),
            attempt: None,
        }
    }

    pub(super) fn end_attempt(
        &mut self,
        now: Timestamp,
        report: AttemptReport,
        retry_after: Option<TimeDelta>,
    ) {
        let Some(active) = self.requests.get_mut(report.attempt.request) else { return };
        active.leave_endpoint();
        let (outcome, elapsed) = (report.outcome, now - report.started_at);
        record_outcome(active, &report, self.journal.as_deref());
        if report.journal_verdict == Some(JournalVerdict::IdInUse) {
            active.answer(&self.metrics, now, Response::Error(ID_RECORDED));
        }
        let mut end = AttemptEnd {
            attempt: report.attempt,
            outcome,
            elapsed,
            request_closed: false,
            write_session: active.write_session(),
            answer_report: report.reports.answer,
            load_report: report.reports.load,
        };
        if outcome == AttemptOutcome::Succeeded {
            if let Some(epoch) = report.reports.epoch {
                self.epochs.record(active.identity.group, epoch);
            }
            if active.response.ticket.is_some() {
                let response = checked_response(&self.epochs, active, report, now, retry_after);
                active.answer(&self.metrics, now, response);
            }
        }
        self.metrics.attempt_ended(outcome, elapsed);
        end.request_closed = active.response.ticket.is_none();
        let (request, request_closed) = (end.attempt.request, end.request_closed);
        self.trace_attempt_end(&end);
        self.report(now, Event::AttemptEnded(end));
        let removed = self.requests.end_attempt(request, request_closed);
        self.finish(request, removed);
    }

    fn trace_attempt_end(&self, end: &AttemptEnd) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let Some(active) = self.requests.get(end.attempt.request) else { return };
        let (request, attempt, group) = (end.attempt.request, end.attempt.number, active.identity.group);
        let (endpoint, outcome) = (self.endpoints.id(end.attempt.endpoint), end.outcome);
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

/// Where and for how long duplicates of a write are dropped, if it has an idempotency key.
fn deduplication(
    idempotency: Option<Idempotency>,
    group: GroupNumber,
    clock_resolution: TimeDelta,
) -> Option<Deduplication> {
    let Some(Idempotency::Keyed { all_groups, dedup_window }) = idempotency else { return None };
    let millis = |delta: TimeDelta| delta.0 / NANOS_PER_MILLI;
    let group = (!all_groups).then_some(group);
    Some(Deduplication::new(group, millis(dedup_window), millis(clock_resolution)))
}
