//! Read-only views of the limiter for metrics and the admin socket.

use super::fair_queue::ClassQueue;
use super::types::{ClientKey, RequestCounts, ShedReason};
use super::ConcurrencyLimiter;

impl ConcurrencyLimiter {
    /// Request counts of each class that has any.
    pub fn requests_by_class(&self) -> impl Iterator<Item = (&str, RequestCounts)> {
        let busy = self.queues.iter().filter(|(_, queue)| !queue.is_idle());
        busy.map(|(name, queue)| {
            (&**name, RequestCounts { in_flight: queue.in_flight, waiting: queue.waiting })
        })
    }

    /// The `count` clients with the most requests, in descending order.
    pub fn top_clients(&self, count: usize) -> Vec<(ClientKey, RequestCounts)> {
        let mut clients: Vec<(ClientKey, RequestCounts)> = Vec::new();
        for (class, queue) in &self.queues {
            clients.extend(queue.busy_flows().map(|(address, flow)| {
                let counts = RequestCounts { in_flight: flow.in_flight, waiting: flow.waiting() };
                (ClientKey { class: class.clone(), address }, counts)
            }));
        }
        clients.sort_by(|a, b| (b.1.total(), &a.0).cmp(&(a.1.total(), &b.0)));
        clients.truncate(count);
        clients
    }

    /// Number of clients with remembered state, active or idle.
    pub fn remembered_clients(&self) -> usize {
        self.queues.values().map(ClassQueue::flows).sum()
    }

    /// Numbers of requests shed since the start, by class and reason.
    pub fn shed_counts(&self) -> impl Iterator<Item = (&str, ShedReason, u64)> {
        self.shed.iter().map(|((name, reason), count)| (&**name, *reason, *count))
    }
}
