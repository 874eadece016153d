//! The lifecycle of a request, from its arrival to its final answer, as a table of transitions.

use crate::state::request::{Request, RequestDeadlines, RequestEvent, RequestPhase, SessionRequirement};
use crate::state::timer_tag::TimerTag;
use crate::time::TimeDelta;
use crate::{Access, Action, GroupIndex, RequestArrival, RequestId, RoutingPolicy};
use std::collections::BTreeSet;
use RequestEvent::{AnswerDue, AttemptFailed, AttemptPossible, CannotSucceed, Closed, EndpointSelected};
use RequestPhase::{Done, InFlight, Waiting};

/// What is done for a request after it has entered a phase.
#[derive(Clone, Copy)]
enum Step {
    SelectEndpoint,
    StartAttempt,
    RejectOrAbort,
    Nothing,
}

/// A row of the transition table: in the phase `from`, an event that `on` matches moves the request to the phase
/// `to`; then `step` is done.
struct Transition {
    from: RequestPhase,
    on: fn(RequestEvent) -> bool,
    to: RequestPhase,
    step: Step,
}

const TRANSITIONS: &[Transition] = &[
    Transition {
        from: Waiting,
        on: |event| event == AttemptPossible,
        to: Waiting,
        step: Step::SelectEndpoint,
    },
    Transition {
        from: Waiting,
        on: |event| matches!(event, EndpointSelected(_)),
        to: InFlight,
        step: Step::StartAttempt,
    },
    Transition {
        from: Waiting,
        on: |event| matches!(event, CannotSucceed | AnswerDue),
        to: Done,
        step: Step::RejectOrAbort,
    },
    Transition { from: Waiting, on: |event| event == Closed, to: Done, step: Step::Nothing },
    Transition {
        from: InFlight,
        on: |event| event == AttemptFailed,
        to: Waiting,
        step: Step::SelectEndpoint,
    },
    Transition { from: InFlight, on: |event| event == AnswerDue, to: Done, step: Step::RejectOrAbort },
    Transition { from: InFlight, on: |event| event == Closed, to: Done, step: Step::Nothing },
];

/// An attempt is expected to take its method's p30 latency times this.
const EXPECTED_LATENCY_FACTOR: f64 = 2.0;
/// The expected latency of an attempt is at most its method's latency objective divided by this. Without this
/// maximum, a method whose estimate is too high would never be attempted, and the estimate would never fall.
const MAX_EXPECTED_LATENCY_DIVISOR: i64 = 3;

impl RoutingPolicy {
    /// Handles a new request. A request of an unknown method is rejected at once.
    pub(crate) fn on_arrival(&mut self, arrival: &RequestArrival) {
        let (id, group) = (arrival.request, arrival.group);
        self.ensure_group(group);
        let Some(method) = self.settings.methods.get(arrival.method) else {
            self.actions.push(Action::Reject { request: id, retry_after: None });
            return;
        };
        let is_read = !method.is_write();
        let request = self.new_request(arrival);
        self.set_timer(TimerTag::HalfTimeout(id), request.deadlines.half_timeout_at());
        self.set_timer(TimerTag::AnswerDue(id), request.deadlines.answer_by);
        self.requests.insert(id, request);
        self.apply_request_event(id, AttemptPossible);
        self.add_health_check_credit(group, arrival.client_retry);
        self.schedule_health_checks(group, is_read);
    }

    fn new_request(&self, arrival: &RequestArrival) -> Request {
        let method = &self.settings.methods[arrival.method];
        let clients_send_last_write = self.settings.settings.clients_send_last_write;
        let required = match method.access {
            Access::StrongRead => Some(self.now),
            Access::SessionRead if clients_send_last_write => arrival.last_write.map(|ago| self.now - ago),
            Access::SessionRead => self.session_writes.required_position(arrival.session, self.now),
            _ => None,
        };
        let answer_by = arrival.deadline - self.settings.times.answer_margin;
        let objective_ends = arrival.received_at + method.latency_objective;
        Request {
            method: arrival.method,
            group: arrival.group,
            deadlines: RequestDeadlines {
                arrived_at: self.now,
                useful_until: if method.useful_when_late { answer_by } else { answer_by.min(objective_ends) },
                answer_by,
            },
            session: SessionRequirement {
                required_position: required.max(arrival.seen_position),
                includes_seen_position: arrival.seen_position.is_some(),
                recorded_session: arrival.session.filter(|_| method.is_write() && !clients_send_last_write),
            },
            client_retry: arrival.client_retry && !method.useful_when_late,
            ..Request::default()
        }
    }

