//! State of a replication group.

use crate::events::{EndpointIndex, PrimaryEligibility, RequestId};
use std::collections::BTreeSet;

/// A replication group.
#[derive(Clone, Default)]
pub struct Group {
    pub members: Vec<EndpointIndex>,
    /// Waiting requests by method.
    pub waiting: Vec<BTreeSet<RequestId>>,
    /// The member that is assumed to be the primary.
    pub primary: Option<EndpointIndex>,
    pub eligibility: PrimaryEligibility,
    /// Health checks that its requests have earned.
    pub health_check_credit: f64,
}

impl Group {
    /// Creates a group without members for this many methods.
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

    /// Whether any request waits.
    pub fn has_waiting(&self) -> bool {
        self.waiting.iter().any(|requests| !requests.is_empty())
    }
}
