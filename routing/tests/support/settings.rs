//! The settings that most tests use, and lists of all ways to handle lag and of all outcomes.

use routing::time::{TimeDelta, Timestamp};
use routing::*;

/// The clock resolution of the settings: 5 ms.
pub const TICK: TimeDelta = TimeDelta::from_millis(5);
/// The method of a non-idempotent write.
pub const WRITE: MethodIndex = 0;
/// The method of a write with an idempotency key, deduplicated within [`DEDUP_WINDOW`].
pub const KEYED_WRITE: MethodIndex = 1;
/// The method of a read that must see every write committed before it arrives.
pub const STRONG_READ: MethodIndex = 2;
/// The method of a read whose data may be stale by at most [`BOUND`].
pub const BOUNDED_READ: MethodIndex = 3;
/// The method of a read that any endpoint may serve, with a deadline of 2 s.
pub const ANY_READ: MethodIndex = 4;
/// The method of a read that any endpoint may serve, with a latency objective of 3 s.
pub const LONG_READ: MethodIndex = 5;
/// The staleness bound of a bounded read: 800 ms.
pub const BOUND: TimeDelta = TimeDelta::from_millis(800);
/// The deduplication window of keyed writes: 3 s.
pub const DEDUP_WINDOW: TimeDelta = TimeDelta::from_millis(3000);
/// The time at which every test starts, late enough that earlier times in tests stay positive.
pub const START: Timestamp = Timestamp(1_000_000_000_000);

/// All ways in which endpoints handle a read for which their data is too stale.
pub const LAG_HANDLINGS: [LagHandling; 3] =
    [LagHandling::ServeStale, LagHandling::Reject, LagHandling::Wait(TimeDelta::from_millis(100))];
/// All outcomes of an attempt.
pub const OUTCOMES: [AttemptOutcome; 9] = [
    AttemptOutcome::Succeeded,
    AttemptOutcome::Failed,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Unreachable,
    AttemptOutcome::ConnectionLost,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
    AttemptOutcome::NotEligible,
];

/// Settings of a deployment with the six methods above, two instances and `lag_handling`.
pub fn routing_settings(lag_handling: LagHandling) -> RoutingSettings {
    let ms = TimeDelta::from_millis;
    let method = |access, idempotency, objective, deadline, late_value_fraction| MethodSettings {
        access,
        idempotency,
        latency_objective: ms(objective),
        deadline: ms(deadline),
        priority_weight: 1.0,
        late_value_fraction,
    };
    let keyed = Idempotency::Keyed { all_groups: false, dedup_window: DEDUP_WINDOW };
    RoutingSettings {
        methods: vec![
            method(Access::Write, Idempotency::NonIdempotent, 500, 3000, 0.5),
            method(Access::Write, keyed, 500, 5000, 0.5),
            method(Access::StrongRead, Idempotency::Idempotent, 400, 1500, 0.0),
            method(Access::BoundedRead(BOUND), Idempotency::Idempotent, 600, 1500, 0.0),
            method(Access::AnyRead, Idempotency::Idempotent, 500, 2000, 0.2),
            method(Access::AnyRead, Idempotency::Idempotent, 3000, 6000, 0.0),
        ],
        instances: 2,
        zone: 0,
        clock_resolution: TICK,
        lag_handling,
        clients_send_last_write: true,
        max_list_poll_interval: Some(ms(10_000)),
        max_attempts: 6,
        may_cancel: true,
        may_check_health: true,
        max_retry_after: Some(ms(2000)),
        slow_start_fraction: 0.2,
        slow_start_duration: ms(16_000),
        overload_multiple: 2.0,
        overload_window: ms(2000),
        unlisted_stay_usable: false,
    }
}
