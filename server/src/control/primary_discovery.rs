//! Handling of endpoint lists, from the cache or from discovery, and the interface to primary discovery: its events
//! and actions.

use crate::control::control_loop::ControlLoop;
use crate::control::router_state::RouterState;
use crate::endpoints::health_check::RoleQuery;
use crate::messages::control::{ConnectError, EndpointQueryAnswer, RoleQueryResult};
use crate::messages::endpoint_list::ListedEndpoint;
use crate::runtime::clock::NANOS_PER_MILLI;
use endpoint_cache::CachedEndpointList;
use recovery::endpoint_state::{RecoveringEndpoint, RoleReport};
use recovery::primary_discovery::{Action, Event as DiscoveryEvent, Identity, QueryFailure};
use recovery::primary_verification::{GroupMinimum, MinimumPosition};
use routing::time::Timestamp;
use routing::{AttemptOutcome, EndpointIndex, EndpointRecord, EndpointReport, EndpointStatus, Event};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

impl ControlLoop {
    /// Handles the endpoint list that was cached before the process was started.
    pub(super) fn on_cached_list(&mut self, now: Timestamp, list: &CachedEndpointList) {
        let endpoints: Vec<ListedEndpoint> = list.endpoints.iter().map(ListedEndpoint::from).collect();
        self.endpoint_list = endpoints.iter().map(|listed| (listed.name.clone(), listed.clone())).collect();
        self.state.apply_cached_list(endpoints, minimum_positions(list), now);
    }

    /// Handles a list from discovery, and closes the idle connections to endpoints that were restarted, are draining
    /// or were removed.
    pub(super) fn on_endpoint_list(
        &mut self,
        now: Timestamp,
        complete: bool,
        endpoints: Vec<ListedEndpoint>,
    ) {
        self.state.report_list_to_primary_discovery(complete, &endpoints, now);
        self.perform_primary_discovery_actions(now);
        if complete {
            self.endpoint_list.clear();
        }
        for listed in &endpoints {
            self.endpoint_list.insert(listed.name.clone(), listed.clone());
        }
        for addr in self.state.apply_list(complete, &endpoints, &self.config.zones, now) {
            self.dispatcher.pool.close_idle(&addr);
        }
        let listed_states = self.state.listed_states.iter();
        let addrs: BTreeSet<SocketAddr> = listed_states.filter_map(|listed| listed.addr).collect();
        self.dispatcher.pool.retain_addresses(&addrs);
        self.dispatcher.pool.resources().set_listed_endpoints(self.state.listed_states.len());
    }

    /// Handles the result of a role query. If the endpoint answered, its load report also counts as a health check.
    pub(super) fn on_role_query_ended(&mut self, now: Timestamp, result: RoleQueryResult) {
        let RoleQueryResult { endpoint, queried_at, answer } = result;
        let answered_report = match answer {
            Ok(EndpointQueryAnswer { outcome: AttemptOutcome::Succeeded, report, identity }) => {
                self.on_role_query_answered(now, endpoint, queried_at, report, identity.as_deref());
                Some(report)
            }
            answer => {
                let failure = query_failure(&answer);
                self.state
                    .report_to_primary_discovery(now, DiscoveryEvent::QueryFailed { endpoint, failure });
                None
            }
        };
        self.perform_primary_discovery_actions(now);
        // If the identity does not match, another endpoint has answered at this address, so the report is not used.
        let is_identified = self.recovering_endpoint(endpoint).is_some_and(RecoveringEndpoint::is_identified);
        if let Some(report) = answered_report.filter(|_| is_identified) {
            let outcome = AttemptOutcome::Succeeded;
            let elapsed = now - queried_at;
            self.state.report_to_policy(now, Event::HealthCheckEnded { endpoint, outcome, elapsed, report });
            self.cache_report(endpoint);
        }
    }

    /// Passes the answer to a role query to primary discovery.
    fn on_role_query_answered(
        &mut self,
        now: Timestamp,
        endpoint: EndpointIndex,
        queried_at: Timestamp,
        report: EndpointReport,
        identity: Option<&str>,
    ) {
        let name = self.state.endpoints.id(endpoint);
        let IdentityReport { identity, timeline } =
            parse_identity(identity.filter(|_| self.queries_identity()), name);
        let report = RoleReport::new(report, timeline);
        let event = DiscoveryEvent::QueryAnswered { endpoint, queried_at, identity, report };
        self.state.report_to_primary_discovery(now, event);
    }

