//! What the settings come to. The values are computed in `policy::compiled_settings`.

use crate::events::MethodIndex;
use crate::settings::{Access, RoutingSettings};
use crate::time::TimeDelta;

/// The policy for a method.
pub struct MethodPolicy {
    pub access: Access,
    /// How long after it may have run a request may be retried.
    pub retry_window: TimeDelta,
    /// Its client may send it again, whatever became of it.
    pub client_may_retry: bool,
    pub latency_objective: TimeDelta,
    /// An answer after the latency objective still has some value.
    pub useful_when_late: bool,
    /// Reads of it may hold up a replica's log for longer than some bound on staleness allows.
    pub delays_replication: bool,
}

impl MethodPolicy {
    /// Whether it is a method of writes.
    pub fn is_write(&self) -> bool {
        self.access == Access::Write
    }
}

/// Times that follow from the settings.
pub struct DerivedTimes {
    pub list_poll_interval: Option<TimeDelta>,
    /// A final answer is given this long before its deadline.
    pub answer_margin: TimeDelta,
    pub tick_interval: TimeDelta,
    /// A reported position older than this is asked for again.
    pub max_report_age: TimeDelta,
    /// The shortest latency objective.
    pub tightest_objective: TimeDelta,
}

/// Where the concurrency limits of endpoints begin and end.
pub struct ConcurrencyBounds {
    /// The first limit of an endpoint.
    pub initial_limit: f64,
    /// Below this no limit is reduced.
    pub min_limit: f64,
}

/// The settings of an instance, and the times and limits derived from them.
pub struct CompiledSettings {
    pub settings: RoutingSettings,
    pub methods: Vec<MethodPolicy>,
    /// Methods in the order in which waiting requests are retried.
    pub retry_order: Vec<MethodIndex>,
    pub times: DerivedTimes,
    /// The fraction of all instances' traffic that is taken to be this instance's.
    pub instance_share: f64,
    pub concurrency: ConcurrencyBounds,
}
