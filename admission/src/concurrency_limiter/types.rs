//! Inputs and decisions of the concurrency limiter.

use crate::client_address::{AddressPrefixes, ClientAddress};
use crate::client_class::DEFAULT_CLASS;
use crate::reason_counts::ReasonCount;
use routing::time::{TimeDelta, Timestamp};
use std::net::IpAddr;
use std::sync::Arc;

/// Identifier of a request, assigned by the caller and never reused.
pub type RequestId = u64;

/// A client of the concurrency limiter: an address in a client class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientKey {
    /// Name of the client class.
    pub class: Arc<str>,
    /// Address of the client, truncated to its prefix.
    pub address: ClientAddress,
}

impl ClientKey {
    /// The key of a client in the default class.
    pub fn unclassified(from: IpAddr, prefixes: AddressPrefixes) -> ClientKey {
        ClientKey { class: DEFAULT_CLASS.into(), address: ClientAddress::new(from, prefixes) }
    }
}

/// Configuration of the concurrency limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConcurrencyLimits {
    /// Maximum requests in flight, 1 to 100,000.
    pub max_in_flight: usize,
    /// Maximum waiting requests.
    pub max_waiting: usize,
    /// Maximum wait of a request once its client's queue has not been empty for [`super::CODEL_INTERVAL`].
    pub target_wait: TimeDelta,
    /// Allowed retries as a percentage of first attempts; `None` disables the retry budget.
    pub retry_percent: Option<u32>,
}

/// Why a request was shed: rejected before any work was done for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedReason {
    /// The retry budget is exhausted.
    RetryBudget,
    /// The class has its maximum number of requests.
    ClassLimit,
    /// The queue is full, and no client has a larger share of it.
    QueueFull,
    /// A request of another client displaced the request from the full queue, because the client of the displaced
    /// request had the largest share of the queue.
    Displaced,
    /// The request exceeded its maximum wait.
    WaitedTooLong,
}

impl ShedReason {
    /// All reasons, in the order of the variants.
    pub const ALL: [ShedReason; 5] = [
        ShedReason::RetryBudget,
        ShedReason::ClassLimit,
        ShedReason::QueueFull,
        ShedReason::Displaced,
        ShedReason::WaitedTooLong,
    ];

    /// Label of the reason in metrics under their earlier names.
    pub fn label(self) -> &'static str {
        match self {
            ShedReason::RetryBudget => "repeats",
            ShedReason::ClassLimit => "rpcs",
            ShedReason::QueueFull => "crowd",
            ShedReason::Displaced => "displaced",
            ShedReason::WaitedTooLong => "waited",
        }
    }

    /// Label of the reason in metrics under their standard names.
    pub fn standard_label(self) -> &'static str {
        match self {
            ShedReason::RetryBudget => "retry_budget",
            ShedReason::ClassLimit => "class_limit",
            ShedReason::QueueFull => "queue_full",
            ShedReason::Displaced => "displaced",
            ShedReason::WaitedTooLong => "queue_timeout",
        }
    }
}

/// A request that was shed, and when its client may retry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShedRequest {
    /// The request that was shed.
    pub request: RequestId,
    /// Class of the client.
    pub class: Arc<str>,
    /// Why the request was shed.
    pub reason: ShedReason,
    /// Retry-After time for the client.
    pub retry_after: TimeDelta,
}

/// Number of requests of one class that were shed for one reason.
pub type ShedCount = ReasonCount<ShedReason>;

/// An arriving request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Identifier by which the decisions name the request.
    pub request: RequestId,
    /// The client that sent the request.
    pub client: ClientKey,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// When the client's timeout expires.
    pub deadline: Timestamp,
}

/// A decision on a request. Each request is either admitted or shed, exactly once, unless it is removed before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is in flight from now on.
    Admit {
        /// The admitted request.
        request: RequestId,
        /// How long the request has waited.
        waited: TimeDelta,
    },
    /// The request is shed.
    Shed(ShedRequest),
}

/// Numbers of requests in flight and waiting.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests in flight.
    pub in_flight: usize,
    /// Requests in the queue.
    pub waiting: usize,
}

impl RequestCounts {
    /// Requests in flight and waiting.
    pub fn total(self) -> usize {
        self.in_flight + self.waiting
    }
}

/// Request counts of one class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassRequests {
    /// Name of the class.
    pub class: Arc<str>,
    /// Requests of the class.
    pub requests: RequestCounts,
}

/// Request counts of one client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientRequests {
    /// The client that sent the requests.
    pub client: ClientKey,
    /// Requests of the client.
    pub requests: RequestCounts,
}
