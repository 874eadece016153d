//! The router state: the part of the control loop's state that is replaced after a panic of the routing policy.

use crate::control::active_request::{ActiveRequest, StartedAttempt};
use crate::control::deadlines::Deadlines;
use crate::control::executed_ids::ExecutedIds;
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
use admission::memory_plan::EXECUTED_IDS_DIVISOR;
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

/// An endpoint's address and start time according to the endpoint list.
#[derive(Clone, Copy, Default)]
pub struct ListedState {
    /// The address; `None` if the listed one is invalid.
    pub addr: Option<SocketAddr>,
    /// When the endpoint's process was started; `None` if it is unknown.
    pub started_at: Option<Timestamp>,
}

/// The routing policy, primary discovery and the state of open requests.
pub struct RouterState {
    /// Decides which attempts are started and which requests are rejected.
    pub policy: RoutingPolicy,
    /// Actions of the routing policy that have not been performed yet.
    pub actions: Vec<Action>,
    /// The timers of the routing policy, and the abort times of open requests.
    pub deadlines: Deadlines,
    /// The requests that are open or have an attempt in flight.
    pub requests: RequestRegistry<ActiveRequest>,
    /// The ids that clients have given to the requests in `requests`.
    pub ids: HashSet<Arc<str>>,
    /// The ids of writes that may have been executed and have ended.
    pub executed_ids: ExecutedIds,
    /// Assigns an index to each endpoint name.
    pub endpoints: IdInterner<String>,
    /// The address and start time of each endpoint, by endpoint index.
    pub listed_states: Vec<ListedState>,
    /// Assigns an index to each group number.
    pub groups: IdInterner<i64>,
    /// The requests that wait for admission; `None` if requests are not limited.
    pub queue: Option<RequestQueue>,
    /// Admitted requests that have finished, and whose slots in the request queue must be released.
    pub finished: Vec<RequestId>,
    /// The epochs of the groups' logs, as endpoints have reported them.
    pub epochs: EpochHistory,
    /// The write journal; `None` if writes are not recorded.
    pub journal: Option<Arc<WriteJournal>>,
    /// The counters and histograms of requests, attempts and health checks.
    pub metrics: Arc<Metrics>,
    /// Finds and verifies the primary of each group; `None` if the endpoint list is not cached.
    pub primary_discovery: Option<PrimaryDiscovery>,
    /// Actions of primary discovery that have not been performed yet.
    pub primary_discovery_actions: Vec<primary_discovery::Action>,
    /// The list entries of endpoints that primary discovery has not admitted yet or has withdrawn.
    pub not_admitted: BTreeMap<EndpointIndex, ListedEndpoint>,
}

