//! Read-only views of the limiter for metrics and the admin socket.

use super::types::{ClassRequests, ClientKey, ClientRequests, RequestCounts, ShedCount};
use super::ConcurrencyLimiter;
use std::cmp::Reverse;

impl ConcurrencyLimiter {
    /// Request counts of each class that has requests.
    pub fn requests_by_class(&self) -> impl Iterator<Item = ClassRequests> + '_ {
        let busy = self.queues.iter().filter(|(_, queue)| !queue.is_idle());
        busy.map(|(class, queue)| ClassRequests {
            class: class.clone(),
            requests: RequestCounts { in_flight: queue.in_flight, waiting: queue.waiting },
        })
    }

    /// The `count` clients with the most requests, in descending order.
    pub fn top_clients(&self, count: usize) -> Vec<ClientRequests> {
        let mut clients: Vec<ClientRequests> = Vec::new();
        for (class, queue) in &self.queues {
            clients.extend(queue.busy_flows().map(|(address, flow)| ClientRequests {
                client: ClientKey { class: class.clone(), address },
                requests: RequestCounts { in_flight: flow.in_flight, waiting: flow.waiting() },
            }));
        }
        clients.sort_by_cached_key(|entry| (Reverse(entry.requests.total()), entry.client.clone()));
        clients.truncate(count);
        clients
    }

    /// Numbers of requests shed since the start, by class and reason.
    pub fn shed_counts(&self) -> impl Iterator<Item = ShedCount> + '_ {
        self.shed.iter()
    }
}
