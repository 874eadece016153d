//! Starts a group of endpoints on loopback and describes them for discovery.

use std::sync::Arc;
use test_servers::cluster::{Branch, Cluster, EndpointModel};
use test_servers::discovery::list_entry;
use test_servers::endpoint::{serve, ServedEndpoint};
use test_servers::settings::{DRAIN_GRACE_MS, NO_SLOW_START};

/// The number of the group that [`start_endpoint_group`] starts.
const GROUP: i64 = 1;

/// Starts one group of endpoints on loopback, named `s-0`, `s-1` and so on, without slow start. `s-0` is the primary,
/// and the others are its replicas. `lags_ms` gives the replication lag of each endpoint in milliseconds.
pub fn start_endpoint_group(lags_ms: &[i64]) -> (Arc<Cluster>, Vec<ServedEndpoint>) {
    let cluster = Arc::new(Cluster::new(NO_SLOW_START, DRAIN_GRACE_MS));
    let endpoint = |index: usize| {
        EndpointModel::new(format!("s-{index}"), GROUP, (index > 0).then_some(0), lags_ms[index])
    };
    cluster.lock().branches.insert(GROUP, vec![Branch::initial()]);
    cluster.lock().endpoints = (0..lags_ms.len()).map(endpoint).collect();
    let served = (0..lags_ms.len()).map(|index| serve(&cluster, index)).collect();
    (cluster, served)
}

/// The entry of endpoint `s-{index}` of [`start_endpoint_group`] in an endpoint list. The endpoint is serving, and is
/// the primary if `index` equals `primary`.
pub fn group_entry(served: &[ServedEndpoint], index: usize, primary: usize) -> serde_json::Value {
    list_entry(&format!("s-{index}"), &served[index].addr, GROUP, index == primary, "SERVING", 0)
}
