//! The limits on descriptors and memory. A [`Descriptor`] is acquired before a socket is opened and released by dropping it;
//! it stands for the memory of its connection too, whose buffers are small. The memory of larger buffers and of requests is
//! reserved in a pool, and accounted for by a [`BufferCharge`].

use crate::runtime::idle_clients::{IdleClients, IdleRank, IdleRegistration, RequestClose};
use admission::memory_plan::{
    ConnectionCounts, MemoryPlan, CONNECTION_BUFFER_BYTES, CONNECTION_BYTES, LISTED_ENDPOINT_BYTES,
    PROCESS_BYTES, REQUEST_BYTES,
};
use routing::time::Timestamp;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// What a descriptor is used for. Each class has its own limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorClass {
    /// Connections of clients that are served, or rejected for lack of a descriptor.
    Clients,
    /// Connections to endpoints.
    Endpoints,
    /// Connections to discovery.
    Discovery,
    /// Connections of clients that admission control has rejected, while they are sent the reason.
    RejectedClients,
}

/// The descriptors set aside for the process itself: standard streams, listener, event loop, signal pipe.
const PROCESS_DESCRIPTORS: usize = 24;
/// The descriptors for connections to discovery.
const DISCOVERY_DESCRIPTORS: usize = 4;
/// The number of descriptor classes.
const DESCRIPTOR_CLASS_COUNT: usize = 4;
/// One of this many descriptors is an overflow descriptor for clients.
const OVERFLOW_DIVISOR: usize = 16;
/// The minimum number of overflow descriptors.
const MIN_OVERFLOW: usize = 16;
/// Idle clients are asked to close while at most one in this many of the clients' descriptors is free.
const RECLAIM_DIVISOR: usize = 16;
/// The minimum number of descriptors for clients and endpoints together: one for each.
const MIN_SHARED: usize = 2;
/// The numerator of the endpoints' share of the descriptors that clients and endpoints share: two fifths. A request
/// in flight uses one descriptor of each class, but a waiting request or an idle client uses only one of the
/// clients' class.
const ENDPOINT_SHARE_NUMERATOR: usize = 2;
/// The denominator of the endpoints' share.
const ENDPOINT_SHARE_DENOMINATOR: usize = 5;
/// The maximum for one endpoint is the number of descriptors for endpoints divided by this, so that an endpoint
/// that does not respond cannot use up all of them.
const PER_ENDPOINT_DIVISOR: usize = 2;
/// The share of the pool up to which large messages are read, in fifths. Those that stay incomplete leave memory to requests.
const MESSAGE_POOL_FIFTHS: usize = 2;
/// Memory is short once more than this share of the pool is in use, in fifths.
const SHORT_POOL_FIFTHS: usize = 3;
/// The share of the pool up to which requests of clients that hold nothing else are taken, in fifths. The rest is for
/// answers, so that the requests that were taken come to their end.
const FIRST_REQUEST_POOL_FIFTHS: usize = 4;
/// A client may hold the pool divided by this.
const CLIENT_MEMORY_DIVISOR: usize = 4;

/// The descriptors in use, and the idle clients whose descriptors can be reclaimed.
#[derive(Default)]
struct State {
    /// The number of descriptors in use, by class.
    in_use: [usize; DESCRIPTOR_CLASS_COUNT],
    /// The number of descriptors in use for each endpoint.
    by_endpoint: HashMap<SocketAddr, usize>,
    idle: IdleClients,
}

/// The numbers of descriptors that the limit on descriptors allows.
#[derive(Clone, Copy)]
struct DescriptorLimits {
    clients: usize,
    endpoints: usize,
    overflow: usize,
    rejected: usize,
}

