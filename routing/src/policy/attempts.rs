//! Attempts: starting them, checking them right before their bytes are sent, and applying their outcomes.

use crate::state::request::{InFlightAttempt, RequestEvent};
use crate::time::{TimeDelta, Timestamp};
use crate::{Action, AttemptEnd, AttemptOutcome, EndpointIndex, LagHandling, RequestId, RoutingPolicy};

/// The time that an attempt may wait in the endpoint's queue before its answer counts as late is the tightest
/// latency objective divided by this.
const QUEUEING_TIME_DIVISOR: i64 = 2;
/// An answer that takes at least this many quarters of the attempt's timeout always counts as late.
const LATE_TIMEOUT_QUARTERS: i64 = 3;
/// An endpoint is under pressure if at least this fraction of its concurrency limit is in use. A timely answer
/// under pressure shows that the limit can be raised.
const PRESSURE_SHARE: f64 = 0.5;

impl RoutingPolicy {
    /// Starts an attempt of a request at the selected endpoint.
    pub(super) fn start_attempt(&mut self, id: RequestId, index: EndpointIndex) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let method = &self.settings.methods[request.method];
        // An endpoint starts no work after the timeout. The timeout of a read therefore ends when an answer to
        // the read loses its value, so that the endpoint does no useless work.
        let ends_at =
            if method.is_write() { request.deadlines.answer_by } else { request.deadlines.useful_until };
        let timeout = (ends_at - self.now).max(TimeDelta(1));
        // All methods share the endpoint's queue. If methods with a looser objective tolerated a longer queue
        // than the tightest objective allows, they would starve the method with that objective.
        let p30_latency = self.p30_latency[request.method];
        let tolerated_latency = TimeDelta::from_secs_f64(p30_latency)
            + self.settings.times.tightest_objective / QUEUEING_TIME_DIVISOR;
        let queue_threshold = if method.delays_replication { timeout } else { tolerated_latency };
        let capacity = &mut self.endpoints[index].capacity;
        request.in_flight = Some(InFlightAttempt {
            number: request.attempts.started,
            started_at: self.now,
            work: p30_latency,
            queue_threshold: queue_threshold.min(timeout * LATE_TIMEOUT_QUARTERS / 4),
            under_pressure: !capacity.accepts(capacity.concurrency_limit * PRESSURE_SHARE, 0.0, self.now),
        });
        request.attempts.started += 1;
        if let Some(session) = request.session.recorded_session {
            self.session_writes.write_started(session);
        }
        capacity.start_work(p30_latency, self.now);
        self.actions.push(Action::StartAttempt { request: id, endpoint: index, timeout });
    }

    /// Whether an attempt may still be sent. The host asks right before it writes the attempt's bytes. The
    /// position of a replica is not checked again if the endpoint itself checks the staleness of its data.
    /// Endpoints do not check positions that a session has seen, so a read with such a position is always
    /// checked again.
    pub fn may_send_attempt(
        &mut self,
        now: Timestamp,
        id: RequestId,
        number: u32,
        index: EndpointIndex,
    ) -> bool {
        self.now = now;
        let Some(request) = self.requests.get(&id) else { return false };
        let (endpoint, group) = (&self.endpoints[index], &self.groups[request.group]);
        let is_current = request.in_flight.as_ref().is_some_and(|attempt| attempt.number == number);
        let within_retry_window = request.attempts.retry_until.is_none_or(|until| now < until);
        if !is_current || !within_retry_window || !endpoint.listing.serving {
            return false;
        }
        if group.primary == Some(index) {
            return true;
        }
        if self.settings.methods[request.method].is_write() {
            let may_try_candidates = group.primary.is_none() && !self.settings.settings.may_check_health;
            return may_try_candidates && group.is_eligible(index);
        }
        let endpoint_checks_staleness = self.settings.settings.lag_handling != LagHandling::ServeStale;
        let position = endpoint.reported.position;
        (endpoint_checks_staleness && !request.session.includes_seen_position)
            || position >= self.required_position(request)
    }

    /// Applies the end of an attempt to the request, to the positions of the session's writes and to the
    /// latency estimate of the method.
    pub(crate) fn finish_attempt(&mut self, end: &AttemptEnd) {
        self.record_session_write(end);
        let Some(request) = self.requests.get_mut(&end.attempt.request) else { return };
        let Some(attempt) = request.in_flight.take_if(|attempt| attempt.number == end.attempt.number) else {
            return;
        };
        if end.outcome == AttemptOutcome::Succeeded {
            update_p30_latency(&mut self.p30_latency[request.method], end.elapsed);
        } else {
            request.attempts.record_failure(end);
            if !end.outcome.proves_not_executed() {
                let until = attempt.started_at + self.settings.methods[request.method].retry_window;
                request.attempts.retry_until = request.attempts.retry_until.or(Some(until));
            }
        }
        let event = if end.request_closed { RequestEvent::Closed } else { RequestEvent::AttemptFailed };
        self.apply_request_event(end.attempt.request, event);
    }

    /// Records the end of an attempt of a session's write, even if the client has disconnected. If the write
    /// may have been executed, later reads of the session must see the position recorded here: the one that
    /// the endpoint reported in its answer, or else the current time. Endpoints report positions in whole
    /// milliseconds, so only the millisecond after the reported one is certain to include the write.
    fn record_session_write(&mut self, end: &AttemptEnd) {
        if let (false, Some(session)) = (self.settings.settings.clients_send_last_write, end.write_session) {
            let succeeded = end.outcome == AttemptOutcome::Succeeded;
            let position = end.answer_report.position.filter(|_| succeeded).unwrap_or(self.now).min(self.now);
            let may_have_run = !end.outcome.proves_not_executed();
            self.session_writes
                .write_ended(session, may_have_run.then_some(position + TimeDelta::from_millis(1)));
        }
    }
}

/// The estimate of a method's p30 latency is multiplied by this after an answer that took longer than the
/// estimate. The estimate rises in smaller steps than it falls, so it settles where about three in ten answers
/// are faster.
const SLOWER_ANSWER_FACTOR: f64 = 1.02;
/// The estimate of a method's p30 latency is multiplied by this after an answer that took no longer than the
/// estimate.
const FASTER_ANSWER_FACTOR: f64 = 0.95;

/// Adapts the estimate of a method's p30 latency, in seconds, to the latency of an answer.
fn update_p30_latency(p30_latency: &mut f64, elapsed: TimeDelta) {
    let is_slower = elapsed.as_secs_f64() > *p30_latency;
    *p30_latency *= if is_slower { SLOWER_ANSWER_FACTOR } else { FASTER_ANSWER_FACTOR };
}
