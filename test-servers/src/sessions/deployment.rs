//! The deployment of a run: a cluster with discovery, the instances of the router, the kills of instances, and the
//! failover.

use super::client::{RunState, SessionClient};
use super::plan::{Plan, GROUPS};
use crate::cluster::{unix_ms, Branch, Cluster, EndpointIndex, EndpointModel, OldPrimary};
use crate::daemon::{Daemon, DaemonOptions};
use crate::discovery::{list_entry, Discovery, DiscoveryMode};
use crate::endpoint::{free_address, serve, ServedEndpoint};
use crate::random::{client_seed, event_rng, JitteredMs};
use crate::settings::{settings, DRAIN_GRACE_MS, NO_SLOW_START};
use crate::{lock, Build};
use routing::rng::Mwc;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Number of endpoints per group.
const GROUP_SIZE: usize = 3;
/// Content of the session key file of all instances.
const SESSION_KEYS: &str = "1 000102030405060708090a0b0c0d0e0f\n";
/// Version of the endpoint list before the failover.
const FIRST_LIST_VERSION: i64 = 2;
/// Version of the endpoint list after the failover.
const FAILOVER_LIST_VERSION: i64 = 3;
/// Pause between two kills, during which clients send requests.
const KILL_PAUSE: JitteredMs = JitteredMs { min_ms: 120, jitter_ms: 200 };

/// A cluster with discovery, and what instances of the router need to start.
pub(super) struct Deployment<'a> {
    plan: &'a Plan,
    build: &'a Build<'a>,
    folder: tempfile::TempDir,
    discovery: Discovery,
    /// Model of the cluster.
    pub cluster: Arc<Cluster>,
    served: Vec<ServedEndpoint>,
    /// State that the clients share with the thread that kills instances.
    pub shared: Arc<RunState>,
}

impl<'a> Deployment<'a> {
    /// Starts the endpoints, and a discovery service that lists them.
    pub fn new(plan: &'a Plan, build: &'a Build<'a>) -> std::io::Result<Deployment<'a>> {
        let cluster = Arc::new(Cluster::new(NO_SLOW_START, DRAIN_GRACE_MS));
        for group in GROUPS {
            add_group(&cluster, group, plan.lags_ms);
        }
        let count = cluster.lock().endpoints.len();
        let served: Vec<ServedEndpoint> = (0..count).map(|index| serve(&cluster, index)).collect();
        let folder = tempfile::tempdir()?;
        std::fs::write(folder.path().join("keys"), SESSION_KEYS)?;
        let shared = Arc::new(RunState {
            listen: (0..plan.instances).map(|_| free_address()).collect(),
            killed_ms: (0..plan.instances).map(|_| Mutex::default()).collect(),
            is_over: AtomicBool::new(false),
        });
        let discovery = Discovery::start(DiscoveryMode::Up, 1, Vec::new());
        let deployment = Deployment { plan, build, folder, discovery, cluster, served, shared };
        deployment.publish_list(FIRST_LIST_VERSION);
        Ok(deployment)
    }

    /// Publishes the endpoints with their current roles as a new version of the endpoint list.
    fn publish_list(&self, version: i64) {
        let state = self.cluster.lock();
        let entry = |index: EndpointIndex| {
            let endpoint = &state.endpoints[index];
            let address = &self.served[index].addr;
            list_entry(&endpoint.name, address, endpoint.group, endpoint.primary, "SERVING", 0)
        };
        self.discovery.set_list(version, (0..state.endpoints.len()).map(entry).collect());
    }

    /// Starts the instance with this index. Its state directory is kept when it is killed and started again.
    pub fn start_instance(&self, index: usize) -> std::io::Result<Daemon> {
        let folder = self.folder.path().join(format!("instance-{index}"));
        let state_dir = folder.join("state");
        std::fs::create_dir_all(&state_dir)?;
        let bootstrap = format!(r#"{{"seed":"{:x}{index}","settings":{}}}"#, self.plan.seed, settings());
        let keys = self.folder.path().join("keys");
        let operator_file = format!(
            "session-keys {}\nstate-dir {}\nwrite-journal system\n",
            keys.display(),
            state_dir.display()
        );
        Daemon::start(&DaemonOptions {
            program: self.build.program,
            bootstrap: &bootstrap,
            operator_file: self.build.has_operator_file.then_some(operator_file.as_str()),
            folder: &folder,
            listen: self.shared.listen[index],
            discovery: self.discovery.addr,
            environment: Vec::new(),
        })
    }

    /// Starts a thread for each client of the plan.
    pub fn start_clients(&self) -> Vec<JoinHandle<SessionClient>> {
        let start = |index: usize| {
            let seed = client_seed(self.plan.seed, index);
            let session = SessionClient::new(seed, index, self.build.has_operator_file, self.shared.clone());
            thread::spawn(move || session.run())
        };
        (0..self.plan.clients).map(start).collect()
    }

    /// Kills random instances and restarts each one immediately. A failover happens after half of the kills.
    pub fn kill_instances(&self, daemons: &mut [Option<Daemon>]) -> std::io::Result<()> {
        let mut rng = event_rng(self.plan.seed);
        for kill in 0..self.plan.kills {
            thread::sleep(Duration::from_millis(KILL_PAUSE.sample(&mut rng) as u64));
            if kill == self.plan.kills / 2 {
                self.fail_over(&mut rng);
            }
            let index = rng.below(self.plan.instances);
            lock(&self.shared.killed_ms[index]).push(unix_ms());
            daemons[index].take().map(Daemon::kill);
            daemons[index] = Some(self.start_instance(index)?);
        }
        Ok(())
    }

    /// Promotes the first replica of a random group. The group loses the part of its log after the replica's position.
    fn fail_over(&self, rng: &mut Mwc) {
        let mut state = self.cluster.lock();
        let successor = 1 + rng.below(GROUPS.len()) * GROUP_SIZE;
        let forked_ms = state.position(successor, unix_ms());
        state.promote(successor, OldPrimary::Follows, forked_ms);
        drop(state);
        thread::sleep(Duration::from_millis(self.plan.discovery_delay_ms));
        self.publish_list(FAILOVER_LIST_VERSION);
    }
}

fn add_group(cluster: &Cluster, group: i64, replica_lags_ms: [i64; 2]) {
    let mut state = cluster.lock();
    state.branches.insert(group, vec![Branch::initial()]);
    let first = state.endpoints.len();
    for (member, lag_ms) in [0].into_iter().chain(replica_lags_ms).enumerate() {
        let upstream = (member > 0).then_some(first);
        state.endpoints.push(EndpointModel::new(format!("s-{group}-{member}"), group, upstream, lag_ms));
    }
}
