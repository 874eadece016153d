//! Discovery of primaries after an instance has started from a cached list: event handlers that update the states of
//! endpoints and groups, schedule queries, and notify the routing policy.

mod events;
mod queries;

pub use events::{Action, Event, Identity, Member, QueryFailure};

use crate::endpoint_state::{
    self, Effect, EndpointEvent, EndpointState, RecoveringEndpoint, RoleReport, Transition,
};
use crate::group_state::{self, GroupEvent, GroupState};
use crate::primary_verification::{verify, GroupEvidence, GroupMinimum, MinimumPosition, Verification};
use crate::query_schedule::QuerySchedule;
use crate::staleness::{verification_level, CacheTimes, VerificationLevel};
use routing::time::Timestamp;
use routing::{EndpointIndex, EndpointReport, GroupIndex, PrimaryEligibility};
use std::collections::BTreeSet;

/// Queries use at most the file descriptors for endpoints divided by this number. The others are reserved for
/// requests.
const QUERY_DESCRIPTORS_DIVISOR: usize = 2;

/// Members and state of one group.
#[derive(Default)]
struct Group {
    members: Vec<EndpointIndex>,
    /// Lower bound on the true primary's timeline and position, from the cache.
    minimum: MinimumPosition,
    state: GroupState,
    /// Whether a request is waiting for the group's primary.
    request_waiting: bool,
    /// Number of queries made so far while the group had no verified primary. The number determines the backoff.
    unverified_queries: u32,
}

impl Group {
    fn has_primary(&self) -> bool {
        matches!(self.state, GroupState::Verified(_) | GroupState::Settled)
    }
}

/// Configuration of primary discovery.
#[derive(Clone, Copy, Debug)]
pub struct DiscoverySettings {
    /// Timestamps of the cached list; `None` if its age is unknown.
    pub cache_times: Option<CacheTimes>,
    /// Whether endpoints may be queried.
    pub may_query: bool,
    /// File descriptors available for connections to endpoints. At most half of them are used for queries.
    pub descriptors: usize,
}

/// State of the discovery of primaries after the start of an instance.
pub struct PrimaryDiscovery {
    endpoints: Vec<RecoveringEndpoint>,
    groups: Vec<Group>,
    queries: QuerySchedule,
    cache_times: Option<CacheTimes>,
    /// The latest position that an endpoint has reported since the instance started.
    latest_report: Option<Timestamp>,
    /// Whether discovery has provided a complete list since the instance started.
    list_confirmed: bool,
    may_query: bool,
    /// Maximum number of concurrent queries for which there are file descriptors.
    max_queries: usize,
    /// Actions of the event that is being handled.
    actions: Vec<Action>,
}

impl PrimaryDiscovery {
    /// Creates the state before a list is loaded: without endpoints and groups.
    pub fn new(settings: DiscoverySettings) -> PrimaryDiscovery {
        PrimaryDiscovery {
            endpoints: Vec::new(),
            groups: Vec::new(),
            queries: QuerySchedule::default(),
            cache_times: settings.cache_times,
            latest_report: None,
            list_confirmed: false,
            may_query: settings.may_query,
            max_queries: (settings.descriptors / QUERY_DESCRIPTORS_DIVISOR).max(1),
            actions: Vec::new(),
        }
    }

