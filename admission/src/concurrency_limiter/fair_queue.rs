//! The requests of one class, in the order in which its clients are served: start-time fair queueing (Goyal, Vin, Cheng,
//! SIGCOMM 1996) among the clients with fewest requests in flight. Classes are served alike among themselves.

use super::types::RequestId;
use crate::client_address::ClientAddress;
use crate::client_class::ClientClass;
use routing::time::Timestamp;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// The virtual time that one request takes, for a weight of one.
pub const VIRTUAL_SERVICE: u64 = 1_000_000;
/// Shares of the queue are counted in this many parts of a request.
const SHARE_UNIT: u64 = 1_000;
/// A table with this capacity or less is never shrunk.
const MIN_CAPACITY: usize = 1_024;

/// What is known of a client that has requests here, or was served lately.
#[derive(Debug, Default)]
pub struct Flow {
    pub in_flight: usize,
    waiting: VecDeque<RequestId>,
    /// Since when some of its requests have waited without a break.
    waiting_since: Timestamp,
    /// When it is served next, in the virtual time of its class ...
    pub start_tag: u64,
    /// ... and since which change it stands there.
    ordered_since: u64,
    /// When its oldest request that waits has waited for too long by the target.
    head_expiry: Option<Timestamp>,
    /// Since when it has no requests here.
    idle_since: Option<Timestamp>,
}

/// The order in which clients are served: fewest requests in flight, then virtual time, then who came first.
type FlowOrder = (usize, u64, u64, ClientAddress);

impl Flow {
    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The request that has waited longest.
    pub fn oldest(&self) -> Option<RequestId> {
        self.waiting.front().copied()
    }

    /// The request that has waited shortest.
    pub fn newest(&self) -> Option<RequestId> {
        self.waiting.back().copied()
    }

    /// A request waits.
    pub fn push(&mut self, request: RequestId, now: Timestamp) {
        if self.waiting.is_empty() {
            self.waiting_since = now;
        }
        self.waiting.push_back(request);
    }

    /// A request waits no longer.
    pub fn remove(&mut self, request: RequestId) {
        if self.oldest() == Some(request) {
            self.waiting.pop_front();
        } else {
            self.waiting.retain(|other| *other != request);
        }
    }

    /// Applies a change of this number, and finds the flow's place in the order of its class.
    fn apply(&mut self, change: impl FnOnce(&mut Flow), number: u64, class_virtual_time: u64) {
        let (was_waiting, before) = (self.waiting() > 0, (self.in_flight, self.start_tag));
        change(self);
        if !was_waiting && self.waiting() > 0 {
            // Nobody saves up service while nothing of it waits.
            self.start_tag = self.start_tag.max(class_virtual_time);
        }
        if !was_waiting || before != (self.in_flight, self.start_tag) {
            self.ordered_since = number;
        }
    }

    fn order(&self, address: ClientAddress) -> FlowOrder {
        (self.in_flight, self.start_tag, self.ordered_since, address)
    }
}

/// Where a client's flow stands in the orders of the limiter, before or after a change.
#[derive(Clone, Copy)]
pub struct FlowPlace {
    /// Its requests that wait.
    pub waiting: usize,
    /// Its share of its class's queue, by [`ClassQueue::queue_share`].
    pub queue_share: u64,
    /// Since when it has had no request in flight and none waiting.
    pub idle_since: Option<Timestamp>,
}

/// How a client's flow was changed.
pub struct FlowChange {
    pub before: FlowPlace,
    pub after: FlowPlace,
    /// When its oldest waiting request was due to expire before the change.
    pub head_expiry_before: Option<Timestamp>,
    /// Its oldest request that waits.
    pub oldest: Option<RequestId>,
    /// Since when some of its requests have waited without a break.
    pub waiting_since: Timestamp,
}

/// The requests of one class.
#[derive(Debug)]
pub struct ClassQueue {
    weight: u64,
    max_requests: usize,
    pub in_flight: usize,
    pub waiting: usize,
    /// When the class is served next, in the virtual time of the classes.
    pub start_tag: u64,
    flows: HashMap<ClientAddress, Flow>,
    /// The virtual time of its clients.
    virtual_time: u64,
    /// Clients with requests that wait.
    order: BTreeSet<FlowOrder>,
}

