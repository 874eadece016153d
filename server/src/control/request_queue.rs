//! The queue of requests that wait for admission. It is used if the operators' file limits the requests in flight.

use crate::messages::control::{IncomingRequest, QueueLimits};
use crate::messages::response::Response;
use crate::messages::snapshot::{QueueSnapshot, WaitingRequest};
use admission::concurrency_limiter::{Arrival, ConcurrencyLimiter, Decision, RequestId, ShedRequest};
use routing::time::{TimeDelta, Timestamp};
use std::collections::HashMap;

/// The histogram of the seconds that admitted requests have waited in the queue. Its standard name is
/// `gingerwick_queue_wait_seconds`.
const QUEUE_WAIT_HISTOGRAM: &str = "gingerwick_turn_seconds";
/// The counter of requests that were shed, by class and reason. Its standard name is
/// `gingerwick_requests_shed_total`.
const SHED_COUNTER: &str = "gingerwick_rpcs_shed_total";
/// The table of waiting requests is not shrunk if its capacity is at most this.
const MIN_CAPACITY: usize = 1_024;
/// The table is shrunk when the number of its entries is less than its capacity divided by this.
const SHRINK_DIVISOR: usize = 4;
/// The capacity after shrinking, as a multiple of the number of entries.
const SHRINK_HEADROOM: usize = 2;

/// A request that was received but has not been passed to the routing policy yet.
pub struct QueuedRequest {
    /// The request as the client's connection sent it.
    pub incoming: Box<IncomingRequest>,
    /// When the control loop received the request.
    pub received_at: Timestamp,
}

impl QueuedRequest {
    /// The process-internal id of the request.
    pub fn request(&self) -> RequestId {
        self.incoming.ticket.request
    }
}

/// The queue of waiting requests, and the concurrency limiter that admits them.
pub struct RequestQueue {
    limiter: ConcurrencyLimiter,
    waiting: HashMap<RequestId, QueuedRequest>,
    /// Whether rejections carry a Retry-After.
    sends_retry_after: bool,
    /// Decisions of the limiter that have not been applied yet.
    decisions: Vec<Decision>,
}

impl RequestQueue {
    /// Creates an empty queue. Rejections carry a Retry-After of at most `max_retry_after`, and none if that is
    /// `None`. `seed` is for the limiter's random numbers.
    pub fn new(limits: QueueLimits, max_retry_after: Option<TimeDelta>, seed: u64) -> RequestQueue {
        let limiter_max_retry_after = max_retry_after.unwrap_or(TimeDelta::ZERO);
        RequestQueue {
            limiter: ConcurrencyLimiter::new(limits.limits, limits.classes, limiter_max_retry_after, seed),
            waiting: HashMap::new(),
            sends_retry_after: max_retry_after.is_some(),
            decisions: Vec::new(),
        }
    }

    /// Ends the queue, and returns all waiting requests in the order of their ids.
    pub fn into_waiting(self) -> Vec<QueuedRequest> {
        let mut waiting: Vec<QueuedRequest> = self.waiting.into_values().collect();
        waiting.sort_by_key(QueuedRequest::request);
        waiting
    }

    /// Replaces the limits. Requests that the new limits admit are appended to `admitted`.
    pub fn set_limits(&mut self, now: Timestamp, limits: QueueLimits, admitted: &mut Vec<QueuedRequest>) {
        self.limiter.set_limits(now, limits.limits, limits.classes, &mut self.decisions);
        self.apply_decisions(admitted);
    }

    /// Adds a request. Requests that are admitted as a result are appended to `admitted`.
    pub fn arrive(&mut self, now: Timestamp, queued: QueuedRequest, admitted: &mut Vec<QueuedRequest>) {
        let header = &queued.incoming.header;
        // Requests that are not attributed to a client are not limited.
        let Some(client) = header.client.clone() else { return admitted.push(queued) };
        let request = queued.request();
        let (is_retry, deadline) = (header.client_retry, header.deadline);
        self.waiting.insert(request, queued);
        let arrival = Arrival { request, client, is_retry, deadline };
        self.limiter.arrive(now, arrival, &mut self.decisions);
        self.apply_decisions(admitted);
    }

    /// Releases the slot of a request that has finished. Requests that are admitted as a result are appended to
    /// `admitted`.
    pub fn remove(&mut self, now: Timestamp, request: RequestId, admitted: &mut Vec<QueuedRequest>) {
        self.limiter.remove(now, request, &mut self.decisions);
        self.apply_decisions(admitted);
    }

    /// Discards a waiting request whose client has disconnected. Requests that are admitted as a result are appended
    /// to `admitted`. Returns false if the request does not wait in the queue.
    pub fn client_gone(
        &mut self,
        now: Timestamp,
        request: RequestId,
        admitted: &mut Vec<QueuedRequest>,
    ) -> bool {
        let Some(queued) = self.waiting.remove(&request) else { return false };
        queued.incoming.ticket.discard();
        self.remove(now, request, admitted);
        true
    }

    /// Rejects the requests that have waited too long. Requests that are admitted as a result are appended to
    /// `admitted`.
    pub fn tick(&mut self, now: Timestamp, admitted: &mut Vec<QueuedRequest>) {
        self.limiter.tick(now, &mut self.decisions);
        self.apply_decisions(admitted);
    }

    /// When [`RequestQueue::tick`] must be called next; `None` if there is nothing to wait for.
    pub fn due(&self) -> Option<Timestamp> {
        self.limiter.next_tick()
    }

    /// Applies the limiter's decisions, and shrinks the table of waiting requests if it has become mostly empty.
    fn apply_decisions(&mut self, admitted: &mut Vec<QueuedRequest>) {
        for decision in std::mem::take(&mut self.decisions) {
            match decision {
                Decision::Admit { request, waited } => {
                    metrics::histogram!(QUEUE_WAIT_HISTOGRAM).record(waited.as_secs_f64());
                    admitted.extend(self.waiting.remove(&request));
                }
                Decision::Shed(shed) => self.reject(shed),
            }
        }
        let capacity = self.waiting.capacity();
        if capacity > MIN_CAPACITY && self.waiting.len() < capacity / SHRINK_DIVISOR {
            self.waiting.shrink_to(self.waiting.len() * SHRINK_HEADROOM);
        }
    }

    /// Rejects a request that the limiter has shed.
    fn reject(&mut self, shed: ShedRequest) {
        let (class, reason) = (shed.class.to_string(), shed.reason.label());
        metrics::counter!(SHED_COUNTER, "class" => class, "why" => reason).increment(1);
        let retry_after = self.sends_retry_after.then_some(shed.retry_after);
        if let Some(queued) = self.waiting.remove(&shed.request) {
            queued.incoming.ticket.answer(Response::Rejected { retry_after });
        }
    }

    /// A snapshot of the queue, which lists the `top_clients` clients with the most requests.
    pub fn snapshot(&self, top_clients: usize) -> QueueSnapshot {
        let limiter = &self.limiter;
        let waiting = self.waiting.values().map(|queued| WaitingRequest {
            id: queued.incoming.header.identity.id.clone(),
            received_at: queued.received_at,
        });
        QueueSnapshot {
            limits: limiter.limits(),
            classes: limiter.requests_by_class().collect(),
            shed: limiter.shed_counts().collect(),
            top_clients: limiter.top_clients(top_clients),
            waiting: waiting.collect(),
        }
    }
}
