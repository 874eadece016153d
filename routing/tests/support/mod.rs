//! A harness that reports scripted events to a routing policy and checks the rules after each of them. Each test file
//! uses a part of it.

use routing::time::{TimeDelta, Timestamp};
use routing::RoutingPolicy;
use routing::*;
use std::collections::BTreeMap;

mod checks;
mod events;
mod settings;
pub use events::*;
pub use settings::*;

/// An attempt in flight: its number (from 0), its endpoint and when it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlight {
    pub attempt: u32,
    pub endpoint: EndpointIndex,
    pub sent: Timestamp,
}

/// An attempt that the policy has started: its request and its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentAttempt {
    pub request: RequestId,
    pub endpoint: EndpointIndex,
}

/// The final answer that a request got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// An attempt of it succeeded.
    Succeeded,
    /// The policy rejected it.
    Rejected,
    /// The policy aborted it.
    Aborted,
}

/// A request without a final answer.
pub struct OpenRequest {
    /// Its method, an index into the settings' methods.
    pub method: MethodIndex,
    /// The group that serves it.
    pub group: GroupIndex,
    /// When its final answer is due at the latest.
    pub deadline: Timestamp,
    /// Its attempt in flight.
    pub in_flight: Option<InFlight>,
    /// Number of its attempts so far.
    pub attempts: u32,
    /// When the first attempt that may have run was sent.
    pub first_run_at: Option<Timestamp>,
    /// The position that its session has seen.
    pub seen_position: Option<Timestamp>,
}

/// A routing policy driven by scripted events. Its actions are checked against the rules.
pub struct Harness {
    /// The policy under test.
    pub policy: RoutingPolicy,
    /// The settings it was made with.
    pub routing_settings: RoutingSettings,
    /// The present time of the script.
    pub now: Timestamp,
    /// The requests without a final answer.
    pub open_requests: BTreeMap<RequestId, OpenRequest>,
    /// The timers that the policy has set: due time and tag.
    pub timers: Vec<(Timestamp, u64)>,
    /// The endpoints with a health check in progress, in the order in which they were requested.
    pub health_checks: Vec<EndpointIndex>,
    /// The group of each endpoint.
    pub group_of: Vec<GroupIndex>,
    /// Whether each endpoint is listed as serving.
    pub is_serving: Vec<bool>,
    /// The highest position that each endpoint has reported.
    pub reported: Vec<Option<Timestamp>>,
    /// Whether each endpoint has claimed to be primary and has not denied it in an answer since.
    pub claims_primary: Vec<bool>,
    /// When each endpoint started, if known.
    pub started_at: Vec<Option<Timestamp>>,
    /// The times of attempts to each endpoint within the overload window after its start.
    pub sent_in_slow_start: Vec<Vec<Timestamp>>,
    /// Which endpoints of each group are eligible as its primary.
    pub eligibility_of: Vec<PrimaryEligibility>,
    /// The final answer of each request that has had one.
    pub answers: BTreeMap<RequestId, Answer>,
    /// Every attempt started: its request and its endpoint, in order.
    pub sent: Vec<SentAttempt>,
    /// The load that endpoints report in the next health checks.
    pub load: Option<f64>,
    /// The position that the session of the next requests has seen.
    pub seen_position: Option<Timestamp>,
    next: RequestId,
}

impl Harness {
    /// Creates `groups` groups of three endpoints. The first of each is listed as its primary. All endpoints have
    /// reported their roles in a health check, with a position of now.
    pub fn with_reports(lag_handling: LagHandling, groups: usize, seed: u64) -> Harness {
        Harness::with_instances(2, lag_handling, groups, seed)
    }

    /// As [`Harness::with_reports`], for a deployment of `instances` instances.
    pub fn with_instances(instances: u32, lag_handling: LagHandling, groups: usize, seed: u64) -> Harness {
        Harness::new(RoutingSettings { instances, ..routing_settings(lag_handling) }, groups, seed)
    }

