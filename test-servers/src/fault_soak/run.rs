//! A run from its plan to its verdict.

use crate::discovery::{list_entry, Discovery, DiscoveryMode};
use crate::fault_soak::client::{self, ClientContext, Target, HABITS};
use crate::fault_soak::endpoint::{self, ArrivalLog};
use crate::fault_soak::instance::{Instance, InstanceEnd, Programs};
use crate::fault_soak::leavers;
use crate::fault_soak::plan::{InstancePlan, PlannedFlood, RunPlan, RUN_TIME};
use crate::fault_soak::proxy;
use crate::fault_soak::verdict::{judge, Verdict};
use crate::flood::flooder::Flood;
use crate::flood::kind::FLOOD_ID_PREFIX;
use crate::lock;
use crate::random::client_seed;
use serde_json::Value;
use std::io;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The endpoints of the only group: a primary and its replicas.
const ENDPOINTS: usize = 3;
/// The first group of endpoints to which nothing is sent.
const FIRST_OTHER_GROUP: i64 = 2;
/// The clients of each habit at each instance.
const CLIENTS_PER_HABIT: usize = 2;
/// The clients that leave many requests behind, at each instance that has such clients.
const LEAVERS: usize = 4;
/// The clients of a crowd.
const CROWD: usize = 60;
/// How long before the signal a crowd arrives.
const CROWD_LEAD: Duration = Duration::from_millis(50);
/// How long an instance may take to listen.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// The version of the endpoint list.
const LIST_VERSION: i64 = 4;

/// Runs a plan in the existing directory `folder`.
///
/// # Errors
/// A file cannot be written, or an instance cannot be started.
pub fn run(programs: Programs, plan: &RunPlan, folder: &Path) -> io::Result<Verdict> {
    let log = Arc::new(ArrivalLog::default());
    let endpoints = start_endpoints(plan, &log);
    let discovery = Discovery::start(DiscoveryMode::Up, LIST_VERSION, endpoints.clone());
    let mut instances = Vec::new();
    for (index, instance_plan) in plan.instances.iter().enumerate() {
        let folder = folder.join(index.to_string());
        std::fs::create_dir_all(&folder)?;
        let seed = client_seed(plan.seed, index);
        instances.push(Instance::start(
            programs,
            &folder,
            instance_plan,
            seed,
            plan.longest_deadline_ms,
            discovery.addr,
            &endpoints,
        )?);
    }
    instances.iter().for_each(wait_until_listening);
    let started = Instant::now();
    let clients = RunClients {
        served: client_context(plan, plan.seed, started),
        leaving: client_context(plan, !plan.seed, started),
    };
    let ends = run_clients_and_signals(&clients, plan, instances, started);
    let records = std::mem::take(&mut *lock(&clients.served.records));
    let left_behind = std::mem::take(&mut *lock(&clients.leaving.records));
    let mut verdict = judge(&records, &log, &ends, started);
    verdict.counts.flood_executed = log.executed_with_prefix(FLOOD_ID_PREFIX);
    verdict.add_left_behind(&left_behind, &log, &ends, started);
    Ok(verdict)
}

/// The clients of a run, in two groups whose requests are counted separately.
struct RunClients {
    /// Clients that wait for most of their answers.
    served: ClientContext,
    /// Clients that leave many requests behind.
    leaving: ClientContext,
}

/// The context of clients whose ids begin with `id_seed`.
fn client_context(plan: &RunPlan, id_seed: u64, started: Instant) -> ClientContext {
    ClientContext {
        records: Mutex::default(),
        longest_deadline_ms: plan.longest_deadline_ms,
        seed: id_seed,
        next_id: AtomicU64::new(0),
        until: started + last_kill(plan).max(RUN_TIME),
    }
}

/// When the last instance is killed, since the start of the run.
fn last_kill(plan: &RunPlan) -> Duration {
    plan.instances.iter().map(|instance| instance.kill_at).max().unwrap_or_default()
}

/// Starts the endpoints and the proxies before them; returns their entries in the endpoint list.
fn start_endpoints(plan: &RunPlan, log: &Arc<ArrivalLog>) -> Vec<Value> {
    let entry = |index: usize| {
        let is_primary = index == 0;
        let seed = client_seed(plan.seed, index);
        let endpoint = endpoint::start(is_primary, plan, seed, log.clone());
        let addr = if plan.has_proxies { proxy::start(endpoint, seed, log.clone()) } else { endpoint };
        list_entry(&format!("e{index}"), &addr, 1, is_primary, "SERVING", 0)
    };
    let mut entries: Vec<Value> = (0..ENDPOINTS).map(entry).collect();
    if plan.other_endpoints > 0 {
        let addr = endpoint::start(false, plan, client_seed(plan.seed, ENDPOINTS), log.clone());
        entries.extend((0..plan.other_endpoints).map(|index| {
            let group = FIRST_OTHER_GROUP + (index / ENDPOINTS) as i64;
            let is_primary = index % ENDPOINTS == 0;
            list_entry(&format!("s-{index:08x}"), &addr, group, is_primary, "SERVING", 0)
        }));
    }
    entries
}

fn wait_until_listening(instance: &Instance) {
    let until = Instant::now() + START_TIMEOUT;
    while TcpStream::connect(instance.listen).is_err() && Instant::now() < until {
        thread::sleep(Duration::from_millis(5));
    }
}

/// Runs all clients, and ends all instances as planned.
fn run_clients_and_signals(
    clients: &RunClients,
    plan: &RunPlan,
    instances: Vec<Instance>,
    started: Instant,
) -> Vec<InstanceEnd> {
    let (context, leaving) = (&clients.served, &clients.leaving);
    thread::scope(|scope| {
        let mut ends = Vec::new();
        for (index, instance) in instances.into_iter().enumerate() {
            let target = Target { instance: index, addr: instance.listen };
            for number in 0..HABITS.len() * CLIENTS_PER_HABIT {
                let seed = client_seed(plan.seed, index * HABITS.len() * CLIENTS_PER_HABIT + number);
                scope.spawn(move || client::run(context, target, HABITS[number % HABITS.len()], seed));
            }
            let instance_plan = plan.instances[index].clone();
            for flood in instance_plan.floods.clone() {
                scope.spawn(move || run_flood(flood, target, started));
            }
            if instance_plan.has_leavers {
                for number in 0..LEAVERS {
                    scope.spawn(move || leavers::run(leaving, target, client_seed(plan.seed, number)));
                }
            }
            scope.spawn(move || run_crowd(context, &instance_plan, target, started));
            ends.push(scope.spawn(move || instance.run_signals(started)));
        }
        ends.into_iter().map(|end| end.join().expect("a signal thread panicked")).collect()
    })
}

/// Lets a crowd of clients arrive shortly before the instance is told to end.
fn run_crowd(context: &ClientContext, plan: &InstancePlan, target: Target, started: Instant) {
    if !plan.has_crowd {
        return;
    }
    let arrives_at = started + plan.term_at - CROWD_LEAD;
    thread::sleep(arrives_at.saturating_duration_since(Instant::now()));
    thread::scope(|scope| {
        for member in 0..CROWD {
            scope.spawn(move || client::run_once(context, target, client_seed(context.seed, member)));
        }
    });
}

/// Runs a flood against an instance.
fn run_flood(planned: PlannedFlood, target: Target, started: Instant) {
    thread::sleep((started + planned.from).saturating_duration_since(Instant::now()));
    let _flood = Flood::start(planned.kind, planned.clients, target.addr);
    thread::sleep((started + planned.until).saturating_duration_since(Instant::now()));
}
