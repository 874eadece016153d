//! Values derived from the settings. They are computed in `policy::compiled_settings`.

use crate::events::MethodIndex;
use crate::settings::{Access, RoutingSettings};
use crate::time::TimeDelta;

/// Policy of a method.
pub struct MethodPolicy {
    pub access: Access,
    /// How long a request may be retried, from the first attempt that may have executed it.
    pub retry_window: TimeDelta,
    /// Its client may retry it even if it has been executed.
    pub client_may_retry: bool,
    pub latency_objective: TimeDelta,
    /// An answer after the latency objective still has some value.
    pub useful_when_late: bool,
    /// Its reads may delay a replica's log for longer than some other method's bound on staleness.
    pub delays_replication: bool,
}

impl MethodPolicy {
    /// Whether it is a method of writes.
    pub fn is_write(&self) -> bool {
        self.access == Access::Write
    }
}

/// Time spans derived from the settings.
pub struct DerivedTimes {
    pub list_poll_interval: Option<TimeDelta>,
    /// A final answer is given this long before its deadline.
    pub answer_margin: TimeDelta,
    pub tick_interval: TimeDelta,
    /// Age from which a reported position is queried again.
    pub max_report_age: TimeDelta,
    /// The shortest latency objective.
    pub tightest_objective: TimeDelta,
}

/// Bounds of the concurrency limits of endpoints.
pub struct ConcurrencyBounds {
    /// Limit of a new endpoint.
    pub initial_limit: f64,
    /// The smallest value that a limit is reduced to.
    pub min_limit: f64,
}

/// The settings of an instance, and the times and limits derived from them.
pub struct CompiledSettings {
    pub settings: RoutingSettings,
    pub methods: Vec<MethodPolicy>,
    /// Methods in the order in which waiting requests are retried.
    pub retry_order: Vec<MethodIndex>,
    pub times: DerivedTimes,
    /// This instance's assumed fraction of all instances' traffic.
    pub instance_share: f64,
    pub concurrency: ConcurrencyBounds,
}
