//! A run: instances start while discovery is down, clients send requests, discovery returns, and the history is
//! checked.

use super::client_loop::{FirstServed, RunState};
use super::plan::{DiscoveryReturn, Plan};
use super::scenario::Scenario;
use crate::client::{Answer, Kind, RequestRecord};
use crate::cluster::unix_ms;
use crate::daemon::{Daemon, DaemonOptions};
use crate::discovery::{Discovery, DiscoveryMode};
use crate::endpoint::free_address;
use crate::random::client_seed;
use crate::settings::{settings_for, ResourceLimits};
use crate::{lock, Build};
use endpoint_cache::{CacheDirectory, CachedEndpointList};
use history_checker::{check, Verdict};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Version of the cached list.
pub(super) const LIST_VERSION: i64 = 1_000;
/// Limits of each instance: small, since many runs share the machine.
pub(super) const LIMITS: ResourceLimits = ResourceLimits { descriptors: 512, memory_mb: 64 };
/// Mask of the bits of a plan's seed that are used in the seed of an instance, so that the instance's seed has 64 bits
/// at most.
const BOOTSTRAP_SEED_MASK: u64 = 0xffff_ffff;
/// Smallest number of instances in the settings, even if only one is started.
const MIN_CONFIGURED_INSTANCES: usize = 2;
/// Increase of the list's version while discovery is down.
const VERSIONS_WHILE_DOWN: i64 = 5;
/// Version of the list after a restore of discovery from a backup: lower than [`LIST_VERSION`].
const RESTORED_VERSION: i64 = 3;
/// How long discovery sends empty or truncated lists after its return.
const BROKEN_RETURN: Duration = Duration::from_millis(400);
/// How long a flapping discovery is up, and then down.
const FLAPPING_PERIOD: Duration = Duration::from_millis(1_000);

/// Durations of the phases of a run.
#[derive(Clone, Copy, Debug)]
pub struct Phases {
    /// How long discovery is down after the start.
    pub discovery_down: Duration,
    /// How long the run continues after discovery has returned.
    pub discovery_back: Duration,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Verdict on the history of the run.
    pub verdict: Verdict,
    /// When the first read and the first write of all clients were served.
    pub first_served: FirstServed,
    /// Number of groups with a reachable primary in which writes were served after discovery returned.
    pub groups_writing: usize,
    /// Number of groups with a reachable primary.
    pub groups_with_primary: usize,
    /// Whether a write was served while discovery was down.
    pub wrote_without_discovery: bool,
    /// Number of rejected requests.
    pub rejected: usize,
    /// Logs of all instances, concatenated.
    pub log: String,
}

/// An instance and the address that it listens on.
struct Instance {
    daemon: Daemon,
    listen: SocketAddr,
}

/// Runs a plan with a build. Each call creates its own cluster, so that builds can be compared.
///
/// # Errors
/// A process cannot be started, or a file cannot be written.
pub fn run_plan(plan: &Plan, build: &Build, phases: Phases) -> std::io::Result<Outcome> {
    let folder = tempfile::tempdir()?;
    let scenario = Scenario::new(plan);
    let discovery = Discovery::start(DiscoveryMode::Down, LIST_VERSION, scenario.lists.current.clone());
    let started = Instant::now();
    let instances: Vec<Instance> = (0..plan.instances)
        .map(|index| start_instance(index, plan, build, &scenario, &discovery, folder.path()))
        .collect::<Result<_, _>>()?;
    let run = Arc::new(RunState {
        started,
        groups: scenario.groups.clone(),
        is_over: AtomicBool::new(false),
        records: Mutex::default(),
    });
    let clients = start_clients(plan, &instances, &run);
    thread::sleep(phases.discovery_down);
    restore_discovery(plan, &discovery, &scenario);
    let restored_ms = unix_ms();
    thread::sleep(phases.discovery_back);
    run.is_over.store(true, Ordering::Release);
    let first: Vec<FirstServed> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let log = instances.into_iter().map(|instance| instance.daemon.kill()).collect();
    let records = std::mem::take(&mut *lock(&run.records));
    let mut outcome = evaluate(&scenario, &records, restored_ms);
    outcome.first_served = FirstServed {
        read_ms: earliest(first.iter().filter_map(|first| first.read_ms)),
        write_ms: earliest(first.iter().filter_map(|first| first.write_ms)),
    };
    let down_ms = phases.discovery_down.as_secs_f64() * 1e3;
    outcome.wrote_without_discovery = outcome.first_served.write_ms.is_some_and(|ms| ms < down_ms);
    outcome.log = log;
    drop(scenario.served);
    Ok(outcome)
}

