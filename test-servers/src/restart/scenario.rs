//! A cluster to which the faults of a plan have been applied, and the endpoint lists before and after the faults.

use super::faults::{apply_fault, GROUP_SIZE};
use super::plan::Plan;
use crate::cluster::{unix_ms, Branch, Cluster, ClusterState, EndpointIndex, EndpointModel, Reachability};
use crate::discovery::list_entry;
use crate::endpoint::{serve, ServedEndpoint};
use crate::random::{event_rng, JitteredMs};
use crate::settings::{DRAIN_GRACE_MS, SLOW_START};
use endpoint_cache::{CachedEndpoint, CachedReport};
use routing::rng::Mwc;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;

/// Age of endpoints whose slow start is over.
const WARM_ENDPOINT_AGE_MS: i64 = 3_600_000;
/// Replication lag without a fault: far below the staleness bound, so that only faults make replicas stale.
const REPLICATION_LAG: JitteredMs = JitteredMs { min_ms: 10, jitter_ms: 60 };
/// Lag of the reported positions in the cached list.
const REPORTED_LAG_MS: i64 = 10;

/// The endpoint lists before and after the faults.
pub struct ScenarioLists {
    /// The list before the faults, in the format of the discovery service.
    pub outdated: Vec<Value>,
    /// The same list as an instance has cached it.
    pub cached: Vec<CachedEndpoint>,
    /// The list after the faults, in the format of the discovery service.
    pub current: Vec<Value>,
}

/// A cluster to which the faults of a plan have been applied.
pub struct Scenario {
    /// Model of the cluster.
    pub cluster: Arc<Cluster>,
    /// The listening endpoints, in the order of their indices.
    pub served: Vec<ServedEndpoint>,
    /// The endpoint lists before and after the faults.
    pub lists: ScenarioLists,
    /// Numbers of the groups.
    pub groups: Vec<i64>,
}

impl Scenario {
    /// Creates the cluster of a plan and applies the plan's faults.
    pub fn new(plan: &Plan) -> Scenario {
        let cluster = Arc::new(Cluster::new(SLOW_START, DRAIN_GRACE_MS));
        let mut rng = event_rng(plan.seed);
        let now_ms = unix_ms();
        let started_ms = if plan.just_started { now_ms } else { now_ms - WARM_ENDPOINT_AGE_MS };
        let groups: Vec<i64> = (1..=plan.faults.len() as i64).collect();
        for &group in &groups {
            add_group(&mut cluster.lock(), group, started_ms, &mut rng);
        }
        let count = cluster.lock().endpoints.len();
        let served: Vec<ServedEndpoint> = (0..count).map(|index| serve(&cluster, index)).collect();
        let addresses: Vec<SocketAddr> = served.iter().map(|served| served.addr).collect();
        let mut listed_addresses = addresses.clone();
        for (group, fault) in plan.faults.iter().enumerate() {
            let first = group * GROUP_SIZE;
            let state = &mut cluster.lock();
            apply_fault(state, *fault, first, now_ms, &mut listed_addresses, &mut rng);
        }
        let state = cluster.lock();
        let previously_listed = || (0..count).filter(|index| was_listed(*index));
        let outdated = previously_listed()
            .map(|index| outdated_entry(&state, index, &listed_addresses[index]))
            .collect();
        let cached = previously_listed()
            .map(|index| cached_entry(&state, index, &listed_addresses[index], now_ms, plan));
        let members = (0..count).filter(|index| is_listed_now(&state, *index));
        let current = members.map(|index| current_entry(&state, index, &addresses[index], plan)).collect();
        let lists = ScenarioLists { outdated, cached: cached.collect(), current };
        drop(state);
        Scenario { cluster, served, lists, groups }
    }

    /// Numbers of the groups with a reachable primary.
    pub fn groups_with_primary(&self) -> Vec<i64> {
        let state = self.cluster.lock();
        let has_primary = |group: &i64| {
            let primary = state.primary_of(*group);
            primary.is_some_and(|index| state.endpoints[index].process.reachability == Reachability::Up)
        };
        self.groups.iter().copied().filter(has_primary).collect()
    }
}

fn add_group(state: &mut ClusterState, group: i64, started_ms: i64, rng: &mut Mwc) {
    state.branches.insert(group, vec![Branch::initial()]);
    let first = state.endpoints.len();
    for member in 0..GROUP_SIZE {
        let upstream = (member > 0).then_some(first);
        let lag_ms = REPLICATION_LAG.sample(rng);
        let mut endpoint = EndpointModel::new(format!("s-{group}-{member}"), group, upstream, lag_ms);
        endpoint.process.started_ms = started_ms;
        state.endpoints.push(endpoint);
    }
}

/// Whether an endpoint is in the outdated list: all except the last one of each group, which was added later.
fn was_listed(index: EndpointIndex) -> bool {
    index % GROUP_SIZE != GROUP_SIZE - 1
}

/// Whether an endpoint was the primary of its group before the faults.
fn was_primary(index: EndpointIndex) -> bool {
    index.is_multiple_of(GROUP_SIZE)
}

/// Whether an endpoint is in the current list: all except those that do not answer, are unreachable or are on an
/// abandoned branch.
fn is_listed_now(state: &ClusterState, index: EndpointIndex) -> bool {
    let endpoint = &state.endpoints[index];
    endpoint.process.reachability == Reachability::Up
        && state.branches[&endpoint.group][endpoint.replication.branch].is_live
}

fn outdated_entry(state: &ClusterState, index: EndpointIndex, address: &SocketAddr) -> Value {
    let endpoint = &state.endpoints[index];
    list_entry(&endpoint.name, address, endpoint.group, was_primary(index), "SERVING", 0)
}

fn current_entry(state: &ClusterState, index: EndpointIndex, address: &SocketAddr, plan: &Plan) -> Value {
    let endpoint = &state.endpoints[index];
    let born_ms = if plan.just_started { endpoint.process.started_ms } else { 0 };
    list_entry(&endpoint.name, address, endpoint.group, endpoint.primary, "SERVING", born_ms)
}

fn cached_entry(
    state: &ClusterState,
    index: EndpointIndex,
    address: &SocketAddr,
    now_ms: i64,
    plan: &Plan,
) -> CachedEndpoint {
    let endpoint = &state.endpoints[index];
    let report = CachedReport {
        primary: was_primary(index),
        position_ms: Some(now_ms - plan.age_ms().abs() - REPORTED_LAG_MS),
        timeline: Some(1),
        received_ms: now_ms - plan.age_ms(),
    };
    CachedEndpoint {
        name: endpoint.name.clone(),
        address: address.to_string(),
        zone: "a".into(),
        group: endpoint.group,
        health: "SERVING".into(),
        started_ms: 0.0,
        recovery: if was_primary(index) { "off" } else { "on" }.into(),
        report: Some(report),
    }
}
