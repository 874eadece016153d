//! What primary discovery is told, and what it has the host do.

use crate::endpoint_state::RoleReport;
use crate::primary_verification::MinimumPosition;
use routing::time::Timestamp;
use routing::{EndpointIndex, EndpointReport, GroupIndex, PrimaryEligibility};

/// An endpoint of a list, as the host numbers it.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// The endpoint.
    pub endpoint: EndpointIndex,
    /// Its group.
    pub group: GroupIndex,
}

/// Who an endpoint says that it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identity {
    /// The one that the list names.
    Confirmed,
    /// Another one.
    Mismatch,
    /// It cannot be asked, or does not say.
    Unknown,
}

/// Why a query has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryFailure {
    /// Nothing listens there, says its machine.
    Refused,
    /// Nothing came back.
    NoAnswer,
    /// It was not sent, or rejected for lack of capacity: that says nothing of the endpoint.
    NotSent,
}

/// Something that has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A list was loaded that discovery has not confirmed since this start.
    CachedList {
        /// Its endpoints.
        members: Vec<Member>,
        /// What its groups were known to have.
        minimum_positions: Vec<(GroupIndex, MinimumPosition)>,
    },
    /// Discovery has given a list, complete or changes to it.
    Listed {
        /// It is the whole list.
        complete: bool,
        /// Endpoints that are listed.
        members: Vec<Member>,
        /// Endpoints that are not listed any more.
        removed: Vec<EndpointIndex>,
    },
    /// A query was answered.
    Answered {
        /// By this endpoint.
        endpoint: EndpointIndex,
        /// When the query was sent.
        queried_at: Timestamp,
        /// Who the endpoint says that it is.
        identity: Identity,
        /// What it reported.
        report: RoleReport,
    },
    /// A query failed.
    Failed {
        /// To this endpoint.
        endpoint: EndpointIndex,
        /// Why.
        failure: QueryFailure,
    },
    /// A report came with the answer to a request or a health check.
    Observed {
        /// From this endpoint.
        endpoint: EndpointIndex,
        /// When the request was sent.
        queried_at: Timestamp,
        /// The report.
        report: EndpointReport,
    },
    /// A request waits for a group.
    RequestWaiting {
        /// The group.
        group: GroupIndex,
    },
    /// Time has passed.
    Tick,
}

/// Something for the host to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Query an endpoint; to be answered by one `Answered` or `Failed`.
    Query {
        /// The endpoint.
        endpoint: EndpointIndex,
    },
    /// Tell the routing policy that an endpoint may be used, started when this instance started at the latest.
    Admit {
        /// The endpoint.
        endpoint: EndpointIndex,
    },
    /// Tell the routing policy that an endpoint may not be used any more, whatever else the rules of the list allow.
    Withdraw {
        /// The endpoint.
        endpoint: EndpointIndex,
    },
    /// Tell the routing policy which member of a group may be taken for its primary.
    SetEligibility {
        /// The group.
        group: GroupIndex,
        /// The member.
        eligibility: PrimaryEligibility,
    },
}
