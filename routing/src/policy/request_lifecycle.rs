//! The lifecycle of a request: a table of transitions, its arrival, its final answer, and requests that wait.

use crate::state::request::{Request, RequestDeadlines, RequestEvent, RequestPhase, SessionRequirement};
use crate::state::timer_tag::TimerTag;
use crate::time::TimeDelta;
use crate::{Access, Action, GroupIndex, RequestArrival, RequestId, RoutingPolicy};
use std::collections::BTreeSet;
use RequestEvent::{AnswerDue, AttemptFailed, Closed, EndpointSelected, NoProspect, Progress};
use RequestPhase::{Done, InFlight, Waiting};

#[derive(Clone, Copy)]
enum Step {
    SelectEndpoint,
    StartAttempt,
    GiveUp,
    Nothing,
}

/// In the phase `from`, an event that `on` matches leads to the phase `to`, and then to `step`.
struct Transition {
    from: RequestPhase,
    on: fn(RequestEvent) -> bool,
    to: RequestPhase,
    step: Step,
}

const TRANSITIONS: &[Transition] = &[
    Transition { from: Waiting, on: |event| event == Progress, to: Waiting, step: Step::SelectEndpoint },
    Transition {
        from: Waiting,
        on: |event| matches!(event, EndpointSelected(_)),
        to: InFlight,
        step: Step::StartAttempt,
    },
    Transition {
        from: Waiting,
        on: |event| matches!(event, NoProspect | AnswerDue),
        to: Done,
        step: Step::GiveUp,
    },
    Transition { from: Waiting, on: |event| event == Closed, to: Done, step: Step::Nothing },
    Transition {
        from: InFlight,
        on: |event| event == AttemptFailed,
        to: Waiting,
        step: Step::SelectEndpoint,
    },
    Transition { from: InFlight, on: |event| event == AnswerDue, to: Done, step: Step::GiveUp },
    Transition { from: InFlight, on: |event| event == Closed, to: Done, step: Step::Nothing },
];

/// Factor of a method's quick latency: the time that another attempt needs to be of use.
const NEEDED_LATENCY_FACTOR: f64 = 2.0;
/// Divisor of a method's latency objective: the most that this time comes to. Otherwise a method that is no
/// longer attempted would be taken for slow for ever.
const MAX_NEEDED_DIVISOR: i64 = 3;

impl RoutingPolicy {
    /// Takes a new request: opens it, or rejects it if its method is unknown.
    pub(crate) fn on_arrival(&mut self, arrival: &RequestArrival) {
        let (id, group) = (arrival.request, arrival.group);
        self.ensure_group(group);
        let Some(method) = self.settings.methods.get(arrival.method) else {
            self.actions.push(Action::Reject { request: id, retry_after: None });
            return;
        };
        let is_read = !method.is_write();
        let request = self.new_request(arrival);
        self.set_timer(TimerTag::HalfTime(id), request.deadlines.half_time());
        self.set_timer(TimerTag::AnswerDue(id), request.deadlines.answer_by);
        self.requests.insert(id, request);
        self.transition(id, Progress);
        self.earn_health_check(group, arrival.client_retry);
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
        let objective = arrival.received_at + method.latency_objective;
        Request {
            method: arrival.method,
            group: arrival.group,
            deadlines: RequestDeadlines {
                arrived_at: self.now,
                useful_until: if method.useful_when_late { answer_by } else { answer_by.min(objective) },
                answer_by,
            },
            session: SessionRequirement {
                required_position: required.max(arrival.seen_position),
                carries_position: arrival.seen_position.is_some(),
                recorded_session: arrival.session.filter(|_| method.is_write() && !clients_send_last_write),
            },
            client_retry: arrival.client_retry && !method.useful_when_late,
            ..Request::default()
        }
    }

    /// Applies the table of transitions until no event follows.
    pub(crate) fn transition(&mut self, id: RequestId, first: RequestEvent) {
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
                (Step::GiveUp, _) => self.give_up(id),
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

    /// Whether no attempt that could still start would be of use.
    pub(super) fn has_no_prospect(&self, request: &Request) -> bool {
        let quick_latency = self.quick_latency[request.method];
        let expected = TimeDelta::from_secs_f64(quick_latency * NEEDED_LATENCY_FACTOR);
        let objective = self.settings.methods[request.method].latency_objective;
        let needed = expected.min(objective / MAX_NEEDED_DIVISOR);
        let too_late = self.now + needed >= request.deadlines.useful_until;
        let retry_over = request.attempts.retry_until.is_some_and(|until| self.now >= until);
        // After half of its time without reaching any endpoint, the client does better to retry at another
        // instance.
        let unsent = !request.attempts.reached_endpoint && self.now >= request.deadlines.half_time();
        retry_over || too_late || unsent || request.attempts.started >= self.settings.settings.max_attempts
    }

    /// Gives the final answer at once. It is a rejection, which invites a retry, only if a retry is safe.
    fn give_up(&mut self, id: RequestId) {
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

    /// Tries a group's waiting requests again, the most urgent methods first. Once one has to wait on, the
    /// other requests of its method wait on too.
    pub(crate) fn retry_waiting(&mut self, group: GroupIndex) {
        for nth in 0..self.settings.retry_order.len() {
            let method = self.settings.retry_order[nth];
            // Newest first, so that under overload some are answered in time rather than all late; then
            // oldest first, for requests that had to wait for a replica to catch up.
            for end in [BTreeSet::last, BTreeSet::first] {
                while let Some(&next) = end(&self.groups[group].waiting[method]) {
                    self.transition(next, Progress);
                    if end(&self.groups[group].waiting[method]) == Some(&next) {
                        break;
                    }
                }
            }
        }
    }
}
