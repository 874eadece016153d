//! The part of the control loop's state that is replaced after a panic of the routing policy.

use crate::control::active_request::ActiveRequest;
use crate::control::deadlines::Deadlines;
use crate::control::recovery_options::RecoveryOptions;
use crate::control::request_queue::RequestQueue;
use crate::endpoints::dispatcher::EndpointDispatcher;
use crate::log;
use crate::messages::control::QueueLimits;
use crate::messages::endpoint_list::ListedEndpoint;
use crate::messages::response::Response;
use crate::messages::snapshot::{
    AttemptSnapshot, ListedEndpointSnapshot, RequestSnapshot, ServerSnapshot, MAX_CLIENTS, MAX_REQUESTS,
};
use crate::runtime::clock::NANOS_PER_MICRO;
use crate::runtime::metrics::Metrics;
use crate::storage::journal::WriteJournal;
use host_support::id_interner::IdInterner;
use host_support::request_registry::RequestRegistry;
use recovery::primary_discovery::{self, DiscoverySettings, Member, PrimaryDiscovery};
use routing::time::Timestamp;
use routing::{Action, EndpointIndex, EndpointRecord, Event, RequestId, RoutingPolicy, RoutingSettings};
use sessions::epochs::EpochHistory;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use write_journal::record_state::RecordEvent;

/// An endpoint's address and start time by the endpoint list.
#[derive(Clone, Copy, Default)]
pub struct ListedState {
    /// The address, if the listed one is valid.
    pub addr: Option<SocketAddr>,
    /// When the endpoint's process was started, if it is known.
    pub started_at: Option<Timestamp>,
}

/// The routing policy, primary discovery and the state of open requests.
pub struct RouterState {
    /// The routing policy.
    pub policy: RoutingPolicy,
    /// Actions of the routing policy that were not performed yet.
    pub actions: Vec<Action>,
    /// The timers of the routing policy and the abort times of requests.
    pub deadlines: Deadlines,
    /// Requests that are open, or have an attempt in flight.
    pub requests: RequestRegistry<ActiveRequest>,
    /// The ids of `requests`.
    pub ids: HashSet<Arc<str>>,
    /// The names of endpoints, and their indices.
    pub endpoints: IdInterner<String>,
    /// The listed state of each endpoint, by index.
    pub listed: Vec<ListedState>,
    /// The numbers of groups, and their indices.
    pub groups: IdInterner<i64>,
    /// Requests that wait for admission, if requests are limited.
    pub queue: Option<RequestQueue>,
    /// Admitted requests that have finished, to be removed from the request queue.
    pub finished: Vec<RequestId>,
    /// The epochs of the groups' logs, as reported by endpoints.
    pub epochs: EpochHistory,
    /// The write journal, if writes are recorded.
    pub journal: Option<Arc<WriteJournal>>,
    /// The counters of the process.
    pub metrics: Arc<Metrics>,
    /// Primary discovery, if the endpoint list is cached.
    pub primary_discovery: Option<PrimaryDiscovery>,
    /// Actions of primary discovery that were not performed yet.
    pub primary_discovery_actions: Vec<primary_discovery::Action>,
    /// List entries of endpoints that primary discovery has not admitted, or has withdrawn.
    pub not_admitted: BTreeMap<EndpointIndex, ListedEndpoint>,
}

/// The parameters of a router state.
pub struct RouterSetup<'a> {
    /// The seed of random numbers.
    pub seed: u64,
    /// The settings of the routing policy.
    pub settings: &'a RoutingSettings,
    /// Provides the clock, the write journal and the counters.
    pub dispatcher: &'a EndpointDispatcher,
    /// The options of primary discovery, if the endpoint list is cached.
    pub recovery: Option<&'a RecoveryOptions>,
    /// The limits on requests, if there are any.
    pub queue_limits: Option<QueueLimits>,
}

impl RouterState {
    /// Creates a state without endpoints and requests.
    pub fn new(setup: RouterSetup) -> RouterState {
        let RouterSetup { seed, settings, dispatcher, recovery, queue_limits } = setup;
        let mut actions = Vec::new();
        let policy = RoutingPolicy::new(seed, settings, dispatcher.timers().now(), &mut actions);
        let primary_discovery = recovery.map(|options| {
            PrimaryDiscovery::new(DiscoverySettings {
                cache_times: options.cache_times,
                may_query: settings.may_check_health,
                descriptors: options.descriptors,
            })
        });
        RouterState {
            policy,
            actions,
            deadlines: Deadlines::default(),
            requests: RequestRegistry::default(),
            ids: HashSet::new(),
            endpoints: IdInterner::default(),
            listed: Vec::new(),
            groups: IdInterner::default(),
            queue: queue_limits.map(|limits| RequestQueue::new(limits, settings.max_retry_after, seed)),
            finished: Vec::new(),
            epochs: EpochHistory::default(),
            journal: dispatcher.journal.clone(),
            metrics: dispatcher.metrics.clone(),
            primary_discovery,
            primary_discovery_actions: Vec::new(),
            not_admitted: BTreeMap::new(),
        }
    }

    /// Reports an event to the routing policy.
    pub fn report(&mut self, now: Timestamp, event: Event) {
        self.policy.on_event(now, event, &mut self.actions);
    }

    /// Reports an event to primary discovery.
    pub fn report_to_primary_discovery(&mut self, now: Timestamp, event: primary_discovery::Event) {
        if let Some(discovery) = &mut self.primary_discovery {
            discovery.on_event(now, event, &mut self.primary_discovery_actions);
        }
    }

