//! Applies the faults of a plan to a cluster.

use super::plan::Fault;
use crate::cluster::{ClusterState, EndpointIndex, OldPrimary, Reachability, STALENESS_BOUND_MS};
use crate::endpoint::free_address;
use crate::random::JitteredMs;
use routing::rng::Mwc;
use std::net::SocketAddr;

/// Time from a failover to the start of the instances: longer than any replication lag, so that the positions of the
/// replicas are beyond the failover.
const TIME_SINCE_FAILOVER: JitteredMs = JitteredMs { min_ms: 5_000, jitter_ms: 3_000 };
/// Lag of the replicas of [`Fault::ReplicasLag`], as a multiple of the staleness bound, so that they are clearly stale.
const LAG_MULTIPLE: i64 = 2;
/// Time before the failover at which the replication of a replica on the old primary's branch stopped.
const STOPPED_BEFORE_MS: i64 = 100;

/// The endpoints of one group.
struct GroupMembers {
    /// The primary before the fault.
    primary: EndpointIndex,
    /// The replica that a failover promotes.
    successor: EndpointIndex,
    /// A replica that is never promoted.
    replica: EndpointIndex,
    /// A replica that is not in the cached list.
    unlisted: EndpointIndex,
}

/// Number of endpoints per group.
pub const GROUP_SIZE: usize = 4;

impl GroupMembers {
    fn starting_at(first: EndpointIndex) -> GroupMembers {
        GroupMembers { primary: first, successor: first + 1, replica: first + 2, unlisted: first + 3 }
    }
}

/// Applies a fault to the group whose first endpoint has index `first`. `listed_addresses` has the address of each
/// endpoint in the outdated list. `now_ms` is the time at which the instances are started.
pub fn apply_fault(
    state: &mut ClusterState,
    fault: Fault,
    first: EndpointIndex,
    now_ms: i64,
    listed_addresses: &mut [SocketAddr],
    rng: &mut Mwc,
) {
    let members = GroupMembers::starting_at(first);
    let at_ms = now_ms - TIME_SINCE_FAILOVER.sample(rng);
    match fault {
        Fault::None => {}
        Fault::OldPrimaryIsolated => state.promote(members.successor, OldPrimary::Isolated, at_ms),
        Fault::OldPrimaryIsolatedNewSilent => {
            state.promote(members.successor, OldPrimary::Isolated, at_ms);
            state.endpoints[members.successor].process.reachability = Reachability::Silent;
        }
        Fault::OldPrimaryIsolatedWithReplica => {
            state.promote(members.successor, OldPrimary::Isolated, at_ms);
            let stopped = &mut state.endpoints[members.replica];
            stopped.replication.branch = 0;
            stopped.replication.timeline = 1;
            stopped.replication.stopped_at_ms = Some(at_ms - STOPPED_BEFORE_MS);
        }
        Fault::PrimarySwitched => state.promote(members.successor, OldPrimary::Follows, at_ms),
        Fault::NewPrimaryUnlisted => state.promote(members.unlisted, OldPrimary::Isolated, at_ms),
        Fault::AddressReused => {
            state.promote(members.successor, OldPrimary::Follows, at_ms);
            state.endpoints[members.primary].process.reachability = Reachability::Unreachable;
            // The address now belongs to the primary of the next group. If there is only one group, that is the old
            // primary itself.
            let next_primary = (first + GROUP_SIZE) % listed_addresses.len();
            listed_addresses[members.primary] = listed_addresses[next_primary];
        }
        Fault::AddressUnused => {
            state.promote(members.successor, OldPrimary::Follows, at_ms);
            state.endpoints[members.primary].process.reachability = Reachability::Unreachable;
            listed_addresses[members.primary] = free_address();
        }
        Fault::ReplicaSilent => state.endpoints[members.replica].process.reachability = Reachability::Silent,
        Fault::ReplicasLag => {
            state.endpoints[members.successor].replication.lag_ms = STALENESS_BOUND_MS * LAG_MULTIPLE;
            state.endpoints[members.replica].replication.lag_ms = STALENESS_BOUND_MS * LAG_MULTIPLE;
        }
        Fault::NoPrimary => {
            remove_primary(state, &members, at_ms);
            listed_addresses[members.primary] = free_address();
        }
    }
}

/// Makes the primary of a group unreachable, and stops the replication of the other endpoints at `at_ms`.
fn remove_primary(state: &mut ClusterState, members: &GroupMembers, at_ms: i64) {
    for index in [members.successor, members.replica, members.unlisted] {
        state.endpoints[index].replication.stopped_at_ms = Some(at_ms);
        state.endpoints[index].replication.upstream = None;
    }
    state.endpoints[members.primary].process.reachability = Reachability::Unreachable;
    state.endpoints[members.primary].primary = false;
}
