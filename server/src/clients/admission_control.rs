//! The admission of connections, if operators set classes of clients. An admitted connection holds a [`ConnectionPermit`],
//! whose drop gives its place back.

use crate::messages::response::ResponseChannel;
use crate::runtime::clock::Timers;
use crate::runtime::idle_clients::RequestClose;
use crate::runtime::resource_limits::{DescriptorClass, ResourceLimits};
use admission::client_class::DEFAULT_CLASS;
use admission::concurrency_limiter::ClientKey;
use admission::connection_limiter::ConnectionLimits;
use admission::handshake_queue::{Enqueued, HandshakeId, HandshakeQueue};
use admission::{
    AdmittedConnection, ClassError, ClassSettings, ClientClass, ConnectionLimiter, Rejection, RejectionReason,
};
use routing::time::TimeDelta;
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard};

struct State {
    limiter: ConnectionLimiter,
    handshakes: HandshakeQueue,
    /// How to reach connections in the handshake queue.
    channels: HashMap<HandshakeId, Arc<ResponseChannel>>,
}

impl State {
    /// A connection leaves the handshake queue; false if it was displaced before.
    fn leave_handshake(&mut self, id: HandshakeId) -> bool {
        self.channels.remove(&id);
        self.handshakes.leave(id)
    }
}

/// The admission of connections.
pub struct AdmissionControl {
    state: Mutex<State>,
    timers: Arc<Timers>,
    resources: Arc<ResourceLimits>,
}

enum PermitState {
    /// Its client has not identified itself yet.
    Handshake(HandshakeId),
    Admitted(AdmittedConnection),
    Released,
}

/// A connection's place in the handshake queue, or in its class.
pub struct ConnectionPermit {
    control: Arc<AdmissionControl>,
    from: IpAddr,
    state: PermitState,
}

impl ConnectionPermit {
    /// The class of its client, once that is known.
    pub fn class(&self) -> Option<Arc<str>> {
        self.client().map(|client| client.class)
    }

    /// Whom its requests are counted for, once that is known.
    pub fn client(&self) -> Option<ClientKey> {
        match &self.state {
            PermitState::Admitted(connection) => Some(connection.client()),
            _ => None,
        }
    }

    /// Whether its client has not identified itself yet.
    pub fn is_handshake(&self) -> bool {
        matches!(self.state, PermitState::Handshake(_))
    }

    /// Says how to reach the connection while it is in the handshake queue. False if it was displaced already.
    pub fn set_channel(&self, channel: &Arc<ResponseChannel>) -> bool {
        let PermitState::Handshake(id) = self.state else { return true };
        let mut state = self.control.lock();
        let is_waiting = state.handshakes.contains(id);
        if is_waiting {
            state.channels.insert(id, channel.clone());
        }
        is_waiting
    }

    /// Its client has named its user. A connection that was admitted by its address alone stays.
    ///
    /// # Errors
    /// It is rejected.
    pub fn identify(&mut self, user: &str) -> Result<(), Rejection> {
        let PermitState::Handshake(id) = self.state else { return Ok(()) };
        self.state = PermitState::Released;
        let was_waiting = self.control.lock().leave_handshake(id);
        if !was_waiting {
            return Err(self.control.reject_handshake());
        }
        self.state = PermitState::Admitted(self.control.admit(self.from, Some(user))?);
        Ok(())
    }