    /// Fires the timers and abort times that are due.
    pub fn fire_deadlines(&mut self, now: Timestamp) {
        while let Some(tag) = self.deadlines.next_timer(now) {
            self.report(now, Event::TimerFired { tag });
        }
        while let Some(request) = self.deadlines.next_overdue_request(now) {
            if self.requests.is_open(request) && !self.is_answer_pending(request) {
                log!(WARN, request = request; "request still open at its abort time, aborted");
                self.answer(now, request, Response::Aborted);
                self.report(now, Event::ClientGone { request });
            }
        }
    }

    /// Whether a pending action answers the request.
    fn is_answer_pending(&self, request: RequestId) -> bool {
        self.actions.iter().any(|action| match action {
            Action::Reject { request: answered, .. } | Action::Abort { request: answered } => {
                *answered == request
            }
            _ => false,
        })
    }

    /// Stores an endpoint's address, and returns the endpoint's index and group for primary discovery.
    pub fn register_endpoint(&mut self, listed: &ListedEndpoint) -> Member {
        let endpoint = self.endpoints.intern(listed.name.clone());
        if self.listed.len() <= endpoint {
            self.listed.resize(endpoint + 1, ListedState::default());
        }
        self.listed[endpoint].addr = listed.socket_addr();
        Member { endpoint, group: self.groups.intern(listed.group) }
    }

    /// The routing policy's view of a list entry.
    pub fn endpoint_record(&mut self, listed: &ListedEndpoint, zones: &[String]) -> EndpointRecord {
        EndpointRecord {
            endpoint: self.endpoints.intern(listed.name.clone()),
            group: self.groups.intern(listed.group),
            zone: zones.iter().position(|zone| *zone == listed.zone).unwrap_or(zones.len()),
            status: listed.status(),
            primary: listed.is_primary(),
            started_at: listed.started_at(),
            start_is_upper_bound: false,
        }
    }

    /// The address of an endpoint, if it has one.
    pub fn addr(&self, endpoint: EndpointIndex) -> Option<SocketAddr> {
        self.listed[endpoint].addr
    }

    /// Answers a request and closes it.
    pub fn answer(&mut self, now: Timestamp, request: RequestId, response: Response) {
        if let Some(active) = self.requests.get_mut(request) {
            active.answer(&self.metrics, now, response);
        }
        self.close(request);
    }

    /// Closes a request that was answered, or whose client has disconnected.
    pub fn close(&mut self, request: RequestId) {
        let removed = self.requests.close(request);
        self.release(request, removed);
    }

    /// Releases what a request held, once it was removed: its id, its abort time and its slot of the queue's limits.
    /// A recorded request that was certainly not executed is marked so in the journal.
    pub fn release(&mut self, request: RequestId, removed: Option<ActiveRequest>) {
        let Some(active) = removed else { return };
        self.ids.remove(&active.identity.id);
        if let Some(journal) =
            self.journal.as_ref().filter(|_| active.execution.recorded && !active.execution.may_have_run)
        {
            journal.record_outcome(&active.identity.id, RecordEvent::NotExecuted);
        }
        self.deadlines.remove_abort_time(active.response.abort_at, request);
        if self.queue.is_some() {
            self.finished.push(request);
        }
    }

    /// Writes a debug line for a decision on a request.
    pub fn log_decision(&self, request: RequestId, decision: &str, now: Timestamp) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let Some(active) = self.requests.get(request) else { return };
        let (group, is_read) = (active.identity.group, active.is_read);
        let held_us = (now - active.response.received_at).0 / NANOS_PER_MICRO;
        tracing::debug!(request, request_id = %active.identity.id, group, is_read, held_us, decision, "decided");
    }

    /// A snapshot for the admin socket, with the oldest requests first.
    pub fn snapshot(&self, now: Timestamp) -> ServerSnapshot {
        let requests = self.requests.iter().map(|(request, active)| self.request_snapshot(request, active));
        let mut requests: Vec<RequestSnapshot> = requests.collect();
        requests.sort_by(|a, b| (a.received_at, &a.identity.id).cmp(&(b.received_at, &b.identity.id)));
        requests.truncate(MAX_REQUESTS);
        let endpoints = (0..self.listed.len()).map(|endpoint| ListedEndpointSnapshot {
            name: self.endpoints.id(endpoint).clone(),
            addr: self.addr(endpoint),
            state: self.policy.endpoint_snapshot(now, endpoint),
        });
        ServerSnapshot {
            now,
            open_requests: self.requests.len(),
            requests,
            endpoints: endpoints.collect(),
            groups: self.groups.len(),
            queue: self.queue.as_ref().map(|queue| queue.snapshot(MAX_CLIENTS)),
        }
    }

    /// A snapshot of one request.
    fn request_snapshot(&self, request: RequestId, active: &ActiveRequest) -> RequestSnapshot {
        let in_flight = active.in_flight().map(|location| AttemptSnapshot {
            endpoint: self.endpoints.id(location.endpoint).clone(),
            started_at: location.started_at,
        });
        RequestSnapshot {
            identity: active.identity.clone(),
            received_at: active.response.received_at,
            attempts: active.attempt.as_ref().map_or(0, |attempt| attempt.number + 1),
            in_flight,
            is_closed: !self.requests.is_open(request),
        }
    }
}
