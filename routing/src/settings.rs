//! Settings of an instance, fixed at its start. No decision is made here.

use crate::time::TimeDelta;

/// Access of a method: a write, or a read with the consistency that it needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// A write: only the primary executes it.
    Write,
    /// A read that must see everything committed before it arrived.
    StrongRead,
    /// A read that must see its session's own writes.
    SessionRead,
    /// A read of data that is at most this stale when the attempt starts.
    BoundedRead(TimeDelta),
    /// A read that any member may serve, however stale its data.
    AnyRead,
}

/// Whether a request that may have been executed can be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Always, at any endpoint.
    Idempotent,
    /// With an idempotency key: duplicates are dropped for a time, counted from the first attempt that may have been
    /// executed.
    Keyed {
        /// Every group drops duplicates, not only the group that may have executed the request.
        all_groups: bool,
        /// How long duplicates are dropped.
        dedup_window: TimeDelta,
    },
    /// Never.
    NonIdempotent,
}

/// Settings of one method.
#[derive(Clone, Debug)]
pub struct MethodSettings {
    /// Access of the method.
    pub access: Access,
    /// Whether its requests can be retried.
    pub idempotency: Idempotency,
    /// An answer within this time has its full value.
    pub latency_objective: TimeDelta,
    /// Maximum time that a client waits for an answer.
    pub deadline: TimeDelta,
    /// Value of an answer within the objective, relative to other methods.
    pub priority_weight: f64,
    /// The fraction of its value that an answer after the latency objective still has.
    pub late_value_fraction: f64,
}

impl MethodSettings {
    /// The bound on staleness of a bounded read.
    pub fn staleness_bound(&self) -> Option<TimeDelta> {
        match self.access {
            Access::BoundedRead(bound) => Some(bound),
            _ => None,
        }
    }
}

/// How endpoints handle reads for which their data is too stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LagHandling {
    /// They serve stale data, so the router must check beforehand.
    ServeStale,
    /// They reject the read unexecuted.
    Reject,
    /// They wait up to this long to catch up, then reject the read.
    Wait(TimeDelta),
}

/// Settings of an instance.
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// Methods by [`MethodIndex`](crate::MethodIndex).
    pub methods: Vec<MethodSettings>,
    /// Number of instances that route to the same endpoints.
    pub instances: u32,
    /// The zone of this instance.
    pub zone: usize,
    /// Resolution of clocks and positions.
    pub clock_resolution: TimeDelta,
    /// How endpoints handle reads for which their data is too stale.
    pub lag_handling: LagHandling,
    /// Clients send the time of their session's last write; otherwise the policy keeps the positions of sessions'
    /// writes.
    pub clients_send_last_write: bool,
    /// Maximum time between two polls of the endpoint list: a change counts as known this long after the last poll.
    /// `None` if lists are pushed.
    pub max_list_poll_interval: Option<TimeDelta>,
    /// Maximum attempts per request.
    pub max_attempts: u32,
    /// An attempt in flight can be cancelled.
    pub may_cancel: bool,
    /// Health checks are allowed.
    pub may_check_health: bool,
    /// The longest Retry-After that clients honour, if the deployment allows one.
    pub max_retry_after: Option<TimeDelta>,
    /// Fraction of its capacity that an endpoint has at its start.
    pub slow_start_fraction: f64,
    /// Time from its start until an endpoint has its full capacity.
    pub slow_start_duration: TimeDelta,
    /// An endpoint in slow start collapses when it gets more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long.
    pub overload_window: TimeDelta,
    /// An endpoint that is missing from a complete list stays usable: only a listed drain ends its use.
    pub unlisted_stay_usable: bool,
}
