//! Model of a cluster: its groups, the branches of their logs, the primaries, and the executions on each endpoint.
//!
//! Positions are Unix milliseconds. The position of a primary is the current time. The position of a replica is that
//! of its upstream minus the lag, or where its replication has stopped. A failover forks a new branch: what an
//! isolated old primary writes afterwards is on an abandoned branch.

use crate::lock;
use history_checker::{includes, Execution, FateAnswer, History, LogPoint, RequestRecord, Rule, Violation};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Bound on staleness in the settings of the tested instances.
pub const BOUND_MS: i64 = 800;
const MICROS_PER_MILLI: i64 = 1_000;
/// Tolerance added to a client's timeout for the time until a busy machine schedules the client's thread.
const SCHEDULING_SLACK_MS: i64 = 500;
/// Tolerance added to the bound on staleness for the time that a request takes from the client to the router.
const NETWORK_SLACK_MS: i64 = 60;

/// The wall clock in Unix milliseconds.
pub fn unix_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as i64
}

/// Index of an endpoint in its cluster.
pub type EndpointIndex = usize;

/// Reachability of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// The endpoint answers.
    Up,
    /// Connections are accepted but never answered.
    Silent,
    /// Connections are refused.
    Refused,
}

/// An endpoint's replication state and its position on its group's log.
#[derive(Clone, Debug)]
pub struct ReplicationModel {
    /// PostgreSQL timeline of its log.
    pub timeline: u32,
    /// Index of its branch of the group's log.
    pub branch: usize,
    /// The endpoint that it replicates from.
    pub upstream: Option<EndpointIndex>,
    /// Replication lag behind the upstream.
    pub lag_ms: i64,
    /// Position at which replication has stopped, if it has.
    pub stopped_at_ms: Option<i64>,
}

/// The process of an endpoint.
#[derive(Clone, Debug)]
pub struct ProcessModel {
    /// Reachability for instances.
    pub reachability: Reachability,
    /// When its drain began, if it is draining.
    pub draining_since_ms: Option<i64>,
    /// When it was started.
    pub started_ms: i64,
    /// It reports its identity when queried.
    pub reports_identity: bool,
}

/// Model of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointModel {
    /// Name in the endpoint list.
    pub name: String,
    /// Number of its group.
    pub group: i64,
    /// It executes writes.
    pub primary: bool,
    /// Replication state.
    pub replication: ReplicationModel,
    /// State of its process.
    pub process: ProcessModel,
}

impl EndpointModel {
    /// Creates a healthy endpoint that started long ago: a replica of `upstream`, or a primary if there is none.
    pub fn new(name: String, group: i64, upstream: Option<EndpointIndex>, lag_ms: i64) -> EndpointModel {
        EndpointModel {
            name,
            group,
            primary: upstream.is_none(),
            replication: ReplicationModel { timeline: 1, branch: 0, upstream, lag_ms, stopped_at_ms: None },
            process: ProcessModel {
                reachability: Reachability::Up,
                draining_since_ms: None,
                started_ms: 0,
                reports_identity: true,
            },
        }
    }
}

/// One branch of a group's log.
#[derive(Clone, Copy, Debug)]
pub struct Branch {
    /// Position at which it forked from the previous branch. Both branches share the log before it.
    pub forked_ms: i64,
    /// It is the current branch of the group.
    pub is_live: bool,
}

impl Branch {
    /// The first branch of a log.
    pub fn initial() -> Branch {
        Branch { forked_ms: 0, is_live: true }
    }
}

/// Behaviour of the old primary after a failover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OldPrimary {
    /// It is isolated from the group and continues to execute writes.
    Isolated,
    /// It becomes a replica of the new primary.
    Follows,
}

/// Slow start of endpoints and the load that overloads them, as in the instances' settings.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartModel {
    /// Fraction of its capacity that an endpoint has right after its start.
    pub initial_fraction: f64,
    /// Time from the start until it has its full capacity.
    pub duration_ms: i64,
    /// An endpoint is overloaded by work of more than this multiple of its current capacity within the window.
    pub overload_multiple: f64,
    /// Length of the window over which work is counted.
    pub window_ms: i64,
    /// Service time of one statement at full capacity.
    pub work_ms: i64,
}

