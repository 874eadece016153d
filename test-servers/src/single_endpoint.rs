//! The smallest cluster: one group of one endpoint, its primary, and a discovery service that lists the endpoint.

use crate::cluster::{Branch, Cluster, EndpointModel, SlowStartModel};
use crate::daemon::{Daemon, DaemonOptions};
use crate::discovery::{list_entry, Discovery, DiscoveryMode};
use crate::endpoint::{serve, ServedEndpoint};
use crate::settings::{settings, ResourceLimits, DRAIN_GRACE_MS, NO_SLOW_START};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

/// Memory limit of each instance in MB.
const MEMORY_MB: usize = 256;

/// A cluster of one endpoint, and a temporary directory for its instances.
pub struct SingleEndpoint {
    /// Temporary directory for the files of instances.
    pub folder: tempfile::TempDir,
    /// Model of the cluster.
    pub cluster: Arc<Cluster>,
    discovery: Discovery,
    /// Stops the endpoint when it is dropped.
    _served: ServedEndpoint,
}

impl SingleEndpoint {
    /// Starts the endpoint and the discovery service. Each statement has a service time of `work_ms` milliseconds.
    pub fn new(work_ms: i64) -> SingleEndpoint {
        let slow_start = SlowStartModel { work_ms, ..NO_SLOW_START };
        let cluster = Arc::new(Cluster::new(slow_start, DRAIN_GRACE_MS));
        cluster.lock().branches.insert(1, vec![Branch::initial()]);
        cluster.lock().endpoints = vec![EndpointModel::new("s-0".into(), 1, None, 0)];
        let served = serve(&cluster, 0);
        let entry = list_entry("s-0", &served.addr, 1, true, "SERVING", 0);
        let discovery = Discovery::start(DiscoveryMode::Up, 1, vec![entry]);
        let folder = tempfile::tempdir().expect("the temporary directory could not be created");
        SingleEndpoint { folder, cluster, discovery, _served: served }
    }

    /// Starts an instance that listens on `listen` and may open `descriptors` file descriptors. Its configuration
    /// files are written to `folder`; a subdirectory `state` is created there if it does not exist. `operator_file` is
    /// the content of the operators' file.
    pub fn start(
        &self,
        program: &Path,
        folder: &Path,
        listen: SocketAddr,
        descriptors: usize,
        operator_file: &str,
    ) -> Daemon {
        self.start_with(program, folder, listen, descriptors, operator_file, Vec::new())
    }

    /// As [`SingleEndpoint::start`], with further environment variables.
    pub fn start_with(
        &self,
        program: &Path,
        folder: &Path,
        listen: SocketAddr,
        descriptors: usize,
        operator_file: &str,
        environment: Vec<(&'static str, String)>,
    ) -> Daemon {
        std::fs::create_dir_all(folder.join("state")).expect("the state directory could not be created");
        let limits = ResourceLimits { descriptors, memory_mb: MEMORY_MB }.to_json();
        let bootstrap = format!(r#"{{"seed":"1","limits":{limits},"settings":{}}}"#, settings());
        let options = DaemonOptions {
            program,
            bootstrap: &bootstrap,
            operator_file: Some(operator_file),
            folder,
            listen,
            discovery: self.discovery.addr,
            environment,
        };
        Daemon::start(&options).expect("the daemon could not be started")
    }
}