/// The parameters of a router state.
pub struct RouterSetup<'a> {
    /// The seed of the random numbers of the routing policy and the request queue.
    pub seed: u64,
    /// The settings of the routing policy.
    pub settings: &'a RoutingSettings,
    /// Provides the clock, the write journal and the metrics.
    pub dispatcher: &'a EndpointDispatcher,
    /// The options of primary discovery; `None` if the endpoint list is not cached.
    pub recovery: Option<&'a RecoveryOptions>,
    /// The limits on requests; `None` if requests are not limited.
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
        let resources = dispatcher.pool.resources();
        let max_id_bytes = resources.memory_limit() / EXECUTED_IDS_DIVISOR;
        let executed_ids = ExecutedIds::new(max_id_bytes, resources.buffer_charge());
        RouterState {
            policy,
            actions,
            deadlines: Deadlines::default(),
            requests: RequestRegistry::default(),
            ids: HashSet::new(),
            executed_ids,
            endpoints: IdInterner::default(),
            listed_states: Vec::new(),
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

    /// Reports an event to the routing policy. The actions that the policy requests are appended to `actions`.
    pub fn report_to_policy(&mut self, now: Timestamp, event: Event) {
        let first_new = self.actions.len();
        self.policy.on_event(now, event, &mut self.actions);
        self.register_attempts(now, first_new);
    }

    /// Registers the attempts that the pending actions from the index `first_new` on start.
    ///
    /// The routing policy counts an attempt from its request for it until its end is reported. The attempt is therefore
    /// registered before its action is performed: a request that is closed in between stays registered, so that the
    /// end of its attempt can still be reported.
    fn register_attempts(&mut self, now: Timestamp, first_new: usize) {
        for action in &self.actions[first_new..] {
            let Action::StartAttempt { request, endpoint, .. } = *action else { continue };
            let number = self.requests.start_attempt(request);
            if let Some(active) = self.requests.get_mut(request) {
                active.attempt = Some(StartedAttempt::new(number, endpoint, now));
            }
        }
    }

    /// Reports an event to primary discovery, if there is one. The actions that it requests are appended to
    /// `primary_discovery_actions`.
    pub fn report_to_primary_discovery(&mut self, now: Timestamp, event: primary_discovery::Event) {
        if let Some(discovery) = &mut self.primary_discovery {
            discovery.on_event(now, event, &mut self.primary_discovery_actions);
        }
    }

    /// Reports the timers that are due to the routing policy, and aborts the requests whose abort time has come.
    pub fn fire_deadlines(&mut self, now: Timestamp) {
        while let Some(tag) = self.deadlines.next_timer(now) {
            self.report_to_policy(now, Event::TimerFired { tag });
        }
        while let Some(request) = self.deadlines.next_overdue_request(now) {
            if self.requests.is_open(request) && !self.is_answer_pending(request) {
                log!(WARN, request = request; "request is still open at its abort time; aborting it");
                self.answer(now, request, Response::Aborted);
                self.report_to_policy(now, Event::ClientGone { request });
            }
        }
    }

    /// Whether a pending action of the routing policy answers the request.
    fn is_answer_pending(&self, request: RequestId) -> bool {
        self.actions.iter().any(|action| match action {
            Action::Reject { request: answered, .. } | Action::Abort { request: answered } => {
                *answered == request
            }
            _ => false,
        })
    }

    /// Assigns indices to a listed endpoint and its group, stores the endpoint's address, and returns both indices for
    /// primary discovery.
    pub fn register_endpoint(&mut self, listed: &ListedEndpoint) -> Member {
        let endpoint = self.endpoints.intern(listed.name.clone());
        if self.listed_states.len() <= endpoint {
            self.listed_states.resize(endpoint + 1, ListedState::default());
        }
        self.listed_states[endpoint].addr = listed.socket_addr();
        Member { endpoint, group: self.groups.intern(listed.group) }
    }

    /// Converts an entry of the endpoint list to the routing policy's type.
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

    /// The address of an endpoint; `None` if the listed address is invalid.
    pub fn addr(&self, endpoint: EndpointIndex) -> Option<SocketAddr> {
        self.listed_states[endpoint].addr
    }

    /// Answers a request and closes it.
    pub fn answer(&mut self, now: Timestamp, request: RequestId, response: Response) {
        if let Some(active) = self.requests.get_mut(request) {
            active.answer(&self.metrics, now, response);
        }
        self.close(now, request);
    }

    /// Closes a request that was answered or whose client has disconnected. The request is removed once it has no
    /// attempt in flight.
    pub fn close(&mut self, now: Timestamp, request: RequestId) {
        let removed = self.requests.close(request);
        self.release(now, request, removed);
    }

    /// Releases what a removed request held: its id, its abort time and its slot in the request queue. If the write
    /// journal has recorded the request, and the request was certainly not executed, the journal records that too. The id
    /// of another write that may have been executed is kept. Has no effect if `removed` is `None`.
    pub fn release(&mut self, now: Timestamp, request: RequestId, removed: Option<ActiveRequest>) {
        let Some(active) = removed else { return };
        self.ids.remove(&active.identity.id);
        let execution = &active.execution;
        if execution.must_run_once && !execution.is_journaled {
            if execution.may_have_run {
                let (id, received_at) = (active.identity.id.clone(), active.response.received_at);
                self.executed_ids.record(now, id, received_at, execution.deduplication);
            }
            self.executed_ids.release();
        }
        if let Some(journal) =
            self.journal.as_ref().filter(|_| active.execution.is_recorded && !active.execution.may_have_run)
        {
            journal.record_outcome(&active.identity.id, RecordEvent::NotExecuted);
        }
        self.deadlines.remove_abort_time(active.response.abort_at, request);
        if self.queue.is_some() {
            self.finished.push(request);
        }
    }

    /// Keeps the ids of open writes with an attempt, which may have been executed, because this state is replaced.
    pub fn keep_ids_of_open_writes(&mut self, now: Timestamp) {
        let executed_ids = &mut self.executed_ids;
        for (_, active) in self.requests.iter() {
            let execution = &active.execution;
            if execution.must_run_once && active.attempt.is_some() && !execution.is_journaled {
                let (id, received_at) = (active.identity.id.clone(), active.response.received_at);
                executed_ids.record(now, id, received_at, execution.deduplication);
            }
        }
        executed_ids.release_all();
    }

    /// Logs a decision of the routing policy on a request at debug level.
    pub fn log_decision(&self, request: RequestId, decision: &str, now: Timestamp) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let Some(active) = self.requests.get(request) else { return };
        let (group, is_read) = (active.identity.group, active.is_read);
        let held_us = (now - active.response.received_at).0 / NANOS_PER_MICRO;
        tracing::debug!(
            request, request_id = %active.identity.id, group, is_read, held_us, decision, "decision on a request"
        );
    }

    /// Takes a snapshot for the admin socket, with the oldest requests first.
    pub fn snapshot(&self, now: Timestamp) -> ServerSnapshot {
        let requests = self.requests.iter().map(|(request, active)| self.request_snapshot(request, active));
        let mut requests: Vec<RequestSnapshot> = requests.collect();
        requests.sort_by(|a, b| (a.received_at, &a.identity.id).cmp(&(b.received_at, &b.identity.id)));
        requests.truncate(MAX_REQUESTS);
        let endpoints = (0..self.listed_states.len()).map(|endpoint| ListedEndpointSnapshot {
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
