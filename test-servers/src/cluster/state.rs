//! The state of a cluster: the branches of the groups' logs, the position of each endpoint on them, and the executed
//! writes.

use super::endpoint_model::{EndpointIndex, EndpointModel};
use super::slow_start::EndpointLoad;
use history_checker::{log_includes, Execution, LogPoint, Rule, Violation};
use std::collections::{BTreeMap, HashMap};

/// One branch of a group's log.
#[derive(Clone, Copy, Debug)]
pub struct Branch {
    /// Position at which the branch forked from the previous one, in Unix milliseconds. The two branches share the log
    /// up to this position.
    pub forked_ms: i64,
    /// Whether the branch is the group's current one. The other branches are abandoned.
    pub is_live: bool,
}

impl Branch {
    /// The first branch of a log.
    pub fn initial() -> Branch {
        Branch { forked_ms: 0, is_live: true }
    }
}

/// What the old primary does after a failover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OldPrimary {
    /// The old primary is isolated from the group and continues to execute writes.
    Isolated,
    /// The old primary becomes a replica of the new one.
    Follows,
}

/// The state of a cluster.
#[derive(Default)]
pub struct ClusterState {
    /// The endpoints of all groups. An [`EndpointIndex`] is an index of this list.
    pub endpoints: Vec<EndpointModel>,
    /// The branches of each group's log, from the oldest to the newest, by the number of the group.
    pub branches: BTreeMap<i64, Vec<Branch>>,
    /// Executions of writes, by the id of the request.
    pub executions: HashMap<String, Vec<Execution>>,
    /// The load on each endpoint.
    pub(super) loads: HashMap<EndpointIndex, EndpointLoad>,
    /// Violations that endpoints have detected.
    pub(super) violations: Vec<Violation>,
}

impl ClusterState {
    /// Position of an endpoint on its branch at the time `now_ms`.
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

    /// Branch and position of an endpoint on its group's log at the time `now_ms`.
    pub fn log_point(&self, index: EndpointIndex, now_ms: i64) -> LogPoint {
        LogPoint {
            branch: self.endpoints[index].replication.branch,
            position_ms: self.position(index, now_ms),
        }
    }

    /// Positions at which the branches of a group's log forked, from the oldest branch to the newest.
    pub fn forks(&self, group: i64) -> Vec<i64> {
        self.branches.get(&group).into_iter().flatten().map(|branch| branch.forked_ms).collect()
    }

    /// Searches for an earlier execution of the write `id` that an endpoint at `log_point` can detect: the execution is
    /// on the endpoint's log and within the deduplication window. Returns the log point of the execution.
    pub fn duplicate_of(&self, id: &str, log_point: LogPoint, window_ms: i64) -> Option<LogPoint> {
        let is_known = |execution: &&Execution| {
            log_point.position_ms - execution.point.position_ms < window_ms
                && log_includes(&self.forks(execution.group), log_point, execution.point)
        };
        self.executions.get(id)?.iter().find(is_known).map(|execution| execution.point)
    }

    /// Position up to which an endpoint has the same data as the live branch of its group.
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

    /// Promotes a replica to the primary of its group, on a new branch that forks at `at_ms`. The other endpoints of
    /// the group replicate from it, except an isolated old primary.
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

    /// Records a violation that the endpoint with this index has detected.
    pub fn report_violation(&mut self, index: EndpointIndex, rule: Rule, detail: String) {
        let subject = self.endpoints[index].name.clone();
        self.violations.push(Violation { rule, subject, detail });
    }
}
