//! Checks of the policy's actions after every event.

use super::*;

impl Harness {
    /// Checks that each request gets its final answer at least a tick before its deadline.
    pub(super) fn check_deadlines(&self) {
        for (request, open) in &self.open_requests {
            assert!(
                self.now + TICK <= open.deadline,
                "request {request} has no final answer a tick before its deadline"
            );
        }
    }

    /// Checks the actions that the policy requested and updates the state of the harness.
    pub(super) fn check(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SetTimer { tag, at } => self.timers.push((at, tag)),
                Action::CheckHealth { endpoint } => {
                    assert!(
                        self.routing_settings.may_check_health,
                        "health check of endpoint {endpoint} although health checks are not allowed"
                    );
                    self.health_checks.push(endpoint);
                }
                Action::StartAttempt { request, endpoint, timeout } => {
                    self.check_attempt(request, endpoint, timeout);
                }
                Action::Reject { request, retry_after } => self.check_rejection(request, retry_after),
                Action::Abort { request } => {
                    self.open_requests.remove(&request).expect("the only final answer to an open request");
                    self.answers.insert(request, Answer::Aborted);
                }
                _ => {}
            }
        }
    }

    /// Checks that a rejection is the only final answer, that the request may safely be retried, and that the rejection
    /// has a Retry-After if and only if the settings allow one.
    fn check_rejection(&mut self, request: RequestId, retry_after: Option<TimeDelta>) {
        let open = self.open_requests.remove(&request).expect("the only final answer to an open request");
        let may_have_run = open.first_run_at.is_some() || open.in_flight.is_some();
        let idempotency = self.routing_settings.methods[open.method].idempotency;
        assert!(
            idempotency == Idempotency::Idempotent || !may_have_run,
            "request {request} was rejected although it may have run"
        );
        match (self.routing_settings.max_retry_after, retry_after) {
            (None, None) => {}
            (Some(longest), Some(delay)) => {
                assert!(
                    (TimeDelta::ZERO..=longest).contains(&delay),
                    "a Retry-After of {delay:?}, at most {longest:?} is allowed"
                );
            }
            (allowed, given) => panic!("a Retry-After of {given:?}, the settings allow {allowed:?}"),
        }
        self.answers.insert(request, Answer::Rejected);
    }

    /// Checks that an attempt belongs to an open request, keeps within the request's limits, and goes to an endpoint
    /// that may get it. Then records the attempt.
    fn check_attempt(&mut self, request: RequestId, endpoint: EndpointIndex, timeout: TimeDelta) {
        self.check_attempt_count(request);
        self.check_attempt_endpoint(request, endpoint);
        self.check_attempt_time(request, timeout);
        self.check_attempt_position(request, endpoint);
        self.record_attempt(request, endpoint);
    }

    /// The open request that an attempt belongs to, and the settings of the request's method.
    fn request_of_attempt(&self, request: RequestId) -> (&OpenRequest, &MethodSettings) {
        let open = self.open_requests.get(&request).expect("an attempt of an open request");
        (open, &self.routing_settings.methods[open.method])
    }

    /// Checks that a request has no other attempt in flight, and at most the allowed number of attempts.
    fn check_attempt_count(&self, request: RequestId) {
        let (open, _) = self.request_of_attempt(request);
        assert!(open.in_flight.is_none(), "request {request} has two attempts in flight");
        assert!(
            open.attempts < self.routing_settings.max_attempts,
            "request {request} has too many attempts"
        );
    }

    /// Checks that an attempt goes to a serving endpoint of the request's group, and a write to an eligible primary.
    fn check_attempt_endpoint(&self, request: RequestId, endpoint: EndpointIndex) {
        let (open, method) = self.request_of_attempt(request);
        assert_eq!(
            self.group_of[endpoint], open.group,
            "request {request} was sent to another group's endpoint"
        );
        let is_write = method.access == Access::Write;
        match self.eligibility_of[open.group] {
            PrimaryEligibility::NoMember => {
                assert!(!is_write, "a write was sent to a group without an eligible primary");
            }
            PrimaryEligibility::Only(eligible) => {
                assert!(
                    !is_write || endpoint == eligible,
                    "a write was sent to the ineligible endpoint {endpoint}"
                );
            }
            PrimaryEligibility::Any => {}
        }
        assert!(self.is_serving[endpoint], "endpoint {endpoint} is draining or removed");
    }

    /// Checks that an attempt times out before the request's deadline, and that a request that may have run is only
    /// sent again if its method allows it at this time.
    fn check_attempt_time(&self, request: RequestId, timeout: TimeDelta) {
        let (open, method) = self.request_of_attempt(request);
        assert!(
            timeout > TimeDelta::ZERO && self.now + timeout < open.deadline,
            "timeout {timeout:?} of request {request} is zero or beyond the deadline"
        );
        match (open.first_run_at, method.idempotency) {
            (Some(_), Idempotency::NonIdempotent) => {
                panic!("the non-idempotent request {request} was sent again although it may have run")
            }
            (Some(first_run_at), Idempotency::Keyed { .. }) => {
                assert!(
                    self.now < first_run_at + DEDUP_WINDOW,
                    "request {request} was sent again after its deduplication window"
                );
            }
            _ => {}
        }
    }

    /// Checks that a read goes to an endpoint whose position is high enough for the method's staleness bound and for
    /// what the session has seen.
    fn check_attempt_position(&self, request: RequestId, endpoint: EndpointIndex) {
        let (open, method) = self.request_of_attempt(request);
        if self.routing_settings.lag_handling == LagHandling::ServeStale && !self.claims_primary[endpoint] {
            let required = match method.access {
                Access::BoundedRead(bound) => Some(self.now - bound),
                Access::StrongRead => Some(open.deadline - method.deadline),
                _ => None,
            };
            assert!(
                required.is_none() || self.highest_position[endpoint] >= required,
                "request {request} was sent to endpoint {endpoint}, which is not known to be fresh enough"
            );
        }
        let is_write = method.access == Access::Write;
        if !is_write && !self.claims_primary[endpoint] {
            assert!(
                open.seen_position.is_none() || self.highest_position[endpoint] >= open.seen_position,
                "request {request} was sent to endpoint {endpoint}, behind its session's seen position"
            );
        }
    }

    /// Records an attempt as the attempt in flight of its request.
    fn record_attempt(&mut self, request: RequestId, endpoint: EndpointIndex) {
        if self.started_at[endpoint].is_some_and(|at| self.now - at < self.routing_settings.overload_window) {
            self.attempts_in_slow_start[endpoint].push(self.now);
        }
        let open = self.open_requests.get_mut(&request).expect("an attempt of an open request");
        open.in_flight = Some(InFlight { attempt: open.attempts, endpoint, sent_at: self.now });
        open.attempts += 1;
        self.sent_attempts.push(SentAttempt { request, endpoint });
    }

    /// The endpoint of the attempt in flight of `request`; `None` if the request waits or has its final answer.
    pub fn endpoint_of(&self, request: RequestId) -> Option<EndpointIndex> {
        self.open_requests.get(&request).and_then(|open| open.in_flight).map(|in_flight| in_flight.endpoint)
    }
}
