//! What an instance is told once, when it starts. No decision is made here.

use crate::time::TimeDelta;

/// How a method reads or writes, and what a read of it must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// A write: only the primary takes it.
    Write,
    /// A read that must see everything committed before it arrived.
    StrongRead,
    /// A read that must see its session's own writes.
    SessionRead,
    /// A read of data no staler than this when the attempt starts.
    BoundedRead(TimeDelta),
    /// A read that any member may answer, however stale.
    AnyRead,
}

/// Whether a request that may have run can be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// At any time, anywhere.
    Idempotent,
    /// With an idempotency key: duplicates are dropped for a time, counted from the first attempt that may have run.
    Keyed {
        /// Every group drops them, not just the group that may have run it.
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
    /// How it reads or writes.
    pub access: Access,
    /// Whether it can be sent again.
    pub idempotency: Idempotency,
    /// An answer within this time has its full value.
    pub latency_objective: TimeDelta,
    /// How long a client waits at most.
    pub deadline: TimeDelta,
    /// Value of an answer in time, relative to other methods.
    pub priority_weight: f64,
    /// The fraction of its value that an answer after the latency objective still has.
    pub late_value_fraction: f64,
}

impl MethodSettings {
    /// How stale the data of a read may be, if that is bounded.
    pub fn staleness_bound(&self) -> Option<TimeDelta> {
        match self.access {
            Access::BoundedRead(bound) => Some(bound),
            _ => None,
        }
    }
}

/// What an endpoint does with a read for which its data is too stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LagHandling {
    /// It answers with stale data: the router has to check before.
    ServeStale,
    /// It rejects the read untouched.
    Reject,
    /// It waits for this long to catch up, then rejects the read.
    Wait(TimeDelta),
}

/// Settings of an instance.
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// By [`MethodIndex`](crate::MethodIndex).
    pub methods: Vec<MethodSettings>,
    /// Instances that route to the same endpoints.
    pub instances: u32,
    /// The zone of this instance.
    pub zone: usize,
    /// Resolution of clocks and positions.
    pub clock_resolution: TimeDelta,
    /// What endpoints do with reads for which they lag too far.
    pub lag_handling: LagHandling,
    /// Clients say when their session last wrote; otherwise the policy remembers the writes that it saw answered.
    pub clients_hold_positions: bool,
    /// Endpoint lists come only when polled for; a change counts as known this long after the last poll.
    pub list_poll_within: Option<TimeDelta>,
    /// Attempts per request at most.
    pub max_attempts: u32,
    /// An attempt in flight can be cancelled.
    pub may_cancel: bool,
    /// Endpoints may be asked for health reports.
    pub may_check_health: bool,
    /// The longest Retry-After that clients honour, if they may be told one.
    pub max_retry_after: Option<TimeDelta>,
    /// Fraction of its capacity that an endpoint has right after its start.
    pub slow_start_fraction: f64,
    /// Time from its start until an endpoint has its full capacity.
    pub slow_start_duration: TimeDelta,
    /// An endpoint in slow start collapses when it gets more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long.
    pub overload_window: TimeDelta,
    /// Only a listed drain ends the use of an endpoint: one that is merely no longer listed stays usable.
    pub unlisted_stay_usable: bool,
}
