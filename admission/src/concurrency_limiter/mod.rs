//! Concurrency limiter: limits the requests in flight, queues excess requests fairly, and sheds requests before any
//! work is done for them.
//!
//! Below the limit every request is admitted. At the limit, classes share the capacity in proportion to their weights
//! and the clients of a class share it equally; unused shares are redistributed. The wait is limited by controlled
//! delay (CoDel) as in Maurer, *Fail at Scale* (ACM Queue 13:8, 2015), applied per client: a request may wait up to
//! [`CODEL_INTERVAL`], or only up to the target wait once its client's queue has not been empty for
//! [`CODEL_INTERVAL`]. As a result, the requests of a short burst are executed, while a standing queue stays short.

mod arrival_table;
mod fair_queue;
mod types;
mod views;

pub use types::{
    Arrival, ClassRequests, ClientKey, ClientRequests, ConcurrencyLimits, Decision, RequestCounts, RequestId,
    ShedCount, ShedReason, ShedRequest,
};

use crate::client_class::ClientClass;
use crate::reason_counts::ReasonCounts;
use crate::retry_after_jitter::RetryAfterJitter;
use crate::retry_budget::RetryBudgets;
use arrival_table::{ArrivalInput, ArrivalOutcome};
use fair_queue::{ClassQueue, Flow, FlowChange, VIRTUAL_SERVICE};
use routing::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// How long a client's queue may be non-empty before the target wait applies to it.
pub const CODEL_INTERVAL: TimeDelta = TimeDelta::from_millis(100);

/// A request may wait for a fourth of the time until its deadline. The rest is left for its execution.
const DEADLINE_DIVISOR: i64 = 4;

/// A request that was admitted or is waiting.
#[derive(Debug)]
enum Request {
    Waiting {
        client: ClientKey,
        since: Timestamp,
        /// When the request is shed unless it is admitted before.
        until: Timestamp,
    },
    InFlight(ClientKey),
}

/// The waiting request that is admitted next.
struct NextRequest {
    client: ClientKey,
    request: RequestId,
}

/// How long the start tag of an idle client is kept. Without the start tag, a client that returns after a pause would
/// be queued behind clients that always have requests.
const IDLE_CLIENT_TTL: TimeDelta = TimeDelta::from_millis(5_000);
/// Maximum number of remembered idle clients, at about 150 bytes each. A client that uses more addresses than this
/// before idle clients expire can have the start tag of each address forgotten once, and with it the service that the
/// address has already received.
pub const MAX_IDLE_CLIENTS: usize = 1 << 16;

/// The concurrency limiter: requests in flight and waiting, and the limits that apply to them.
pub struct ConcurrencyLimiter {
    limits: ConcurrencyLimits,
    classes: Vec<ClientClass>,
    requests: HashMap<RequestId, Request>,
    queues: BTreeMap<Arc<str>, ClassQueue>,
    in_flight: usize,
    waiting: usize,
    /// Virtual time of fair queueing among the classes.
    virtual_time: u64,
    /// Number of changes to client flows so far. Ties in the service order are broken by the number of the change.
    change_count: u64,
    /// Waiting requests, ordered by when they are shed unless they are admitted before.
    expiries: BTreeSet<(Timestamp, RequestId)>,
    /// Clients with waiting requests, ordered by when their oldest one exceeds the target wait.
    head_expiries: BTreeSet<(Timestamp, ClientKey)>,
    /// Clients without requests, ordered by when they became idle.
    idle: BTreeSet<(Timestamp, ClientKey)>,
    /// Clients with waiting requests, ordered by their share of the queue.
    queue_shares: BTreeSet<(u64, ClientKey)>,
    retry_budgets: Option<RetryBudgets<ClientKey>>,
    jitter: RetryAfterJitter,
    /// Requests shed since the start, by class and reason.
    shed: ReasonCounts<ShedReason>,
}

fn retry_budgets(limits: ConcurrencyLimits) -> Option<RetryBudgets<ClientKey>> {
    limits.retry_percent.map(|percent| RetryBudgets::new(percent, limits.max_in_flight))
}

