//! The limits on descriptors and buffer memory. A descriptor is acquired before a socket is opened, and released
//! when it is dropped; the memory of every buffer is charged.

use crate::runtime::idle_clients::{IdleClients, IdleRank, IdleRegistration, RequestClose};
use routing::time::Timestamp;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// The use of a descriptor. Each class has its own limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorClass {
    /// Connections of clients.
    Clients,
    /// Connections to endpoints.
    Endpoints,
    /// Connections to discovery.
    Discovery,
    /// Connections of clients that are sent the reason for their rejection.
    RejectedClients,
}

/// Descriptors of the process itself: standard streams, the listener, the event loop, the signal pipe.
const PROCESS_DESCRIPTORS: usize = 24;
/// Descriptors for connections to discovery.
const DISCOVERY_DESCRIPTORS: usize = 4;
/// The number of descriptor classes.
const CLASSES: usize = 4;
/// The overflow descriptors for clients are this fraction of all descriptors.
const OVERFLOW_DIVISOR: usize = 16;
/// The least number of overflow descriptors.
const MIN_OVERFLOW: usize = 16;
/// Idle clients are asked to close once less than this fraction of the clients' descriptors is free.
const RECLAIM_DIVISOR: usize = 16;
/// The least number of descriptors for clients and endpoints together: one of each.
const MIN_SHARED: usize = 2;
/// Two fifths of the shared descriptors are for endpoints. A request in flight uses one of each kind, while waiting
/// requests and idle clients use only the client's.
const ENDPOINT_SHARE_NUMERATOR: usize = 2;
/// The denominator of [`ENDPOINT_SHARE_NUMERATOR`].
const ENDPOINT_SHARE_DENOMINATOR: usize = 5;
/// One endpoint may use at most this fraction of the endpoints' descriptors, so that one that does not respond
/// cannot exhaust them.
const PER_ENDPOINT_DIVISOR: usize = 2;
/// Memory is short once buffers use more than this fraction of it; the rest is for stacks and everything else.
const SHORT_MEMORY_DIVISOR: usize = 3;
/// Memory is critical once buffers use more than this fraction of it.
const CRITICAL_MEMORY_DIVISOR: usize = 2;

/// The descriptors in use.
#[derive(Default)]
struct State {
    /// By class.
    in_use: [usize; CLASSES],
    /// Descriptors for endpoints, by address.
    by_endpoint: HashMap<SocketAddr, usize>,
    idle: IdleClients,
}

/// The limits on descriptors and buffer memory, and their use.
pub struct ResourceLimits {
    /// The limits on descriptors, by class.
    limits: [usize; CLASSES],
    /// Descriptors for clients beyond their limit. Such a client either replaces one that was asked to close, or is
    /// rejected.
    overflow: usize,
    /// The memory of the process in bytes.
    memory: usize,
    buffer_bytes: AtomicUsize,
    state: Mutex<State>,
}

/// The permission to use one descriptor, released when it is dropped.
pub struct Descriptor {
    limits: Arc<ResourceLimits>,
    class: DescriptorClass,
    endpoint: Option<SocketAddr>,
}

impl Descriptor {
    /// Creates a charge, of 0 bytes, for a buffer of the descriptor's connection.
    pub fn buffer_charge(&self) -> BufferCharge {
        self.limits.buffer_charge()
    }

    /// Whether buffers use more than half of the memory.
    pub fn is_memory_critical(&self) -> bool {
        self.limits.buffer_bytes() > self.limits.memory / CRITICAL_MEMORY_DIVISOR
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        let mut state = self.limits.lock();
        state.in_use[self.class as usize] -= 1;
        if let Some(addr) = self.endpoint {
            let remaining = state.by_endpoint.get(&addr).map_or(0, |in_use| in_use - 1);
            if remaining == 0 {
                state.by_endpoint.remove(&addr);
            } else {
                state.by_endpoint.insert(addr, remaining);
            }
        }
    }
}

/// The charge for the memory of some buffers, released when it is dropped.
pub struct BufferCharge {
    limits: Arc<ResourceLimits>,
    bytes: usize,
}

impl BufferCharge {
    /// Sets the charge to `bytes`.
    pub fn set(&mut self, bytes: usize) {
        self.limits.buffer_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.limits.buffer_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
    }
}

