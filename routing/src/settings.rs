//! Settings of an instance, fixed when it starts. No decision is made here.

use crate::time::TimeDelta;

/// How a method accesses data: as a write, or as a read with a required consistency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// A write: only the primary executes it.
    Write,
    /// A read that must see everything committed before it arrived.
    StrongRead,
    /// A read that must see the writes of its own session.
    SessionRead,
    /// A read whose data may be at most this stale when the attempt starts.
    BoundedRead(TimeDelta),
    /// A read that any member may serve, however stale its data.
    AnyRead,
}

/// Whether a request may be retried after it may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may always be retried, at any endpoint.
    Idempotent,
    /// The request has an idempotency key, by which endpoints drop duplicates. It may be retried within the
    /// deduplication window, which starts with the first attempt that may have been executed.
    Keyed {
        /// Whether every group drops duplicates, not only the group that may have executed the request.
        all_groups: bool,
        /// Length of the deduplication window.
        dedup_window: TimeDelta,
    },
    /// The request must not be retried once it may have been executed.
    NonIdempotent,
}

/// Settings of one method.
#[derive(Clone, Debug)]
pub struct MethodSettings {
    /// Whether requests of the method write, or which consistency its reads require.
    pub access: Access,
    /// Whether requests of the method may be retried after they may have been executed.
    pub idempotency: Idempotency,
    /// Maximum latency at which an answer has its full value.
    pub latency_objective: TimeDelta,
    /// Maximum time that a client waits for an answer.
    pub deadline: TimeDelta,
    /// Value of an answer within the latency objective, relative to the other methods.
    pub priority_weight: f64,
    /// Fraction of its value that an answer after the latency objective still has, from 0 to 1.
    pub late_value_fraction: f64,
}

impl MethodSettings {
    /// The staleness bound of a bounded read; `None` for any other access.
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
    /// The endpoint serves the stale data, so the router must check the staleness before it sends the read.
    ServeStale,
    /// The endpoint rejects the read without executing it.
    Reject,
    /// The endpoint lets the read wait for up to this long until its data is fresh enough, then rejects the read.
    Wait(TimeDelta),
}

/// Settings of an instance.
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// The methods, indexed by [`MethodIndex`](crate::MethodIndex).
    pub methods: Vec<MethodSettings>,
    /// Number of instances that route to the same endpoints.
    pub instances: u32,
    /// Zone of this instance, as an index among the zones that the host knows.
    pub zone: usize,
    /// Resolution of the clocks and of the positions that endpoints report.
    pub clock_resolution: TimeDelta,
    /// What endpoints do with reads for which their data is too stale.
    pub lag_handling: LagHandling,
    /// Whether clients send the time of their session's last write. If not, the policy itself keeps the position of
    /// each session's last write.
    pub clients_send_last_write: bool,
    /// Maximum time between two polls of the endpoint list. Once this time has passed since the last poll, an instance
    /// is assumed to know the changes made in between. `None` if lists are pushed.
    pub max_list_poll_interval: Option<TimeDelta>,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Whether the policy may cancel attempts in flight.
    pub may_cancel: bool,
    /// Whether the policy may request health checks.
    pub may_check_health: bool,
    /// Maximum Retry-After that clients honour; `None` if rejections must not carry one.
    pub max_retry_after: Option<TimeDelta>,
    /// Fraction of its full capacity that an endpoint has when its process starts.
    pub slow_start_fraction: f64,
    /// Time from the start of an endpoint's process until the endpoint has its full capacity.
    pub slow_start_duration: TimeDelta,
    /// Load that overloads an endpoint in slow start if it lasts for `overload_window`, as a multiple of the
    /// capacity that the endpoint has at that time.
    pub overload_multiple: f64,
    /// How long an endpoint in slow start withstands a load above `overload_multiple`.
    pub overload_window: TimeDelta,
    /// Whether an endpoint that is missing from a complete list stays usable. If so, only a list entry with the status
    /// [`EndpointStatus::Draining`](crate::EndpointStatus::Draining) ends its use.
    pub unlisted_stay_usable: bool,
}