    /// The rejection of a connection that was displaced before its client identified itself.
    pub fn displacement(&self) -> Rejection {
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

/// Connections by class and address, for operators.
pub struct AdmissionSnapshot {
    /// The classes.
    pub classes: Vec<ClientClass>,
    /// Connections held, by class.
    pub connections: Vec<(String, usize)>,
    /// Connections rejected since the start: class, reason, how many.
    pub rejections: Vec<(String, RejectionReason, u64)>,
    /// The addresses with most connections.
    pub top_addresses: Vec<(IpAddr, usize)>,
    /// Connections in the handshake queue.
    pub handshakes: usize,
    /// Addresses of which anything is remembered.
    pub remembered_addresses: usize,
}

impl AdmissionControl {
    /// For a server that may tell clients to stay away for `max_retry_after` at most.
    ///
    /// # Errors
    /// All that is wrong with the classes.
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

    /// Changes the classes.
    ///
    /// # Errors
    /// As [`AdmissionControl::new`]; nothing changes then.
    pub fn set_classes(&self, settings: ClassSettings) -> Result<(), Vec<ClassError>> {
        let capacity = self.resources.limit(DescriptorClass::Clients);
        self.lock().limiter.set_limits(limits(settings, capacity))
    }

    /// A connection has come. If it matters which user its client names, it waits in the handshake queue until that is known.
    ///
    /// # Errors
    /// It is rejected.
    pub fn arrive(self: &Arc<Self>, from: IpAddr) -> Result<ConnectionPermit, Rejection> {
        let permit = |state| ConnectionPermit { control: self.clone(), from, state };
        let mut state = self.lock();
        if !state.limiter.needs_user() {
            drop(state);
            return self.admit(from, None).map(|connection| permit(PermitState::Admitted(connection)));
        }
        let address = state.limiter.client_address(from);
        match state.handshakes.enqueue(address) {
            Enqueued::Free(id) => Ok(permit(PermitState::Handshake(id))),
            Enqueued::Displacing { entered, displaced } => {
                if let Some(channel) = state.channels.remove(&displaced) {
                    channel.request_close();
                }
                Ok(permit(PermitState::Handshake(entered)))
            }
            Enqueued::Full => {
                drop(state);
                Err(self.reject_handshake())
            }
        }
    }

    /// If its class is full, an idle connection of that class is asked to close for the next one.
    fn admit(&self, from: IpAddr, user: Option<&str>) -> Result<AdmittedConnection, Rejection> {
        let now = self.timers.now();
        let result = self.lock().limiter.admit(now, from, user);
        if let Err(rejection) = &result {
            count_rejection(rejection.class.to_string(), rejection);
            if rejection.reason.reclaims_idle() {
                self.resources.reclaim_idle_of_class(now, &rejection.class);
            }
        }
        result
    }

    fn reject_handshake(&self) -> Rejection {
        let rejection = self.lock().limiter.reject_handshake(self.timers.now());
        count_rejection(DEFAULT_CLASS.to_string(), &rejection);
        rejection
    }

    /// What there is, with so many of the addresses with most connections.
    pub fn snapshot(&self, top_addresses: usize) -> AdmissionSnapshot {
        let state = self.lock();
        let limiter = &state.limiter;
        let connections = limiter.connections_by_class().map(|(class, count)| (class.to_string(), count));
        let rejections =
            limiter.rejections().map(|(class, reason, count)| (class.to_string(), reason, count));
        let top = limiter.top_addresses(top_addresses).into_iter();
        AdmissionSnapshot {
            classes: limiter.classes().to_vec(),
            connections: connections.collect(),
            rejections: rejections.collect(),
            top_addresses: top.map(|(address, count)| (address.into(), count)).collect(),
            handshakes: state.handshakes.len(),
            remembered_addresses: limiter.remembered_addresses(),
        }
    }

    /// The connections by class, and those that were rejected, as one line.
    pub fn summary(&self) -> String {
        let snapshot = self.snapshot(0);
        let connections = snapshot.connections.iter().map(|(class, count)| format!("{class} {count}"));
        let rejections = snapshot.rejections.iter();
        let rejections =
            rejections.map(|(class, reason, count)| format!("{class} {count} ({})", reason.message()));
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

/// The connections that classes share: if the handshake queue is needed, its places are not theirs.
fn limits(settings: ClassSettings, capacity: usize) -> ConnectionLimits {
    let ClassSettings { classes, prefixes } = settings;
    let needs_users = classes.iter().any(|class| !class.users.is_empty());
    let handshakes = HandshakeQueue::for_capacity(capacity).max_descriptors();
    let capacity = if needs_users { capacity.saturating_sub(handshakes) } else { capacity };
    ConnectionLimits { classes, prefixes, capacity }
}
