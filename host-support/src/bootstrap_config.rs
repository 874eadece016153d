//! Bootstrap configuration of an instance, with the key names of the operators' pages. Times are nanoseconds.

use routing::time::TimeDelta;
use serde::Deserialize;

/// The bootstrap configuration of an instance.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct BootstrapConfig {
    /// Number of instances that route to the same endpoints.
    pub n_instances: u32,
    /// The methods of requests.
    pub classes: Vec<MethodConfig>,
    /// How endpoint lists are received: `push` from a local agent, or `ask` by polling.
    pub membership_mode: String,
    /// Replication: consistency of reads and the checks of endpoints.
    pub family_info: ReplicationConfig,
    /// Permissions and limits of the instance.
    pub allowed: Allowances,
    /// Fields of load reports.
    pub report: ReportConfig,
    /// The operators' rules.
    pub rules: Rules,
    /// Resolution of clocks and positions.
    pub resolution_ns: i64,
    /// The zone of the instance.
    #[serde(default)]
    pub zone: usize,
    /// The names of the zones.
    #[serde(default)]
    pub azs: Vec<String>,
}

/// Configuration of a method.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MethodConfig {
    /// Name of the method.
    #[serde(default)]
    pub name: String,
    /// Latency objective.
    pub aim_ns: i64,
    /// Timeout of clients.
    pub deadline_ns: i64,
    /// `read_like`, `idempotency_key` or `non_idempotent`.
    pub effect: String,
    /// Where duplicates of a key are dropped: `all` groups, `cell` (the group), or another scope.
    #[serde(default)]
    pub key_scope: String,
    /// Value of a late answer as a fraction of that of an answer in time.
    #[serde(default)]
    pub late_value: f64,
    /// Deduplication window of idempotency keys.
    #[serde(default, rename = "memorySpanNs")]
    pub dedup_window_ns: i64,
    /// Value of an answer in time.
    #[serde(default)]
    pub gain: f64,
}

/// Configuration of replication. Lists have one entry per method.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ReplicationConfig {
    /// How an endpoint handles a read that it is too stale for: `off` (serves it), `reject`, or `hold` until it has
    /// caught up.
    pub guards: String,
    /// Bounds on the staleness of reads.
    #[serde(default)]
    pub lag_allowed_ns: Vec<i64>,
    /// Access of each method: `update`, `latest`, `own_writes`, `recent` or `loose`.
    pub class_read: Vec<String>,
    /// `client` if clients carry the positions of their sessions.
    #[serde(default)]
    pub session_marks: String,
    /// Maximum time that an endpoint holds a read to catch up.
    #[serde(default, rename = "patienceNs")]
    pub max_catch_up_wait_ns: i64,
    /// The origin of positions.
    #[serde(default)]
    pub counted_from_ns: i64,
}

/// Permissions and limits of an instance.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Allowances {
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether attempts in flight may be cancelled.
    #[serde(default)]
    pub may_cancel: bool,
    /// Whether health checks may be sent to endpoints.
    #[serde(default)]
    pub probes: bool,
    /// Whether rejected clients may be sent a Retry-After time.
    #[serde(default)]
    pub retry_after: bool,
    /// The longest Retry-After time that clients honour.
    #[serde(default)]
    pub max_retry_after_ns: i64,
    /// Maximum number of open requests.
    #[serde(default = "default_max_open_requests")]
    pub most_held: usize,
    /// Timeout of connecting to an endpoint.
    #[serde(default = "default_dial_timeout_ns")]
    pub dial_timeout_ns: i64,
    /// Time after which an endpoint closes an idle connection.
    #[serde(default = "default_conn_idle_ns")]
    pub conn_idle_ns: i64,
}

fn default_max_open_requests() -> usize {
    20_000
}

fn default_dial_timeout_ns() -> i64 {
    250_000_000
}

fn default_conn_idle_ns() -> i64 {
    30_000_000_000
}

/// Format of load reports.
#[derive(Deserialize)]
pub struct ReportConfig {
    /// Names of the fields, in order.
    #[serde(default)]
    pub names: Vec<String>,
}

/// The operators' rules.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Rules {
    /// Maximum time from one poll to the next: a change to the endpoint list counts as known after it.
    #[serde(default)]
    pub ask_within_ns: i64,
    /// Slow-start fraction: the fraction of its capacity that an endpoint has right after its start.
    #[serde(default)]
    pub cold_from: f64,
    /// Time until a started endpoint has its full capacity.
    #[serde(default)]
    pub cold_ns: i64,
    /// An endpoint in slow start fails under a load of more than this multiple of its current capacity.
    #[serde(default)]
    pub fall_multiple: f64,
    /// Time for which that load must last.
    #[serde(default)]
    pub overload_for_ns: i64,
    /// Whether an endpoint that is no longer listed may still be used.
    #[serde(default)]
    pub dropped_stay_open: bool,
    /// Attempts to a draining endpoint must cease within this time.
    #[serde(default)]
    pub stop_sending_within_ns: i64,
}

impl Rules {
    /// Grace period within which attempts to a draining endpoint must cease, if configured.
    pub fn drain_grace(&self) -> Option<TimeDelta> {
        Some(TimeDelta(self.stop_sending_within_ns)).filter(|grace| grace.0 > 0)
    }
}
