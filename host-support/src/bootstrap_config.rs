//! The bootstrap configuration of an instance, under the names of the operators' pages. Times are nanoseconds.

use routing::time::TimeDelta;
use serde::Deserialize;

/// All that an instance is told about its deployment.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct BootstrapConfig {
    /// Instances that route to the same endpoints.
    pub n_instances: u32,
    /// The methods of requests.
    pub classes: Vec<MethodConfig>,
    /// How endpoint lists come: `push` or `ask`.
    pub membership_mode: String,
    /// Replication: what reads must see, and what endpoints check.
    pub family_info: ReplicationConfig,
    /// What the instance may do.
    pub allowed: Allowances,
    /// What load reports hold.
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

/// One method.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MethodConfig {
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// Its latency objective.
    pub aim_ns: i64,
    /// How long a client waits at most.
    pub deadline_ns: i64,
    /// `read_like`, `idempotency_key` or `non_idempotent`.
    pub effect: String,
    /// Who drops duplicates of a key: `all`, `cell` (the group) or another.
    #[serde(default)]
    pub key_scope: String,
    /// The fraction of its value that a late answer has.
    #[serde(default)]
    pub late_value: f64,
    /// How long duplicates of a key are dropped.
    #[serde(default, rename = "memorySpanNs")]
    pub dedup_window_ns: i64,
    /// The value of an answer in time.
    #[serde(default)]
    pub gain: f64,
}

/// Replication. Lists have one entry per method.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ReplicationConfig {
    /// What an endpoint does with a read for which it is too stale: `off`, `reject` or `hold`.
    pub guards: String,
    /// Bounds on staleness.
    #[serde(default)]
    pub lag_allowed_ns: Vec<i64>,
    /// `update`, `latest`, `own_writes`, `recent` or `loose`.
    pub class_read: Vec<String>,
    /// `client` if clients carry the positions of their sessions.
    #[serde(default)]
    pub session_marks: String,
    /// How long an endpoint that holds a read waits to catch up.
    #[serde(default, rename = "patienceNs")]
    pub max_catch_up_wait_ns: i64,
    /// The origin of positions.
    #[serde(default)]
    pub counted_from_ns: i64,
}

/// What the instance may do.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Allowances {
    /// Attempts per request at most.
    pub max_attempts: u32,
    /// Attempts in flight may be cancelled.
    #[serde(default)]
    pub may_cancel: bool,
    /// Endpoints may be asked for health reports.
    #[serde(default)]
    pub probes: bool,
    /// Clients may be told a Retry-After.
    #[serde(default)]
    pub retry_after: bool,
    /// The longest Retry-After that clients honour.
    #[serde(default)]
    pub max_retry_after_ns: i64,
    /// Open requests at most.
    #[serde(default = "default_max_open_requests")]
    pub most_held: usize,
    /// The longest that connecting to an endpoint may take.
    #[serde(default = "default_dial_timeout_ns")]
    pub dial_timeout_ns: i64,
    /// After this time an endpoint closes an idle connection.
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

/// What load reports hold.
#[derive(Deserialize)]
pub struct ReportConfig {
    /// The names of their fields, in order.
    #[serde(default)]
    pub names: Vec<String>,
}

/// The operators' rules.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Rules {
    /// Without a poll for this long, changes to the endpoint list count as known.
    #[serde(default)]
    pub ask_within_ns: i64,
    /// Fraction of its capacity that an endpoint has right after its start.
    #[serde(default)]
    pub cold_from: f64,
    /// Time until a started endpoint has its full capacity.
    #[serde(default)]
    pub cold_ns: i64,
    /// An endpoint in slow start collapses when it gets more than this multiple of its present capacity ...
    #[serde(default)]
    pub fall_multiple: f64,
    /// ... for this long.
    #[serde(default)]
    pub overload_for_ns: i64,
    /// An endpoint that is no longer listed may still be used.
    #[serde(default)]
    pub dropped_stay_open: bool,
    /// Attempts to a draining endpoint must cease within this time.
    #[serde(default)]
    pub stop_sending_within_ns: i64,
}

impl Rules {
    /// Within which time attempts to a draining endpoint must cease, if that is set.
    pub fn drain_grace(&self) -> Option<TimeDelta> {
        Some(TimeDelta(self.stop_sending_within_ns)).filter(|grace| grace.0 > 0)
    }
}
