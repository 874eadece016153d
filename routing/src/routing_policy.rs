//! The routing policy as a state machine: its state, and the dispatch of events to the functions of `policy`.

use crate::events::{Action, AttemptEnd, EndpointIndex, Event, GroupIndex, RequestId};
use crate::rng::Mwc;
use crate::settings::RoutingSettings;
use crate::state::compiled_settings::CompiledSettings;
use crate::state::endpoint::Endpoint;
use crate::state::group::Group;
use crate::state::request::{Request, RequestEvent};
use crate::state::session_writes::SessionWrites;
use crate::state::timer_tag::TimerTag;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// The routing policy of one router instance.
pub struct RoutingPolicy {
    pub(crate) settings: CompiledSettings,
    pub(crate) rng: Mwc,
    /// The time that the host last passed.
    pub(crate) now: Timestamp,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) groups: Vec<Group>,
    pub(crate) session_writes: SessionWrites,
    /// Estimate of the p30 latency (the 30th percentile: about three in ten answers are faster) by method, in seconds.
    pub(crate) p30_latency: Vec<f64>,
    /// When the endpoint list is polled next; `None` if lists are pushed.
    pub(crate) next_list_poll: Option<Timestamp>,
    /// Actions requested by the event that is being handled.
    pub(crate) actions: Vec<Action>,
}

impl RoutingPolicy {
    /// Creates a policy that knows no endpoints yet. The actions that the new policy requests at once are appended to
    /// `actions`.
    pub fn new(seed: u64, settings: &RoutingSettings, now: Timestamp, actions: &mut Vec<Action>) -> Self {
        let settings = CompiledSettings::new(settings);
        let mut policy = RoutingPolicy {
            p30_latency: settings.methods.iter().map(|method| method.initial_p30_latency()).collect(),
            next_list_poll: settings.times.list_poll_interval.map(|_| now),
            settings,
            rng: Mwc::new(seed),
            now,
            requests: BTreeMap::new(),
            endpoints: Vec::new(),
            groups: Vec::new(),
            session_writes: SessionWrites::default(),
            actions: Vec::new(),
        };
        policy.schedule_tick();
        policy.poll_endpoint_list();
        actions.append(&mut policy.actions);
        policy
    }

