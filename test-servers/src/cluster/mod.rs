//! Model of a cluster: its groups, the branches of their logs, the primaries, and the executed writes.
//!
//! A position on a log is a time in Unix milliseconds. The position of a primary is the current time. The position of a
//! replica is the position of its upstream minus its lag, or the position at which its replication has stopped. A
//! failover forks a new branch of the log. If the old primary is isolated and continues to execute writes, those writes
//! are on an abandoned branch.

mod answer_gate;
mod endpoint_model;
mod load;
mod slow_start;
mod state;

pub use answer_gate::AnswerGate;
pub use endpoint_model::{EndpointIndex, EndpointModel, ProcessModel, Reachability, ReplicationModel};
pub use slow_start::SlowStartModel;
pub use state::{Branch, ClusterState, OldPrimary};

use crate::lock;
use history_checker::{FateAnswer, History, RequestRecord};
use std::sync::{Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};

/// Staleness bound of reads, in the settings of the tested instances.
pub const STALENESS_BOUND_MS: i64 = 800;
/// Tolerance in the check of a client's timeout: the time until a busy machine schedules the client's thread.
const SCHEDULING_SLACK_MS: i64 = 500;
/// Tolerance in the check of the staleness bound: the time that a request takes from the client to the router.
const NETWORK_SLACK_MS: i64 = 60;

/// The wall clock in Unix milliseconds.
pub fn unix_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as i64
}

/// A cluster model that all its endpoints share.
pub struct Cluster {
    /// Model of the endpoints' slow start and load.
    pub slow_start: SlowStartModel,
    /// Grace period in milliseconds after a drain begins, within which statements may still arrive.
    pub drain_grace_ms: i64,
    /// Gate for the answers to statements.
    pub answer_gate: AnswerGate,
    state: Mutex<ClusterState>,
}

impl Cluster {
    /// Creates a cluster without endpoints.
    pub fn new(slow_start: SlowStartModel, drain_grace_ms: i64) -> Cluster {
        Cluster { slow_start, drain_grace_ms, answer_gate: AnswerGate::default(), state: Mutex::default() }
    }

    /// Locks the state of the cluster. While it is locked, no endpoint executes a statement.
    pub fn lock(&self) -> MutexGuard<'_, ClusterState> {
        lock(&self.state)
    }

    /// Combines the executions in the cluster with the records of clients into a history that can be checked.
    /// `without_session` has the requests of clients without sessions, `sessions` the requests of each session.
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
            staleness_bound_ms: STALENESS_BOUND_MS,
            scheduling_slack_ms: SCHEDULING_SLACK_MS,
            network_slack_ms: NETWORK_SLACK_MS,
        }
    }
}
