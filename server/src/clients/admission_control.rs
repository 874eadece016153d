//! Admission control for connections, used if the operators' file defines client classes. An admitted connection
//! holds a [`ConnectionPermit`], which is released when it is dropped.

use crate::messages::response::ResponseChannel;
use crate::runtime::clock::Timers;
use crate::runtime::idle_clients::RequestClose;
use crate::runtime::resource_limits::{DescriptorClass, ResourceLimits};
use admission::client_class::DEFAULT_CLASS;
use admission::concurrency_limiter::ClientKey;
use admission::connection_limiter::ConnectionLimits;
use admission::handshake_queue::{EnqueueResult, HandshakeId, HandshakeQueue};
use admission::{
    AddressConnections, AdmittedConnection, ClassConnections, ClassError, ClassSettings, ClientClass,
    ConnectionLimiter, Rejection, RejectionCount,
};
use routing::time::TimeDelta;
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard};

/// The state that connections share, under one lock.
struct State {
    limiter: ConnectionLimiter,
    handshakes: HandshakeQueue,
    /// The channels of the connections in the handshake queue, to request a close when one is displaced.
    channels: HashMap<HandshakeId, Arc<ResponseChannel>>,
}

impl State {
    /// Removes a connection from the handshake queue; returns false if it was displaced before.
    fn leave_handshake(&mut self, id: HandshakeId) -> bool {
        self.channels.remove(&id);
        self.handshakes.remove(id)
    }
}

/// The connection limits per client class and address, and the handshake queue.
pub struct AdmissionControl {
    state: Mutex<State>,
    timers: Arc<Timers>,
    resources: Arc<ResourceLimits>,
}

/// The progress of a connection through admission control.
enum PermitState {
    /// In the handshake queue: the startup message, which names the user, has not arrived yet.
    Handshake(HandshakeId),
    /// Counted against the limits of its client class.
    Admitted(AdmittedConnection),
    /// Not counted any more.
    Released,
}

/// The right of one connection to a slot in the handshake queue, or in its client class.
pub struct ConnectionPermit {
    control: Arc<AdmissionControl>,
    client_address: IpAddr,
    state: PermitState,
}

impl ConnectionPermit {
    /// The client's class, once admitted.
    pub fn class(&self) -> Option<Arc<str>> {
        self.client().map(|client| client.class)
    }

    /// The client that requests are attributed to, once admitted.
    pub fn client(&self) -> Option<ClientKey> {
        match &self.state {
            PermitState::Admitted(connection) => Some(connection.client()),
            _ => None,
        }
    }

    /// Whether the connection is still in the handshake queue.
    pub fn is_handshake(&self) -> bool {
        matches!(self.state, PermitState::Handshake(_))
    }

    /// Registers the channel by which the handshake queue can request a close; returns false if the connection was
    /// displaced already.
    pub fn set_channel(&self, channel: &Arc<ResponseChannel>) -> bool {
        let PermitState::Handshake(id) = self.state else { return true };
        let mut state = self.control.lock();
        let is_waiting = state.handshakes.contains(id);
        if is_waiting {
            state.channels.insert(id, channel.clone());
        }
        is_waiting
    }

    /// Admits a connection from the handshake queue, now that its startup message has named the user. Has no effect
    /// on a connection that was admitted by address alone.
    ///
    /// # Errors
    /// The connection was displaced from the handshake queue, or its client class is at its limit.
    pub fn admit_with_user(&mut self, user: &str) -> Result<(), Rejection> {
        let PermitState::Handshake(id) = self.state else { return Ok(()) };
        self.state = PermitState::Released;
        let was_waiting = self.control.lock().leave_handshake(id);
        if !was_waiting {
            return Err(self.control.reject_handshake());
        }
        self.state = PermitState::Admitted(self.control.admit(self.client_address, Some(user))?);
        Ok(())
    }

    /// Counts and returns the rejection of a connection that was displaced from the handshake queue.
    pub fn reject_displaced(&self) -> Rejection {
        self.control.reject_handshake()
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let now = self.control.timers.now();
        let mut state = self.control.lock();
        match std::mem::replace(&mut self.state, PermitState::Released) {
            PermitState::Handshake(id) => _ = state.leave_handshake(id),
            PermitState::Admitted(connection) => state.limiter.release(now, connection),
            PermitState::Released => {}
        }
    }
}

/// The state of admission control, as the admin socket reports it.
pub struct AdmissionSnapshot {
    /// The configured client classes.
    pub classes: Vec<ClientClass>,
    /// Open connections by class.
    pub connections: Vec<ClassConnections>,
    /// Connections in the handshake queue.
    pub handshakes: usize,
    /// Connections rejected since the start, by class and reason.
    pub rejections: Vec<RejectionCount>,
    /// The addresses with the most connections.
    pub top_addresses: Vec<AddressConnections>,
    /// Addresses for which the limiter holds state.
    pub remembered_addresses: usize,
}

