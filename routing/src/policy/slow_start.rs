//! Slow start: the concurrency limit of an endpoint whose process has recently started, and which work it
//! gets.

use crate::state::endpoint::Endpoint;
use crate::RoutingPolicy;

/// Divisor of the load that the settings allow in slow start: the rest is a margin for random bursts.
const SLOW_START_MARGIN: f64 = 3.0;
/// The shortest work, in seconds, that the slow-start limit reckons with.
const MIN_WORK: f64 = 1e-3;
/// Divisor of the work that overloads an endpoint in slow start: work up to the quotient is light. The margin
/// covers a heavy tail of latencies.
const LIGHT_WORK_DIVISOR: f64 = 4.0;
/// The fraction of a core that each instance's share of work at an endpoint in slow start is reckoned from at
/// least.
const MIN_BUSY_CORES: f64 = 0.5;

impl RoutingPolicy {
    /// The concurrency limit of an endpoint in slow start; infinite for others. With few instances it is this
    /// instance's share of the work that may be queued at one core during the overload window, as a number of
    /// attempts. With many instances it is a rate: the slow-start fraction times the work done for this
    /// instance at the mean warm endpoint, reckoned from at least this instance's share of half a core.
    pub(super) fn slow_start_limit(&self, endpoint: &Endpoint) -> f64 {
        let Some(fraction) = self.slow_start_fraction(endpoint) else { return f64::INFINITY };
        let (settings, share) = (&self.settings.settings, self.settings.instance_share);
        let (multiple, window) = (settings.overload_multiple, settings.overload_window.as_secs_f64());
        let light = self.quick_latency.iter().copied().filter(|&latency| self.is_light(latency, fraction));
        let heaviest = light.fold(MIN_WORK, f64::max);
        let attempts = fraction * (multiple - 1.0) * window * share / heaviest / SLOW_START_MARGIN;
        if attempts >= 1.0 {
            return attempts;
        }
        let busy_cores = self.mean_warm_work() / window / SLOW_START_MARGIN;
        fraction * multiple * busy_cores.max(share * MIN_BUSY_CORES)
    }

    /// Whether work of this latency, in seconds, is short enough for an endpoint at this slow-start fraction.
    pub(super) fn is_light(&self, quick_latency: f64, fraction: f64) -> bool {
        let settings = &self.settings.settings;
        let overloading = fraction * settings.overload_multiple * settings.overload_window.as_secs_f64();
        quick_latency <= overloading / LIGHT_WORK_DIVISOR
    }
}
