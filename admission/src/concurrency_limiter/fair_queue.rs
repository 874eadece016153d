//! The queue of one class. The client with the fewest requests in flight is served next; among several, the order is
//! that of start-time fair queueing (Goyal, Vin, Cheng, SIGCOMM 1996). The limiter applies the same algorithm among
//! classes.

use super::types::RequestId;
use crate::client_address::ClientAddress;
use crate::client_class::ClientClass;
use routing::time::Timestamp;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Virtual service time of one request at a weight of one. It is large compared with the maximum weight of 1,000, so
/// that its quotient by a weight is precise enough.
pub const VIRTUAL_SERVICE: u64 = 1_000_000;
/// Fixed-point unit of queue shares: the share of one request at a weight of one.
const SHARE_UNIT: u64 = 1_000;
/// Tables of this capacity (entries) or less are not shrunk: the memory is too small to matter.
const MIN_CAPACITY: usize = 1_024;

/// The requests and the start tag of one client that has requests or had some recently.
#[derive(Debug, Default)]
pub struct Flow {
    pub in_flight: usize,
    waiting: VecDeque<RequestId>,
    /// Since when the client's queue has not been empty.
    waiting_since: Timestamp,
    /// Start tag of the client's next request, in the virtual time of the class.
    pub start_tag: u64,
    /// Number of the change that set the current rank of the flow. Of several flows with equal start tags, the one with
    /// the lowest number is served first.
    rank_change_number: u64,
    /// When the client's oldest waiting request exceeds the target wait.
    head_expiry: Option<Timestamp>,
    /// Since when the client has had no requests; `None` if it has any.
    idle_since: Option<Timestamp>,
}

/// Rank of a client in the service order of its class. The order of the fields is the order of comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FlowRank {
    in_flight: usize,
    start_tag: u64,
    rank_change_number: u64,
    address: ClientAddress,
}

impl Flow {
    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The request that has waited the longest.
    pub fn oldest(&self) -> Option<RequestId> {
        self.waiting.front().copied()
    }

    /// The waiting request that arrived last.
    pub fn newest(&self) -> Option<RequestId> {
        self.waiting.back().copied()
    }

    /// Appends a request to the client's queue.
    pub fn push(&mut self, request: RequestId, now: Timestamp) {
        if self.waiting.is_empty() {
            self.waiting_since = now;
        }
        self.waiting.push_back(request);
    }

    /// Removes a request from the client's queue.
    pub fn remove(&mut self, request: RequestId) {
        if self.oldest() == Some(request) {
            self.waiting.pop_front();
        } else {
            self.waiting.retain(|other| *other != request);
        }
    }

    /// Applies a change and updates the fields that determine the rank of the flow within its class. `number` is the
    /// number of the change.
    fn apply(&mut self, change: impl FnOnce(&mut Flow), number: u64, class_virtual_time: u64) {
        let (was_waiting, before) = (self.waiting() > 0, (self.in_flight, self.start_tag));
        change(self);
        if !was_waiting && self.waiting() > 0 {
            // A client does not accumulate unused service while its queue is empty.
            self.start_tag = self.start_tag.max(class_virtual_time);
        }
        if !was_waiting || before != (self.in_flight, self.start_tag) {
            self.rank_change_number = number;
        }
    }

    fn rank(&self, address: ClientAddress) -> FlowRank {
        let Flow { in_flight, start_tag, rank_change_number, .. } = *self;
        FlowRank { in_flight, start_tag, rank_change_number, address }
    }
}

/// The fields of a client's flow by which the limiter's indexes are ordered, before or after a change.
#[derive(Clone, Copy)]
pub struct FlowSnapshot {
    /// Number of waiting requests.
    pub waiting: usize,
    /// Queue share of the client, see [`ClassQueue::queue_share`].
    pub queue_share: u64,
    /// Since when the client has had no requests; `None` if it has any.
    pub idle_since: Option<Timestamp>,
}

/// A change to a client's flow.
pub struct FlowChange {
    pub before: FlowSnapshot,
    pub after: FlowSnapshot,
    /// When the client's oldest waiting request before the change would have exceeded the target wait.
    pub head_expiry_before: Option<Timestamp>,
    /// The client's oldest waiting request after the change.
    pub oldest: Option<RequestId>,
    /// Since when the client's queue has not been empty.
    pub waiting_since: Timestamp,
}

/// The requests of one class and the service order of its clients.
#[derive(Debug)]
pub struct ClassQueue {
    weight: u64,
    max_requests: usize,
    pub in_flight: usize,
    pub waiting: usize,
    /// Start tag of the class, in the virtual time of the classes.
    pub start_tag: u64,
    flows: HashMap<ClientAddress, Flow>,
    /// Virtual time of fair queueing among the clients of the class.
    virtual_time: u64,
    /// Clients with waiting requests, in service order.
    service_order: BTreeSet<FlowRank>,
}

