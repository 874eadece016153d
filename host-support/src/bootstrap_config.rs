//! Bootstrap configuration of an instance, as deserialized from JSON. Fields whose JSON key differs from their name
//! carry a `rename` attribute. A field whose `default` attribute names no function is 0, false or empty if the JSON
//! object lacks the key. All times are in nanoseconds.

use routing::time::TimeDelta;
use serde::Deserialize;

/// The configuration with which a host starts an instance: the `settings` of the bootstrap file, or `bootInfo` in the
/// simulator's message `Start`.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct BootstrapConfig {
    /// Number of instances that route to the same endpoints, at least 1.
    pub n_instances: u32,
    /// The request methods, in the order of their indices.
    #[serde(rename = "classes")]
    pub methods: Vec<MethodConfig>,
    /// How the instance receives endpoint lists: `push` if a local agent sends them, `ask` if the instance polls.
    pub membership_mode: String,
    /// Replication: the consistency of reads and the endpoints' handling of stale data.
    #[serde(rename = "familyInfo")]
    pub replication: ReplicationConfig,
    /// What the deployment permits the instance to do, and its limits.
    pub allowed: Allowances,
    /// Format of load reports.
    pub report: ReportConfig,
    /// Rules on polling, slow start and draining.
    pub rules: Rules,
    /// Resolution of clocks and positions, at least 1.
    #[serde(rename = "resolutionNs")]
    pub clock_resolution_ns: i64,
    /// Index of the instance's zone in `zones`; 0 by default.
    #[serde(default)]
    pub zone: usize,
    /// Names of the zones.
    #[serde(default, rename = "azs")]
    pub zones: Vec<String>,
}

/// Configuration of a request method.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MethodConfig {
    /// Name by which requests identify the method. Empty if the host identifies methods by their index.
    #[serde(default)]
    pub name: String,
    /// Latency objective: from 1 to `deadline_ns`.
    #[serde(rename = "aimNs")]
    pub latency_objective_ns: i64,
    /// Maximum time that a client waits for an answer.
    pub deadline_ns: i64,
    /// Whether requests can be retried: `read_like`, `idempotency_key` or `non_idempotent`.
    #[serde(rename = "effect")]
    pub idempotency: String,
    /// Which endpoints drop requests with a duplicate idempotency key: `all` for those of every group, `cell` for those
    /// of one group. With any other scope no endpoint is relied on to drop them.
    #[serde(default, rename = "keyScope")]
    pub dedup_scope: String,
    /// The fraction of its value that an answer after the latency objective still has.
    #[serde(default, rename = "lateValue")]
    pub late_value_fraction: f64,
    /// How long an idempotency key is remembered to drop duplicates.
    #[serde(default, rename = "memorySpanNs")]
    pub dedup_window_ns: i64,
    /// Value of an answer within the latency objective, relative to other methods.
    #[serde(default, rename = "gain")]
    pub priority_weight: f64,
}

/// Configuration of replication. Lists have one entry per method.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ReplicationConfig {
    /// How an endpoint handles a read for which its data is too stale: `off` (serves stale data), `reject`, or `hold`
    /// (waits until the endpoint has caught up).
    #[serde(rename = "guards")]
    pub lag_handling: String,
    /// Staleness bounds of methods with `recent` access. A missing entry means 0.
    #[serde(default, rename = "lagAllowedNs")]
    pub staleness_bounds_ns: Vec<i64>,
    /// Access of each method: `update`, `latest`, `own_writes`, `recent` or `loose`.
    #[serde(rename = "classRead")]
    pub method_access: Vec<String>,
    /// `client` if clients carry the positions of their sessions' writes; with any other value the router keeps them.
    #[serde(default, rename = "sessionMarks")]
    pub session_positions: String,
    /// With `hold`, the maximum time that an endpoint waits to catch up before it rejects a read.
    #[serde(default, rename = "patienceNs")]
    pub max_catch_up_wait_ns: i64,
    /// Time that corresponds to position 0.
    #[serde(default, rename = "countedFromNs")]
    pub position_origin_ns: i64,
}

/// What the deployment permits an instance to do, and its limits.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Allowances {
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether attempts in flight may be cancelled.
    #[serde(default)]
    pub may_cancel: bool,
    /// Whether health checks may be sent to endpoints.
    #[serde(default, rename = "probes")]
    pub may_check_health: bool,
    /// Whether rejected clients may be sent a Retry-After time.
    #[serde(default, rename = "retryAfter")]
    pub may_send_retry_after: bool,
    /// The longest Retry-After time that clients honour.
    #[serde(default)]
    pub max_retry_after_ns: i64,
    /// Maximum number of open requests.
    #[serde(default = "default_max_open_requests", rename = "mostHeld")]
    pub max_open_requests: usize,
    /// Timeout of connecting to an endpoint, at least 1.
    #[serde(default = "default_connect_timeout_ns", rename = "dialTimeoutNs")]
    pub connect_timeout_ns: i64,
    /// Time after which an endpoint closes an idle connection, at least 1.
    #[serde(default = "default_idle_timeout_ns", rename = "connIdleNs")]
    pub idle_timeout_ns: i64,
}

fn default_max_open_requests() -> usize {
    20_000
}

fn default_connect_timeout_ns() -> i64 {
    250_000_000
}

fn default_idle_timeout_ns() -> i64 {
    30_000_000_000
}

/// Format of load reports.
#[derive(Deserialize)]
pub struct ReportConfig {
    /// Names of the fields, in the order in which a report has their values.
    #[serde(default, rename = "names")]
    pub fields: Vec<String>,
}

/// Rules on polling, slow start and draining.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Rules {
    /// Maximum time between two polls of the endpoint list. Once this time has passed since the last poll, an instance
    /// is assumed to know the changes made in between.
    #[serde(default, rename = "askWithinNs")]
    pub max_list_poll_interval_ns: i64,
    /// The fraction of its capacity that an endpoint has right after its start.
    #[serde(default, rename = "coldFrom")]
    pub slow_start_fraction: f64,
    /// Time from its start until an endpoint has its full capacity.
    #[serde(default, rename = "coldNs")]
    pub slow_start_duration_ns: i64,
    /// An endpoint in slow start fails under a load of more than this multiple of its current capacity if the load
    /// lasts for `overload_window_ns`.
    #[serde(default, rename = "fallMultiple")]
    pub overload_multiple: f64,
    /// How long an overload must last until an endpoint in slow start fails.
    #[serde(default, rename = "overloadForNs")]
    pub overload_window_ns: i64,
    /// Whether an endpoint that is no longer listed may still be used.
    #[serde(default, rename = "droppedStayOpen")]
    pub unlisted_stay_usable: bool,
    /// Drain grace: attempts to a draining endpoint must end within this time. 0 means no limit.
    #[serde(default, rename = "stopSendingWithinNs")]
    pub drain_grace_ns: i64,
}

impl Rules {
    /// The drain grace, if it is limited.
    pub fn drain_grace(&self) -> Option<TimeDelta> {
        Some(TimeDelta(self.drain_grace_ns)).filter(|grace| grace.0 > 0)
    }
}