impl AdmissionControl {
    /// Creates admission control whose rejections carry a Retry-After of at most `max_retry_after`.
    ///
    /// # Errors
    /// Every fault of the classes.
    pub fn new(
        settings: ClassSettings,
        max_retry_after: TimeDelta,
        seed: u64,
        timers: Arc<Timers>,
        resources: Arc<ResourceLimits>,
    ) -> Result<Arc<AdmissionControl>, Vec<ClassError>> {
        let capacity = resources.limit(DescriptorClass::Clients);
        let limiter = ConnectionLimiter::new(limits(settings, capacity), max_retry_after, seed)?;
        let handshakes = HandshakeQueue::for_capacity(capacity);
        let state = Mutex::new(State { limiter, handshakes, channels: HashMap::new() });
        Ok(Arc::new(AdmissionControl { state, timers, resources }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Replaces the client classes.
    ///
    /// # Errors
    /// Every fault of the new classes, as for [`AdmissionControl::new`]; the present ones stay in effect.
    pub fn set_classes(&self, settings: ClassSettings) -> Result<(), Vec<ClassError>> {
        let capacity = self.resources.limit(DescriptorClass::Clients);
        self.lock().limiter.set_limits(limits(settings, capacity))
    }

    /// Admits a new connection, or places it in the handshake queue if its class depends on the user that it names.
    ///
    /// # Errors
    /// The client's class or the handshake queue is at its limit.
    pub fn admit_or_enqueue(self: &Arc<Self>, client_address: IpAddr) -> Result<ConnectionPermit, Rejection> {
        let permit = |state| ConnectionPermit { control: self.clone(), client_address, state };
        let mut state = self.lock();
        if !state.limiter.needs_user_name() {
            drop(state);
            let admitted = self.admit(client_address, None)?;
            return Ok(permit(PermitState::Admitted(admitted)));
        }
        let address = state.limiter.client_address(client_address);
        match state.handshakes.enqueue(address) {
            EnqueueResult::Added(id) => Ok(permit(PermitState::Handshake(id))),
            EnqueueResult::AddedByDisplacing { added, displaced } => {
                if let Some(channel) = state.channels.remove(&displaced) {
                    channel.request_close();
                }
                Ok(permit(PermitState::Handshake(added)))
            }
            EnqueueResult::Rejected => {
                drop(state);
                Err(self.reject_handshake())
            }
        }
    }

    /// Admits a connection to its client class. If the class is full, an idle connection of it is asked to close,
    /// so that the next client can be admitted.
    fn admit(&self, client_address: IpAddr, user: Option<&str>) -> Result<AdmittedConnection, Rejection> {
        let now = self.timers.now();
        let result = self.lock().limiter.admit(now, client_address, user);
        if let Err(rejection) = &result {
            count_rejection(rejection.class.to_string(), rejection);
            if rejection.reason.reclaims_idle() {
                self.resources.reclaim_idle_of_class(now, &rejection.class);
            }
        }
        result
    }

    /// Counts and returns the rejection of a connection for which the handshake queue has no slot.
    fn reject_handshake(&self) -> Rejection {
        let rejection = self.lock().limiter.reject_handshake(self.timers.now());
        count_rejection(DEFAULT_CLASS.to_string(), &rejection);
        rejection
    }

    /// The present state, with the `top_addresses` addresses that have the most connections.
    pub fn snapshot(&self, top_addresses: usize) -> AdmissionSnapshot {
        let state = self.lock();
        let limiter = &state.limiter;
        AdmissionSnapshot {
            classes: limiter.classes().to_vec(),
            connections: limiter.connections_by_class().collect(),
            rejections: limiter.rejections().collect(),
            top_addresses: limiter.top_addresses(top_addresses),
            handshakes: state.handshakes.len(),
            remembered_addresses: limiter.remembered_addresses(),
        }
    }

    /// The open and the rejected connections by class, as one line of text.
    pub fn summary(&self) -> String {
        let snapshot = self.snapshot(0);
        let connections = snapshot.connections.iter();
        let connections = connections.map(|entry| format!("{} {}", entry.class, entry.connections));
        let rejections = snapshot.rejections.iter();
        let rejections =
            rejections.map(|entry| format!("{} {} ({})", entry.class, entry.count, entry.reason.message()));
        let connections: Vec<String> = connections.collect();
        let rejections: Vec<String> = rejections.collect();
        format!(
            "connections: {}; rejected since the start: {}",
            connections.join(", "),
            rejections.join(", ")
        )
    }
}

fn count_rejection(class: String, rejection: &Rejection) {
    let reason = rejection.reason.label();
    metrics::counter!("gingerwick_connections_refused_total", "class" => class, "why" => reason).increment(1);
}

/// The limits of the connection limiter. If the classes need the handshake queue, its descriptors are deducted from the
/// capacity that the classes share.
fn limits(settings: ClassSettings, capacity: usize) -> ConnectionLimits {
    let ClassSettings { classes, prefixes } = settings;
    let needs_users = classes.iter().any(|class| !class.users.is_empty());
    let handshakes = HandshakeQueue::for_capacity(capacity).max_descriptors();
    let capacity = if needs_users { capacity.saturating_sub(handshakes) } else { capacity };
    ConnectionLimits { classes, prefixes, capacity }
}