    /// The verification level for the age of the list at `now`.
    pub fn verification_level(&self, now: Timestamp) -> &'static VerificationLevel {
        verification_level(self.cache_times, now, self.latest_report)
    }

    /// Whether discovery has provided a complete list since the instance started.
    pub fn is_list_confirmed(&self) -> bool {
        self.list_confirmed
    }

    /// Whether recovery is complete: discovery has confirmed the list and every group is settled.
    pub fn is_complete(&self) -> bool {
        self.list_confirmed && self.groups.iter().all(|group| group.state == GroupState::Settled)
    }

    /// The state of a group, if the group is known.
    pub fn group_state(&self, group: GroupIndex) -> Option<GroupState> {
        self.groups.get(group).map(|group| group.state)
    }

    /// The data collected about an endpoint, if the endpoint is known.
    pub fn endpoint(&self, endpoint: EndpointIndex) -> Option<&RecoveringEndpoint> {
        self.endpoints.get(endpoint)
    }

    /// When the next [`Event::Tick`] is due, if any.
    pub fn next_tick_due(&self, now: Timestamp) -> Option<Timestamp> {
        self.queries.next_start_time(self.max_in_flight(now))
    }

    fn max_in_flight(&self, now: Timestamp) -> usize {
        self.verification_level(now).max_queries.min(self.max_queries)
    }

    /// Handles an event that occurred at `now`. Appends the resulting actions to `actions`, in the order in which
    /// they must be carried out.
    pub fn on_event(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::CachedListLoaded { members, minimum_positions } => {
                self.on_cached_list_loaded(now, &members, minimum_positions);
            }
            Event::ListReceived { complete, members, removed } => {
                self.on_list_received(now, complete, &members, removed);
            }
            Event::QueryAnswered { endpoint, queried_at, identity, report } => {
                self.on_query_answered(now, endpoint, queried_at, identity, report);
            }
            Event::QueryFailed { endpoint, failure } => self.on_query_failed(now, endpoint, failure),
            Event::ReportReceived { endpoint, queried_at, report } => {
                self.on_report_received(now, endpoint, queried_at, report);
            }
            Event::RequestWaiting { group } => self.on_request_waiting(now, group),
            Event::Tick => {}
        }
        self.start_queries(now);
        actions.append(&mut self.actions);
    }

    fn on_cached_list_loaded(
        &mut self,
        now: Timestamp,
        members: &[Member],
        minimum_positions: Vec<GroupMinimum>,
    ) {
        for member in members {
            self.add_member(now, *member);
        }
        for GroupMinimum { group, minimum } in minimum_positions {
            self.ensure_group(group);
            self.groups[group].minimum = minimum;
        }
    }

    /// Creates the missing groups up to this index. No member of a new group is eligible as its primary.
    fn ensure_group(&mut self, index: GroupIndex) {
        while self.groups.len() <= index {
            let group = self.groups.len();
            self.groups.push(Group::default());
            let eligibility = PrimaryEligibility::NoMember;
            self.actions.push(Action::SetEligibility { group, eligibility });
        }
    }

    /// Adds an endpoint to its group and schedules a query, unless the endpoint is already a member.
    fn add_member(&mut self, now: Timestamp, member: Member) {
        let Member { endpoint: index, group } = member;
        self.ensure_group(group);
        if self.endpoints.len() <= index {
            self.endpoints.resize_with(index + 1, RecoveringEndpoint::default);
        }
        if self.groups[group].members.contains(&index) {
            return;
        }
        let previous_group = self.endpoints[index].group;
        self.groups[previous_group].members.retain(|&member| member != index);
        self.groups[group].members.push(index);
        // An endpoint that has moved to another group is treated as a new endpoint, even though its name is the same.
        let query_in_flight = self.endpoints[index].query_in_flight;
        self.endpoints[index] =
            RecoveringEndpoint { group, query_in_flight, ..RecoveringEndpoint::default() };
        self.schedule_query(index, now);
    }

    fn on_list_received(
        &mut self,
        now: Timestamp,
        complete: bool,
        members: &[Member],
        removed: Vec<EndpointIndex>,
    ) {
        // A set of changes applies to an earlier complete list and does not confirm the list by itself.
        self.list_confirmed |= complete;
        let mut removed: BTreeSet<EndpointIndex> = removed.into_iter().collect();
        if complete {
            removed.extend(self.unlisted(members));
        }
        for member in members.iter().filter(|member| !removed.contains(&member.endpoint)) {
            self.add_member(now, *member);
            let index = member.endpoint;
            if self.endpoints[index].state == EndpointState::Removed {
                self.apply_endpoint_event(index, EndpointEvent::Listed);
                self.schedule_query(index, now);
            }
            // Discovery itself lists the endpoint, so the routing policy's own health check before use is sufficient.
            self.endpoints[index].admitted = true;
        }
        for index in removed {
            self.apply_endpoint_event(index, EndpointEvent::Unlisted);
        }
        for group in 0..self.groups.len() {
            self.verify_group(now, group);
        }
    }

    /// Returns the known endpoints that are not among `members`.
    fn unlisted(&self, members: &[Member]) -> Vec<EndpointIndex> {
        let listed: BTreeSet<EndpointIndex> = members.iter().map(|member| member.endpoint).collect();
        let known = self.groups.iter().flat_map(|group| group.members.iter().copied());
        known.filter(|index| !listed.contains(index)).collect()
    }

    fn on_query_answered(
        &mut self,
        now: Timestamp,
        index: EndpointIndex,
        queried_at: Timestamp,
        identity: Identity,
        report: RoleReport,
    ) {
        let identifies_by_address = self.verification_level(now).identifies_by_address || self.list_confirmed;
        if !self.end_query(index) {
            return;
        }
        let endpoint = &mut self.endpoints[index];
        endpoint.queried = true;
        endpoint.query_ended_at = now;
        endpoint.consecutive_failures = 0;
        if identity != Identity::Mismatch {
            self.latest_report = self.latest_report.max(report.position);
            endpoint.record_report(report, queried_at, now);
        }
        let event = match identity {
            Identity::Confirmed => EndpointEvent::Answered,
            Identity::Mismatch => EndpointEvent::AnsweredWithWrongIdentity,
            Identity::Unknown if identifies_by_address => EndpointEvent::Answered,
            Identity::Unknown => EndpointEvent::AnsweredAnonymously,
        };
        self.apply_endpoint_event(index, event);
        self.verify_group(now, self.endpoints[index].group);
        self.schedule_next_query(index, now);
    }

    fn on_query_failed(&mut self, now: Timestamp, index: EndpointIndex, failure: QueryFailure) {
        if !self.end_query(index) {
            return;
        }
        let endpoint = &mut self.endpoints[index];
        if failure != QueryFailure::NotSent {
            endpoint.queried = true;
            endpoint.query_ended_at = now;
        }
        endpoint.consecutive_failures = endpoint.consecutive_failures.saturating_add(1);
        match failure {
            QueryFailure::Refused => self.apply_endpoint_event(index, EndpointEvent::ConnectionRefused),
            QueryFailure::NoAnswer => self.apply_endpoint_event(index, EndpointEvent::NoAnswer),
            QueryFailure::NotSent => {}
        }
        self.verify_group(now, self.endpoints[index].group);
        self.schedule_next_query(index, now);
    }

    fn on_report_received(
        &mut self,
        now: Timestamp,
        index: EndpointIndex,
        queried_at: Timestamp,
        report: EndpointReport,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(index) else { return };
        if endpoint.is_identified() && report.role.is_some() {
            let timeline = endpoint.report.timeline;
            endpoint.record_report(RoleReport::new(report, timeline), queried_at, now);
            let group = endpoint.group;
            self.verify_group(now, group);
        }
    }

    /// Records the end of a query to an endpoint. Returns whether a query was in flight.
    fn end_query(&mut self, index: EndpointIndex) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(index) else { return false };
        let was_in_flight = std::mem::take(&mut endpoint.query_in_flight);
        if was_in_flight {
            self.queries.query_ended();
        }
        was_in_flight
    }

    fn on_request_waiting(&mut self, now: Timestamp, group: GroupIndex) {
        let Some(group) = self.groups.get_mut(group) else { return };
        if group.has_primary() || std::mem::replace(&mut group.request_waiting, true) {
            return;
        }
        for index in group.members.clone() {
            if let Some(due) = self.unschedule_query(index) {
                // Endpoints that have not answered yet are queried immediately.
                let is_unanswered = self.endpoints[index].state == EndpointState::NotAnswered;
                self.schedule_query(index, if is_unanswered { due.min(now) } else { due });
            }
        }
    }

    fn apply_endpoint_event(&mut self, index: EndpointIndex, event: EndpointEvent) {
        let Some(endpoint) = self.endpoints.get_mut(index) else { return };
        let Some(Transition { state, effect }) = endpoint_state::transition(endpoint.state, event) else {
            return;
        };
        endpoint.state = state;
        match effect {
            Effect::Nothing => {}
            Effect::Admit => {
                if !std::mem::replace(&mut endpoint.admitted, true) {
                    self.actions.push(Action::Admit { endpoint: index });
                }
            }
            Effect::Withdraw => {
                endpoint.admitted = false;
                self.actions.push(Action::Withdraw { endpoint: index });
            }
        }
        if state == EndpointState::Removed {
            self.unschedule_query(index);
        }
    }

    fn verify_group(&mut self, now: Timestamp, index: GroupIndex) {
        let group = &self.groups[index];
        // A list from discovery supersedes the cached position.
        let position = group.minimum.position.filter(|_| !self.list_confirmed);
        let verification = verify(GroupEvidence {
            members: &group.members,
            endpoints: &self.endpoints,
            minimum: MinimumPosition { position, ..group.minimum },
            level: self.verification_level(now),
            list_confirmed: self.list_confirmed,
            now,
        });
        let claims = group.members.iter().filter(|&&member| self.endpoints[member].claims_primary()).count();
        self.apply_group_event(index, GroupEvent::Verification(verification));
        let verified = matches!(verification, Verification::Verified(_));
        if self.list_confirmed && !self.may_query {
            self.apply_group_event(index, GroupEvent::Unverifiable);
        } else if self.list_confirmed && claims == 1 && verified {
            self.apply_group_event(index, GroupEvent::Undisputed);
        }
    }

    fn apply_group_event(&mut self, index: GroupIndex, event: GroupEvent) {
        let group = &mut self.groups[index];
        let transition = group_state::transition(group.state, event);
        group.state = transition.state;
        group.request_waiting &= !group.has_primary();
        if transition.eligibility_changed {
            let eligibility = group_state::eligibility(transition.state);
            self.actions.push(Action::SetEligibility { group: index, eligibility });
        }
        if transition.state == GroupState::Settled {
            for member in self.groups[index].members.clone() {
                self.unschedule_query(member);
            }
        }
    }
}