impl ConcurrencyLimiter {
    /// Creates a limiter whose Retry-After times are at most `max_retry_after`, with a jitter that `seed` determines.
    pub fn new(
        limits: ConcurrencyLimits,
        classes: Vec<ClientClass>,
        max_retry_after: TimeDelta,
        seed: u64,
    ) -> ConcurrencyLimiter {
        ConcurrencyLimiter {
            limits,
            classes,
            requests: HashMap::new(),
            queues: BTreeMap::new(),
            in_flight: 0,
            waiting: 0,
            virtual_time: 0,
            change_count: 0,
            expiries: BTreeSet::new(),
            head_expiries: BTreeSet::new(),
            idle: BTreeSet::new(),
            queue_shares: BTreeSet::new(),
            retry_budgets: retry_budgets(limits),
            jitter: RetryAfterJitter::new(limits.max_in_flight, max_retry_after, seed),
            shed: ReasonCounts::default(),
        }
    }

    /// Changes the limits. Requests in flight and waiting requests are kept, even if they exceed the new limits.
    pub fn set_limits(
        &mut self,
        now: Timestamp,
        limits: ConcurrencyLimits,
        classes: Vec<ClientClass>,
        decisions: &mut Vec<Decision>,
    ) {
        let budget_changed = limits.retry_percent != self.limits.retry_percent
            || limits.max_in_flight != self.limits.max_in_flight;
        if budget_changed {
            self.retry_budgets = retry_budgets(limits);
        }
        self.limits = limits;
        self.classes = classes;
        let classes = &self.classes;
        let class = |name: &Arc<str>| classes.iter().find(|class| class.name == *name);
        self.queues.retain(|name, queue| !queue.is_idle() || class(name).is_some());
        for (name, queue) in &mut self.queues {
            queue.set_limits(class(name));
        }
        let clients = std::mem::take(&mut self.queue_shares);
        let with_new_shares = clients.into_iter().map(|(_, client)| (self.queue_share(&client), client));
        self.queue_shares = with_new_shares.collect();
        self.admit_next(now, decisions);
    }

    /// The configured limits.
    pub fn limits(&self) -> ConcurrencyLimits {
        self.limits
    }

    fn queue(&mut self, class: &Arc<str>) -> &mut ClassQueue {
        let classes = &self.classes;
        let new_queue = || ClassQueue::new(classes.iter().find(|known| known.name == *class));
        self.queues.entry(class.clone()).or_insert_with(new_queue)
    }

    fn flow(&self, client: &ClientKey) -> Option<&Flow> {
        self.queues.get(&client.class)?.flow(client.address)
    }

    fn queue_share(&self, client: &ClientKey) -> u64 {
        let waiting = self.flow(client).map_or(0, Flow::waiting);
        self.queues.get(&client.class).map_or(0, |queue| queue.queue_share(waiting))
    }

    /// Sheds the waiting requests that have exceeded their maximum wait or the target wait, then decides on an arriving
    /// request.
    pub fn arrive(&mut self, now: Timestamp, arrival: Arrival, decisions: &mut Vec<Decision>) {
        self.tick(now, decisions);
        let outcome = arrival_table::decide(&self.arrival_input(now, &arrival));
        let Arrival { request, client, is_retry, deadline } = arrival;
        if let ArrivalOutcome::Shed(reason) = outcome {
            return self.shed(now, request, client.class, reason, decisions);
        }
        if let Some(budgets) = &mut self.retry_budgets {
            budgets.record_admitted(now, &client, is_retry);
        }
        if outcome == ArrivalOutcome::Displace {
            self.displace(now, decisions);
        }
        if outcome == ArrivalOutcome::Admit {
            self.record_in_flight(now, &client);
            self.requests.insert(request, Request::InFlight(client));
            decisions.push(Decision::Admit { request, waited: TimeDelta::ZERO });
        } else {
            self.enqueue(now, request, client, deadline);
        }
    }