impl ClassQueue {
    /// For a class; without one, of weight one and without a limit.
    pub fn new(class: Option<&ClientClass>) -> ClassQueue {
        let mut queue = ClassQueue {
            weight: 1,
            max_requests: usize::MAX,
            in_flight: 0,
            waiting: 0,
            start_tag: 0,
            flows: HashMap::new(),
            virtual_time: 0,
            order: BTreeSet::new(),
        };
        queue.set_limits(class);
        queue
    }

    /// Takes the weight and the limit of the class.
    pub fn set_limits(&mut self, class: Option<&ClientClass>) {
        self.weight = class.map_or(1, |class| u64::from(class.weight.max(1)));
        self.max_requests = class.and_then(|class| class.max_requests).unwrap_or(usize::MAX);
    }

    /// Requests of the class, in flight or waiting.
    pub fn requests(&self) -> usize {
        self.in_flight + self.waiting
    }

    /// The limit on them.
    pub fn max_requests(&self) -> usize {
        self.max_requests
    }

    /// Whether it has no requests.
    pub fn is_idle(&self) -> bool {
        self.requests() == 0
    }

    /// Requests in flight in proportion to its weight.
    pub fn in_flight_share(&self) -> u64 {
        (self.in_flight as u64).saturating_mul(VIRTUAL_SERVICE) / self.weight
    }

    /// So many requests that wait, in proportion to its weight.
    pub fn queue_share(&self, waiting: usize) -> u64 {
        (waiting as u64).saturating_mul(SHARE_UNIT) / self.weight
    }

    fn flow_place(&self, waiting: usize, idle_since: Option<Timestamp>) -> FlowPlace {
        FlowPlace { waiting, queue_share: self.queue_share(waiting), idle_since }
    }

    /// What is known of a client.
    pub fn flow(&self, address: ClientAddress) -> Option<&Flow> {
        self.flows.get(&address)
    }

    /// Clients of which anything is remembered.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Clients with requests here.
    pub fn busy_flows(&self) -> impl Iterator<Item = (ClientAddress, &Flow)> {
        let busy = self.flows.iter().filter(|(_, flow)| flow.idle_since.is_none());
        busy.map(|(address, flow)| (*address, flow))
    }

    /// The client that is served next.
    pub fn next_client(&self) -> Option<ClientAddress> {
        self.order.first().map(|(.., address)| *address)
    }

    /// A client of the class was served that stood at `client_tag`, the class at `class_tag`.
    pub fn served(&mut self, class_tag: u64, client_tag: u64) {
        self.start_tag = class_tag + VIRTUAL_SERVICE / self.weight;
        self.virtual_time = self.virtual_time.max(client_tag);
    }

    /// Sets when a client's oldest request has waited for too long.
    pub fn set_head_expiry(&mut self, address: ClientAddress, expiry: Timestamp) {
        if let Some(flow) = self.flows.get_mut(&address) {
            flow.head_expiry = Some(expiry);
        }
    }

    /// Forgets a client.
    pub fn remove_flow(&mut self, address: ClientAddress) {
        self.flows.remove(&address);
        // A table that a flood has grown shrinks again.
        if self.flows.capacity() > MIN_CAPACITY && self.flows.len() < self.flows.capacity() / 4 {
            self.flows.shrink_to(self.flows.len() * 2);
        }
    }

    /// Changes a client's flow, and its place in the order of the class. `changes` numbers the change, `virtual_time` is that
    /// of the classes.
    pub fn update_flow(
        &mut self,
        now: Timestamp,
        address: ClientAddress,
        changes: u64,
        virtual_time: u64,
        change: impl FnOnce(&mut Flow),
    ) -> FlowChange {
        let flow = self.flows.entry(address).or_default();
        let (waiting_before, order_before) = (flow.waiting(), flow.order(address));
        flow.apply(change, changes, self.virtual_time);
        let waiting_after = flow.waiting();
        if waiting_before > 0 {
            self.order.remove(&order_before);
        }
        if waiting_after > 0 {
            self.order.insert(flow.order(address));
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
            before: self.flow_place(waiting_before, idle_before),
            after: self.flow_place(waiting_after, idle_after),
            head_expiry_before,
            oldest,
            waiting_since,
        }
    }
}