    /// Whether role queries also ask for the endpoint's identity.
    fn queries_identity(&self) -> bool {
        self.recovery.as_ref().is_some_and(|options| options.queries_identity)
    }

    /// The state of an endpoint in primary discovery.
    fn recovering_endpoint(&self, endpoint: EndpointIndex) -> Option<&RecoveringEndpoint> {
        self.state.primary_discovery.as_ref()?.endpoint(endpoint)
    }

    /// Passes a report that an endpoint sent with an answer or in a health check to primary discovery and to the
    /// cache, if the report states the endpoint's role.
    pub(super) fn record_endpoint_report(
        &mut self,
        now: Timestamp,
        endpoint: EndpointIndex,
        queried_at: Timestamp,
        report: EndpointReport,
    ) {
        if report.role.is_some() && self.state.primary_discovery.is_some() {
            let event = DiscoveryEvent::ReportReceived { endpoint, queried_at, report };
            self.state.report_to_primary_discovery(now, event);
            self.cache_report(endpoint);
        }
    }

    /// Passes an endpoint's latest report to the writer of the cached endpoint list.
    fn cache_report(&self, endpoint: EndpointIndex) {
        let cache = self.recovery.as_ref().and_then(|options| options.cache.as_ref());
        if let (Some(cache), Some(recovering)) = (cache, self.recovering_endpoint(endpoint)) {
            cache.record_report(self.state.endpoints.id(endpoint), recovering.report);
        }
    }

    /// Performs the pending actions of primary discovery, in the order in which primary discovery requested them.
    pub(super) fn perform_primary_discovery_actions(&mut self, now: Timestamp) {
        for action in std::mem::take(&mut self.state.primary_discovery_actions) {
            match action {
                Action::Query { endpoint } => self.start_role_query(now, endpoint),
                Action::Admit { endpoint } => self.admit_endpoint(now, endpoint),
                Action::Withdraw { endpoint } => self.withdraw_endpoint(now, endpoint),
                Action::SetEligibility { group, eligibility } => {
                    self.state.report_to_policy(now, Event::PrimaryEligibility { group, eligibility });
                }
            }
        }
    }

    /// Starts a role query. The query fails at once if the endpoint has no address.
    fn start_role_query(&mut self, now: Timestamp, endpoint: EndpointIndex) {
        match self.state.addr(endpoint) {
            Some(addr) => {
                let with_identity = self.queries_identity();
                self.dispatcher.query_role(RoleQuery { endpoint, addr, with_identity });
            }
            None => {
                let failure = QueryFailure::NoAnswer;
                self.state
                    .report_to_primary_discovery(now, DiscoveryEvent::QueryFailed { endpoint, failure });
            }
        }
    }

    /// Makes an endpoint of a cached list known to the routing policy. The endpoint's start time is unknown, so the
    /// current time is reported as its upper bound.
    fn admit_endpoint(&mut self, now: Timestamp, endpoint: EndpointIndex) {
        let Some(listed) = self.state.not_admitted.remove(&endpoint) else { return };
        let record = self.state.endpoint_record(&listed, &self.config.zones);
        let record =
            EndpointRecord { started_at: Some(now), start_is_upper_bound: true, primary: false, ..record };
        self.state.report_to_policy(now, Event::EndpointList { complete: false, records: vec![record] });
    }

    /// Withdraws an endpoint from the routing policy by reporting it as draining.
    fn withdraw_endpoint(&mut self, now: Timestamp, endpoint: EndpointIndex) {
        let Some(listed) = self.endpoint_list.get(self.state.endpoints.id(endpoint)) else { return };
        let record = self.state.endpoint_record(listed, &self.config.zones);
        let record = EndpointRecord { status: EndpointStatus::Draining, ..record };
        self.state.not_admitted.insert(endpoint, listed.clone());
        self.state.report_to_policy(now, Event::EndpointList { complete: false, records: vec![record] });
        if let Some(addr) = self.state.addr(endpoint) {
            self.dispatcher.pool.close_idle(&addr);
        }
    }
}

impl RouterState {
    /// Applies a cached list. Its endpoints get indices at once, but are reported to the routing policy only when
    /// primary discovery admits them.
    pub(super) fn apply_cached_list(
        &mut self,
        endpoints: Vec<ListedEndpoint>,
        minimum_positions: BTreeMap<i64, MinimumPosition>,
        now: Timestamp,
    ) {
        let mut members = Vec::with_capacity(endpoints.len());
        for listed in endpoints {
            let member = self.register_endpoint(&listed);
            members.push(member);
            self.not_admitted.insert(member.endpoint, listed);
        }
        let minimum_positions = minimum_positions
            .into_iter()
            .map(|(group, minimum)| GroupMinimum { group: self.groups.intern(group), minimum })
            .collect();
        self.report_to_primary_discovery(
            now,
            DiscoveryEvent::CachedListLoaded { members, minimum_positions },
        );
    }

