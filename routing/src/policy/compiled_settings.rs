//! Values derived from the settings: the policy of each method, time spans, and bounds of concurrency limits.

use crate::state::compiled_settings::{CompiledSettings, ConcurrencyBounds, DerivedTimes, MethodPolicy};
use crate::time::TimeDelta;
use crate::{Access, Idempotency, MethodIndex, MethodSettings, RoutingSettings};

/// Until the first answer, a method's p30 latency is estimated as its latency objective divided by this.
const INITIAL_LATENCY_DIVISOR: f64 = 4.0;

impl MethodPolicy {
    fn new(method: &MethodSettings, margin: TimeDelta, tightest_bound: Option<TimeDelta>) -> MethodPolicy {
        let (retry_window, client_may_retry) = match method.idempotency {
            Idempotency::Idempotent => (TimeDelta(i64::MAX), true),
            Idempotency::Keyed { all_groups, dedup_window } => (dedup_window - margin, all_groups),
            Idempotency::NonIdempotent => (TimeDelta::ZERO, false),
        };
        let is_long = tightest_bound.is_some_and(|bound| method.latency_objective >= bound);
        MethodPolicy {
            access: method.access,
            retry_window,
            client_may_retry,
            latency_objective: method.latency_objective,
            useful_when_late: method.late_value_fraction > 0.0,
            delays_replication: method.access == Access::AnyRead && is_long,
        }
    }

    /// The estimate of the method's p30 latency, in seconds, before its first answer.
    pub fn initial_p30_latency(&self) -> f64 {
        self.latency_objective.as_secs_f64() / INITIAL_LATENCY_DIVISOR
    }
}

impl CompiledSettings {
    /// Derives the policy of each method, the times and the concurrency limits from `settings`.
    pub fn new(settings: &RoutingSettings) -> CompiledSettings {
        let methods = &settings.methods;
        let tightest_bound = methods.iter().filter_map(MethodSettings::staleness_bound).min();
        let times = derive_times(settings, tightest_bound);
        let method = |method| MethodPolicy::new(method, times.answer_margin, tightest_bound);
        let instance_share = 1.0 / f64::from(settings.instances.max(1));
        CompiledSettings {
            methods: methods.iter().map(method).collect(),
            retry_order: retry_order(methods),
            times,
            instance_share,
            concurrency: concurrency_bounds(instance_share),
            settings: settings.clone(),
        }
    }
}

/// Replaces the tightest latency objective if the settings have no methods.
const DEFAULT_OBJECTIVE: TimeDelta = TimeDelta::from_millis(100);

/// The shortest latency objective of all methods.
fn tightest_objective(methods: &[MethodSettings]) -> TimeDelta {
    methods.iter().map(|method| method.latency_objective).min().unwrap_or(DEFAULT_OBJECTIVE)
}

/// Margin between a final answer and the request's deadline, in steps of the clock resolution.
const ANSWER_MARGIN_STEPS: i64 = 2;
/// The endpoint list is polled after its maximum poll interval divided by this, so that a failed poll leaves
/// time for another one.
const LIST_POLL_DIVISOR: i64 = 2;
/// The tick interval is the tightest latency objective divided by this.
const TICK_DIVISOR: i64 = 8;
/// A reported position is queried again once its age is the tightest staleness bound divided by this.
const REPORT_AGE_DIVISOR: i64 = 4;
/// If no method has a staleness bound, the tightest latency objective times this takes the bound's place.
const UNBOUNDED_STALENESS_FACTOR: i64 = 4;

/// Derives the time spans from the settings and the tightest staleness bound, if any method has one.
fn derive_times(settings: &RoutingSettings, tightest_bound: Option<TimeDelta>) -> DerivedTimes {
    let tightest_objective = tightest_objective(&settings.methods);
    let staleness = tightest_bound.unwrap_or(tightest_objective * UNBOUNDED_STALENESS_FACTOR);
    DerivedTimes {
        list_poll_interval: settings.max_list_poll_interval.map(|longest| longest / LIST_POLL_DIVISOR),
        answer_margin: settings.clock_resolution * ANSWER_MARGIN_STEPS,
        tick_interval: (tightest_objective / TICK_DIVISOR).max(settings.clock_resolution),
        max_report_age: staleness / REPORT_AGE_DIVISOR,
        tightest_objective,
    }
}

/// Concurrency limit of an endpoint for all instances together, before the endpoint's answers adapt the limit.
const INITIAL_CONCURRENCY: f64 = 16.0;
/// [`INITIAL_CONCURRENCY`] divided by this is both the largest initial limit of one instance and the smallest
/// limit of all instances together.
const CONCURRENCY_DIVISOR: f64 = 4.0;

/// Derives the bounds of concurrency limits from this instance's share of the traffic.
fn concurrency_bounds(instance_share: f64) -> ConcurrencyBounds {
    ConcurrencyBounds {
        initial_limit: (INITIAL_CONCURRENCY * instance_share).min(INITIAL_CONCURRENCY / CONCURRENCY_DIVISOR),
        min_limit: INITIAL_CONCURRENCY / CONCURRENCY_DIVISOR * instance_share,
    }
}

/// Methods in the order in which waiting requests are retried: first writes, then strong reads, then the other
/// methods. Within each of these, the tightest latency objective comes first.
fn retry_order(methods: &[MethodSettings]) -> Vec<MethodIndex> {
    let mut order: Vec<MethodIndex> = (0..methods.len()).collect();
    let access_rank =
        |method: &MethodSettings| (method.access != Access::Write, method.access != Access::StrongRead);
    order.sort_by_key(|&index| (access_rank(&methods[index]), methods[index].latency_objective));
    order
}