/// The state of a cluster.
#[derive(Default)]
pub struct ClusterState {
    /// The endpoints of the cluster.
    pub endpoints: Vec<EndpointModel>,
    /// The branches of each group's log.
    pub branches: BTreeMap<i64, Vec<Branch>>,
    /// Executions of writes by the id of their request.
    pub executions: HashMap<String, Vec<Execution>>,
    /// Arrival times of statements at each endpoint within the current window.
    arrivals: HashMap<EndpointIndex, Vec<i64>>,
    /// When the single core of each endpoint will have finished all accepted statements, in Unix microseconds.
    busy_until_us: HashMap<EndpointIndex, i64>,
    /// Violations detected by endpoints.
    violations: Vec<Violation>,
}

impl ClusterState {
    /// Position of an endpoint on its branch.
    pub fn position(&self, index: EndpointIndex, now_ms: i64) -> i64 {
        let endpoint = &self.endpoints[index];
        match (endpoint.primary, endpoint.replication.stopped_at_ms, endpoint.replication.upstream) {
            (true, _, _) => now_ms,
            (false, Some(stopped_at_ms), _) => stopped_at_ms,
            (false, None, Some(upstream)) if upstream != index => {
                self.position(upstream, now_ms) - endpoint.replication.lag_ms
            }
            _ => now_ms - endpoint.replication.lag_ms,
        }
    }

    /// Branch and position of an endpoint on its group's log.
    pub fn log_point(&self, index: EndpointIndex, now_ms: i64) -> LogPoint {
        LogPoint { branch: self.endpoints[index].replication.branch, at_ms: self.position(index, now_ms) }
    }

    /// Positions at which the branches of a group's log forked.
    pub fn forks(&self, group: i64) -> Vec<i64> {
        self.branches.get(&group).into_iter().flatten().map(|branch| branch.forked_ms).collect()
    }

    /// The earlier execution of a write for which an endpoint at log point `at` drops duplicates, given a
    /// deduplication window.
    pub fn duplicate_of(&self, id: &str, at: LogPoint, window_ms: i64) -> Option<LogPoint> {
        let is_known = |execution: &&Execution| {
            at.at_ms - execution.point.at_ms < window_ms
                && includes(&self.forks(execution.group), at, execution.point)
        };
        self.executions.get(id)?.iter().find(is_known).map(|execution| execution.point)
    }

    /// Position up to which an endpoint's data is that of the live branch.
    pub fn consistent_until_ms(&self, index: EndpointIndex, now_ms: i64) -> i64 {
        let endpoint = &self.endpoints[index];
        let position = self.position(index, now_ms);
        let Some(branches) = self.branches.get(&endpoint.group) else { return position };
        if branches.get(endpoint.replication.branch).is_none_or(|branch| branch.is_live) {
            return position;
        }
        let live = branches.iter().find(|branch| branch.is_live);
        position.min(live.map_or(position, |branch| branch.forked_ms))
    }

    /// Whether an endpoint is the primary of a group on its live branch.
    pub fn is_live_primary(&self, index: EndpointIndex, group: i64) -> bool {
        let endpoint = &self.endpoints[index];
        endpoint.group == group
            && endpoint.primary
            && self.branches[&group][endpoint.replication.branch].is_live
    }

    /// The primary on the live branch of a group.
    pub fn primary_of(&self, group: i64) -> Option<EndpointIndex> {
        if !self.branches.contains_key(&group) {
            return None;
        }
        (0..self.endpoints.len()).find(|&index| self.is_live_primary(index, group))
    }

    /// Promotes a replica to primary of its group, on a new branch that forks at `at_ms`.
    pub fn promote(&mut self, successor: EndpointIndex, old_primary: OldPrimary, at_ms: i64) {
        let group = self.endpoints[successor].group;
        let isolated = self.primary_of(group).filter(|_| old_primary == OldPrimary::Isolated);
        let branches = self.branches.entry(group).or_default();
        branches.iter_mut().for_each(|branch| branch.is_live = false);
        branches.push(Branch { forked_ms: at_ms, is_live: true });
        let (branch, timeline) = (branches.len() - 1, branches.len() as u32);
        for (index, endpoint) in self.endpoints.iter_mut().enumerate() {
            if endpoint.group != group || Some(index) == isolated {
                continue;
            }
            endpoint.replication.branch = branch;
            endpoint.replication.timeline = timeline;
            endpoint.replication.stopped_at_ms = None;
            endpoint.primary = index == successor;
            endpoint.replication.upstream = (index != successor).then_some(successor);
        }
    }