    fn arrival_input(&mut self, now: Timestamp, arrival: &Arrival) -> ArrivalInput {
        let client = &arrival.client;
        let budgets = self.retry_budgets.as_ref();
        let within_retry_budget = budgets.is_none_or(|budgets| budgets.allows_retry(now, client));
        let max_queue_share = self.queue_shares.last().map_or(0, |(share, _)| *share);
        let (limits, in_flight, waiting) = (self.limits, self.in_flight, self.waiting);
        let queue = self.queue(&client.class);
        let client_waiting = queue.flow(client.address).map_or(0, Flow::waiting);
        ArrivalInput {
            is_retry: arrival.is_retry,
            within_retry_budget,
            class_requests: queue.requests(),
            max_class_requests: queue.max_requests(),
            in_flight,
            max_in_flight: limits.max_in_flight,
            waiting,
            max_waiting: limits.max_waiting,
            queue_share: queue.queue_share(client_waiting + 1),
            max_queue_share,
        }
    }

    fn enqueue(&mut self, now: Timestamp, request: RequestId, client: ClientKey, deadline: Timestamp) {
        let until = now + CODEL_INTERVAL.min((deadline - now) / DEADLINE_DIVISOR);
        self.expiries.insert((until, request));
        self.requests.insert(request, Request::Waiting { client: client.clone(), since: now, until });
        self.update_client(now, &client, |flow| flow.push(request, now));
    }

    /// Sheds the newest request of the client with the largest share of the queue.
    fn displace(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        let Some((_, client)) = self.queue_shares.last().cloned() else { return };
        if let Some(request) = self.flow(&client).and_then(Flow::newest) {
            self.dequeue(now, request);
            self.shed(now, request, client.class, ShedReason::Displaced, decisions);
        }
    }

    /// Removes a request that has completed or whose client has disconnected.
    pub fn remove(&mut self, now: Timestamp, request: RequestId, decisions: &mut Vec<Decision>) {
        match self.requests.get(&request) {
            None => return,
            Some(Request::Waiting { .. }) => self.dequeue(now, request),
            Some(Request::InFlight(client)) => {
                let client = client.clone();
                self.requests.remove(&request);
                self.in_flight -= 1;
                self.queue(&client.class).in_flight -= 1;
                self.update_client(now, &client, |flow| flow.in_flight -= 1);
            }
        }
        self.tick(now, decisions);
        self.admit_next(now, decisions);
    }

    /// Sheds waiting requests that have exceeded their maximum wait or the target wait.
    pub fn tick(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        while let Some(request) = self.next_expired(now) {
            let Some(Request::Waiting { client, .. }) = self.requests.get(&request) else { return };
            let class = client.class.clone();
            self.dequeue(now, request);
            self.shed(now, request, class, ShedReason::WaitedTooLong, decisions);
        }
    }

    fn next_expired(&self, now: Timestamp) -> Option<RequestId> {
        if let Some((_, request)) = self.expiries.first().filter(|(at, _)| *at <= now) {
            return Some(*request);
        }
        let (_, client) = self.head_expiries.first().filter(|(at, _)| *at <= now)?;
        self.flow(client)?.oldest()
    }

    /// When [`ConcurrencyLimiter::tick`] must be called next; `None` if no request is waiting.
    pub fn next_tick(&self) -> Option<Timestamp> {
        let expiry = self.expiries.first().map(|(at, _)| *at);
        let head_expiry = self.head_expiries.first().map(|(at, _)| *at);
        expiry.into_iter().chain(head_expiry).min()
    }

    fn admit_next(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        while self.in_flight < self.limits.max_in_flight {
            let Some(NextRequest { client, request }) = self.next_waiting() else { return };
            let waited = match self.requests.get(&request) {
                Some(Request::Waiting { since, .. }) => now - *since,
                _ => TimeDelta::ZERO,
            };
            self.record_service(now, &client);
            self.dequeue(now, request);
            self.requests.insert(request, Request::InFlight(client));
            decisions.push(Decision::Admit { request, waited });
        }
    }

    /// The request to admit next: the class with the smallest share in flight is chosen first, then the client of this
    /// class that is served next.
    fn next_waiting(&self) -> Option<NextRequest> {
        let waiting = self.queues.iter().filter(|(_, queue)| queue.waiting > 0);
        let (class, queue) = waiting.min_by_key(|(_, queue)| (queue.in_flight_share(), queue.start_tag))?;
        let client = ClientKey { class: class.clone(), address: queue.next_client()? };
        let request = self.flow(&client)?.oldest()?;
        Some(NextRequest { client, request })
    }