/// The limits on descriptors and buffer memory, and their use.
pub struct ResourceLimits {
    /// The limits that descriptors alone set.
    by_descriptors: DescriptorLimits,
    /// The limits on descriptors that memory allows as well, in the order of the variants of [`DescriptorClass`].
    limits: [AtomicUsize; DESCRIPTOR_CLASS_COUNT],
    /// The number of overflow descriptors: those for clients beyond the limit of their class. A client that gets one
    /// either replaces a client that was asked to close, or is rejected.
    overflow: AtomicUsize,
    /// The memory from which buffers and requests are reserved, in bytes.
    pool_bytes: AtomicUsize,
    /// The memory of the endpoint list, in bytes.
    list_bytes: AtomicUsize,
    /// The memory of the data that is stored on disk, in bytes.
    storage_bytes: AtomicUsize,
    buffer_bytes: AtomicUsize,
    /// The memory of the process in bytes.
    memory: usize,
    /// The process's resident memory when it was last read, in bytes.
    resident_bytes: AtomicUsize,
    /// Whether the resident memory is near its limit.
    is_memory_high: AtomicBool,
    state: Mutex<State>,
}

/// The permission to use one descriptor, released on drop.
pub struct Descriptor {
    limits: Arc<ResourceLimits>,
    class: DescriptorClass,
    /// The endpoint against whose maximum the descriptor counts; `None` for other connections.
    endpoint: Option<SocketAddr>,
}

impl Descriptor {
    /// Creates a charge of 0 bytes, for buffers of the descriptor's connection.
    pub fn buffer_charge(&self) -> BufferCharge {
        self.limits.buffer_charge()
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

/// The memory of some buffers, counted in the total of all buffers until the charge is dropped.
pub struct BufferCharge {
    limits: Arc<ResourceLimits>,
    bytes: usize,
}

impl BufferCharge {
    /// Sets the size of the buffers, in bytes.
    pub fn set(&mut self, bytes: usize) {
        self.limits.buffer_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.limits.buffer_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
    }

    /// Sets the size of the buffers, in bytes, unless memory would become short by their growth. Returns whether the size
    /// was set.
    pub fn try_set(&mut self, bytes: usize) -> bool {
        self.try_set_within(bytes, self.limits.short_bytes())
    }

    /// As [`BufferCharge::try_set`], but for a large message that has not arrived yet.
    pub fn try_set_for_message(&mut self, bytes: usize) -> bool {
        self.try_set_within(bytes, self.limits.max_buffer_bytes() / 5 * MESSAGE_POOL_FIFTHS)
    }

    /// As [`BufferCharge::try_set`], but for the request of a client that holds nothing else, which may be taken when memory
    /// is short.
    pub fn try_set_for_first_request(&mut self, bytes: usize) -> bool {
        self.try_set_within(bytes, self.limits.max_buffer_bytes() / 5 * FIRST_REQUEST_POOL_FIFTHS)
    }

    /// As [`BufferCharge::try_set`], but for an answer, which may use the whole pool.
    pub fn try_set_for_answer(&mut self, bytes: usize) -> bool {
        self.try_set_within(bytes, self.limits.max_buffer_bytes())
    }

    fn try_set_within(&mut self, bytes: usize, max_total: usize) -> bool {
        let growth = bytes.saturating_sub(self.bytes);
        if growth > 0 && self.limits.buffer_bytes() + growth > max_total {
            return false;
        }
        self.set(bytes);
        true
    }

    /// Whether there would be memory for this size if nothing else were charged.
    pub fn can_ever_be(&self, bytes: usize) -> bool {
        bytes <= self.limits.max_buffer_bytes()
    }

    /// Moves the charge to another one; what remains is a charge of 0 bytes.
    pub fn take(&mut self) -> BufferCharge {
        BufferCharge { limits: self.limits.clone(), bytes: std::mem::take(&mut self.bytes) }
    }

    /// The size of the buffers that is charged, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl PartialEq for BufferCharge {
    fn eq(&self, other: &BufferCharge) -> bool {
        self.bytes == other.bytes
    }
}

impl Eq for BufferCharge {}

impl fmt::Debug for BufferCharge {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "BufferCharge({} bytes)", self.bytes)
    }
}

