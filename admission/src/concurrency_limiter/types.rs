//! What the limiter is told and decides.

use crate::client_address::{AddressPrefixes, ClientAddress};
use crate::client_class::DEFAULT_CLASS;
use routing::time::{TimeDelta, Timestamp};
use std::net::IpAddr;
use std::sync::Arc;

/// A number that the host gives each request, never twice.
pub type RequestId = u64;

/// Whom requests are counted for: an address, as a client of a class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientKey {
    /// The class.
    pub class: Arc<str>,
    /// The address.
    pub address: ClientAddress,
}

impl ClientKey {
    /// A client of the default class.
    pub fn unclassified(from: IpAddr, prefixes: AddressPrefixes) -> ClientKey {
        ClientKey { class: DEFAULT_CLASS.into(), address: ClientAddress::new(from, prefixes) }
    }
}

/// How the limiter is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConcurrencyLimits {
    /// Requests in flight: 1 to 100,000.
    pub max_in_flight: usize,
    /// Requests that wait at most.
    pub max_waiting: usize,
    /// How long a request may wait whose client's requests have waited without a break.
    pub target_wait: TimeDelta,
    /// Retries per hundred first attempts, if they have a budget.
    pub retry_percent: Option<u32>,
}

/// Why a request is shed. It was not worked on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedReason {
    /// The retry budget is used up.
    RetryBudget,
    /// Its class has as many requests here as it may.
    ClassLimit,
    /// The queue is full, and its client has most of it.
    QueueFull,
    /// Another request has its place: its client had most of the queue.
    Displaced,
    /// It waited as long as it may.
    WaitedTooLong,
}

impl ShedReason {
    /// All reasons.
    pub const ALL: [ShedReason; 5] = [
        ShedReason::RetryBudget,
        ShedReason::ClassLimit,
        ShedReason::QueueFull,
        ShedReason::Displaced,
        ShedReason::WaitedTooLong,
    ];

    /// Its label in metrics under their earlier names.
    pub fn label(self) -> &'static str {
        match self {
            ShedReason::RetryBudget => "repeats",
            ShedReason::ClassLimit => "rpcs",
            ShedReason::QueueFull => "crowd",
            ShedReason::Displaced => "displaced",
            ShedReason::WaitedTooLong => "waited",
        }
    }

    /// Its label in metrics under their standard names.
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

/// A request that was shed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadShed {
    /// The request.
    pub request: RequestId,
    /// The class of its client.
    pub class: Arc<str>,
    /// Why.
    pub reason: ShedReason,
    /// When its client may come back.
    pub retry_after: TimeDelta,
}

/// A request has come.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// Its client.
    pub client: ClientKey,
    /// Its client says that it sent the request before.
    pub is_retry: bool,
    /// When its client gives it up.
    pub deadline: Timestamp,
}

/// What the limiter has decided. Each request that has come is admitted or shed, once, unless it is removed before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is in flight from now on.
    Admit {
        /// The request.
        request: RequestId,
        /// How long it waited.
        waited: TimeDelta,
    },
    /// The request is shed.
    Shed(LoadShed),
}

/// How many requests are here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// In flight.
    pub in_flight: usize,
    /// Waiting.
    pub waiting: usize,
}

impl RequestCounts {
    /// All of them.
    pub fn total(self) -> usize {
        self.in_flight + self.waiting
    }
}
