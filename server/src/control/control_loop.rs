//! The control loop: handles messages in batches, and reads the clock once for each batch.

use crate::control::recovery_options::RecoveryOptions;
use crate::control::request_queue::{QueuedRequest, RequestQueue};
use crate::control::router_state::{RouterSetup, RouterState};
use crate::endpoints::dispatcher::EndpointDispatcher;
use crate::log;
use crate::messages::control::{ControlMessage, QueueLimits};
use crate::messages::endpoint_list::ListedEndpoint;
use may::sync::mpsc::Receiver;
use recovery::primary_discovery::{self, PrimaryDiscovery};
use routing::time::Timestamp;
use routing::{Event, RoutingSettings};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The configuration from which a router state is created, at the start and after each panic.
pub struct RouterConfig {
    /// The settings of the routing policy.
    pub settings: RoutingSettings,
    /// The seed of the routing policy's random numbers. It is incremented for each router state that replaces one
    /// after a panic.
    pub seed: u64,
    /// The names of the zones; a zone's index is its position here.
    pub zones: Vec<String>,
    /// The maximum number of open requests; further ones are rejected.
    pub max_open_requests: usize,
}

/// The parameters of a control loop.
pub struct ControlSetup {
    /// The configuration of the router.
    pub config: RouterConfig,
    /// Starts attempts, health checks and role queries.
    pub dispatcher: EndpointDispatcher,
    /// The channel from which the control loop receives its messages.
    pub messages: Receiver<ControlMessage>,
    /// The options of primary discovery, if the endpoint list is cached.
    pub recovery: Option<RecoveryOptions>,
}

/// The control loop, with the router state that it owns.
pub struct ControlLoop {
    pub(super) config: RouterConfig,
    pub(super) dispatcher: EndpointDispatcher,
    messages: Receiver<ControlMessage>,
    /// The latest endpoint list, by endpoint name. It is applied to a new router state after a panic.
    pub(super) endpoint_list: BTreeMap<String, ListedEndpoint>,
    /// The earliest scheduled wake-up whose message has not been handled yet.
    pub(super) pending_wake_up: Option<Timestamp>,
    /// The router state was replaced, and the endpoint list must be applied to the new one.
    must_restore_list: bool,
    /// Discovery had confirmed the list when the router state was replaced.
    list_was_confirmed: bool,
    pub(super) recovery: Option<RecoveryOptions>,
    pub(super) queue_limits: Option<QueueLimits>,
    pub(super) state: RouterState,
}

impl ControlLoop {
    /// Creates a control loop without endpoints and requests.
    pub fn new(setup: ControlSetup) -> ControlLoop {
        let ControlSetup { config, dispatcher, messages, recovery } = setup;
        let state = RouterState::new(RouterSetup {
            seed: config.seed,
            settings: &config.settings,
            dispatcher: &dispatcher,
            recovery: recovery.as_ref(),
            queue_limits: None,
        });
        ControlLoop {
            config,
            dispatcher,
            messages,
            endpoint_list: BTreeMap::new(),
            pending_wake_up: None,
            must_restore_list: false,
            list_was_confirmed: false,
            recovery,
            queue_limits: None,
            state,
        }
    }

    /// Runs for the life of the process.
    ///
    /// If a batch panics, the router state is dropped. The tickets of the open requests are dropped with it, which
    /// aborts the requests. A new router state is then created from the endpoint list, as after a restart of the
    /// process.
    pub fn run(mut self) {
        loop {
            if catch_unwind(AssertUnwindSafe(|| self.handle_batch())).is_err() {
                log!(WARN; "routing policy panicked; open requests aborted, starting a new policy from the endpoint list");
                self.replace_state();
            }
        }
    }

    /// Replaces the router state after a panic, and schedules the next batch at once.
    fn replace_state(&mut self) {
        self.config.seed = self.config.seed.wrapping_add(1);
        self.list_was_confirmed =
            self.state.primary_discovery.as_ref().is_some_and(PrimaryDiscovery::is_list_confirmed);
        self.state.keep_ids_of_open_writes(self.dispatcher.timers().now());
        let new_state = RouterState::new(RouterSetup {
            seed: self.config.seed,
            settings: &self.config.settings,
            dispatcher: &self.dispatcher,
            recovery: self.recovery.as_ref(),
            queue_limits: self.queue_limits.clone(),
        });
        let previous = std::mem::replace(&mut self.state, new_state);
        self.state.executed_ids = previous.executed_ids;
        self.must_restore_list = true;
        // The message of the pending wake-up may have been lost with the batch that panicked.
        self.pending_wake_up = None;
        let at = self.dispatcher.timers().now();
        let _ = self.dispatcher.control.send(ControlMessage::WakeUp { at });
    }

