//! State of a replication group.

use crate::events::{EndpointIndex, PrimaryEligibility, RequestId};
use std::collections::BTreeSet;

/// A replication group: a primary and its replicas.
#[derive(Clone, Default)]
pub struct Group {
    pub members: Vec<EndpointIndex>,
    /// The requests that wait for an endpoint, by method.
    pub waiting: Vec<BTreeSet<RequestId>>,
    /// The member that the policy assumes to be the primary.
    pub primary: Option<EndpointIndex>,
    pub eligibility: PrimaryEligibility,
    /// Number of health checks that may still be made for the group. Requests of the group add to this number when
    /// they arrive, and ticks add to it while requests wait.
    pub health_check_credit: f64,
}

impl Group {
    /// Creates a group without members, for settings with `methods` methods.
    pub fn new(methods: usize) -> Group {
        Group { waiting: vec![BTreeSet::new(); methods], ..Group::default() }
    }

    /// Whether a member may be assumed to be the primary.
    pub fn is_eligible(&self, endpoint: EndpointIndex) -> bool {
        match self.eligibility {
            PrimaryEligibility::Any => true,
            PrimaryEligibility::NoMember => false,
            PrimaryEligibility::Only(only) => only == endpoint,
        }
    }

    /// Whether any request waits for an endpoint.
    pub fn has_waiting(&self) -> bool {
        self.waiting.iter().any(|requests| !requests.is_empty())
    }
}
