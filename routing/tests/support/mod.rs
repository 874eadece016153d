//! A router under scripted events, with the rules checked after each of them.

use routing::time::{TimeDelta, Timestamp};
use routing::RoutingPolicy;
use routing::*;
use std::collections::BTreeMap;

pub const TICK: TimeDelta = TimeDelta::from_millis(5);
pub const WRITE: MethodIndex = 0;
pub const TOKENED: MethodIndex = 1;
pub const CURRENT: MethodIndex = 2;
pub const BOUNDED: MethodIndex = 3;
pub const ANY: MethodIndex = 4;
pub const LONG: MethodIndex = 5;
pub const BOUND: TimeDelta = TimeDelta::from_millis(800);
pub const MEMORY: TimeDelta = TimeDelta::from_millis(3000);

pub struct Live {
    pub method: MethodIndex,
    pub group: GroupIndex,
    pub deadline: Timestamp,
    pub out: Option<(u32, EndpointIndex, Timestamp)>,
    pub attempts: u32,
    pub ran_from: Option<Timestamp>,
    /// What its session has seen.
    pub seen_position: Option<Timestamp>,
}

pub struct Bench {
    pub router: RoutingPolicy,
    pub routing_settings: RoutingSettings,
    pub now: Timestamp,
    pub live: BTreeMap<RequestId, Live>,
    pub timers: Vec<(Timestamp, u64)>,
    pub probes: Vec<EndpointIndex>,
    pub group_of: Vec<GroupIndex>,
    pub open: Vec<bool>,
    /// The highest position told of each store, whether it ever claimed to be primary and was not denied by
    /// an answer since, and when it started.
    pub told: Vec<Option<Timestamp>>,
    pub excused: Vec<bool>,
    pub started_at: Vec<Option<Timestamp>>,
    pub sent_cold: Vec<Vec<Timestamp>>,
    /// By group: who may be taken for its primary.
    pub cleared: Vec<PrimaryEligibility>,
    pub answers: BTreeMap<RequestId, &'static str>,
    pub sent: Vec<(RequestId, EndpointIndex)>,
    /// How busy the next stores probed say they are.
    pub load: Option<f64>,
    /// What the next RPCs' session has seen.
    pub seen_position: Option<Timestamp>,
    next: RequestId,
}

pub fn routing_settings(lag_handling: LagHandling) -> RoutingSettings {
    let ms = TimeDelta::from_millis;
    let method = |access, idempotency, soft, deadline, late_value_fraction| MethodSettings {
        access,
        idempotency,
        latency_objective: ms(soft),
        deadline: ms(deadline),
        priority_weight: 1.0,
        late_value_fraction,
    };
    let tokened = Idempotency::Keyed { all_groups: false, dedup_window: MEMORY };
    RoutingSettings {
        methods: vec![
            method(Access::Write, Idempotency::NonIdempotent, 500, 3000, 0.5),
            method(Access::Write, tokened, 500, 5000, 0.5),
            method(Access::StrongRead, Idempotency::Idempotent, 400, 1500, 0.0),
            method(Access::BoundedRead(BOUND), Idempotency::Idempotent, 600, 1500, 0.0),
            method(Access::AnyRead, Idempotency::Idempotent, 500, 2000, 0.2),
            method(Access::AnyRead, Idempotency::Idempotent, 3000, 6000, 0.0),
        ],
        instances: 2,
        zone: 0,
        clock_resolution: TICK,
        lag_handling,
        clients_hold_positions: true,
        list_poll_within: Some(ms(10_000)),
        max_attempts: 6,
        may_cancel: true,
        may_check_health: true,
        max_retry_after: Some(ms(2000)),
        slow_start_fraction: 0.2,
        slow_start_duration: ms(16_000),
        overload_multiple: 2.0,
        overload_window: ms(2000),
        unlisted_stay_usable: false,
    }
}

impl Bench {
    /// `groups` groups of three: the first member of each is listed as its primary, and all have answered a
    /// probe that says so, with a position of now.
    pub fn ready(lag_handling: LagHandling, groups: usize, seed: u64) -> Bench {
        Bench::one_of(2, lag_handling, groups, seed)
    }

