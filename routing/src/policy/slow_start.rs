//! Slow start: the concurrency limit of an endpoint whose process has recently started, and the methods that may be
//! sent to it.

use crate::state::endpoint::Endpoint;
use crate::RoutingPolicy;

/// An endpoint in slow start gets the load that the settings allow, divided by this. The rest is a margin for
/// random bursts.
const SLOW_START_MARGIN_DIVISOR: f64 = 3.0;
/// The slow-start limit assumes that an attempt takes at least this much work, in seconds.
const MIN_WORK_SECS: f64 = 1e-3;
/// Work is light if it is at most the work that overloads an endpoint in slow start, divided by this. The
/// divisor leaves a margin for a heavy tail of latencies.
const LIGHT_WORK_DIVISOR: f64 = 4.0;
/// For the slow-start rate, the average warm endpoint is assumed to have at least this load, in busy cores. Each
/// instance assumes its share of this load.
const MIN_BUSY_CORES: f64 = 0.5;

impl RoutingPolicy {
    /// The concurrency limit of an endpoint in slow start; infinite for a warm endpoint. With few instances the
    /// limit is a number of attempts: this instance's share of the work that may be queued for one core during the
    /// overload window. With many instances that share is less than one attempt, and the limit is a rate. The rate
    /// is proportional to the slow-start fraction and to the work that an average warm endpoint does for this
    /// instance, which is assumed to be at least this instance's share of half a core.
    pub(super) fn slow_start_limit(&self, endpoint: &Endpoint) -> f64 {
        let Some(fraction) = self.slow_start_fraction(endpoint) else { return f64::INFINITY };
        let (settings, share) = (&self.settings.settings, self.settings.instance_share);
        let (multiple, window) = (settings.overload_multiple, settings.overload_window.as_secs_f64());
        let light_work =
            self.p30_latency.iter().copied().filter(|&latency| self.is_light_work(latency, fraction));
        let heaviest_work = light_work.fold(MIN_WORK_SECS, f64::max);
        let attempts =
            fraction * (multiple - 1.0) * window * share / heaviest_work / SLOW_START_MARGIN_DIVISOR;
        if attempts >= 1.0 {
            return attempts;
        }
        let busy_cores = self.mean_warm_work() / window / SLOW_START_MARGIN_DIVISOR;
        fraction * multiple * busy_cores.max(share * MIN_BUSY_CORES)
    }

    /// Whether `work`, in seconds, is light enough for an endpoint with the slow-start fraction `fraction`.
    pub(super) fn is_light_work(&self, work: f64, fraction: f64) -> bool {
        let settings = &self.settings.settings;
        let overloading_work = fraction * settings.overload_multiple * settings.overload_window.as_secs_f64();
        work <= overloading_work / LIGHT_WORK_DIVISOR
    }
}
