//! What the settings come to: a policy for each method, and the intervals and limits derived from them.

use crate::state::compiled_settings::{CompiledSettings, ConcurrencyBounds, DerivedTimes, MethodPolicy};
use crate::time::TimeDelta;
use crate::{Access, Idempotency, MethodIndex, MethodSettings, RoutingSettings};

/// Attempts of all instances together that an endpoint may have in flight before it has shown what suits it.
const INITIAL_CONCURRENCY: f64 = 16.0;

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

    /// In seconds, before any answer has shown what the method takes.
    pub fn initial_quick_latency(&self) -> f64 {
        self.latency_objective.as_secs_f64() / 4.0
    }
}

impl CompiledSettings {
    /// Derives the policy of each method, the tick interval, the report age and the concurrency limits from
    /// `settings`. Without methods, the tightest latency objective is taken to be 100 ms.
    pub fn new(settings: &RoutingSettings) -> CompiledSettings {
        let methods = &settings.methods;
        let tightest_objective = methods.iter().map(|method| method.latency_objective).min();
        let tightest_objective = tightest_objective.unwrap_or(TimeDelta::from_millis(100));
        let tightest_bound = methods.iter().filter_map(MethodSettings::staleness_bound).min();
        let answer_margin = settings.clock_resolution * 2;
        let instance_share = 1.0 / f64::from(settings.instances.max(1));
        CompiledSettings {
            methods: methods.iter().map(|m| MethodPolicy::new(m, answer_margin, tightest_bound)).collect(),
            retry_order: retry_order(methods),
            times: DerivedTimes {
                list_poll_interval: settings.list_poll_within.map(|within| within / 2),
                answer_margin,
                tick_interval: (tightest_objective / 8).max(settings.clock_resolution),
                max_report_age: tightest_bound.unwrap_or(tightest_objective * 4) / 4,
                tightest_objective,
            },
            instance_share,
            concurrency: ConcurrencyBounds {
                initial_limit: (INITIAL_CONCURRENCY * instance_share).min(INITIAL_CONCURRENCY / 4.0),
                min_limit: INITIAL_CONCURRENCY / 4.0 * instance_share,
            },
            settings: settings.clone(),
        }
    }
}

fn retry_order(methods: &[MethodSettings]) -> Vec<MethodIndex> {
    let mut order: Vec<MethodIndex> = (0..methods.len()).collect();
    let rank =
        |method: &MethodSettings| (method.access != Access::Write, method.access != Access::StrongRead);
    order.sort_by_key(|&index| (rank(&methods[index]), methods[index].latency_objective));
    order
}
