//! A cluster as it really is: groups, their logs in branches, who is primary, and what was executed where.
//!
//! Positions are Unix milliseconds. A primary is at the present; a replica is where its upstream was as long ago as the replica
//! lags, or where it has stopped. A failover forks a branch: what the old primary goes on writing is on a branch that is dead.

use crate::lock;
use history_checker::{includes, Execution, FateAnswer, History, LogPoint, RequestRecord, Rule, Violation};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The bound on staleness in the settings of instances here.
pub const BOUND_MS: i64 = 800;
const MICROS_PER_MILLI: i64 = 1_000;
/// Added to a client's timeout: how long a busy machine may take to wake the client's own thread.
const SCHEDULING_SLACK_MS: i64 = 500;
/// Added to the bound: how long a request takes from its client to the router.
const NETWORK_SLACK_MS: i64 = 60;

/// The wall clock.
pub fn unix_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as i64
}

/// The number of an endpoint in its cluster.
pub type EndpointIndex = usize;

/// How an endpoint can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// It answers.
    Up,
    /// Connections are accepted and nothing is ever sent on them.
    Silent,
    /// Nothing listens there.
    Refused,
}

/// The place of an endpoint on its group's log.
#[derive(Clone, Debug)]
pub struct ReplicationModel {
    /// Its timeline.
    pub timeline: u32,
    /// The branch of the log that it is on.
    pub branch: usize,
    /// Whom it follows.
    pub upstream: Option<EndpointIndex>,
    /// How far it is behind that.
    pub lag_ms: i64,
    /// Where it has stopped, if nothing reaches it any more.
    pub stopped_at_ms: Option<i64>,
}

/// The process of an endpoint.
#[derive(Clone, Debug)]
pub struct ProcessModel {
    /// How it can be reached.
    pub reachability: Reachability,
    /// Since when it drains.
    pub draining_since_ms: Option<i64>,
    /// When it started.
    pub started_ms: i64,
    /// It can say who it is.
    pub reports_identity: bool,
}

/// An endpoint.
#[derive(Clone, Debug)]
pub struct EndpointModel {
    /// Its name.
    pub name: String,
    /// Its group.
    pub group: i64,
    /// It takes writes.
    pub primary: bool,
    /// Its place on its group's log.
    pub replication: ReplicationModel,
    /// Its process.
    pub process: ProcessModel,
}

impl EndpointModel {
    /// A sound endpoint that started long ago: a primary, or a replica of `upstream`.
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
    /// Where it left the branch before it; what is before that is common to both.
    pub forked_ms: i64,
    /// It is the one that goes on.
    pub is_live: bool,
}

impl Branch {
    /// The first branch of a log.
    pub fn initial() -> Branch {
        Branch { forked_ms: 0, is_live: true }
    }
}

/// What becomes of the old primary in a failover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OldPrimary {
    /// It is cut off and goes on taking writes.
    Isolated,
    /// It follows the new one.
    Follows,
}

/// How started endpoints warm up and what overloads them: the rule that instances are given in their settings.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartModel {
    /// The fraction of its capacity that an endpoint has right after its start.
    pub initial_fraction: f64,
    /// Time until it has all of it.
    pub duration_ms: i64,
    /// It is overloaded by more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... within this time.
    pub window_ms: i64,
    /// How long it works on one statement.
    pub work_ms: i64,
}

/// The state of a cluster.
#[derive(Default)]
pub struct ClusterState {
    /// Its endpoints.
    pub endpoints: Vec<EndpointModel>,
    /// The branches of each group's log.
    pub branches: BTreeMap<i64, Vec<Branch>>,
    /// What was executed, by the id of its request.
    pub executions: HashMap<String, Vec<Execution>>,
    /// When each endpoint got statements, within the last window.
    arrivals: HashMap<EndpointIndex, Vec<i64>>,
    /// When an endpoint's one core will have done all that it has got, in microseconds of Unix time.
    busy_until_us: HashMap<EndpointIndex, i64>,
    /// Violations that endpoints see themselves.
    violations: Vec<Violation>,
}

impl ClusterState {
    /// How far an endpoint is on its branch.
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

    /// Where an endpoint is on its group's log.
    pub fn log_point(&self, index: EndpointIndex, now_ms: i64) -> LogPoint {
        LogPoint { branch: self.endpoints[index].replication.branch, at_ms: self.position(index, now_ms) }
    }

    /// Where each branch of a group's log left the one before it.
    pub fn forks(&self, group: i64) -> Vec<i64> {
        self.branches.get(&group).into_iter().flatten().map(|branch| branch.forked_ms).collect()
    }

    /// The execution of a write that an endpoint at this point still knows of, if its group drops duplicates for so long.
    pub fn duplicate_of(&self, id: &str, at: LogPoint, window_ms: i64) -> Option<LogPoint> {
        let is_known = |execution: &&Execution| {
            at.at_ms - execution.point.at_ms < window_ms
                && includes(&self.forks(execution.group), at, execution.point)
        };
        self.executions.get(id)?.iter().find(is_known).map(|execution| execution.point)
    }

    /// Up to when an endpoint's data is that of the live branch.
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

    /// The primary of a group.
    pub fn primary_of(&self, group: i64) -> Option<EndpointIndex> {
        if !self.branches.contains_key(&group) {
            return None;
        }
        (0..self.endpoints.len()).find(|&index| self.is_live_primary(index, group))
    }

    /// Makes a replica the primary of its group.
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

    /// The fraction of its capacity that an endpoint in slow start has.
    fn slow_start_fraction(&self, index: EndpointIndex, now_ms: i64, model: &SlowStartModel) -> Option<f64> {
        let age_ms = now_ms - self.endpoints[index].process.started_ms;
        let progress = age_ms as f64 / model.duration_ms as f64;
        let fraction = model.initial_fraction + (1.0 - model.initial_fraction) * progress;
        (age_ms < model.duration_ms).then_some(fraction)
    }

    /// An endpoint gets a statement; one in slow start that gets too many breaks a rule. Its one core works on them in turn,
    /// and in slow start more slowly; returns when this one is done.
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

    /// An endpoint sees a rule broken.
    pub fn report(&mut self, index: EndpointIndex, rule: Rule, detail: String) {
        let subject = self.endpoints[index].name.clone();
        self.violations.push(Violation { rule, subject, detail });
    }
}

/// A cluster.
pub struct Cluster {
    /// How its endpoints warm up.
    pub slow_start: SlowStartModel,
    /// How long statements may still come after a drain was announced.
    pub drain_grace_ms: i64,
    state: Mutex<ClusterState>,
}

impl Cluster {
    /// A cluster without endpoints.
    pub fn new(slow_start: SlowStartModel, drain_grace_ms: i64) -> Cluster {
        Cluster { slow_start, drain_grace_ms, state: Mutex::default() }
    }

    /// Its state.
    pub fn lock(&self) -> MutexGuard<'_, ClusterState> {
        lock(&self.state)
    }

    /// What was executed here, with what clients recorded.
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
