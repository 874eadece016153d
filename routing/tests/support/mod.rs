//! A harness that reports scripted events to a routing policy and checks the policy's actions after each of them. No
//! test file uses the whole harness.

use routing::time::{TimeDelta, Timestamp};
use routing::RoutingPolicy;
use routing::*;
use std::collections::BTreeMap;

mod checks;
mod events;
mod settings;
pub use events::*;
pub use settings::*;

/// An attempt in flight: its index among the attempts of its request, its endpoint, and when it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlight {
    pub attempt: u32,
    pub endpoint: EndpointIndex,
    pub sent_at: Timestamp,
}

/// An attempt that the policy has started at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentAttempt {
    pub request: RequestId,
    pub endpoint: EndpointIndex,
}

/// The final answer that a request got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// An attempt of the request succeeded.
    Succeeded,
    /// The policy rejected the request.
    Rejected,
    /// The policy aborted the request.
    Aborted,
}

/// A request without a final answer.
pub struct OpenRequest {
    /// The request's method, an index into the settings' methods.
    pub method: MethodIndex,
    /// The group that serves the request.
    pub group: GroupIndex,
    /// When the client stops waiting for the final answer.
    pub deadline: Timestamp,
    /// The request's attempt in flight.
    pub in_flight: Option<InFlight>,
    /// Number of attempts of the request so far.
    pub attempts: u32,
    /// When the first attempt that may have run was sent.
    pub first_run_at: Option<Timestamp>,
    /// The position that the request's session has seen.
    pub seen_position: Option<Timestamp>,
}

/// A routing policy driven by scripted events, with checks of the actions that it requests.
pub struct Harness {
    /// The policy under test.
    pub policy: RoutingPolicy,
    /// The settings of the policy.
    pub routing_settings: RoutingSettings,
    /// The current time of the script.
    pub now: Timestamp,
    /// The requests without a final answer.
    pub open_requests: BTreeMap<RequestId, OpenRequest>,
    /// The timers that the policy has set and that have not fired: due time and tag.
    pub timers: Vec<(Timestamp, u64)>,
    /// The endpoints with a health check in progress, in the order in which the checks were requested.
    pub health_checks: Vec<EndpointIndex>,
    /// The group of each endpoint.
    pub group_of: Vec<GroupIndex>,
    /// Whether each endpoint is listed as serving.
    pub is_serving: Vec<bool>,
    /// The highest position that each endpoint has reported, if any.
    pub highest_position: Vec<Option<Timestamp>>,
    /// Whether each endpoint has claimed to be primary and has not denied it in an answer since.
    pub claims_primary: Vec<bool>,
    /// When each endpoint started, if known.
    pub started_at: Vec<Option<Timestamp>>,
    /// The times of attempts to each endpoint within the overload window after its start.
    pub attempts_in_slow_start: Vec<Vec<Timestamp>>,
    /// Which endpoints of each group are eligible as the group's primary.
    pub eligibility_of: Vec<PrimaryEligibility>,
    /// The final answer of each request that has one.
    pub answers: BTreeMap<RequestId, Answer>,
    /// Every attempt that was started, in order.
    pub sent_attempts: Vec<SentAttempt>,
    /// The load that endpoints report in the next health checks.
    pub reported_load: Option<f64>,
    /// The position that the session has seen, for the requests from now on.
    pub seen_position: Option<Timestamp>,
    next_request: RequestId,
}

impl Harness {
    /// Creates a policy with `groups` groups of three endpoints. The first endpoint of each group is listed as its
    /// primary. All endpoints have reported their roles and the current time as their position in a health check.
    pub fn with_health_checks(lag_handling: LagHandling, groups: usize, seed: u64) -> Harness {
        Harness::with_instances(2, lag_handling, groups, seed)
    }

    /// Like [`Harness::with_health_checks`], for a deployment of `instances` instances.
    pub fn with_instances(instances: u32, lag_handling: LagHandling, groups: usize, seed: u64) -> Harness {
        Harness::new(RoutingSettings { instances, ..routing_settings(lag_handling) }, groups, seed)
    }

    /// Like [`Harness::with_health_checks`], but health checks are not allowed and the list names no primaries, so that
    /// nothing is known of any endpoint.
    pub fn without_health_checks(lag_handling: LagHandling, groups: usize, seed: u64) -> Harness {
        Harness::new(
            RoutingSettings { may_check_health: false, ..routing_settings(lag_handling) },
            groups,
            seed,
        )
    }

    fn new(routing_settings: RoutingSettings, groups: usize, seed: u64) -> Harness {
        let (policy, actions) = policy_at_start(seed, &routing_settings);
        let now = START;
        let endpoints = groups * 3;
        let mut harness = Harness {
            policy,
            routing_settings,
            now,
            open_requests: BTreeMap::new(),
            timers: Vec::new(),
            health_checks: Vec::new(),
            group_of: (0..endpoints).map(|index| index / 3).collect(),
            is_serving: vec![true; endpoints],
            highest_position: vec![None; endpoints],
            claims_primary: vec![false; endpoints],
            started_at: vec![None; endpoints],
            attempts_in_slow_start: vec![Vec::new(); endpoints],
            eligibility_of: vec![PrimaryEligibility::Any; groups],
            answers: BTreeMap::new(),
            sent_attempts: Vec::new(),
            reported_load: None,
            seen_position: None,
            next_request: 0,
        };
        harness.check(actions);
        let records =
            (0..endpoints).map(|index| harness.list_record(index, EndpointStatus::Serving)).collect();
        harness.report(Event::EndpointList { complete: true, records });
        let checked = if harness.routing_settings.may_check_health { endpoints } else { 0 };
        for index in 0..checked {
            harness.health_check_ended(index, AttemptOutcome::Succeeded, now, index % 3 == 0);
        }
        harness
    }

