//! Events that the caller passes to primary discovery, and actions that the caller carries out.

use crate::endpoint_state::RoleReport;
use crate::primary_verification::GroupMinimum;
use routing::time::Timestamp;
use routing::{EndpointIndex, EndpointReport, GroupIndex, PrimaryEligibility};

/// A listed endpoint and its group, identified by the caller's indexes.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// Index of the endpoint.
    pub endpoint: EndpointIndex,
    /// Index of the endpoint's group.
    pub group: GroupIndex,
}

/// An endpoint's reported identity, compared with the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identity {
    /// The endpoint reported the identity of the listed endpoint.
    Confirmed,
    /// The endpoint reported another identity.
    Mismatch,
    /// The endpoint did not report an identity, or cannot be queried for one.
    Unknown,
}

/// Why a query failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryFailure {
    /// The connection was refused: no process listens on the port.
    Refused,
    /// No answer was received.
    NoAnswer,
    /// The query was not sent, or was rejected for lack of capacity. Nothing is known about the endpoint.
    NotSent,
}

/// An event for [`super::PrimaryDiscovery`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The cached list was loaded. Discovery has not confirmed it since the instance started.
    CachedListLoaded {
        /// The listed endpoints.
        members: Vec<Member>,
        /// Lower bounds on the timelines and positions of groups, as saved with the list.
        minimum_positions: Vec<GroupMinimum>,
    },
    /// A complete list or a set of changes was received from discovery.
    ListReceived {
        /// Whether the list is complete.
        complete: bool,
        /// Listed endpoints.
        members: Vec<Member>,
        /// Endpoints that are no longer listed.
        removed: Vec<EndpointIndex>,
    },
    /// A query was answered.
    QueryAnswered {
        /// The queried endpoint.
        endpoint: EndpointIndex,
        /// When the query was sent.
        queried_at: Timestamp,
        /// The endpoint's reported identity.
        identity: Identity,
        /// The endpoint's report.
        report: RoleReport,
    },
    /// A query failed.
    QueryFailed {
        /// The queried endpoint.
        endpoint: EndpointIndex,
        /// Why the query failed.
        failure: QueryFailure,
    },
    /// The answer to a request or a health check contained a report.
    ReportReceived {
        /// The endpoint that answered.
        endpoint: EndpointIndex,
        /// When the request or health check was sent.
        queried_at: Timestamp,
        /// The endpoint's report.
        report: EndpointReport,
    },
    /// A request is waiting for the primary of a group.
    RequestWaiting {
        /// The group.
        group: GroupIndex,
    },
    /// Scheduled queries may be due.
    Tick,
}

/// An action for the caller to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Query an endpoint, and report the result as exactly one `QueryAnswered` or `QueryFailed`.
    Query {
        /// The endpoint to query.
        endpoint: EndpointIndex,
    },
    /// Notify the routing policy that an endpoint may be used, and that it started no later than this instance.
    Admit {
        /// The admitted endpoint.
        endpoint: EndpointIndex,
    },
    /// Notify the routing policy that an endpoint may no longer be used, even if it is still listed.
    Withdraw {
        /// The withdrawn endpoint.
        endpoint: EndpointIndex,
    },
    /// Notify the routing policy which member of a group may be treated as its primary.
    SetEligibility {
        /// The group.
        group: GroupIndex,
        /// The eligible members.
        eligibility: PrimaryEligibility,
    },
}