impl ClassQueue {
    /// Creates the queue of a class. If the class is not configured (`None`), the weight is one and requests are not
    /// limited.
    pub fn new(class: Option<&ClientClass>) -> ClassQueue {
        let mut queue = ClassQueue {
            weight: 1,
            max_requests: usize::MAX,
            in_flight: 0,
            waiting: 0,
            start_tag: 0,
            flows: HashMap::new(),
            virtual_time: 0,
            service_order: BTreeSet::new(),
        };
        queue.set_limits(class);
        queue
    }

    /// Sets the weight and the request limit of the class, as for [`ClassQueue::new`].
    pub fn set_limits(&mut self, class: Option<&ClientClass>) {
        self.weight = class.map_or(1, |class| u64::from(class.weight.max(1)));
        self.max_requests = class.and_then(|class| class.max_requests).unwrap_or(usize::MAX);
    }

    /// Number of requests in flight and waiting.
    pub fn requests(&self) -> usize {
        self.in_flight + self.waiting
    }

    /// Maximum requests in flight and waiting.
    pub fn max_requests(&self) -> usize {
        self.max_requests
    }

    /// Whether the class has no requests.
    pub fn is_idle(&self) -> bool {
        self.requests() == 0
    }

    /// Requests in flight divided by the weight, in units of [`VIRTUAL_SERVICE`].
    pub fn in_flight_share(&self) -> u64 {
        (self.in_flight as u64).saturating_mul(VIRTUAL_SERVICE) / self.weight
    }

    /// `waiting` requests divided by the weight of the class, in units of [`SHARE_UNIT`].
    pub fn queue_share(&self, waiting: usize) -> u64 {
        (waiting as u64).saturating_mul(SHARE_UNIT) / self.weight
    }

    fn snapshot(&self, waiting: usize, idle_since: Option<Timestamp>) -> FlowSnapshot {
        FlowSnapshot { waiting, queue_share: self.queue_share(waiting), idle_since }
    }

    /// The flow of a client, if it is remembered.
    pub fn flow(&self, address: ClientAddress) -> Option<&Flow> {
        self.flows.get(&address)
    }

    /// Clients that have requests.
    pub fn busy_flows(&self) -> impl Iterator<Item = (ClientAddress, &Flow)> {
        let busy = self.flows.iter().filter(|(_, flow)| flow.idle_since.is_none());
        busy.map(|(address, flow)| (*address, flow))
    }

    /// The client to serve next, if any has waiting requests.
    pub fn next_client(&self) -> Option<ClientAddress> {
        self.service_order.first().map(|rank| rank.address)
    }

    /// Records that a client with start tag `client_tag` was served while the class had start tag `class_tag`.
    pub fn record_service(&mut self, class_tag: u64, client_tag: u64) {
        self.start_tag = class_tag + VIRTUAL_SERVICE / self.weight;
        self.virtual_time = self.virtual_time.max(client_tag);
    }

    /// Sets when a client's oldest waiting request exceeds the target wait.
    pub fn set_head_expiry(&mut self, address: ClientAddress, expiry: Timestamp) {
        if let Some(flow) = self.flows.get_mut(&address) {
            flow.head_expiry = Some(expiry);
        }
    }

    /// Removes all state of a client.
    pub fn remove_flow(&mut self, address: ClientAddress) {
        self.flows.remove(&address);
        // Releases the memory of a table that grew during a flood of clients.
        if self.flows.capacity() > MIN_CAPACITY && self.flows.len() < self.flows.capacity() / 4 {
            self.flows.shrink_to(self.flows.len() * 2);
        }
    }

    /// Changes a client's flow and its rank in the service order. `change_number` is the number of the change,
    /// `virtual_time` the virtual time of the classes.
    pub fn update_flow(
        &mut self,
        now: Timestamp,
        address: ClientAddress,
        change_number: u64,
        virtual_time: u64,
        change: impl FnOnce(&mut Flow),
    ) -> FlowChange {
        let flow = self.flows.entry(address).or_default();
        let (waiting_before, rank_before) = (flow.waiting(), flow.rank(address));
        flow.apply(change, change_number, self.virtual_time);
        let waiting_after = flow.waiting();
        if waiting_before > 0 {
            self.service_order.remove(&rank_before);
        }
        if waiting_after > 0 {
            self.service_order.insert(flow.rank(address));
        }
        let idle_before = flow.idle_since.take();
        flow.idle_since = (flow.in_flight == 0 && waiting_after == 0).then_some(now);
        let (idle_after, waiting_since) = (flow.idle_since, flow.waiting_since);
        let (head_expiry_before, oldest) = (flow.head_expiry.take(), flow.oldest());
        if self.waiting == 0 && waiting_after > 0 {
            self.start_tag = self.start_tag.max(virtual_time);
        }
        self.waiting = self.waiting + waiting_after - waiting_before;
        FlowChange {
            before: self.snapshot(waiting_before, idle_before),
            after: self.snapshot(waiting_after, idle_after),
            head_expiry_before,
            oldest,
            waiting_since,
        }
    }
}
