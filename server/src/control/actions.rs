//! Performs the actions of the routing policy, in the order in which the policy requested them.

use crate::control::control_loop::ControlLoop;
use crate::log;
use crate::messages::control::{AttemptJob, AttemptResult, AttemptTimes};
use crate::messages::response::Response;
use routing::time::{TimeDelta, Timestamp};
use routing::{Action, AttemptId, AttemptOutcome, EndpointIndex, EndpointReport, Event, RequestId};

impl ControlLoop {
    /// Performs all pending actions, and those that the policy requests because an attempt was not started.
    pub(super) fn perform_actions(&mut self, now: Timestamp) {
        while !self.state.actions.is_empty() {
            let mut not_sent = Vec::new();
            for action in std::mem::take(&mut self.state.actions) {
                self.perform_action(now, action, &mut not_sent);
            }
            for result in not_sent {
                self.on_attempt_not_sent(now, result);
            }
        }
    }

    /// Performs one action. The result of an attempt that is not started is appended to `not_sent`.
    fn perform_action(&mut self, now: Timestamp, action: Action, not_sent: &mut Vec<AttemptResult>) {
        match action {
            Action::StartAttempt { request, endpoint, timeout } => {
                not_sent.extend(self.start_attempt(now, request, endpoint, timeout));
            }
            Action::Reject { request, retry_after } => self.reject(now, request, retry_after),
            Action::Abort { request } => {
                self.state.log_decision(request, "abort", now);
                self.state.answer(now, request, Response::Aborted);
            }
            Action::CancelAttempt { request, attempt } => self.cancel_attempt(request, attempt),
            Action::SetTimer { tag, at } => self.state.deadlines.set_timer(at, tag),
            Action::CheckHealth { endpoint } => self.check_health(now, endpoint),
            // Nothing to do: the discovery watch runs all the time and is reopened whenever it ends.
            Action::WatchEndpointList | Action::FetchEndpointList => {}
            Action::Log(message) => log!(INFO; "routing policy: {message}"),
        }
    }

    /// Starts an attempt. Returns its result if it is not started: its request was closed after the policy requested
    /// the attempt, or its endpoint has no address.
    fn start_attempt(
        &mut self,
        now: Timestamp,
        request: RequestId,
        endpoint: EndpointIndex,
        timeout: TimeDelta,
    ) -> Option<AttemptResult> {
        let state = &self.state;
        state.log_decision(request, "attempt", now);
        let attempt = state.requests.get(request).and_then(|active| Some((active, active.attempt.as_ref()?)));
        let Some((active, started)) = attempt else {
            log!(WARN, request = request; "attempt of a request that is not registered, not started");
            return None;
        };
        let attempt = AttemptId { request, number: started.number, endpoint };
        let addr = state.addr(endpoint).filter(|_| state.requests.is_open(request));
        let Some(addr) = addr else {
            return Some(AttemptResult::not_sent(attempt, now));
        };
        self.dispatcher.start_attempt(AttemptJob {
            attempt,
            addr,
            times: AttemptTimes { started_at: now, deadline: now + timeout },
            outgoing: active.outgoing_request(),
            cancellation: started.cancellation.clone(),
        });
        None
    }

    /// Ends an attempt that was not started.
    fn on_attempt_not_sent(&mut self, now: Timestamp, result: AttemptResult) {
        self.state.end_attempt(now, result, self.config.settings.max_retry_after);
    }

    /// Rejects a request. A duplicate of a request that may have been executed is aborted instead, because a
    /// rejection would tell the client that the request was not executed.
    fn reject(&mut self, now: Timestamp, request: RequestId, retry_after: Option<TimeDelta>) {
        let is_duplicate =
            self.state.requests.get(request).is_some_and(|active| active.execution.is_duplicate);
        if is_duplicate {
            self.state.log_decision(request, "abort", now);
            self.state.answer(now, request, Response::Aborted);
        } else {
            self.state.log_decision(request, "reject", now);
            self.state.answer(now, request, Response::Rejected { retry_after });
        }
    }

    /// Cancels an attempt if it is the latest one of its request.
    fn cancel_attempt(&mut self, request: RequestId, number: u32) {
        let started = self.state.requests.get(request).and_then(|active| active.attempt.as_ref());
        if let Some(attempt) = started.filter(|attempt| attempt.number == number) {
            attempt.cancellation.cancel();
        }
    }

    /// Starts a health check; it fails at once if the endpoint has no address.
    fn check_health(&mut self, now: Timestamp, endpoint: EndpointIndex) {
        match self.state.addr(endpoint) {
            Some(addr) => self.dispatcher.check_health(endpoint, addr),
            None => {
                let event = Event::HealthCheckEnded {
                    endpoint,
                    outcome: AttemptOutcome::Unreachable,
                    elapsed: TimeDelta::ZERO,
                    report: EndpointReport::default(),
                };
                self.state.report_to_policy(now, event);
            }
        }
    }
}
