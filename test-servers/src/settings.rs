//! Bootstrap settings of instances, and the slow-start models of endpoints that match them.

use crate::cluster::{SlowStartModel, STALENESS_BOUND_MS};

const NANOS_PER_MILLI: i64 = 1_000_000;
/// Number of instances in the settings of tests that do not depend on the number.
const DEFAULT_INSTANCES: usize = 2;
/// Resolution of the clocks and of the positions on logs.
const CLOCK_RESOLUTION_MS: i64 = 5;
/// Latency objective of every method: an answer within this time has its full value for the client.
const LATENCY_OBJECTIVE_MS: i64 = 400;
/// Longest time that a client waits for the answer to a read.
const READ_DEADLINE_MS: i64 = 800;
/// Longest time that a client waits for the answer to a write.
const WRITE_DEADLINE_MS: i64 = 1_000;
/// Fraction of its full value that the answer to a write has after the latency objective.
const LATE_WRITE_VALUE: f64 = 0.5;
/// Maximum attempts per request.
const MAX_ATTEMPTS: u32 = 6;
/// Longest Retry-After time of a rejection: short, so that rejected clients retry within a run.
const MAX_RETRY_AFTER_MS: i64 = 500;
/// Deduplication window of writes with an idempotency key.
pub const DEDUP_WINDOW_MS: i64 = 1_500;
/// Grace period after a drain begins, within which statements may still arrive.
pub const DRAIN_GRACE_MS: i64 = 250;
/// Slow start as in the operators' deployments, but shorter. The settings of instances describe it.
pub const SLOW_START: SlowStartModel = SlowStartModel {
    initial_fraction: 0.23,
    duration_ms: 8_000,
    overload_multiple: 2.5,
    window_ms: 2_000,
    work_ms: 4,
};
/// No slow start: endpoints have their full capacity from the start, and no load overloads them.
pub const NO_SLOW_START: SlowStartModel = SlowStartModel {
    initial_fraction: 1.0,
    duration_ms: 1,
    overload_multiple: 9.0,
    window_ms: 500,
    work_ms: 1,
};

/// Limits on the resources of an instance.
#[derive(Clone, Copy, Debug)]
pub struct ResourceLimits {
    /// Maximum number of file descriptors.
    pub descriptors: usize,
    /// Maximum memory in MB.
    pub memory_mb: usize,
}

impl ResourceLimits {
    /// The `limits` section of a bootstrap file, in JSON.
    pub fn to_json(&self) -> String {
        format!(r#"{{"sockets":{},"memory_mb":{}}}"#, self.descriptors, self.memory_mb)
    }
}

/// The `settings` section of a bootstrap file, in JSON, for a deployment of two instances.
pub fn settings() -> String {
    settings_for(DEFAULT_INSTANCES)
}

/// The `settings` section of a bootstrap file, in JSON, for a deployment of `instances` instances.
pub fn settings_for(instances: usize) -> String {
    let nanos = |ms: i64| ms * NANOS_PER_MILLI;
    format!(
        r#"{{"nInstances":{instances},"zone":0,"azs":["a"],"resolutionNs":{},"membershipMode":"push",
        "classes":[{{"name":"read","aimNs":{},"deadlineNs":{},"effect":"read_like"}},
            {{"name":"order","aimNs":{},"deadlineNs":{},"effect":"non_idempotent","lateValue":{LATE_WRITE_VALUE}}},
            {{"name":"deposit","aimNs":{},"deadlineNs":{},"effect":"idempotency_key","keyScope":"cell",
                "memorySpanNs":{},"lateValue":{LATE_WRITE_VALUE}}}],
        "familyInfo":{{"classRead":["recent","update","update"],"guards":"off","lagAllowedNs":[{},0,0],
            "sessionMarks":"client"}},
        "allowed":{{"maxAttempts":{MAX_ATTEMPTS},"mayCancel":true,"probes":true,"retryAfter":true,"maxRetryAfterNs":{}}},
        "report":{{"names":["x0","x1","load_share"]}},
        "rules":{{"coldFrom":{},"coldNs":{},"fallMultiple":{},"overloadForNs":{}}}}}"#,
        nanos(CLOCK_RESOLUTION_MS),
        nanos(LATENCY_OBJECTIVE_MS),
        nanos(READ_DEADLINE_MS),
        nanos(LATENCY_OBJECTIVE_MS),
        nanos(WRITE_DEADLINE_MS),
        nanos(LATENCY_OBJECTIVE_MS),
        nanos(WRITE_DEADLINE_MS),
        nanos(DEDUP_WINDOW_MS),
        nanos(STALENESS_BOUND_MS),
        nanos(MAX_RETRY_AFTER_MS),
        SLOW_START.initial_fraction,
        nanos(SLOW_START.duration_ms),
        SLOW_START.overload_multiple,
        nanos(SLOW_START.window_ms),
    )
}
