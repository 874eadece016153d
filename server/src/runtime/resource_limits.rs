//! The limits on descriptors and on memory in buffers: a descriptor is acquired before every socket is opened and given back
//! when it is dropped, and every buffer is charged.

use crate::runtime::idle_clients::{IdleClients, IdleRank, IdleRegistration, RequestClose};
use routing::time::Timestamp;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// What a descriptor is for. Each has a limit of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorClass {
    /// Connections of clients.
    Clients,
    /// Connections to endpoints.
    Endpoints,
    /// Connections to discovery.
    Discovery,
    /// Connections of clients that are told why they are rejected.
    RejectedClients,
}

/// Descriptors of the process's own: standard streams, the listener, the event loop's, the signal pipe.
const PROCESS_DESCRIPTORS: usize = 24;
const DISCOVERY_DESCRIPTORS: usize = 4;
const CLASSES: usize = 4;
/// Clients beyond their limit: one in so many of all descriptors, and this many at the least.
const OVERFLOW_SHARE: usize = 16;
const MIN_OVERFLOW: usize = 16;
/// Idle clients are asked to close once fewer than one in so many of the clients' descriptors are free.
const RECLAIM_SHARE: usize = 16;

#[derive(Default)]
struct State {
    in_use: [usize; CLASSES],
    /// Descriptors for endpoints, by address.
    by_endpoint: HashMap<SocketAddr, usize>,
    idle: IdleClients,
}

/// The limits, and what of them is in use.
pub struct ResourceLimits {
    limits: [usize; CLASSES],
    /// Clients accepted beyond their limit: each in place of one that was asked to close, or to be told that it is rejected.
    overflow: usize,
    memory: usize,
    buffer_bytes: AtomicUsize,
    state: Mutex<State>,
}

/// One descriptor; its drop gives it back.
pub struct Descriptor {
    limits: Arc<ResourceLimits>,
    class: DescriptorClass,
    endpoint: Option<SocketAddr>,
}

impl Descriptor {
    /// The charge of a buffer of its connection.
    pub fn buffer_charge(&self) -> BufferCharge {
        self.limits.buffer_charge()
    }

    /// Whether buffers take more than half of the memory.
    pub fn is_memory_critical(&self) -> bool {
        self.limits.buffer_bytes() > self.limits.memory / 2
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

/// The memory of some buffers; its drop gives it back.
pub struct BufferCharge {
    limits: Arc<ResourceLimits>,
    bytes: usize,
}

impl BufferCharge {
    /// Changes it to so many bytes.
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
    /// The client may stay; otherwise it is beyond the limit, to be told that it is rejected.
    pub admitted: bool,
}

impl ResourceLimits {
    /// `rejects_clients`: some descriptors are set aside for clients that are told why they are rejected. `memory` is in bytes.
    pub fn new(descriptors: usize, memory: usize, rejects_clients: bool) -> Arc<ResourceLimits> {
        let overflow = (descriptors / OVERFLOW_SHARE).max(MIN_OVERFLOW);
        let rejected = if rejects_clients { overflow } else { 0 };
        let reserved = PROCESS_DESCRIPTORS + overflow + rejected + DISCOVERY_DESCRIPTORS;
        let shared = descriptors.saturating_sub(reserved).max(2);
        // A request in flight takes one of both kinds; waiting requests and idle clients take a client's alone.
        let endpoints = (shared * 2 / 5).max(1);
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

    /// Acquires a descriptor; none if its class is at its limit.
    pub fn acquire(self: &Arc<Self>, class: DescriptorClass) -> Option<Descriptor> {
        let in_use = &mut self.lock().in_use[class as usize];
        if *in_use >= self.limit(class) {
            return None;
        }
        *in_use += 1;
        Some(self.descriptor(class, None))
    }

    /// Acquires one for a connection to an endpoint. A single endpoint, silent perhaps, gets half of the limit at most.
    pub fn acquire_for_endpoint(self: &Arc<Self>, addr: SocketAddr) -> Option<Descriptor> {
        let max_per_endpoint = self.limit(DescriptorClass::Endpoints).div_ceil(2);
        if self.lock().by_endpoint.get(&addr).is_some_and(|in_use| *in_use >= max_per_endpoint) {
            return None;
        }
        let mut descriptor = self.acquire(DescriptorClass::Endpoints)?;
        descriptor.endpoint = Some(addr);
        *self.lock().by_endpoint.entry(addr).or_default() += 1;
        Some(descriptor)
    }

    /// Acquires one for a client. If few are left, the idle clients that lose least are asked to close, one for each that
    /// comes; if there is none, the client gets one beyond the limit, to be told so.
    pub fn acquire_for_client(self: &Arc<Self>, now: Timestamp) -> Option<ClientDescriptor> {
        let limit = self.limit(DescriptorClass::Clients);
        let mut state = self.lock();
        let in_use = state.in_use[DescriptorClass::Clients as usize];
        let mut admitted = true;
        if in_use + limit / RECLAIM_SHARE >= limit {
            // A client that is being closed is told to hurry; its place is counted as free already.
            state.idle.hurry_closing(now);
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

    /// The limit of a class.
    pub fn limit(&self, class: DescriptorClass) -> usize {
        self.limits[class as usize]
    }

    /// Descriptors of a class that are in use.
    pub fn in_use(&self, class: DescriptorClass) -> usize {
        self.lock().in_use[class as usize]
    }

    /// The charge of a buffer, of no bytes yet.
    pub fn buffer_charge(self: &Arc<Self>) -> BufferCharge {
        BufferCharge { limits: self.clone(), bytes: 0 }
    }

    /// Whether buffers take more than a third of the memory: stacks and everything else share the rest.
    pub fn is_memory_short(&self) -> bool {
        self.buffer_bytes() > self.max_buffer_bytes()
    }

    /// Bytes in buffers.
    pub fn buffer_bytes(&self) -> usize {
        self.buffer_bytes.load(Ordering::Relaxed)
    }

    /// Beyond so many bytes in buffers memory is short.
    pub fn max_buffer_bytes(&self) -> usize {
        self.memory / 3
    }

    /// Registers a client that has nothing to do.
    pub fn register_idle(
        &self,
        rank: IdleRank,
        since: Timestamp,
        connection: Arc<dyn RequestClose>,
        class: Option<Arc<str>>,
    ) -> IdleRegistration {
        self.lock().idle.register(rank, since, connection, class)
    }

    /// The client has something to do, or is gone.
    pub fn unregister_idle(&self, registration: IdleRegistration) {
        self.lock().idle.unregister(registration);
    }
}