    /// Waits for a message, then handles it and all others in the channel as one batch.
    fn handle_batch(&mut self) {
        let Ok(first) = self.messages.recv() else { return };
        let now = self.dispatcher.timers().now();
        if std::mem::take(&mut self.must_restore_list) {
            self.restore_list(now);
        }
        self.state.fire_deadlines(now);
        let mut admitted = Vec::new();
        if let Some(queue) = &mut self.state.queue {
            queue.tick(now, &mut admitted);
        }
        self.admit(now, admitted);
        let mut next = Some(first);
        while let Some(message) = next {
            self.handle_message(now, message);
            self.perform_primary_discovery_actions(now);
            next = self.messages.try_recv().ok();
        }
        self.perform_actions(now);
        while !self.state.finished.is_empty() {
            self.admit(now, Vec::new());
            self.perform_actions(now);
        }
        self.schedule_wake_up(now);
    }

    /// Applies the endpoint list to a new router state. A list that discovery had not confirmed is verified first.
    fn restore_list(&mut self, now: Timestamp) {
        let endpoints: Vec<ListedEndpoint> = self.endpoint_list.values().cloned().collect();
        if self.recovery.is_some() && !self.list_was_confirmed {
            self.state.apply_cached_list(endpoints, BTreeMap::new(), now);
        } else {
            self.state.apply_list(true, &endpoints, &self.config.zones, now);
        }
    }

    fn handle_message(&mut self, now: Timestamp, message: ControlMessage) {
        match message {
            ControlMessage::Request(incoming) => {
                self.on_request(now, QueuedRequest { incoming, received_at: now });
            }
            ControlMessage::ClientGone { request } => self.on_client_gone(now, request),
            ControlMessage::ConfirmAttempt(confirmation) => self.on_confirm_attempt(now, &confirmation),
            ControlMessage::AttemptEnded(result) => self.on_attempt_ended(now, *result),
            ControlMessage::HealthCheckEnded(result) => self.on_health_check_ended(now, result),
            ControlMessage::EndpointList { complete, endpoints } => {
                self.on_endpoint_list(now, complete, endpoints);
            }
            ControlMessage::DiscoveryWatchEnded => {
                self.state.report_to_policy(now, Event::EndpointListFailed);
            }
            ControlMessage::QueryFate(query) => self.on_fate_query(query),
            ControlMessage::CachedList(list) => self.on_cached_list(now, &list),
            ControlMessage::RoleQueryEnded(result) => self.on_role_query_ended(now, result),
            ControlMessage::SetQueueLimits(limits) => self.on_queue_limits(now, limits),
            // Sending fails if the admin socket no longer waits for the snapshot.
            ControlMessage::Snapshot { reply } => _ = reply.send(self.state.snapshot(now)),
            ControlMessage::WakeUp { at } => {
                self.pending_wake_up = self.pending_wake_up.filter(|pending| *pending != at);
                self.state.report_to_primary_discovery(now, primary_discovery::Event::Tick);
            }
        }
    }

    /// Applies new limits on requests. If the limits are removed, all waiting requests are admitted.
    fn on_queue_limits(&mut self, now: Timestamp, limits: Option<QueueLimits>) {
        self.queue_limits.clone_from(&limits);
        let mut admitted = Vec::new();
        match (self.state.queue.take(), limits) {
            (Some(mut queue), Some(limits)) => {
                queue.set_limits(now, limits, &mut admitted);
                self.state.queue = Some(queue);
            }
            (None, Some(limits)) => {
                let queue = RequestQueue::new(limits, self.config.settings.max_retry_after, self.config.seed);
                self.state.queue = Some(queue);
            }
            (Some(queue), None) => admitted = queue.into_waiting(),
            (None, None) => {}
        }
        self.admit(now, admitted);
    }

    /// Schedules a wake-up for the next deadline, unless an earlier one is pending.
    ///
    /// A wake-up is pending until its message is handled. The message may be handled in a batch that read the clock
    /// before the wake-up's time, so that the batch does not handle the deadline. If the wake-up stayed pending
    /// until its time instead, that batch would schedule no other, and the deadline might never be handled.
    fn schedule_wake_up(&mut self, now: Timestamp) {
        let state = &self.state;
        let discovery_due =
            state.primary_discovery.as_ref().and_then(|discovery| discovery.next_tick_due(now));
        let queue_due = state.queue.as_ref().and_then(RequestQueue::due);
        let due = state.deadlines.due().into_iter().chain(queue_due).chain(discovery_due).min();
        let is_earlier = |due: &Timestamp| self.pending_wake_up.is_none_or(|pending| *due < pending);
        let Some(due) = due.filter(is_earlier) else { return };
        self.pending_wake_up = Some(due);
        let control = self.dispatcher.control.clone();
        self.dispatcher.timers().call_at(due, move || {
            let _ = control.send(ControlMessage::WakeUp { at: due });
        });
    }
}