    /// Records that a waiting request of a client is admitted: counts it as in flight, and advances the virtual times
    /// and the start tags of the class and the client.
    fn record_service(&mut self, now: Timestamp, client: &ClientKey) {
        let client_tag = self.flow(client).map_or(0, |flow| flow.start_tag);
        let class_tag = self.queue(&client.class).start_tag;
        self.virtual_time = self.virtual_time.max(class_tag);
        self.record_in_flight(now, client);
        self.queue(&client.class).record_service(class_tag, client_tag);
        self.update_client(now, client, |flow| flow.start_tag += VIRTUAL_SERVICE);
    }

    fn record_in_flight(&mut self, now: Timestamp, client: &ClientKey) {
        self.in_flight += 1;
        self.queue(&client.class).in_flight += 1;
        self.update_client(now, client, |flow| flow.in_flight += 1);
    }

    /// Removes a waiting request from the queue.
    fn dequeue(&mut self, now: Timestamp, request: RequestId) {
        let Some(Request::Waiting { client, until, .. }) = self.requests.remove(&request) else { return };
        self.expiries.remove(&(until, request));
        self.update_client(now, &client, |flow| flow.remove(request));
    }

    /// Changes a client's flow and updates every index that contains it.
    fn update_client(&mut self, now: Timestamp, client: &ClientKey, change: impl FnOnce(&mut Flow)) {
        self.change_count += 1;
        let (change_number, virtual_time) = (self.change_count, self.virtual_time);
        let queue = self.queue(&client.class);
        let changed = queue.update_flow(now, client.address, change_number, virtual_time, change);
        self.waiting = self.waiting + changed.after.waiting - changed.before.waiting;
        self.update_queue_share(client, &changed);
        self.update_idle(client, &changed);
        self.update_head_expiry(client, &changed);
        self.expire_idle(now);
    }

    fn update_queue_share(&mut self, client: &ClientKey, changed: &FlowChange) {
        if changed.before.waiting > 0 {
            self.queue_shares.remove(&(changed.before.queue_share, client.clone()));
        }
        if changed.after.waiting > 0 {
            self.queue_shares.insert((changed.after.queue_share, client.clone()));
        }
    }

    fn update_idle(&mut self, client: &ClientKey, changed: &FlowChange) {
        if let Some(since) = changed.before.idle_since {
            self.idle.remove(&(since, client.clone()));
        }
        if let Some(since) = changed.after.idle_since {
            self.idle.insert((since, client.clone()));
        }
    }

    fn update_head_expiry(&mut self, client: &ClientKey, changed: &FlowChange) {
        if let Some(at) = changed.head_expiry_before {
            self.head_expiries.remove(&(at, client.clone()));
        }
        let Some(oldest) = changed.oldest else { return };
        let Some(Request::Waiting { since, .. }) = self.requests.get(&oldest) else { return };
        let expiry = (*since + self.limits.target_wait).max(changed.waiting_since + CODEL_INTERVAL);
        self.head_expiries.insert((expiry, client.clone()));
        self.queue(&client.class).set_head_expiry(client.address, expiry);
    }

    fn expire_idle(&mut self, now: Timestamp) {
        while let Some((since, _)) = self.idle.first() {
            if now - *since < IDLE_CLIENT_TTL && self.idle.len() <= MAX_IDLE_CLIENTS {
                return;
            }
            let Some((_, client)) = self.idle.pop_first() else { return };
            if let Some(queue) = self.queues.get_mut(&client.class) {
                queue.remove_flow(client.address);
            }
        }
    }

    fn shed(
        &mut self,
        now: Timestamp,
        request: RequestId,
        class: Arc<str>,
        reason: ShedReason,
        decisions: &mut Vec<Decision>,
    ) {
        self.shed.increment(class.clone(), reason);
        let retry_after = self.jitter.next(now, TimeDelta::ZERO);
        decisions.push(Decision::Shed(ShedRequest { request, class, reason, retry_after }));
    }
}