    /// Reports a list from discovery to primary discovery. This is done before the list is reported to the routing
    /// policy.
    fn report_list_to_primary_discovery(
        &mut self,
        complete: bool,
        endpoints: &[ListedEndpoint],
        now: Timestamp,
    ) {
        if self.primary_discovery.is_none() || (complete && endpoints.is_empty()) {
            return;
        }
        let (mut members, mut removed) = (Vec::with_capacity(endpoints.len()), Vec::new());
        for listed in endpoints {
            let member = self.register_endpoint(listed);
            if listed.status() == EndpointStatus::Removed {
                removed.push(member.endpoint);
            } else {
                members.push(member);
                self.not_admitted.remove(&member.endpoint);
            }
        }
        self.report_to_primary_discovery(now, DiscoveryEvent::ListReceived { complete, members, removed });
    }

    /// Reports a list from discovery to the routing policy. Returns the addresses whose idle connections must be
    /// closed because the endpoint was restarted, is draining or was removed.
    pub(super) fn apply_list(
        &mut self,
        complete: bool,
        endpoints: &[ListedEndpoint],
        zones: &[String],
        now: Timestamp,
    ) -> Vec<SocketAddr> {
        let (mut records, mut outdated_addrs) = (Vec::with_capacity(endpoints.len()), Vec::new());
        for listed in endpoints {
            let endpoint = self.register_endpoint(listed).endpoint;
            let started_at = &mut self.listed_states[endpoint].started_at;
            if listed.status() != EndpointStatus::Serving || *started_at != listed.started_at() {
                outdated_addrs.extend(listed.socket_addr());
            }
            *started_at = listed.started_at();
            records.push(self.endpoint_record(listed, zones));
        }
        self.report_to_policy(now, Event::EndpointList { complete, records });
        outdated_addrs
    }
}

/// Classifies the failure of a role query that has no usable answer. A query that was not sent, or was rejected for
/// lack of capacity, tells nothing about the endpoint.
fn query_failure(answer: &Result<EndpointQueryAnswer, ConnectError>) -> QueryFailure {
    match answer {
        Err(ConnectError { refused: true, .. }) => QueryFailure::Refused,
        Err(ConnectError { outcome: AttemptOutcome::NotSent | AttemptOutcome::Rejected, .. }) => {
            QueryFailure::NotSent
        }
        Ok(_) | Err(_) => QueryFailure::NoAnswer,
    }
}

/// What an endpoint has reported about its identity.
struct IdentityReport {
    /// Whether the endpoint's own name matches its name in the list.
    identity: Identity,
    /// The timeline of the endpoint's log; `None` if it is unknown.
    timeline: Option<u32>,
}

/// Parses an endpoint's answer, `name,timeline`, and compares the name with the endpoint's name in the list.
fn parse_identity(answer: Option<&str>, listed_name: &str) -> IdentityReport {
    let Some(answer) = answer else {
        return IdentityReport { identity: Identity::Unknown, timeline: None };
    };
    match answer.rsplit_once(',') {
        Some((own_name, timeline)) if own_name == listed_name => {
            IdentityReport { identity: Identity::Confirmed, timeline: timeline.parse().ok() }
        }
        _ => IdentityReport { identity: Identity::Mismatch, timeline: None },
    }
}

/// The minimum position that the primary of each group must have, according to the reports of the group's endpoints
/// that were saved with the cached list. Only reports from the group's highest timeline count. The keys are group
/// numbers.
fn minimum_positions(list: &CachedEndpointList) -> BTreeMap<i64, MinimumPosition> {
    let mut minimums: BTreeMap<i64, MinimumPosition> = BTreeMap::new();
    for endpoint in &list.endpoints {
        let minimum = minimums.entry(endpoint.group).or_default();
        let Some(report) = endpoint.report else { continue };
        let position = report.position_ms.map(|millis| Timestamp(millis.saturating_mul(NANOS_PER_MILLI)));
        if report.timeline > minimum.timeline {
            *minimum = MinimumPosition { timeline: report.timeline, position };
        } else if report.timeline == minimum.timeline {
            minimum.position = minimum.position.max(position);
        }
    }
    minimums
}