    /// The list entry of `endpoint` with `status`. The endpoint is listed as the primary if it is the first of its
    /// group and health checks are allowed.
    pub fn list_record(&self, endpoint: EndpointIndex, status: EndpointStatus) -> EndpointRecord {
        let (group, primary) =
            (self.group_of[endpoint], self.routing_settings.may_check_health && endpoint.is_multiple_of(3));
        EndpointRecord {
            endpoint,
            group,
            zone: endpoint % 2,
            status,
            primary,
            started_at: self.started_at[endpoint],
            start_is_upper_bound: false,
        }
    }

    /// Reports an update of the endpoint list that changes `endpoint` to `status`.
    pub fn update_listing(&mut self, endpoint: EndpointIndex, status: EndpointStatus) {
        self.is_serving[endpoint] = status == EndpointStatus::Serving;
        let records = vec![self.list_record(endpoint, status)];
        self.report(Event::EndpointList { complete: false, records });
    }

    /// Reports which endpoints of `group` are eligible as the group's primary.
    pub fn set_eligibility(&mut self, group: GroupIndex, eligibility: PrimaryEligibility) {
        self.eligibility_of[group] = eligibility;
        self.report(Event::PrimaryEligibility { group, eligibility });
    }

    /// Reports a new request of session 7. The client waits for the fraction `deadline_fraction` of the method's
    /// deadline.
    pub fn arrive(&mut self, method: MethodIndex, group: GroupIndex, deadline_fraction: f64) -> RequestId {
        let deadline = self.now + self.routing_settings.methods[method].deadline.mul_f64(deadline_fraction);
        let request = self.next_request;
        self.next_request += 1;
        let seen_position = self.seen_position;
        let open = OpenRequest {
            method,
            group,
            deadline,
            in_flight: None,
            attempts: 0,
            first_run_at: None,
            seen_position,
        };
        self.open_requests.insert(request, open);
        let (session, last_write) = (Some(7), None);
        self.report(Event::RequestArrived(RequestArrival {
            request,
            method,
            group,
            session,
            last_write,
            seen_position,
            received_at: self.now,
            deadline,
            client_retry: false,
        }));
        request
    }

    /// Reports the end of a health check of `endpoint`. The endpoint reports the load [`Harness::reported_load`] and,
    /// if the check succeeded, `position` and its role: the primary if `primary`, otherwise a replica.
    pub fn health_check_ended(
        &mut self,
        endpoint: EndpointIndex,
        outcome: AttemptOutcome,
        position: Timestamp,
        primary: bool,
    ) {
        let mut report = EndpointReport { load: self.reported_load, ..EndpointReport::default() };
        if outcome == AttemptOutcome::Succeeded {
            report.position = Some(position);
            report.role = Some(if primary { Role::Primary } else { Role::Replica });
            // The policy must ignore a report with a position in the future.
            if position <= self.now + TICK * 2 {
                self.highest_position[endpoint] = self.highest_position[endpoint].max(Some(position));
                self.claims_primary[endpoint] |= primary;
            }
        }
        self.health_checks.retain(|&index| index != endpoint);
        self.report(Event::HealthCheckEnded { endpoint, outcome, elapsed: TICK, report });
    }

    /// Ends the attempt in flight of a request. With the outcomes `Succeeded` and `NotEligible`, the answer reports
    /// whether the endpoint is the primary, if `primary` is given.
    pub fn end_attempt(&mut self, request: RequestId, outcome: AttemptOutcome, primary: Option<bool>) {
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        let Some(InFlight { attempt: number, endpoint, sent_at }) = open.in_flight.take() else { return };
        if !outcome.proves_not_executed() {
            open.first_run_at = open.first_run_at.or(Some(sent_at));
        }
        let request_closed = outcome == AttemptOutcome::Succeeded;
        if request_closed {
            self.open_requests.remove(&request);
            self.answers.insert(request, Answer::Succeeded);
        }
        let mut answer_report = EndpointReport::default();
        if let Some(primary) =
            primary.filter(|_| matches!(outcome, AttemptOutcome::Succeeded | AttemptOutcome::NotEligible))
        {
            answer_report.role = Some(if primary { Role::Primary } else { Role::Replica });
            self.claims_primary[endpoint] = primary;
        }
        let (elapsed, load_report) = (self.now - sent_at, EndpointReport::default());
        let write_session = None;
        self.report(Event::AttemptEnded(AttemptEnd {
            attempt: AttemptId { request, number, endpoint },
            outcome,
            elapsed,
            request_closed,
            write_session,
            answer_report,
            load_report,
        }));
    }

    /// Advances the current time by `time` and reports the timers that become due.
    pub fn advance(&mut self, time: TimeDelta) {
        let until = self.now + time;
        while let Some(&(due, tag)) = self.timers.iter().min().filter(|(due, _)| *due <= until) {
            self.timers.retain(|&timer| timer != (due, tag));
            self.now = self.now.max(due);
            self.report(Event::TimerFired { tag });
        }
        self.now = until;
        self.check_deadlines();
    }

    /// Reports `event` to the policy at the current time and checks the actions that the policy requests.
    pub fn report(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.on_event(self.now, event, &mut actions);
        self.check(actions);
        self.check_deadlines();
    }
}

/// Ends the attempt in flight of a request. Returns the endpoint of the request's next attempt, if one was started.
pub fn next_endpoint_after(
    harness: &mut Harness,
    request: RequestId,
    outcome: AttemptOutcome,
    primary: Option<bool>,
) -> Option<EndpointIndex> {
    harness.end_attempt(request, outcome, primary);
    harness.endpoint_of(request)
}
