//! Requests that wait for admission, with all that they came with, if operators limit how many are in flight.

use crate::messages::control::{IncomingRequest, QueueLimits};
use crate::messages::response::Response;
use crate::messages::snapshot::{ClientRequests, QueueSnapshot};
use admission::concurrency_limiter::{Arrival, ConcurrencyLimiter, Decision, LoadShed, RequestId};
use routing::time::{TimeDelta, Timestamp};
use std::collections::HashMap;
use std::net::IpAddr;

/// A table with this capacity or less is never shrunk.
const MIN_CAPACITY: usize = 1_024;

/// A request on its way to the routing policy.
pub struct QueuedRequest {
    /// The request.
    pub incoming: Box<IncomingRequest>,
    /// When it came.
    pub received_at: Timestamp,
}

impl QueuedRequest {
    /// Its number.
    pub fn request(&self) -> RequestId {
        self.incoming.ticket.request
    }
}

/// The requests that wait.
pub struct RequestQueue {
    limiter: ConcurrencyLimiter,
    waiting: HashMap<RequestId, QueuedRequest>,
    may_tell_retry_after: bool,
    decisions: Vec<Decision>,
}

impl RequestQueue {
    /// `max_retry_after`: clients may be told to stay away for so long at most, if they may be told at all.
    pub fn new(limits: QueueLimits, max_retry_after: Option<TimeDelta>, seed: u64) -> RequestQueue {
        let longest = max_retry_after.unwrap_or(TimeDelta::ZERO);
        RequestQueue {
            limiter: ConcurrencyLimiter::new(limits.limits, limits.classes, longest, seed),
            waiting: HashMap::new(),
            may_tell_retry_after: max_retry_after.is_some(),
            decisions: Vec::new(),
        }
    }

    /// There are no limits any more: all requests that wait are admitted.
    pub fn into_waiting(self) -> Vec<QueuedRequest> {
        let mut waiting: Vec<QueuedRequest> = self.waiting.into_values().collect();
        waiting.sort_by_key(QueuedRequest::request);
        waiting
    }

    /// The limits have changed.
    pub fn set_limits(&mut self, now: Timestamp, limits: QueueLimits, admitted: &mut Vec<QueuedRequest>) {
        self.limiter.set_limits(now, limits.limits, limits.classes, &mut self.decisions);
        self.apply_decisions(admitted);
    }

    /// A request has come; requests that may go on are appended to `admitted`.
    pub fn arrive(&mut self, now: Timestamp, queued: QueuedRequest, admitted: &mut Vec<QueuedRequest>) {
        let header = &queued.incoming.header;
        // Clients that are not told apart are admitted as if there were no limits.
        let Some(client) = header.client.clone() else { return admitted.push(queued) };
        let request = queued.request();
        let (is_retry, deadline) = (header.client_retry, header.deadline);
        self.waiting.insert(request, queued);
        let arrival = Arrival { request, client, is_retry, deadline };
        self.limiter.arrive(now, arrival, &mut self.decisions);
        self.apply_decisions(admitted);
    }

    /// Nothing more can come of a request.
    pub fn remove(&mut self, now: Timestamp, request: RequestId, admitted: &mut Vec<QueuedRequest>) {
        self.limiter.remove(now, request, &mut self.decisions);
        self.apply_decisions(admitted);
    }

    /// The client of a request is gone; false if the request does not wait here.
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

    /// Time has passed.
    pub fn tick(&mut self, now: Timestamp, admitted: &mut Vec<QueuedRequest>) {
        self.limiter.tick(now, &mut self.decisions);
        self.apply_decisions(admitted);
    }

    /// When [`RequestQueue::tick`] is due next.
    pub fn due(&self) -> Option<Timestamp> {
        self.limiter.due()
    }

    fn apply_decisions(&mut self, admitted: &mut Vec<QueuedRequest>) {
        for decision in std::mem::take(&mut self.decisions) {
            match decision {
                Decision::Admit { request, waited } => {
                    metrics::histogram!("gingerwick_turn_seconds").record(waited.as_secs_f64());
                    admitted.extend(self.waiting.remove(&request));
                }
                Decision::Shed(shed) => self.reject(shed),
            }
        }
        let capacity = self.waiting.capacity();
        if capacity > MIN_CAPACITY && self.waiting.len() < capacity / 4 {
            self.waiting.shrink_to(self.waiting.len() * 2);
        }
    }

    fn reject(&mut self, shed: LoadShed) {
        let (class, reason) = (shed.class.to_string(), shed.reason.label());
        metrics::counter!("gingerwick_rpcs_shed_total", "class" => class, "why" => reason).increment(1);
        let retry_after = self.may_tell_retry_after.then_some(shed.retry_after);
        if let Some(queued) = self.waiting.remove(&shed.request) {
            queued.incoming.ticket.answer(Response::Rejected { retry_after });
        }
    }

    /// What there is, with so many of the clients with most requests.
    pub fn snapshot(&self, top_clients: usize) -> QueueSnapshot {
        let limiter = &self.limiter;
        let classes = limiter.requests_by_class().map(|(class, counts)| (class.to_string(), counts));
        let shed = limiter.shed_counts().map(|(class, reason, count)| (class.to_string(), reason, count));
        let clients = limiter.top_clients(top_clients).into_iter().map(|(client, requests)| ClientRequests {
            class: client.class.to_string(),
            address: IpAddr::from(client.address),
            requests,
        });
        let waiting = self.waiting.values();
        QueueSnapshot {
            limits: limiter.limits(),
            classes: classes.collect(),
            shed: shed.collect(),
            top_clients: clients.collect(),
            waiting: waiting.map(|it| (it.incoming.header.identity.id.to_string(), it.received_at)).collect(),
        }
    }
}
