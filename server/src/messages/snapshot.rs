//! Snapshots of the control loop for the admin socket.

use crate::messages::request::RequestIdentity;
use admission::concurrency_limiter::{ClassRequests, ClientRequests, ConcurrencyLimits, ShedCount};
use routing::time::Timestamp;
use routing::EndpointSnapshot;
use std::net::SocketAddr;
use std::sync::Arc;

/// The maximum number of requests in a snapshot; the oldest are kept.
pub const MAX_REQUESTS: usize = 200;
/// The maximum number of clients in a snapshot; those with the most requests are kept.
pub const MAX_CLIENTS: usize = 20;

/// The endpoint at which a request's attempt is in flight.
#[derive(Debug)]
pub struct AttemptSnapshot {
    /// The name of the endpoint.
    pub endpoint: String,
    /// When the attempt was started.
    pub started_at: Timestamp,
}

/// The state of one request.
#[derive(Debug)]
pub struct RequestSnapshot {
    /// The id, method and group.
    pub identity: RequestIdentity,
    /// When the control loop received the request.
    pub received_at: Timestamp,
    /// The number of attempts started.
    pub attempts: u32,
    /// Where the latest attempt is in flight; `None` if the request waits.
    pub in_flight: Option<AttemptSnapshot>,
    /// The request was answered or its client has disconnected, but its latest attempt has not ended.
    pub is_closed: bool,
}

/// The state of one endpoint.
#[derive(Debug)]
pub struct ListedEndpointSnapshot {
    /// The name of the endpoint.
    pub name: String,
    /// The address, if it is known.
    pub addr: Option<SocketAddr>,
    /// The routing policy's state of the endpoint, if it knows the endpoint.
    pub state: Option<EndpointSnapshot>,
}

/// The state of the request queue.
#[derive(Debug)]
pub struct QueueSnapshot {
    /// The limits on requests.
    pub limits: ConcurrencyLimits,
    /// The requests of each client class.
    pub classes: Vec<ClassRequests>,
    /// Requests shed since the start, by class and reason.
    pub shed: Vec<ShedCount>,
    /// The clients with the most requests.
    pub top_clients: Vec<ClientRequests>,
    /// The waiting requests.
    pub waiting: Vec<WaitingRequest>,
}

/// A request that waits in the queue.
#[derive(Debug)]
pub struct WaitingRequest {
    /// The request's id, unique among the open requests of all clients.
    pub id: Arc<str>,
    /// When the control loop received the request.
    pub received_at: Timestamp,
}

/// The state of the control loop.
#[derive(Debug)]
pub struct ServerSnapshot {
    /// When the snapshot was taken.
    pub now: Timestamp,
    /// The number of open requests.
    pub open_requests: usize,
    /// The oldest requests, at most [`MAX_REQUESTS`].
    pub requests: Vec<RequestSnapshot>,
    /// The endpoints.
    pub endpoints: Vec<ListedEndpointSnapshot>,
    /// The number of groups.
    pub groups: usize,
    /// The request queue, if requests are limited.
    pub queue: Option<QueueSnapshot>,
}
