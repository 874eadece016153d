//! Admission control for connections, which is used if the operators' file defines client classes. Each connection
//! that is not rejected holds a [`ConnectionPermit`], and is counted until the permit is dropped.

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

/// The state of admission control, under one lock.
struct State {
    limiter: ConnectionLimiter,
    handshakes: HandshakeQueue,
    /// The channels of the connections in the handshake queue, by which a displaced connection is asked to close.
    channels: HashMap<HandshakeId, Arc<ResponseChannel>>,
}

impl State {
    /// Removes a connection from the handshake queue; returns false if a newer connection has displaced it.
    fn leave_handshake(&mut self, id: HandshakeId) -> bool {
        self.channels.remove(&id);
        self.handshakes.remove(id)
    }
}

/// Enforces the connection limits of client classes and addresses, and holds the handshake queue.
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
    /// Neither in the handshake queue nor counted.
    Released,
}

/// A connection's slot in the handshake queue or in its client class, released on drop.
pub struct ConnectionPermit {
    control: Arc<AdmissionControl>,
    client_address: IpAddr,
    state: PermitState,
}

impl ConnectionPermit {
    /// The name of the client's class; `None` before admission.
    pub fn class(&self) -> Option<Arc<str>> {
        self.client().map(|client| client.class)
    }

    /// The client to which the connection's requests are attributed; `None` before admission.
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

    /// Registers the channel by which the connection is asked to close if it is displaced from the handshake queue;
    /// returns false if it was displaced already.
    pub fn set_channel(&self, channel: &Arc<ResponseChannel>) -> bool {
        let PermitState::Handshake(id) = self.state else { return true };
        let mut state = self.control.lock();
        let is_waiting = state.handshakes.contains(id);
        if is_waiting {
            state.channels.insert(id, channel.clone());
        }
        is_waiting
    }

    /// Removes the connection from the handshake queue and admits it to the class of `user`, whom its startup message
    /// has named. Has no effect if the connection was admitted by its address alone.
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

    /// Returns the rejection of a connection that was displaced from the handshake queue, and counts it.
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

/// The state of admission control, as the pages of the admin socket show it.
pub struct AdmissionSnapshot {
    /// The client classes in the operators' file.
    pub classes: Vec<ClientClass>,
    /// The number of open connections of each class.
    pub connections: Vec<ClassConnections>,
    /// The number of connections in the handshake queue.
    pub handshakes: usize,
    /// The number of connections rejected since the start, for each class and reason.
    pub rejections: Vec<RejectionCount>,
    /// The addresses with the most connections.
    pub top_addresses: Vec<AddressConnections>,
    /// The number of addresses for which the limiter holds state.
    pub remembered_addresses: usize,
}

impl AdmissionControl {
    /// Creates admission control whose rejections carry a Retry-After of at most `max_retry_after`; `seed` is for the
    /// jitter of that time.
    ///
    /// # Errors
    /// All problems of the classes.
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

    /// Replaces the client classes. Admitted connections are not closed.
    ///
    /// # Errors
    /// All problems of the new classes; the current ones stay in effect.
    pub fn set_classes(&self, settings: ClassSettings) -> Result<(), Vec<ClassError>> {
        let capacity = self.resources.limit(DescriptorClass::Clients);
        self.lock().limiter.set_limits(limits(settings, capacity))
    }

    /// Admits a new connection. If classes depend on the user, the connection is placed in the handshake queue
    /// instead, until its startup message names the user.
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

    /// Admits a connection to its client class. If the class is full, the connection is rejected, and an idle one of
    /// the class is asked to close, so that a later client can be admitted.
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

    /// Returns the rejection of a connection that has no slot in the handshake queue, and counts it.
    fn reject_handshake(&self) -> Rejection {
        let rejection = self.lock().limiter.reject_handshake(self.timers.now());
        count_rejection(DEFAULT_CLASS.to_string(), &rejection);
        rejection
    }

    /// The current state, with the `top_addresses` addresses that have the most connections.
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

    /// The numbers of open and rejected connections by class, as one line of text for the log.
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

/// The limits of the connection limiter. If a class is defined by its users, the handshake queue is in use, and the
/// queue's descriptors are deducted from the capacity that the classes share.
fn limits(settings: ClassSettings, capacity: usize) -> ConnectionLimits {
    let ClassSettings { classes, prefixes } = settings;
    let needs_users = classes.iter().any(|class| !class.users.is_empty());
    let handshakes = HandshakeQueue::for_capacity(capacity).max_descriptors();
    let capacity = if needs_users { capacity.saturating_sub(handshakes) } else { capacity };
    ConnectionLimits { classes, prefixes, capacity }
}