impl Drop for BufferCharge {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// A descriptor for a client.
pub struct ClientDescriptor {
    /// The descriptor.
    pub descriptor: Descriptor,
    /// The client is served; if false, the descriptor is an overflow one, and the client must be rejected.
    pub admitted: bool,
}

impl ResourceLimits {
    /// Divides the descriptors of the process between the classes. `memory` is in bytes; `rejects_clients` reserves
    /// descriptors for clients that admission control rejects.
    pub fn new(descriptors: usize, memory: usize, rejects_clients: bool) -> Arc<ResourceLimits> {
        let overflow = (descriptors / OVERFLOW_DIVISOR).max(MIN_OVERFLOW);
        let rejected = if rejects_clients { overflow } else { 0 };
        let reserved = PROCESS_DESCRIPTORS + overflow + rejected + DISCOVERY_DESCRIPTORS;
        let shared = descriptors.saturating_sub(reserved).max(MIN_SHARED);
        let endpoints = (shared * ENDPOINT_SHARE_NUMERATOR / ENDPOINT_SHARE_DENOMINATOR).max(1);
        Arc::new(ResourceLimits {
            limits: [shared - endpoints, endpoints, DISCOVERY_DESCRIPTORS, rejected],
            overflow,
            memory,
            buffer_bytes: AtomicUsize::new(0),
            state: Mutex::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn descriptor(self: &Arc<Self>, class: DescriptorClass, endpoint: Option<SocketAddr>) -> Descriptor {
        Descriptor { limits: self.clone(), class, endpoint }
    }

    /// Acquires a descriptor; `None` if its class is at its limit.
    pub fn acquire(self: &Arc<Self>, class: DescriptorClass) -> Option<Descriptor> {
        let in_use = &mut self.lock().in_use[class as usize];
        if *in_use >= self.limit(class) {
            return None;
        }
        *in_use += 1;
        Some(self.descriptor(class, None))
    }

    /// Acquires a descriptor for a connection to an endpoint; `None` if the class or the endpoint is at its limit.
    pub fn acquire_for_endpoint(self: &Arc<Self>, addr: SocketAddr) -> Option<Descriptor> {
        let max_per_endpoint = self.limit(DescriptorClass::Endpoints).div_ceil(PER_ENDPOINT_DIVISOR);
        if self.lock().by_endpoint.get(&addr).is_some_and(|in_use| *in_use >= max_per_endpoint) {
            return None;
        }
        let mut descriptor = self.acquire(DescriptorClass::Endpoints)?;
        descriptor.endpoint = Some(addr);
        *self.lock().by_endpoint.entry(addr).or_default() += 1;
        Some(descriptor)
    }

    /// Acquires a descriptor for a new client; `None` if even the overflow descriptors are in use.
    ///
    /// If few descriptors are left, one idle client is asked to close for each new one. If the limit is exceeded by
    /// more than the clients that are closing, the new client gets an overflow descriptor and must be rejected.
    pub fn acquire_for_client(self: &Arc<Self>, now: Timestamp) -> Option<ClientDescriptor> {
        let limit = self.limit(DescriptorClass::Clients);
        let mut state = self.lock();
        let in_use = state.in_use[DescriptorClass::Clients as usize];
        let mut admitted = true;
        if in_use + limit / RECLAIM_DIVISOR >= limit {
            // A client that is being closed counts as closed below, so its close is expedited.
            state.idle.expedite_closing(now);
            if in_use >= limit + self.overflow {
                return None;
            }
            state.idle.reclaim(now);
            admitted = in_use < limit + state.idle.closing();
        }
        state.in_use[DescriptorClass::Clients as usize] += 1;
        let descriptor = self.descriptor(DescriptorClass::Clients, None);
        Some(ClientDescriptor { descriptor, admitted })
    }

    /// Asks one idle client of a class to close.
    pub fn reclaim_idle_of_class(&self, now: Timestamp, class: &str) {
        self.lock().idle.reclaim_of_class(now, class);
    }

    /// The limit on the descriptors of a class.
    pub fn limit(&self, class: DescriptorClass) -> usize {
        self.limits[class as usize]
    }

    /// The number of descriptors of a class in use.
    pub fn in_use(&self, class: DescriptorClass) -> usize {
        self.lock().in_use[class as usize]
    }

    /// Creates a charge of 0 bytes.
    pub fn buffer_charge(self: &Arc<Self>) -> BufferCharge {
        BufferCharge { limits: self.clone(), bytes: 0 }
    }

    /// Whether buffers use more than a third of the memory.
    pub fn is_memory_short(&self) -> bool {
        self.buffer_bytes() > self.max_buffer_bytes()
    }

    /// The bytes that all buffers use.
    pub fn buffer_bytes(&self) -> usize {
        self.buffer_bytes.load(Ordering::Relaxed)
    }

    /// The bytes that buffers may use before memory is short.
    pub fn max_buffer_bytes(&self) -> usize {
        self.memory / SHORT_MEMORY_DIVISOR
    }

    /// Registers a client that has become idle.
    pub fn register_idle(
        &self,
        rank: IdleRank,
        since: Timestamp,
        connection: Arc<dyn RequestClose>,
        class: Option<Arc<str>>,
    ) -> IdleRegistration {
        self.lock().idle.register(rank, since, connection, class)
    }

    /// Removes the registration of a client that is busy again or has disconnected.
    pub fn unregister_idle(&self, registration: IdleRegistration) {
        self.lock().idle.unregister(registration);
    }
}
