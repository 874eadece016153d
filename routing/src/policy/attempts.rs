//! Attempts: their start, the confirmation right before their bytes are sent, and the consequences of how
//! they ended.

use crate::state::request::{InFlightAttempt, RequestEvent};
use crate::time::{TimeDelta, Timestamp};
use crate::{Action, AttemptEnd, AttemptOutcome, EndpointIndex, LagHandling, RequestId, RoutingPolicy};

/// Divisor of the tightest latency objective: the queueing that any attempt may meet before its answer counts
/// as late.
const QUEUE_ALLOWANCE_DIVISOR: i64 = 2;
/// The fraction of an attempt's timeout, in quarters, from which its answer counts as late in any case.
const LATE_TIMEOUT_QUARTERS: i64 = 3;
/// The fraction of its concurrency limit from which an endpoint is under pressure, so that a prompt answer
/// shows that the limit may be raised.
const PRESSURE_SHARE: f64 = 0.5;
impl RoutingPolicy {
    /// Starts an attempt of a waiting request at an endpoint.
    pub(super) fn start_attempt(&mut self, id: RequestId, index: EndpointIndex) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let method = &self.settings.methods[request.method];
        // An endpoint does not begin work past its timeout, so work whose answer is worthless is not done.
        let until =
            if method.is_write() { request.deadlines.answer_by } else { request.deadlines.useful_until };
        let timeout = (until - self.now).max(TimeDelta(1));
        // The queue that any method tolerates must suit the tightest objective, or the method with that
        // objective would be starved by the others.
        let quick = self.quick_latency[request.method];
        let suits_all = TimeDelta::from_secs_f64(quick)
            + self.settings.times.tightest_objective / QUEUE_ALLOWANCE_DIVISOR;
        let queue = if method.delays_replication { timeout } else { suits_all };
        let capacity = &mut self.endpoints[index].capacity;
        request.in_flight = Some(InFlightAttempt {
            number: request.attempts.started,
            started_at: self.now,
            work: quick,
            queue_threshold: queue.min(timeout * LATE_TIMEOUT_QUARTERS / 4),
            under_pressure: !capacity.accepts(capacity.concurrency_limit * PRESSURE_SHARE, 0.0, self.now),
        });
        request.attempts.started += 1;
        if let Some(session) = request.session.recorded_session {
            self.session_writes.started(session);
        }
        capacity.start_work(quick, self.now);
        self.actions.push(Action::StartAttempt { request: id, endpoint: index, timeout });
    }

    /// Whether an attempt may still be sent, asked right before its bytes are written. The staleness of the
    /// endpoint is not checked again if the endpoint checks it itself.
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
        let may_run = request.attempts.retry_until.is_none_or(|until| now < until);
        if !is_current || !may_run || !endpoint.listing.serving {
            return false;
        }
        if group.primary == Some(index) {
            return true;
        }
        if self.settings.methods[request.method].is_write() {
            let discovers = group.primary.is_none() && !self.settings.settings.may_check_health;
            return discovers && group.is_eligible(index);
        }
        let checked_there = self.settings.settings.lag_handling != LagHandling::ServeStale;
        let position = endpoint.reported.position;
        (checked_there && !request.session.carries_position) || position >= self.required_position(request)
    }

    pub(crate) fn finish_attempt(&mut self, end: &AttemptEnd) {
        self.record_session_write(end);
        let Some(request) = self.requests.get_mut(&end.attempt.request) else { return };
        let Some(attempt) = request.in_flight.take_if(|attempt| attempt.number == end.attempt.number) else {
            return;
        };
        if end.outcome == AttemptOutcome::Succeeded {
            adapt_quick_latency(&mut self.quick_latency[request.method], end.elapsed);
        } else {
            request.attempts.record_failure(end);
            if !end.outcome.proves_not_executed() {
                let until = attempt.started_at + self.settings.methods[request.method].retry_window;
                request.attempts.retry_until = request.attempts.retry_until.or(Some(until));
            }
        }
        let event = if end.request_closed { RequestEvent::Closed } else { RequestEvent::AttemptFailed };
        self.transition(end.attempt.request, event);
    }

    /// Records the position that later reads of a write's session must see, if the write may have run, even
    /// if its client has left. Positions are reported in whole milliseconds, so only the next one surely
    /// includes the write.
    fn record_session_write(&mut self, end: &AttemptEnd) {
        if let (false, Some(session)) = (self.settings.settings.clients_send_last_write, end.write_session) {
            let succeeded = end.outcome == AttemptOutcome::Succeeded;
            let reported = end.answer_report.position.filter(|_| succeeded).unwrap_or(self.now).min(self.now);
            let may_have_run = !end.outcome.proves_not_executed();
            self.session_writes.ended(session, may_have_run.then_some(reported + TimeDelta::from_millis(1)));
        }
    }
}

/// Factors by which an answer that took longer or less long moves the estimate of a method's quick latency.
/// Longer answers move it by less, so it settles where about three in ten answers are quicker.
const SLOWER_ANSWER_FACTOR: f64 = 1.02;
const QUICKER_ANSWER_FACTOR: f64 = 0.95;

/// Adapts the estimate of a method's quick latency, in seconds, to the latency of an answer.
fn adapt_quick_latency(quick_latency: &mut f64, elapsed: TimeDelta) {
    let is_slower = elapsed.as_secs_f64() > *quick_latency;
    *quick_latency *= if is_slower { SLOWER_ANSWER_FACTOR } else { QUICKER_ANSWER_FACTOR };
}
