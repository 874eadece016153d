//! Bootstrap settings of instances, and the slow-start models that match them.

use crate::cluster::{SlowStartModel, BOUND_MS};

const NANOS_PER_MILLI: i64 = 1_000_000;
/// Deduplication window of writes with an idempotency key.
pub const DEDUP_WINDOW_MS: i64 = 1_500;
/// Grace period after the announcement of a drain within which statements may still arrive.
pub const DRAIN_GRACE_MS: i64 = 250;
/// Slow start as in the operators' deployments, but shorter.
pub const SLOW_START: SlowStartModel = SlowStartModel {
    initial_fraction: 0.23,
    duration_ms: 8_000,
    overload_multiple: 2.5,
    window_ms: 2_000,
    work_ms: 4,
};
/// Endpoints with full capacity from the start that cannot be overloaded.
pub const NO_SLOW_START: SlowStartModel = SlowStartModel {
    initial_fraction: 1.0,
    duration_ms: 1,
    overload_multiple: 9.0,
    window_ms: 500,
    work_ms: 1,
};

/// The settings section of a bootstrap file, in JSON, for a deployment of two instances.
pub fn settings() -> String {
    settings_for(2)
}

/// The settings section of a bootstrap file, in JSON, for a deployment of `instances`.
pub fn settings_for(instances: usize) -> String {
    let ms = |ms: i64| ms * NANOS_PER_MILLI;
    format!(
        r#"{{"nInstances":{instances},"zone":0,"azs":["a"],"resolutionNs":5000000,"membershipMode":"push",
        "classes":[{{"name":"read","aimNs":{},"deadlineNs":{},"effect":"read_like"}},
            {{"name":"order","aimNs":{},"deadlineNs":{},"effect":"non_idempotent","lateValue":0.5}},
            {{"name":"deposit","aimNs":{},"deadlineNs":{},"effect":"idempotency_key","keyScope":"cell",
                "memorySpanNs":{},"lateValue":0.5}}],
        "familyInfo":{{"classRead":["recent","update","update"],"guards":"off","lagAllowedNs":[{},0,0],
            "sessionMarks":"client"}},
        "allowed":{{"maxAttempts":6,"mayCancel":true,"probes":true,"retryAfter":true,"maxRetryAfterNs":{}}},
        "report":{{"names":["x0","x1","load_share"]}},
        "rules":{{"coldFrom":{},"coldNs":{},"fallMultiple":{},"overloadForNs":{}}}}}"#,
        ms(400),
        ms(800),
        ms(400),
        ms(1_000),
        ms(400),
        ms(1_000),
        ms(DEDUP_WINDOW_MS),
        ms(BOUND_MS),
        ms(500),
        SLOW_START.initial_fraction,
        ms(SLOW_START.duration_ms),
        SLOW_START.overload_multiple,
        ms(SLOW_START.window_ms),
    )
}
