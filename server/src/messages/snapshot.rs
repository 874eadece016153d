//! What the control loop shows of itself to operators: open requests and endpoints, as they stand.

use crate::messages::request::RequestIdentity;
use admission::concurrency_limiter::{ConcurrencyLimits, RequestCounts, ShedReason};
use routing::time::Timestamp;
use routing::EndpointSnapshot;
use std::net::{IpAddr, SocketAddr};

/// Requests that are shown at most, the oldest.
pub const MAX_REQUESTS: usize = 200;
/// Clients that are shown at most, those with most.
pub const MAX_CLIENTS: usize = 20;

/// Where a request is.
#[derive(Debug)]
pub struct InFlightAt {
    /// The name of the endpoint.
    pub endpoint: String,
    /// Since when.
    pub since: Timestamp,
}

/// An open request.
#[derive(Debug)]
pub struct RequestSnapshot {
    /// Which it is.
    pub identity: RequestIdentity,
    /// When it came.
    pub received_at: Timestamp,
    /// Attempts started.
    pub attempts: u32,
    /// Where it is; none: it waits.
    pub in_flight: Option<InFlightAt>,
    /// Its client has its answer, or is gone, and its last attempt has not ended.
    pub closed: bool,
}

/// An endpoint.
#[derive(Debug)]
pub struct EndpointRow {
    /// Its name.
    pub name: String,
    /// Its address.
    pub addr: Option<SocketAddr>,
    /// What the routing policy knows of it.
    pub state: Option<EndpointSnapshot>,
}

/// Requests that wait for admission, and those that were shed.
#[derive(Debug)]
pub struct QueueSnapshot {
    /// The limits.
    pub limits: ConcurrencyLimits,
    /// Requests by class.
    pub classes: Vec<(String, RequestCounts)>,
    /// Requests shed since the start, by class and reason.
    pub shed: Vec<(String, ShedReason, u64)>,
    /// The clients with most requests.
    pub top_clients: Vec<ClientRequests>,
    /// Requests that wait: their ids, and when they came.
    pub waiting: Vec<(String, Timestamp)>,
}

/// The requests of one client.
#[derive(Debug)]
pub struct ClientRequests {
    /// Its class.
    pub class: String,
    /// Its address.
    pub address: IpAddr,
    /// How many.
    pub requests: RequestCounts,
}

/// All of it.
#[derive(Debug)]
pub struct ServerSnapshot {
    /// When it was made.
    pub now: Timestamp,
    /// Open requests.
    pub open_requests: usize,
    /// The oldest of them.
    pub requests: Vec<RequestSnapshot>,
    /// The endpoints.
    pub endpoints: Vec<EndpointRow>,
    /// Groups.
    pub groups: usize,
    /// The queue, if requests are limited.
    pub queue: Option<QueueSnapshot>,
}