    pub fn one_of(instances: u32, lag_handling: LagHandling, groups: usize, seed: u64) -> Bench {
        Bench::of(RoutingSettings { instances, ..routing_settings(lag_handling) }, groups, seed)
    }

    /// Nobody may be probed, and the list tells of no roles: nothing is known of anybody.
    pub fn blind(lag_handling: LagHandling, groups: usize, seed: u64) -> Bench {
        Bench::of(RoutingSettings { may_check_health: false, ..routing_settings(lag_handling) }, groups, seed)
    }

    fn of(routing_settings: RoutingSettings, groups: usize, seed: u64) -> Bench {
        let now = Timestamp(1_000_000_000_000);
        let mut actions = Vec::new();
        let router = RoutingPolicy::new(seed, &routing_settings, now, &mut actions);
        let endpoints = groups * 3;
        let mut bench = Bench {
            router,
            routing_settings,
            now,
            live: BTreeMap::new(),
            timers: Vec::new(),
            probes: Vec::new(),
            group_of: (0..endpoints).map(|ix| ix / 3).collect(),
            open: vec![true; endpoints],
            told: vec![None; endpoints],
            excused: vec![false; endpoints],
            started_at: vec![None; endpoints],
            sent_cold: vec![Vec::new(); endpoints],
            cleared: vec![PrimaryEligibility::Any; groups],
            answers: BTreeMap::new(),
            sent: Vec::new(),
            load: None,
            seen_position: None,
            next: 0,
        };
        bench.check(actions);
        let records = (0..endpoints).map(|ix| bench.entry(ix, EndpointStatus::Serving)).collect();
        bench.give(Event::EndpointList { complete: true, records });
        let probed = if bench.routing_settings.may_check_health { endpoints } else { 0 };
        for ix in 0..probed {
            bench.probed(ix, AttemptOutcome::Succeeded, now, ix % 3 == 0);
        }
        bench
    }

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
            start_presumed: false,
        }
    }

    pub fn list(&mut self, endpoint: EndpointIndex, status: EndpointStatus) {
        self.open[endpoint] = status == EndpointStatus::Serving;
        let records = vec![self.entry(endpoint, status)];
        self.give(Event::EndpointList { complete: false, records });
    }

    pub fn clear(&mut self, group: GroupIndex, eligibility: PrimaryEligibility) {
        self.cleared[group] = eligibility;
        self.give(Event::PrimaryEligibility { group, eligibility });
    }

    pub fn arrive(&mut self, method: MethodIndex, group: GroupIndex, share: f64) -> RequestId {
        let deadline = self.now + self.routing_settings.methods[method].deadline.mul_f64(share);
        let request = self.next;
        self.next += 1;
        let seen_position = self.seen_position;
        let live = Live { method, group, deadline, out: None, attempts: 0, ran_from: None, seen_position };
        self.live.insert(request, live);
        let (session, last_write) = (Some(7), None);
        self.give(Event::RequestArrived(RequestArrival {
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

    pub fn probed(
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
            // What speaks of a time to come proves nothing.
            if position <= self.now + TICK * 2 {
                self.told[endpoint] = self.told[endpoint].max(Some(position));
                self.excused[endpoint] |= primary;
            }
        }
        self.probes.retain(|&ix| ix != endpoint);
        self.give(Event::HealthCheckEnded { endpoint, outcome, elapsed: TICK, report: load_report });
    }

    /// Ends the call-out that an RPC has out.
    pub fn end(&mut self, request: RequestId, outcome: AttemptOutcome, primary: Option<bool>) {
        let Some(live) = self.live.get_mut(&request) else { return };
        let Some((attempt, endpoint, sent)) = live.out.take() else { return };
        if !outcome.proves_not_executed() {
            live.ran_from = live.ran_from.or(Some(sent));
        }
        let request_closed = outcome == AttemptOutcome::Succeeded;
        if request_closed {
            self.live.remove(&request);
            self.answers.insert(request, "ok");
        }
        let mut answer_report = EndpointReport::default();
        if let Some(primary) =
            primary.filter(|_| matches!(outcome, AttemptOutcome::Succeeded | AttemptOutcome::NotEligible))
        {
            answer_report.role = Some(if primary { Role::Primary } else { Role::Replica });
            self.excused[endpoint] = primary;
        }
        let (elapsed, load_report) = (self.now - sent, EndpointReport::default());
        let write_session = None;
        self.give(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            endpoint,
            outcome,
            elapsed,
            request_closed,
            write_session,
            answer_report,
            load_report,
        }));
    }

    /// Lets time pass, firing the timers that fall due.
    pub fn pass(&mut self, span: TimeDelta) {
        let until = self.now + span;
        while let Some(&(at, tag)) = self.timers.iter().min().filter(|due| due.0 <= until) {
            self.timers.retain(|&timer| timer != (at, tag));
            self.now = self.now.max(at);
            self.give(Event::TimerFired { tag });
        }
        self.now = until;
        self.overdue();
    }

    pub fn give(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.on_event(self.now, event, &mut actions);
        self.check(actions);
        self.overdue();
    }

    /// No RPC is lost: its answer stands at least a tick before its deadline.
    fn overdue(&self) {
        for (request, live) in &self.live {
            assert!(
                self.now + TICK <= live.deadline,
                "rpc {request} has no answer a tick before its deadline"
            );
        }
    }

    fn check(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SetTimer { tag, at } => self.timers.push((at, tag)),
                Action::CheckHealth { endpoint } => {
                    assert!(self.routing_settings.may_check_health, "probed where it is not allowed");
                    self.probes.push(endpoint);
                }
                Action::StartAttempt { request, endpoint, timeout } => {
                    self.check_send(request, endpoint, timeout);
                }
                Action::Reject { request, .. } => {
                    let live = self.live.remove(&request).expect("one final answer, to a live RPC");
                    let ran = live.ran_from.is_some() || live.out.is_some();
                    let safe =
                        self.routing_settings.methods[live.method].idempotency == Idempotency::Idempotent;
                    assert!(safe || !ran, "pushed back though it may have run");
                    self.answers.insert(request, "pushed back");
                }
                Action::Abort { request } => {
                    self.live.remove(&request).expect("one final answer, to a live RPC");
                    self.answers.insert(request, "aborted");
                }
                _ => {}
            }
        }
    }

    fn check_send(&mut self, request: RequestId, endpoint: EndpointIndex, timeout: TimeDelta) {
        let live = self.live.get_mut(&request).expect("sent only while it is owed an answer");
        let method = &self.routing_settings.methods[live.method];
        assert!(live.out.is_none(), "two call-outs out at once");
        assert!(live.attempts < self.routing_settings.max_attempts, "too many call-outs");
        assert_eq!(self.group_of[endpoint], live.group, "sent outside its group");
        let writes = method.access == Access::Write;
        match self.cleared[live.group] {
            PrimaryEligibility::Nobody => assert!(!writes, "a write to a group without a cleared primary"),
            PrimaryEligibility::Only(one) => {
                assert!(!writes || endpoint == one, "a write to another than the cleared one");
            }
            PrimaryEligibility::Any => {}
        }
        assert!(self.open[endpoint], "sent to a store that drains or is gone");
        assert!(timeout > TimeDelta::ZERO && self.now + timeout < live.deadline, "no time, or too much");
        match (live.ran_from, method.idempotency) {
            (Some(_), Idempotency::NonIdempotent) => panic!("a non-idempotent RPC went out again"),
            (Some(ran), Idempotency::Keyed { .. }) => assert!(self.now < ran + MEMORY, "past its memory"),
            _ => {}
        }
        if self.routing_settings.lag_handling == LagHandling::ServeStale && !self.excused[endpoint] {
            let needed = match method.access {
                Access::BoundedRead(bound) => Some(self.now - bound),
                Access::StrongRead => Some(live.deadline - method.deadline),
                _ => None,
            };
            assert!(needed.is_none() || self.told[endpoint] >= needed, "no proof that it is fresh enough");
        }
        if !writes && !self.excused[endpoint] {
            assert!(
                live.seen_position.is_none() || self.told[endpoint] >= live.seen_position,
                "less than its session has seen"
            );
        }
        if self.started_at[endpoint].is_some_and(|at| self.now - at < self.routing_settings.overload_window) {
            self.sent_cold[endpoint].push(self.now);
        }
        live.out = Some((live.attempts, endpoint, self.now));
        live.attempts += 1;
        self.sent.push((request, endpoint));
    }
}
