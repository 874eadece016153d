//! Model of an endpoint: its replication state and its process.

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
