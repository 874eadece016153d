//! Randomized runs of sessions and writes during kills of instances, moves of clients between instances, replication
//! lag, and a failover that loses the end of a log. The resulting history is checked.

use crate::client::{Answer, Client, Kind, RequestRecord};
use crate::cluster::{unix_ms, Branch, Cluster, EndpointIndex, EndpointModel, OldPrimary};
use crate::daemon::{Daemon, DaemonOptions};
use crate::discovery::{list_entry, Discovery, DiscoveryMode};
use crate::endpoint::{free_address, serve, ServedEndpoint};
use crate::settings::{settings, DRAIN_GRACE_MS, NO_SLOW_START};
use crate::{lock, Build};
use history_checker::{check, FateAnswer, Verdict, SESSION_LOST};
use routing::rng::Mwc;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

const GROUPS: [i64; 2] = [1, 2];
/// Number of endpoints per group.
const GROUP_SIZE: usize = 3;
/// Content of the session key file of all instances.
const SESSION_KEYS: &str = "1 000102030405060708090a0b0c0d0e0f\n";
const CLIENTS: usize = 6;
/// Multiplier that makes the random numbers of consecutive seeds independent (64-bit golden ratio).
const SEED_MIX: u64 = 0x9e37_79b9_7f4a_7c15;
/// Makes the random numbers of the kills independent of those of the plan.
const SEED_FOR_KILLS: u64 = 0x5eed;
/// Multiplier of a plan's seed from which the seeds of its clients are numbered.
const CLIENT_SEED_FACTOR: u64 = 31;
/// Versions of the endpoint list before and after the failover.
const FIRST_LIST_VERSION: i64 = 2;
const FAILOVER_LIST_VERSION: i64 = 3;
/// Pause between two kills: a fixed part, and the exclusive bound of a random one.
const MIN_KILL_PAUSE_MS: u64 = 120;
const KILL_PAUSE_JITTER_MS: usize = 200;
/// On average a client moves to another instance once in this many requests.
const MOVE_EVERY: usize = 4;
/// Pause of a client between two requests: a fixed part, and the exclusive bound of a random one.
const MIN_REQUEST_PAUSE_MS: u64 = 2;
const REQUEST_PAUSE_JITTER_MS: usize = 10;
/// Kinds of requests in the proportions in which they are drawn.
const KINDS: [Kind; 5] = [Kind::Read, Kind::Read, Kind::Read, Kind::Write, Kind::KeyedWrite];
const READ_TIMEOUT_MS: i64 = 400;
const WRITE_TIMEOUT_MS: i64 = 700;
/// How long clients continue after the last kill.
const AFTER_LAST_KILL: Duration = Duration::from_millis(600);
const RECONNECT_DELAY: Duration = Duration::from_millis(3);
/// Maximum number of attempts of a client to reconnect to a killed instance.
const MAX_RECONNECTS: usize = 400;
/// Delays after which a client resolves a write in doubt. The longest exceeds the deduplication window.
const QUERY_DELAYS_MS: [u64; 4] = [0, 0, 40, 1_700];

/// Plan of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// Number of instances.
    pub instances: usize,
    /// Replication lag of the two replicas of each group.
    pub lags_ms: [i64; 2],
    /// Number of kills of instances.
    pub kills: usize,
    /// Number of clients.
    pub clients: usize,
    /// Time from the failover until discovery lists the new primary.
    pub discovery_delay_ms: u64,
}

impl Plan {
    /// Draws a plan from a seed.
    pub fn draw(seed: u64, kills: usize) -> Plan {
        let mut rng = Mwc::new(seed.wrapping_mul(SEED_MIX));
        let lags_ms = [10 + rng.below(60) as i64, 150 + rng.below(550) as i64];
        let instances = 2 + rng.below(2);
        let discovery_delay_ms = rng.below(300) as u64;
        Plan { seed, instances, lags_ms, kills, clients: CLIENTS, discovery_delay_ms }
    }
}

/// Result of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Verdict on the history of the run.
    pub verdict: Verdict,
    /// Number of kills of instances.
    pub kills: usize,
    /// Writes that were aborted or whose answer was lost.
    pub writes_in_doubt: usize,
    /// Writes in doubt whose fate query was answered with a fate.
    pub fates_reported: usize,
    /// Writes in doubt that were served when they were sent again.
    pub served_on_retry: usize,
    /// Notifications of sessions that a failover had lost data that they had observed.
    pub losses_reported: usize,
}

/// State shared by the clients and the thread that kills instances.
struct Shared {
    /// Addresses of the instances.
    listen: Vec<SocketAddr>,
    /// Times of the kills of each instance.
    killed_ms: Vec<Mutex<Vec<i64>>>,
    is_over: AtomicBool,
}

