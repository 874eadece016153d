//! Model of an endpoint: its role, its replication state and its process.

/// Index of an endpoint in its cluster.
pub type EndpointIndex = usize;

/// How an endpoint reacts to connections and statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// Connections are accepted and statements are answered.
    Up,
    /// New connections are accepted, but nothing is ever sent on them.
    Silent,
    /// The endpoint is no longer at its listed address. The fault that sets this state also changes that address.
    Unreachable,
}

/// Where an endpoint is on its group's log, and how it replicates that log.
#[derive(Clone, Debug)]
pub struct ReplicationModel {
    /// Number of the PostgreSQL timeline that the endpoint is on.
    pub timeline: u32,
    /// Index of the branch that the endpoint is on, among the branches of the group's log.
    pub branch: usize,
    /// The endpoint from which this one replicates; `None` if this endpoint does not replicate.
    pub upstream: Option<EndpointIndex>,
    /// Replication lag behind the upstream, in milliseconds.
    pub lag_ms: i64,
    /// Position at which replication has stopped, in Unix milliseconds; `None` while it continues.
    pub stopped_at_ms: Option<i64>,
}

/// State of the simulated process of an endpoint.
#[derive(Clone, Debug)]
pub struct ProcessModel {
    /// How the endpoint reacts to connections and statements.
    pub reachability: Reachability,
    /// When the endpoint's drain began, in Unix milliseconds; `None` if the endpoint is not draining.
    pub draining_since_ms: Option<i64>,
    /// When the process was started, in Unix milliseconds.
    pub started_ms: i64,
    /// Whether the endpoint answers the statement for its identity. If not, it reports that the privilege is missing.
    pub reports_identity: bool,
}

/// State of a simulated endpoint, from which its answers follow.
#[derive(Clone, Debug)]
pub struct EndpointModel {
    /// Name in the endpoint list.
    pub name: String,
    /// Number of the endpoint's group.
    pub group: i64,
    /// Whether the endpoint acts as a primary and executes writes. An isolated old primary does so on an abandoned
    /// branch.
    pub primary: bool,
    /// State of the endpoint's replication.
    pub replication: ReplicationModel,
    /// State of the endpoint's process.
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