impl Drop for BufferCharge {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// A descriptor for a client.
pub struct ClientDescriptor {
    /// The descriptor of the client's connection.
    pub descriptor: Descriptor,
    /// Whether the client may be served. If false, the descriptor is an overflow descriptor, and the client must be
    /// rejected.
    pub admitted: bool,
}

impl ResourceLimits {
    /// Divides the descriptors and the memory of the process between the classes. `memory` is the process's memory in
    /// bytes. If `rejects_clients` is set, some descriptors are reserved for clients that admission control rejects.
    pub fn new(descriptors: usize, memory: usize, rejects_clients: bool) -> Arc<ResourceLimits> {
        let overflow = (descriptors / OVERFLOW_DIVISOR).max(MIN_OVERFLOW);
        let rejected = if rejects_clients { overflow } else { 0 };
        let reserved = PROCESS_DESCRIPTORS + overflow + rejected + DISCOVERY_DESCRIPTORS;
        let shared = descriptors.saturating_sub(reserved).max(MIN_SHARED);
        let endpoints = (shared * ENDPOINT_SHARE_NUMERATOR / ENDPOINT_SHARE_DENOMINATOR).max(1);
        let by_descriptors = DescriptorLimits { clients: shared - endpoints, endpoints, overflow, rejected };
        let limits = ResourceLimits {
            by_descriptors,
            limits: Default::default(),
            overflow: AtomicUsize::default(),
            pool_bytes: AtomicUsize::default(),
            list_bytes: AtomicUsize::default(),
            storage_bytes: AtomicUsize::default(),
            memory,
            resident_bytes: AtomicUsize::default(),
            is_memory_high: AtomicBool::default(),
            buffer_bytes: AtomicUsize::default(),
            state: Mutex::default(),
        };
        limits.divide_memory();
        Arc::new(limits)
    }

    /// Sets the number of endpoints that have been listed. Their memory reduces what is left for connections and requests;
    /// those that are there already stay.
    pub fn set_listed_endpoints(&self, count: usize) {
        self.list_bytes.store(count * LISTED_ENDPOINT_BYTES, Ordering::Relaxed);
        self.divide_memory();
    }

    /// Sets the memory that is set aside for the data that is stored on disk, in bytes.
    pub fn set_storage_bytes(&self, bytes: usize) {
        self.storage_bytes.store(bytes, Ordering::Relaxed);
        self.divide_memory();
    }

    /// The memory of the endpoint list and of the data that is stored on disk, in bytes.
    fn data_bytes(&self) -> usize {
        self.list_bytes.load(Ordering::Relaxed) + self.storage_bytes.load(Ordering::Relaxed)
    }