    /// Handles an event that happened at `now`. The requested actions are appended to `actions` in the order in which
    /// the host has to execute them.
    pub fn on_event(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.dispatch(event);
        actions.append(&mut self.actions);
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::EndpointList { complete, records } => self.apply_endpoint_list(complete, &records),
            Event::PrimaryEligibility { group, eligibility } => {
                self.ensure_group(group);
                self.groups[group].eligibility = eligibility;
                self.update_primary(group);
                self.retry_waiting(group);
            }
            Event::EndpointListFailed => self.schedule_list_poll_retry(),
            Event::RequestArrived(arrival) => self.on_arrival(&arrival),
            Event::ResponseStarted { request } | Event::ClientGone { request } => {
                self.apply_request_event(request, RequestEvent::Closed);
            }
            Event::AttemptEnded(end) => self.on_attempt_ended(&end),
            Event::TimerFired { tag } => match TimerTag::decode(tag) {
                TimerTag::Tick => self.on_tick(),
                TimerTag::HalfTimeout(request) => {
                    self.apply_request_event(request, RequestEvent::AttemptPossible);
                }
                TimerTag::AnswerDue(request) => self.apply_request_event(request, RequestEvent::AnswerDue),
            },
            Event::HealthCheckEnded { endpoint, outcome, report, .. } => {
                let Some(group) = self.group_of(endpoint) else { return };
                self.apply_report(endpoint, report, false);
                self.on_health_check_ended(endpoint, outcome);
                self.retry_waiting(group);
                self.schedule_health_checks(group, false);
            }
            Event::PeerMessage { .. } => {}
        }
    }

    fn on_attempt_ended(&mut self, end: &AttemptEnd) {
        let Some(group) = self.group_of(end.attempt.endpoint) else { return };
        self.apply_report(end.attempt.endpoint, end.load_report, false);
        self.apply_report(end.attempt.endpoint, end.answer_report, true);
        self.update_limit_and_health(end);
        self.finish_attempt(end);
        self.retry_waiting(group);
    }

    fn on_tick(&mut self) {
        self.schedule_tick();
        self.poll_endpoint_list();
        self.expire_session_writes();
        for group in 0..self.groups.len() {
            self.retry_waiting(group);
            self.add_waiting_health_check_credit(group);
            self.schedule_health_checks(group, false);
        }
    }

    fn schedule_tick(&mut self) {
        let at = self.now + self.settings.times.tick_interval;
        self.set_timer(TimerTag::Tick, at);
    }

    /// Drops session positions that every serving endpoint has reached.
    fn expire_session_writes(&mut self) {
        let serving = self.endpoints.iter().filter(|endpoint| endpoint.listing.serving);
        let reached_by_all = serving.map(|endpoint| endpoint.reported.position).min().flatten();
        self.session_writes.expire(reached_by_all);
    }

    pub(crate) fn set_timer(&mut self, tag: TimerTag, at: Timestamp) {
        self.actions.push(Action::SetTimer { tag: tag.encode(), at });
    }

    /// Adds a group if it is not known yet.
    pub(crate) fn ensure_group(&mut self, group: GroupIndex) {
        let methods = self.settings.methods.len();
        let groups = self.groups.len().max(group + 1);
        self.groups.resize_with(groups, || Group::new(methods));
    }

    /// Adds an endpoint to the members of a group if it is not a member yet.
    pub(crate) fn ensure_endpoint(&mut self, index: EndpointIndex, group: GroupIndex, zone: usize) {
        self.ensure_group(group);
        if self.endpoints.len() <= index {
            self.endpoints.resize_with(index + 1, Endpoint::default);
        }
        if !self.groups[group].members.contains(&index) {
            self.groups[group].members.push(index);
            let endpoint = &mut self.endpoints[index];
            endpoint.listing.group = group;
            endpoint.listing.zone = zone;
            endpoint.capacity.concurrency_limit = self.settings.concurrency.initial_limit;
        }
    }

    /// Whether a group's primary is known, serving, and has not failed recently.
    pub(crate) fn has_healthy_primary(&self, group: &Group) -> bool {
        let primary = group.primary.map(|index| &self.endpoints[index]);
        primary.is_some_and(|primary| primary.health.consecutive_failures == 0 && primary.listing.serving)
    }

    /// The group of an endpoint; `None` if no endpoint list has named the endpoint.
    fn group_of(&self, index: EndpointIndex) -> Option<GroupIndex> {
        self.endpoints.get(index).map(|endpoint| endpoint.listing.group)
    }

    /// Work recently completed for this instance, in seconds, averaged over the warm endpoints that are serving.
    pub(crate) fn mean_warm_work(&self) -> f64 {
        let window = self.settings.settings.overload_window;
        let is_warm =
            |endpoint: &&Endpoint| endpoint.listing.serving && self.slow_start_fraction(endpoint).is_none();
        let warm = self.endpoints.iter().filter(is_warm);
        let work: Vec<f64> = warm.map(|endpoint| endpoint.capacity.work.recent(window, self.now)).collect();
        work.iter().sum::<f64>() / work.len().max(1) as f64
    }

    /// Fraction of its full capacity that an endpoint in slow start has according to the settings; `None` if the
    /// endpoint is warm.
    pub(crate) fn slow_start_fraction(&self, endpoint: &Endpoint) -> Option<f64> {
        let settings = &self.settings.settings;
        let age = self.now - endpoint.listing.started_at?;
        let elapsed_share = age.as_secs_f64() / settings.slow_start_duration.as_secs_f64().max(1e-9);
        let fraction = settings.slow_start_fraction + (1.0 - settings.slow_start_fraction) * elapsed_share;
        (age < settings.slow_start_duration).then_some(fraction)
    }
}