/// Starts an instance whose bootstrap file contains the outdated list, and which has that list cached if the build
/// supports it.
fn start_instance(
    index: usize,
    plan: &Plan,
    build: &Build,
    scenario: &Scenario,
    discovery: &Discovery,
    folder: &Path,
) -> std::io::Result<Instance> {
    let list = serde_json::json!({ "seq": LIST_VERSION, "whole": true, "hosts": scenario.lists.outdated });
    let bootstrap = format!(
        r#"{{"seed":"{:x}{index}","limits":{},"known":{list},"settings":{}}}"#,
        plan.seed & BOOTSTRAP_SEED_MASK,
        LIMITS.to_json(),
        settings_for(plan.instances.max(MIN_CONFIGURED_INSTANCES))
    );
    let folder = folder.join(format!("instance-{index}"));
    let state_dir = folder.join("state");
    std::fs::create_dir_all(&state_dir)?;
    let operator_file = format!("state-dir {}\nstore-identity postgres\n", state_dir.display());
    if build.has_operator_file {
        write_cache(&state_dir, plan, scenario)?;
    }
    let listen = free_address();
    let daemon = Daemon::start(&DaemonOptions {
        program: build.program,
        bootstrap: &bootstrap,
        operator_file: build.has_operator_file.then_some(operator_file.as_str()),
        folder: &folder,
        listen,
        discovery: discovery.addr,
        environment: Vec::new(),
    })?;
    Ok(Instance { daemon, listen })
}

/// Writes the cached list of an instance.
fn write_cache(state_dir: &Path, plan: &Plan, scenario: &Scenario) -> std::io::Result<()> {
    let saved_ms = unix_ms() - plan.age_ms();
    let mut list = CachedEndpointList {
        generation: 0,
        version: LIST_VERSION,
        confirmed_ms: saved_ms,
        saved_ms,
        endpoints: scenario.lists.cached.clone(),
    };
    let (mut directory, _) = CacheDirectory::open(state_dir).map_err(std::io::Error::other)?;
    directory.save(&mut list).map_err(std::io::Error::other)?;
    Ok(())
}

/// Starts a thread for each client, distributed over the instances.
fn start_clients(plan: &Plan, instances: &[Instance], run: &Arc<RunState>) -> Vec<JoinHandle<FirstServed>> {
    let start = |index: usize| {
        let run = run.clone();
        let seed = client_seed(plan.seed, index);
        let listen = instances[index % instances.len()].listen;
        thread::spawn(move || run.run_client(&listen, index, seed))
    };
    (0..plan.clients).map(start).collect()
}

/// Ends the outage of discovery as described by the plan.
fn restore_discovery(plan: &Plan, discovery: &Discovery, scenario: &Scenario) {
    let fail_first = |mode: DiscoveryMode| {
        discovery.set_mode(mode);
        thread::sleep(BROKEN_RETURN);
    };
    discovery.set_list(LIST_VERSION + VERSIONS_WHILE_DOWN, scenario.lists.current.clone());
    match plan.discovery_return {
        DiscoveryReturn::AtOnce => {}
        DiscoveryReturn::LowerVersion => discovery.set_list(RESTORED_VERSION, scenario.lists.current.clone()),
        DiscoveryReturn::EmptyFirst => fail_first(DiscoveryMode::Empty),
        DiscoveryReturn::TruncatedLineFirst => fail_first(DiscoveryMode::TruncatedLine),
        DiscoveryReturn::Flapping => return discovery.set_mode(DiscoveryMode::Flapping(FLAPPING_PERIOD)),
    }
    discovery.set_mode(DiscoveryMode::Up);
}

/// Checks the history of a run. Counts rejections, and the groups in which a write that was sent after the return of
/// discovery, at `restored_ms`, was served.
fn evaluate(scenario: &Scenario, records: &[RequestRecord], restored_ms: i64) -> Outcome {
    let groups = scenario.groups_with_primary();
    let is_served_write = |record: &&RequestRecord| {
        record.kind == Kind::Write
            && matches!(record.answer, Answer::Value(_))
            && record.sent_ms > restored_ms
    };
    let writes = |group: &&i64| {
        let mut served = records.iter().filter(is_served_write);
        served.any(|record| record.group == **group)
    };
    let is_rejected = |record: &&RequestRecord| matches!(record.answer, Answer::Rejected(_));
    Outcome {
        verdict: check(&scenario.cluster.history(records.to_vec(), Vec::new(), Vec::new())),
        groups_writing: groups.iter().filter(writes).count(),
        groups_with_primary: groups.len(),
        rejected: records.iter().filter(is_rejected).count(),
        ..Outcome::default()
    }
}

fn earliest(times_ms: impl Iterator<Item = f64>) -> Option<f64> {
    times_ms.min_by(f64::total_cmp)
}
