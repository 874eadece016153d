//! The rules that a policy's actions must keep, checked after every event.

use super::*;

impl Harness {
    /// Checks that no request is overdue: each gets its final answer at least a tick before its deadline.
    pub(super) fn check_deadlines(&self) {
        for (request, open) in &self.open_requests {
            assert!(
                self.now + TICK <= open.deadline,
                "request {request} has no answer a tick before its deadline"
            );
        }
    }

    /// Checks the actions that the policy requested, and keeps what the harness needs of them.
    pub(super) fn check(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SetTimer { tag, at } => self.timers.push((at, tag)),
                Action::CheckHealth { endpoint } => {
                    assert!(
                        self.routing_settings.may_check_health,
                        "a health check although they are not allowed"
                    );
                    self.health_checks.push(endpoint);
                }
                Action::StartAttempt { request, endpoint, timeout } => {
                    self.check_send(request, endpoint, timeout);
                }
                Action::Reject { request, retry_after } => self.check_reject(request, retry_after),
                Action::Abort { request } => {
                    self.open_requests.remove(&request).expect("the only final answer to an open request");
                    self.answers.insert(request, Answer::Aborted);
                }
                _ => {}
            }
        }
    }

    /// A rejection is the only final answer, is safe to retry, and has a Retry-After exactly if the settings allow one.
    fn check_reject(&mut self, request: RequestId, retry_after: Option<TimeDelta>) {
        let open = self.open_requests.remove(&request).expect("the only final answer to an open request");
        let ran = open.first_run_at.is_some() || open.in_flight.is_some();
        let idempotency = self.routing_settings.methods[open.method].idempotency;
        assert!(idempotency == Idempotency::Idempotent || !ran, "rejected though it may have run");
        match (self.routing_settings.max_retry_after, retry_after) {
            (None, None) => {}
            (Some(longest), Some(delay)) => {
                assert!((TimeDelta::ZERO..=longest).contains(&delay), "a Retry-After of {delay:?}");
            }
            (allowed, given) => panic!("a Retry-After of {given:?} where the settings allow {allowed:?}"),
        }
        self.answers.insert(request, Answer::Rejected);
    }

    /// An attempt is of an open request, within its limits, and goes to an endpoint that may get it.
    fn check_send(&mut self, request: RequestId, endpoint: EndpointIndex, timeout: TimeDelta) {
        let open = self.open_requests.get_mut(&request).expect("an attempt of an open request");
        let method = &self.routing_settings.methods[open.method];
        assert!(open.in_flight.is_none(), "two attempts in flight at once");
        assert!(open.attempts < self.routing_settings.max_attempts, "too many attempts");
        assert_eq!(self.group_of[endpoint], open.group, "sent to an endpoint of another group");
        let writes = method.access == Access::Write;
        match self.eligibility_of[open.group] {
            PrimaryEligibility::NoMember => {
                assert!(!writes, "a write to a group without an eligible primary");
            }
            PrimaryEligibility::Only(one) => {
                assert!(!writes || endpoint == one, "a write to an ineligible endpoint");
            }
            PrimaryEligibility::Any => {}
        }
        assert!(self.is_serving[endpoint], "sent to an endpoint that is draining or removed");
        assert!(
            timeout > TimeDelta::ZERO && self.now + timeout < open.deadline,
            "a timeout of zero, or one beyond the deadline"
        );
        match (open.first_run_at, method.idempotency) {
            (Some(_), Idempotency::NonIdempotent) => {
                panic!("a non-idempotent request that may have run was sent again")
            }
            (Some(ran), Idempotency::Keyed { .. }) => {
                assert!(self.now < ran + DEDUP_WINDOW, "sent again after its deduplication window");
            }
            _ => {}
        }
        if self.routing_settings.lag_handling == LagHandling::ServeStale && !self.claims_primary[endpoint] {
            let needed = match method.access {
                Access::BoundedRead(bound) => Some(self.now - bound),
                Access::StrongRead => Some(open.deadline - method.deadline),
                _ => None,
            };
            assert!(
                needed.is_none() || self.reported[endpoint] >= needed,
                "sent to an endpoint not known to be fresh enough"
            );
        }
        if !writes && !self.claims_primary[endpoint] {
            assert!(
                open.seen_position.is_none() || self.reported[endpoint] >= open.seen_position,
                "sent to an endpoint behind the position that its session has seen"
            );
        }
        if self.started_at[endpoint].is_some_and(|at| self.now - at < self.routing_settings.overload_window) {
            self.sent_in_slow_start[endpoint].push(self.now);
        }
        open.in_flight = Some(InFlight { attempt: open.attempts, endpoint, sent: self.now });
        open.attempts += 1;
        self.sent.push(SentAttempt { request, endpoint });
    }

    /// The endpoint of the attempt in flight of `request`.
    pub fn endpoint_of(&self, request: RequestId) -> Option<EndpointIndex> {
        self.open_requests.get(&request).and_then(|open| open.in_flight).map(|in_flight| in_flight.endpoint)
    }
}