    /// Applies an event to a request by the transition table. An endpoint selection may cause another event, which
    /// is applied too.
    pub(crate) fn apply_request_event(&mut self, id: RequestId, first: RequestEvent) {
        let mut next = Some(first);
        while let Some(event) = next {
            let Some(request) = self.requests.get_mut(&id) else { return };
            let phase = request.phase;
            let transition = TRANSITIONS.iter().find(|row| row.from == phase && (row.on)(event));
            let Some(&Transition { to, step, .. }) = transition else { return };
            request.phase = to;
            let (method, group) = (request.method, request.group);
            next = match (step, event) {
                (Step::SelectEndpoint, _) => self.select_endpoint(id),
                _ => None,
            };
            match (step, event) {
                (Step::StartAttempt, EndpointSelected(endpoint)) => {
                    self.start_attempt(id, endpoint);
                }
                (Step::RejectOrAbort, _) => self.reject_or_abort(id),
                _ => {}
            }
            let waiting = &mut self.groups[group].waiting[method];
            if to == Waiting && next.is_none() {
                waiting.insert(id);
            } else {
                waiting.remove(&id);
            }
            if to == Done {
                self.requests.remove(&id);
            }
        }
    }

    /// Whether no further attempt can give a useful answer, so that the request gets its final answer now.
    pub(super) fn cannot_succeed(&self, request: &Request) -> bool {
        let p30_latency = self.p30_latency[request.method];
        let estimate = TimeDelta::from_secs_f64(p30_latency * EXPECTED_LATENCY_FACTOR);
        let objective = self.settings.methods[request.method].latency_objective;
        let expected = estimate.min(objective / MAX_EXPECTED_LATENCY_DIVISOR);
        let too_late = self.now + expected >= request.deadlines.useful_until;
        let retry_window_over = request.attempts.retry_until.is_some_and(|until| self.now >= until);
        // If the request has reached no endpoint within half of its time, the client should retry at another
        // instance.
        let is_unsent = !request.attempts.reached_endpoint && self.now >= request.deadlines.half_timeout_at();
        retry_window_over
            || too_late
            || is_unsent
            || request.attempts.started >= self.settings.settings.max_attempts
    }

    /// Gives the final answer: a rejection if the client may safely retry, otherwise an abort. Cancels the attempt
    /// in flight if the settings allow that.
    fn reject_or_abort(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let may_have_run = request.attempts.retry_until.is_some() || request.in_flight.is_some();
        if self.settings.methods[request.method].client_may_retry || !may_have_run {
            let left = (request.deadlines.answer_by - self.now).max(TimeDelta::ZERO);
            let retry_after = self.settings.settings.max_retry_after.map(|longest| left.min(longest));
            self.actions.push(Action::Reject { request: id, retry_after });
        } else {
            self.actions.push(Action::Abort { request: id });
        }
        if let Some(attempt) = request.in_flight.as_ref().filter(|_| self.settings.settings.may_cancel) {
            self.actions.push(Action::CancelAttempt { request: id, attempt: attempt.number });
        }
    }

    /// Tries to send a group's waiting requests, the most urgent methods first. Each of the two passes over a
    /// method's requests ends at the first request that has to keep waiting.
    pub(crate) fn retry_waiting(&mut self, group: GroupIndex) {
        for urgency_rank in 0..self.settings.retry_order.len() {
            let method = self.settings.retry_order[urgency_rank];
            // First the newest request is tried, so that under overload some requests are answered in time
            // rather than all of them late. Then the oldest is tried, because a request that arrived earlier
            // may need a position that replicas have reached meanwhile.
            for end in [BTreeSet::last, BTreeSet::first] {
                while let Some(&next) = end(&self.groups[group].waiting[method]) {
                    self.apply_request_event(next, AttemptPossible);
                    if end(&self.groups[group].waiting[method]) == Some(&next) {
                        break;
                    }
                }
            }
        }
    }
}
