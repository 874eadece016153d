//! Types of the values derived from the settings; `policy::compiled_settings` computes them.

use crate::events::MethodIndex;
use crate::settings::{Access, RoutingSettings};
use crate::time::TimeDelta;

/// How requests of one method are treated.
pub struct MethodPolicy {
    pub access: Access,
    /// How long a request may be retried, counted from the start of the first attempt that may have been executed.
    pub retry_window: TimeDelta,
    /// Whether a client may retry a request that may have been executed.
    pub client_may_retry: bool,
    pub latency_objective: TimeDelta,
    /// Whether an answer after the latency objective still has some value.
    pub useful_when_late: bool,
    /// Whether reads of the method may keep a replica from applying the log for longer than another method's
    /// staleness bound.
    pub delays_replication: bool,
}

impl MethodPolicy {
    /// Whether requests of the method are writes.
    pub fn is_write(&self) -> bool {
        self.access == Access::Write
    }
}

/// Time spans derived from the settings.
pub struct DerivedTimes {
    /// Time between two polls of the endpoint list; `None` if lists are pushed.
    pub list_poll_interval: Option<TimeDelta>,
    /// The final answer to a request is due this long before the request's deadline.
    pub answer_margin: TimeDelta,
    pub tick_interval: TimeDelta,
    /// Age at which a reported position is queried again.
    pub max_report_age: TimeDelta,
    /// The shortest latency objective of all methods.
    pub tightest_objective: TimeDelta,
}

/// Initial and smallest concurrency limit of an endpoint, for this instance.
pub struct ConcurrencyBounds {
    /// Limit before the endpoint's answers adapt it.
    pub initial_limit: f64,
    /// The smallest value to which late answers reduce a limit.
    pub min_limit: f64,
}

/// The settings of an instance and the values derived from them.
pub struct CompiledSettings {
    pub settings: RoutingSettings,
    pub methods: Vec<MethodPolicy>,
    /// Methods in the order in which waiting requests are retried.
    pub retry_order: Vec<MethodIndex>,
    pub times: DerivedTimes,
    /// The fraction of all instances' traffic that this instance is assumed to receive.
    pub instance_share: f64,
    pub concurrency: ConcurrencyBounds,
}