    /// Sets the limits by the memory plan.
    fn divide_memory(&self) {
        let DescriptorLimits { clients, endpoints, overflow, rejected } = self.by_descriptors;
        let by_descriptors = ConnectionCounts { clients: clients + overflow + rejected, endpoints };
        let plan = MemoryPlan::new(self.memory, by_descriptors, self.data_bytes());
        // The overflow shrinks with the number of clients.
        let reduce = |count: usize| (count * plan.connections.clients).div_ceil(by_descriptors.clients);
        let (overflow, rejected) = (reduce(overflow), reduce(rejected));
        let clients = plan.connections.clients.saturating_sub(overflow + rejected).max(1);
        let limits = [clients, plan.connections.endpoints, DISCOVERY_DESCRIPTORS, rejected];
        for (limit, value) in self.limits.iter().zip(limits) {
            limit.store(value, Ordering::Relaxed);
        }
        self.overflow.store(overflow, Ordering::Relaxed);
        self.pool_bytes.store(plan.pool_bytes, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn descriptor(self: &Arc<Self>, class: DescriptorClass, endpoint: Option<SocketAddr>) -> Descriptor {
        Descriptor { limits: self.clone(), class, endpoint }
    }

    /// Acquires a descriptor; `None` if the class is at its limit.
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
    /// If few descriptors are free, one idle client is asked to close for each new client. If the limit is exceeded
    /// by more clients than are closing, the new client must be rejected.
    pub fn acquire_for_client(self: &Arc<Self>, now: Timestamp) -> Option<ClientDescriptor> {
        let limit = self.limit(DescriptorClass::Clients);
        let mut state = self.lock();
        let in_use = state.in_use[DescriptorClass::Clients as usize];
        let mut admitted = !self.is_memory_high();
        if in_use + limit / RECLAIM_DIVISOR >= limit {
            // Clients that are being closed count as closed below, so one of them is asked to finish sooner.
            state.idle.expedite_closing(now);
            if in_use >= limit + self.overflow.load(Ordering::Relaxed) {
                return None;
            }
            state.idle.reclaim(now);
            admitted &= in_use < limit + state.idle.closing();
        }
        state.in_use[DescriptorClass::Clients as usize] += 1;
        let descriptor = self.descriptor(DescriptorClass::Clients, None);
        Some(ClientDescriptor { descriptor, admitted })
    }

    /// Asks one idle client of the class `class` to close.
    pub fn reclaim_idle_of_class(&self, now: Timestamp, class: &str) {
        self.lock().idle.reclaim_of_class(now, class);
    }

    /// The maximum number of descriptors of a class, without overflow descriptors.
    pub fn limit(&self, class: DescriptorClass) -> usize {
        self.limits[class as usize].load(Ordering::Relaxed)
    }

    /// The number of descriptors of a class that are in use.
    pub fn in_use(&self, class: DescriptorClass) -> usize {
        self.lock().in_use[class as usize]
    }

    /// Creates a charge of 0 bytes, for buffers that belong to no descriptor.
    pub fn buffer_charge(self: &Arc<Self>) -> BufferCharge {
        BufferCharge { limits: self.clone(), bytes: 0 }
    }

    /// Whether so much of the pool is in use that only clients that hold nothing else get memory for another request.
    pub fn is_memory_short(&self) -> bool {
        self.is_memory_high()
            || self.buffer_bytes() + REQUEST_BYTES + CONNECTION_BUFFER_BYTES > self.short_bytes()
    }

    /// Whether the resident memory is near its limit, although the plan should prevent it.
    fn is_memory_high(&self) -> bool {
        self.is_memory_high.load(Ordering::Relaxed)
    }

    /// Sets whether the resident memory is near its limit; returns whether it was before.
    pub fn set_memory_high(&self, is_high: bool) -> bool {
        self.is_memory_high.swap(is_high, Ordering::Relaxed)
    }

    /// The memory limit of the process, in bytes.
    pub fn memory_limit(&self) -> usize {
        self.memory
    }

    /// The memory that the plan has reserved for the process, the endpoint list, open connections, requests and buffers, in bytes.
    pub fn reserved_bytes(&self) -> usize {
        let connections: usize = self.lock().in_use.iter().sum();
        PROCESS_BYTES + self.data_bytes() + connections * CONNECTION_BYTES + self.buffer_bytes()
    }

    /// The resident memory when it was last read, in bytes; 0 before.
    pub fn resident_bytes(&self) -> usize {
        self.resident_bytes.load(Ordering::Relaxed)
    }

    /// Sets the resident memory, in bytes.
    pub fn set_resident_bytes(&self, bytes: usize) {
        self.resident_bytes.store(bytes, Ordering::Relaxed);
    }

    /// The size of all buffers above which memory is short, in bytes.
    fn short_bytes(&self) -> usize {
        self.max_buffer_bytes() / 5 * SHORT_POOL_FIFTHS
    }

    /// The size of all buffers together, in bytes.
    pub fn buffer_bytes(&self) -> usize {
        self.buffer_bytes.load(Ordering::Relaxed)
    }

    /// The maximum size of all buffers, in bytes.
    pub fn max_buffer_bytes(&self) -> usize {
        self.pool_bytes.load(Ordering::Relaxed)
    }

    /// The size of the pending statements of one client from which on no further ones are read, in bytes.
    pub fn max_client_bytes(&self) -> usize {
        self.max_buffer_bytes() / CLIENT_MEMORY_DIVISOR
    }

    /// Registers a client that has become idle, so that it can be asked to close when descriptors run short.
    pub fn register_idle(
        &self,
        rank: IdleRank,
        since: Timestamp,
        connection: Arc<dyn RequestClose>,
        class: Option<Arc<str>>,
    ) -> IdleRegistration {
        self.lock().idle.register(rank, since, connection, class)
    }

    /// Removes the registration of an idle client that is busy again or has disconnected.
    pub fn unregister_idle(&self, registration: IdleRegistration) {
        self.lock().idle.unregister(registration);
    }
}