    /// Slow-start fraction of an endpoint; `None` if it has its full capacity.
    fn slow_start_fraction(&self, index: EndpointIndex, now_ms: i64, model: &SlowStartModel) -> Option<f64> {
        let age_ms = now_ms - self.endpoints[index].process.started_ms;
        let progress = age_ms as f64 / model.duration_ms as f64;
        let fraction = model.initial_fraction + (1.0 - model.initial_fraction) * progress;
        (age_ms < model.duration_ms).then_some(fraction)
    }

    /// Accepts a statement at an endpoint and returns the time until it is done. The single core of an endpoint works
    /// on statements one after the other, more slowly during slow start. Overload during slow start is reported as a
    /// violation.
    pub fn accept_work(&mut self, index: EndpointIndex, now_ms: i64, model: &SlowStartModel) -> Duration {
        let fraction = self.slow_start_fraction(index, now_ms, model);
        self.check_overload(index, now_ms, model, fraction);
        let takes_us = (model.work_ms as f64 * 1e3 / fraction.unwrap_or(1.0)) as i64;
        let now_us = now_ms * MICROS_PER_MILLI;
        let busy_until_us = self.busy_until_us.entry(index).or_default();
        *busy_until_us = (*busy_until_us).max(now_us) + takes_us;
        Duration::from_micros((*busy_until_us - now_us).max(0) as u64)
    }

    fn check_overload(
        &mut self,
        index: EndpointIndex,
        now_ms: i64,
        model: &SlowStartModel,
        fraction: Option<f64>,
    ) {
        let arrivals = self.arrivals.entry(index).or_default();
        arrivals.retain(|at| now_ms - at < model.window_ms);
        arrivals.push(now_ms);
        let Some(fraction) = fraction else { return };
        let offered_ms = arrivals.len() as f64 * model.work_ms as f64;
        if offered_ms > fraction * model.overload_multiple * model.window_ms as f64 {
            arrivals.clear();
            let age_ms = now_ms - self.endpoints[index].process.started_ms;
            self.report(index, Rule::SlowStart, format!("was overloaded {age_ms} ms after its start"));
        }
    }

    /// Records a violation detected by an endpoint.
    pub fn report(&mut self, index: EndpointIndex, rule: Rule, detail: String) {
        let subject = self.endpoints[index].name.clone();
        self.violations.push(Violation { rule, subject, detail });
    }
}

/// A cluster shared by its endpoints.
pub struct Cluster {
    /// Slow start of its endpoints.
    pub slow_start: SlowStartModel,
    /// Grace period after the announcement of a drain within which statements may still arrive.
    pub drain_grace_ms: i64,
    state: Mutex<ClusterState>,
}

impl Cluster {
    /// Creates a cluster without endpoints.
    pub fn new(slow_start: SlowStartModel, drain_grace_ms: i64) -> Cluster {
        Cluster { slow_start, drain_grace_ms, state: Mutex::default() }
    }

    /// Locks the state of the cluster.
    pub fn lock(&self) -> MutexGuard<'_, ClusterState> {
        lock(&self.state)
    }

    /// Combines the executions in the cluster with the records of clients.
    pub fn history(
        &self,
        without_session: Vec<RequestRecord>,
        sessions: Vec<Vec<RequestRecord>>,
        fates: Vec<FateAnswer>,
    ) -> History {
        let state = self.lock();
        History {
            without_session,
            sessions,
            fates,
            executions: state.executions.values().flatten().cloned().collect(),
            forks: state.branches.keys().map(|&group| (group, state.forks(group))).collect(),
            endpoint_violations: state.violations.clone(),
            bound_ms: BOUND_MS,
            scheduling_slack_ms: SCHEDULING_SLACK_MS,
            network_slack_ms: NETWORK_SLACK_MS,
        }
    }
}
