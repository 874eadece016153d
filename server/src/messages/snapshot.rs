//! Snapshots of the control loop's state, for the pages of the admin socket.

use crate::messages::request::RequestIdentity;
use admission::concurrency_limiter::{ClassRequests, ClientRequests, ConcurrencyLimits, ShedCount};
use routing::time::Timestamp;
use routing::EndpointSnapshot;
use std::net::SocketAddr;
use std::sync::Arc;

/// The maximum number of requests in a snapshot. If there are more, the oldest are included.
pub const MAX_REQUESTS: usize = 200;
/// The maximum number of clients in a snapshot. If there are more, those with the most requests are included.
pub const MAX_CLIENTS: usize = 20;

/// An attempt that is in flight.
#[derive(Debug)]
pub struct AttemptSnapshot {
    /// The name of the endpoint that executes the attempt.
    pub endpoint: String,
    /// When the attempt was started.
    pub started_at: Timestamp,
}

/// The state of one request.
#[derive(Debug)]
pub struct RequestSnapshot {
    /// The id, method and group of the request.
    pub identity: RequestIdentity,
    /// When the control loop received the request.
    pub received_at: Timestamp,
    /// The number of attempts that were started for the request.
    pub attempts: u32,
    /// The latest attempt; `None` if it has ended or none was started.
    pub in_flight: Option<AttemptSnapshot>,
    /// The request was answered or its client has disconnected, but its latest attempt has not ended.
    pub is_closed: bool,
}

/// The state of an endpoint that is or was in the endpoint list.
#[derive(Debug)]
pub struct ListedEndpointSnapshot {
    /// The endpoint's name in the list.
    pub name: String,
    /// The address; `None` if the listed one is invalid.
    pub addr: Option<SocketAddr>,
    /// The routing policy's state of the endpoint; `None` if the policy does not know the endpoint.
    pub state: Option<EndpointSnapshot>,
}

/// The state of the request queue.
#[derive(Debug)]
pub struct QueueSnapshot {
    /// The limits on requests in flight and on waiting requests.
    pub limits: ConcurrencyLimits,
    /// The numbers of requests of each client class.
    pub classes: Vec<ClassRequests>,
    /// The numbers of requests that were shed since the start, by client class and reason.
    pub shed: Vec<ShedCount>,
    /// The clients with the most requests, at most [`MAX_CLIENTS`].
    pub top_clients: Vec<ClientRequests>,
    /// The requests that wait for admission, in no particular order.
    pub waiting: Vec<WaitingRequest>,
}

/// A request that waits in the queue.
#[derive(Debug)]
pub struct WaitingRequest {
    /// The client's id of the request.
    pub id: Arc<str>,
    /// When the control loop received the request.
    pub received_at: Timestamp,
}

/// The state of the control loop.
#[derive(Debug)]
pub struct ServerSnapshot {
    /// When the snapshot was taken.
    pub now: Timestamp,
    /// The number of requests that are open or have an attempt in flight.
    pub open_requests: usize,
    /// The oldest of these requests, at most [`MAX_REQUESTS`].
    pub requests: Vec<RequestSnapshot>,
    /// All endpoints that have ever been listed, by endpoint index.
    pub endpoints: Vec<ListedEndpointSnapshot>,
    /// The number of groups that have ever been listed.
    pub groups: usize,
    /// The request queue; `None` if requests are not limited.
    pub queue: Option<QueueSnapshot>,
}