    /// As [`Harness::with_reports`], but health checks are not allowed and the list has no primaries, so that nothing
    /// is known of any endpoint.
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
            reported: vec![None; endpoints],
            claims_primary: vec![false; endpoints],
            started_at: vec![None; endpoints],
            sent_in_slow_start: vec![Vec::new(); endpoints],
            eligibility_of: vec![PrimaryEligibility::Any; groups],
            answers: BTreeMap::new(),
            sent: Vec::new(),
            load: None,
            seen_position: None,
            next: 0,
        };
        harness.check(actions);
        let records = (0..endpoints).map(|index| harness.entry(index, EndpointStatus::Serving)).collect();
        harness.report(Event::EndpointList { complete: true, records });
        let checked = if harness.routing_settings.may_check_health { endpoints } else { 0 };
        for index in 0..checked {
            harness.health_check_ended(index, AttemptOutcome::Succeeded, now, index % 3 == 0);
        }
        harness
    }

    /// The list entry of `endpoint` with `status`. It is listed as primary if it is the first of its group and health
    /// checks are allowed.
    pub fn entry(&self, endpoint: EndpointIndex, status: EndpointStatus) -> EndpointRecord {
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
    pub fn list(&mut self, endpoint: EndpointIndex, status: EndpointStatus) {
        self.is_serving[endpoint] = status == EndpointStatus::Serving;
        let records = vec![self.entry(endpoint, status)];
        self.report(Event::EndpointList { complete: false, records });
    }

    /// Reports which endpoints of `group` are eligible as its primary.
    pub fn set_eligibility(&mut self, group: GroupIndex, eligibility: PrimaryEligibility) {
        self.eligibility_of[group] = eligibility;
        self.report(Event::PrimaryEligibility { group, eligibility });
    }

    /// Reports a new request of session 7. Its deadline is after the fraction `share` of its method's deadline.
    pub fn arrive(&mut self, method: MethodIndex, group: GroupIndex, share: f64) -> RequestId {
        let deadline = self.now + self.routing_settings.methods[method].deadline.mul_f64(share);
        let request = self.next;
        self.next += 1;
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

    /// Reports the end of a health check of `endpoint`. If it succeeded, its report has `position`, the role by
    /// `primary`, and the load of [`Harness::load`].
    pub fn health_check_ended(
        &mut self,
        endpoint: EndpointIndex,
        outcome: AttemptOutcome,
        position: Timestamp,
        primary: bool,
    ) {
        let mut load_report = EndpointReport { load: self.load, ..EndpointReport::default() };
        if outcome == AttemptOutcome::Succeeded {
            load_report.position = Some(position);
            load_report.role = Some(if primary { Role::Primary } else { Role::Replica });
            // A position in the future must be ignored.
            if position <= self.now + TICK * 2 {
                self.reported[endpoint] = self.reported[endpoint].max(Some(position));
                self.claims_primary[endpoint] |= primary;
            }
        }
        self.health_checks.retain(|&index| index != endpoint);
        self.report(Event::HealthCheckEnded { endpoint, outcome, elapsed: TICK, report: load_report });
    }

    /// Ends the attempt in flight of a request. The outcomes `Succeeded` and `NotEligible` report the role by
    /// `primary`, if it is given.
    pub fn end(&mut self, request: RequestId, outcome: AttemptOutcome, primary: Option<bool>) {
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        let Some(InFlight { attempt: number, endpoint, sent }) = open.in_flight.take() else { return };
        if !outcome.proves_not_executed() {
            open.first_run_at = open.first_run_at.or(Some(sent));
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
        let (elapsed, load_report) = (self.now - sent, EndpointReport::default());
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

    /// Advances the time and fires the timers that become due.
    pub fn advance(&mut self, time: TimeDelta) {
        let until = self.now + time;
        while let Some(&(at, tag)) = self.timers.iter().min().filter(|due| due.0 <= until) {
            self.timers.retain(|&timer| timer != (at, tag));
            self.now = self.now.max(at);
            self.report(Event::TimerFired { tag });
        }
        self.now = until;
        self.check_deadlines();
    }

    /// Reports `event` to the policy at the current time and checks the actions that it requests.
    pub fn report(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.on_event(self.now, event, &mut actions);
        self.check(actions);
        self.check_deadlines();
    }
}

/// Ends the attempt in flight of a request. Returns the endpoint of its next attempt, if one was started.
pub fn end_attempt(
    harness: &mut Harness,
    request: RequestId,
    outcome: AttemptOutcome,
    role: Option<bool>,
) -> Option<EndpointIndex> {
    harness.end(request, outcome, role);
    harness.endpoint_of(request)
}