/// A cluster with discovery, and what instances of the router need to start on it.
struct Deployment<'a> {
    plan: &'a Plan,
    build: &'a Build<'a>,
    folder: tempfile::TempDir,
    discovery: Discovery,
    cluster: Arc<Cluster>,
    served: Vec<ServedEndpoint>,
    shared: Arc<Shared>,
}

impl<'a> Deployment<'a> {
    fn new(plan: &'a Plan, build: &'a Build<'a>) -> std::io::Result<Deployment<'a>> {
        let cluster = Arc::new(Cluster::new(NO_SLOW_START, DRAIN_GRACE_MS));
        for group in GROUPS {
            add_group(&cluster, group, plan.lags_ms);
        }
        let count = cluster.lock().endpoints.len();
        let served: Vec<ServedEndpoint> = (0..count).map(|index| serve(&cluster, index)).collect();
        let folder = tempfile::tempdir()?;
        std::fs::write(folder.path().join("keys"), SESSION_KEYS)?;
        let shared = Arc::new(Shared {
            listen: (0..plan.instances).map(|_| free_address()).collect(),
            killed_ms: (0..plan.instances).map(|_| Mutex::default()).collect(),
            is_over: AtomicBool::new(false),
        });
        let discovery = Discovery::start(DiscoveryMode::Up, 1, Vec::new());
        let deployment = Deployment { plan, build, folder, discovery, cluster, served, shared };
        deployment.publish_list(FIRST_LIST_VERSION);
        Ok(deployment)
    }

    /// Publishes the current endpoint list in discovery.
    fn publish_list(&self, version: i64) {
        let state = self.cluster.lock();
        let entry = |index: EndpointIndex| {
            let endpoint = &state.endpoints[index];
            let address = &self.served[index].addr;
            list_entry(&endpoint.name, address, endpoint.group, endpoint.primary, "SERVING", 0)
        };
        self.discovery.set_list(version, (0..state.endpoints.len()).map(entry).collect());
    }

    fn start_instance(&self, index: usize) -> std::io::Result<Daemon> {
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
        })
    }

    fn start_clients(&self) -> Vec<JoinHandle<Session>> {
        let start = |index: usize| {
            let seed = self.plan.seed.wrapping_mul(CLIENT_SEED_FACTOR).wrapping_add(index as u64);
            let session = Session::new(seed, index, self.build.has_operator_file, self.shared.clone());
            thread::spawn(move || session.run())
        };
        (0..self.plan.clients).map(start).collect()
    }

    /// Kills instances at random and restarts each one at once, with a failover halfway.
    fn kill_instances(&self, daemons: &mut [Option<Daemon>]) -> std::io::Result<()> {
        let mut rng = Mwc::new(self.plan.seed ^ SEED_FOR_KILLS);
        for kill in 0..self.plan.kills {
            let pause_ms = MIN_KILL_PAUSE_MS + rng.below(KILL_PAUSE_JITTER_MS) as u64;
            thread::sleep(Duration::from_millis(pause_ms));
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

    /// Promotes the first replica of a group, which loses the log beyond the replica's position.
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

/// Runs a plan with a build of the daemon.
///
/// # Errors
/// A process cannot be started, a file cannot be written, or a client panicked.
pub fn run_plan(plan: &Plan, build: &Build) -> std::io::Result<Outcome> {
    let deployment = Deployment::new(plan, build)?;
    let mut daemons: Vec<Option<Daemon>> = (0..plan.instances)
        .map(|index| deployment.start_instance(index).map(Some))
        .collect::<Result<_, _>>()?;
    let clients = deployment.start_clients();
    deployment.kill_instances(&mut daemons)?;
    thread::sleep(AFTER_LAST_KILL);
    deployment.shared.is_over.store(true, Ordering::Release);
    let mut outcome = Outcome { kills: plan.kills, ..Outcome::default() };
    let (mut sessions, mut fates) = (Vec::new(), Vec::new());
    for client in clients {
        let session = client.join().map_err(|_| std::io::Error::other("a client panicked"))?;
        outcome.add(&session);
        sessions.push(session.records);
        fates.extend(session.fates);
    }
    drop(daemons);
    outcome.verdict = check(&deployment.cluster.history(Vec::new(), sessions, fates));
    Ok(outcome)
}

impl Outcome {
    fn add(&mut self, session: &Session) {
        let is_loss = |record: &&RequestRecord| record.answer == Answer::Error(SESSION_LOST.into());
        let is_reported = |fate: &&FateAnswer| matches!(fate.answer, Answer::Value(_));
        self.writes_in_doubt += session.writes_in_doubt;
        self.served_on_retry += session.served_on_retry;
        self.losses_reported += session.records.iter().filter(is_loss).count();
        self.fates_reported += session.fates.iter().filter(is_reported).count();
    }
}

/// A client with one session, which it carries from instance to instance.
struct Session {
    shared: Arc<Shared>,
    has_token: bool,
    index: usize,
    rng: Mwc,
    serial: usize,
    token: Option<String>,
    records: Vec<RequestRecord>,
    fates: Vec<FateAnswer>,
    writes_in_doubt: usize,
    served_on_retry: usize,
}

/// A connection to an instance, and when it was opened.
struct Connection {
    client: Client,
    instance: usize,
    opened_ms: i64,
}

/// A write in doubt.
struct Write<'a> {
    id: &'a str,
    group: i64,
    kind: Kind,
}

impl Session {
    fn new(seed: u64, index: usize, has_token: bool, shared: Arc<Shared>) -> Session {
        Session {
            shared,
            has_token,
            index,
            rng: Mwc::new(seed),
            serial: 0,
            token: None,
            records: Vec::new(),
            fates: Vec::new(),
            writes_in_doubt: 0,
            served_on_retry: 0,
        }
    }

    /// Sends requests until the run is over.
    fn run(mut self) -> Session {
        let mut connection = None;
        while !self.shared.is_over.load(Ordering::Acquire) {
            if self.rng.below(MOVE_EVERY) == 0 {
                connection = None;
            }
            let instance = self.rng.below(self.shared.listen.len());
            let Some(current) = connection.take().or_else(|| self.open(instance)) else { continue };
            connection = self.send_next(current);
            let pause_ms = MIN_REQUEST_PAUSE_MS + self.rng.below(REQUEST_PAUSE_JITTER_MS) as u64;
            thread::sleep(Duration::from_millis(pause_ms));
        }
        self
    }

    /// Sends one request. Returns the connection unless it has ended.
    fn send_next(&mut self, mut connection: Connection) -> Option<Connection> {
        self.serial += 1;
        let id = format!("{:x}.{:x}", self.index, self.serial);
        let kind = KINDS[self.rng.below(KINDS.len())];
        let group = GROUPS[self.rng.below(GROUPS.len())];
        let answer = self.request(&mut connection, &id, group, kind);
        let is_in_doubt = matches!(answer, Answer::Missing | Answer::Aborted) && kind != Kind::Read;
        if is_in_doubt {
            self.writes_in_doubt += 1;
            let Connection { client, instance, .. } = connection;
            let origin = client.origin.clone();
            drop(client);
            self.resolve_doubt(instance, &Write { id: &id, group, kind }, origin);
            return None;
        }
        (answer != Answer::Missing).then_some(connection)
    }

    fn open(&mut self, instance: usize) -> Option<Connection> {
        let opened_ms = unix_ms();
        let session = self.has_token.then(|| self.token.as_deref().unwrap_or("new"));
        let client = Client::with_session(&self.shared.listen[instance], "backend", session).ok();
        let client = client.filter(|client| client.rejected_with.is_none());
        if client.is_none() {
            thread::sleep(RECONNECT_DELAY);
        }
        client.map(|client| Connection { client, instance, opened_ms })
    }

    fn request(&mut self, connection: &mut Connection, id: &str, group: i64, kind: Kind) -> Answer {
        let timeout_ms = if kind == Kind::Read { READ_TIMEOUT_MS } else { WRITE_TIMEOUT_MS };
        let mut record = connection.client.request(id, group, kind, timeout_ms);
        let killed_ms = lock(&self.shared.killed_ms[connection.instance]);
        record.cut_off = killed_ms.iter().any(|&at_ms| at_ms >= connection.opened_ms);
        drop(killed_ms);
        self.token = connection.client.token.clone().or(self.token.take());
        let answer = record.answer.clone();
        self.records.push(record);
        answer
    }

    /// Resolves a write in doubt at the instance that it was sent to: sends it again if it has an idempotency key, in
    /// some cases after the deduplication window, and queries its fate.
    fn resolve_doubt(&mut self, instance: usize, write: &Write, origin: Option<String>) {
        let delay_ms = QUERY_DELAYS_MS[self.rng.below(QUERY_DELAYS_MS.len())];
        thread::sleep(Duration::from_millis(delay_ms));
        let mut tries = 0..MAX_RECONNECTS;
        let Some(mut connection) = tries.find_map(|_| self.open(instance)) else { return };
        if write.kind == Kind::KeyedWrite && self.rng.below(3) > 0 {
            let answer = self.request(&mut connection, write.id, write.group, write.kind);
            self.served_on_retry += usize::from(matches!(answer, Answer::Value(_)));
        }
        if let Some(origin) = origin {
            let answer = connection.client.fate(write.id, &origin);
            self.fates.push(FateAnswer { id: write.id.to_string(), answered_ms: unix_ms(), answer });
        }
    }
}
