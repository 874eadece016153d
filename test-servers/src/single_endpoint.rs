//! The smallest cluster: one group with one primary, a discovery service that lists it, and a temporary directory.

use crate::cluster::{Branch, Cluster, EndpointModel, SlowStartModel};
use crate::daemon::{Daemon, DaemonOptions};
use crate::discovery::{list_entry, Discovery, DiscoveryMode};
use crate::endpoint::{serve, ServedEndpoint};
use crate::settings::{settings, ResourceLimits, DRAIN_GRACE_MS, NO_SLOW_START};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

/// Memory limit in the bootstrap files of instances, in MB.
const MEMORY_MB: usize = 256;

/// A cluster of one endpoint.
pub struct SingleEndpoint {
    /// Temporary directory for instances.
    pub folder: tempfile::TempDir,
    /// Model of the cluster.
    pub cluster: Arc<Cluster>,
    discovery: Discovery,
    _served: ServedEndpoint,
}

impl SingleEndpoint {
    /// Starts the cluster. The endpoint takes `work_ms` milliseconds for each statement.
    pub fn new(work_ms: i64) -> SingleEndpoint {
        let slow_start = SlowStartModel { work_ms, ..NO_SLOW_START };
        let cluster = Arc::new(Cluster::new(slow_start, DRAIN_GRACE_MS));
        cluster.lock().branches.insert(1, vec![Branch::initial()]);
        cluster.lock().endpoints = vec![EndpointModel::new("s-0".into(), 1, None, 0)];
        let served = serve(&cluster, 0);
        let entry = list_entry("s-0", &served.addr, 1, true, "SERVING", 0);
        let discovery = Discovery::start(DiscoveryMode::Up, 1, vec![entry]);
        let folder = tempfile::tempdir().expect("a folder");
        SingleEndpoint { folder, cluster, discovery, _served: served }
    }

    /// Starts an instance in its own directory, which gets a subdirectory `state`, with a limit on file descriptors.
    pub fn start(
        &self,
        program: &Path,
        folder: &Path,
        listen: SocketAddr,
        descriptors: usize,
        operator_file: &str,
    ) -> Daemon {
        std::fs::create_dir_all(folder.join("state")).expect("a writable folder");
        let limits = ResourceLimits { descriptors, memory_mb: MEMORY_MB }.to_json();
        let bootstrap = format!(r#"{{"seed":"1","limits":{limits},"settings":{}}}"#, settings());
        let options = DaemonOptions {
            program,
            bootstrap: &bootstrap,
            operator_file: Some(operator_file),
            folder,
            listen,
            discovery: self.discovery.addr,
        };
        Daemon::start(&options).expect("it starts")
    }
}
