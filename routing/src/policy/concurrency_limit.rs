//! How many attempts an endpoint gets: an adaptive concurrency limit, and slow start after its process has
//! started.

use crate::state::endpoint::{Endpoint, EndpointCapacity};
use crate::time::Timestamp;
use crate::{AttemptEnd, AttemptOutcome, EndpointIndex, MethodIndex, RoutingPolicy};

/// The fraction of its cores from which no limit is raised.
const SATURATED_LOAD: f64 = 0.9;
/// The factor by which a late answer reduces a limit.
const LIMIT_REDUCTION: f64 = 0.8;
/// What settings allow in slow start is divided by this; the rest is left to chance.
const SLOW_START_MARGIN: f64 = 3.0;

impl EndpointCapacity {
    /// Whether it takes another attempt within a limit; below 1, once no more than `allowance` seconds of
    /// earlier work are outstanding at that rate.
    pub(super) fn accepts(&self, limit: f64, allowance: f64, now: Timestamp) -> bool {
        let in_flight = f64::from(self.in_flight);
        in_flight < limit.max(1.0) && (limit >= 1.0 || self.work.outstanding(limit, now) <= allowance)
    }

    /// Reduces the limit because of a late answer, once for attempts that started before the last reduction.
    fn reduce_limit(&mut self, started_at: Timestamp, now: Timestamp, least: f64) {
        if self.limit_reduced_at < started_at {
            self.concurrency_limit = (self.concurrency_limit * LIMIT_REDUCTION).max(least);
            self.limit_reduced_at = now;
        }
    }
}

impl RoutingPolicy {
    /// Whether an endpoint may get attempts of a method at all.
    pub(super) fn is_usable(&self, index: EndpointIndex, method: MethodIndex) -> bool {
        let endpoint = &self.endpoints[index];
        let unchecked = !self.settings.settings.may_check_health;
        // A write goes by the list's role: an endpoint that is not the primary rejects it untouched.
        let claims_primary = endpoint.role.primary_claim.is_some();
        let claims_write = self.settings.methods[method].is_write() && claims_primary;
        let is_known = unchecked || claims_write || endpoint.has_answered();
        // An ineligible endpoint that claims to be primary may be on a log of its own.
        let diverged = claims_primary && !self.groups[endpoint.listing.group].is_eligible(index);
        let fraction = self.slow_start_fraction(endpoint);
        let is_light = fraction.is_none_or(|fraction| self.is_light(self.quick_latency[method], fraction));
        endpoint.listing.serving && is_known && self.is_healthy(endpoint) && is_light && !diverged
    }

    /// Whether an endpoint has capacity for another attempt within a share of its limit.
    pub(super) fn has_capacity(&self, index: EndpointIndex, share: f64) -> bool {
        let endpoint = &self.endpoints[index];
        // Requests come in twos by chance: no sign of a queue at a warm endpoint whose limit was not reduced.
        let warm = self.slow_start_fraction(endpoint).is_none();
        let tolerant = warm && endpoint.capacity.concurrency_limit >= self.settings.concurrency.initial_limit;
        let tolerance = share * self.settings.times.tightest_objective.as_secs_f64() / 4.0;
        let limit = endpoint.capacity.concurrency_limit.min(self.slow_start_limit(endpoint)) * share;
        endpoint.capacity.accepts(limit, if tolerant { tolerance } else { 0.0 }, self.now)
    }

    /// The limit of an endpoint in slow start. With few instances, a part of the work that may lie at one of
    /// its cores meanwhile, as attempts; with many, a rate: the fraction of its capacity that it surely has,
    /// times the work done for this instance at the mean warm endpoint. A share of half a core is granted in
    /// any case.
    fn slow_start_limit(&self, endpoint: &Endpoint) -> f64 {
        let Some(fraction) = self.slow_start_fraction(endpoint) else { return f64::INFINITY };
        let (settings, share) = (&self.settings.settings, self.settings.instance_share);
        let (multiple, window) = (settings.overload_multiple, settings.overload_window.as_secs_f64());
        let light = self.quick_latency.iter().copied().filter(|&latency| self.is_light(latency, fraction));
        let heaviest = light.fold(1e-3, f64::max);
        let attempts = fraction * (multiple - 1.0) * window * share / heaviest / SLOW_START_MARGIN;
        if attempts >= 1.0 {
            return attempts;
        }
        let busy_cores = self.mean_warm_work() / window / SLOW_START_MARGIN;
        fraction * multiple * busy_cores.max(share / 2.0)
    }

    /// Whether work is short enough for an endpoint in slow start: a heavy tail may stretch longer work.
    fn is_light(&self, quick_latency: f64, fraction: f64) -> bool {
        let settings = &self.settings.settings;
        quick_latency <= fraction * settings.overload_multiple * settings.overload_window.as_secs_f64() / 4.0
    }

    /// Adapts the endpoint's limit and health to how an attempt ended.
    pub(crate) fn update_endpoint_load(&mut self, end: &AttemptEnd) {
        let (now, started_at) = (self.now, self.now - end.elapsed);
        let in_flight =
            self.requests.get(&end.attempt.request).and_then(|request| request.in_flight.as_ref());
        let queue_threshold = in_flight.map_or(end.elapsed, |attempt| attempt.queue_threshold);
        let under_pressure = in_flight.is_some_and(|attempt| attempt.under_pressure);
        let succeeded = end.outcome == AttemptOutcome::Succeeded;
        let work = in_flight.filter(|_| succeeded).map_or(0.0, |attempt| attempt.work);
        let endpoint = &mut self.endpoints[end.attempt.endpoint];
        endpoint.capacity.finish_work(work, self.settings.settings.overload_window, now);
        // What a reduction took comes back even without pressure: with many instances each is under pressure
        // too seldom to win it back.
        let below_initial = endpoint.capacity.concurrency_limit < self.settings.concurrency.initial_limit;
        let saturated =
            endpoint.reported_busier_than(SATURATED_LOAD, now - self.settings.times.max_report_age * 4);
        let may_raise = (under_pressure || below_initial) && !saturated;
        let late = end.outcome == AttemptOutcome::TimedOut || (succeeded && end.elapsed >= queue_threshold);
        if succeeded || end.outcome == AttemptOutcome::NotEligible {
            (endpoint.health.answered_at, endpoint.health.consecutive_failures) = (now, 0);
            let limit = &mut endpoint.capacity.concurrency_limit;
            *limit += if may_raise && !late { (1.0 / *limit).min(*limit / 4.0) } else { 0.0 };
        } else {
            self.record_failure(end);
        }
        if late {
            self.reduce_limits(end.attempt.endpoint, started_at);
        }
    }

    /// With limits below 1 each endpoint answers too seldom: what one replica shows has to do for all of its
    /// group.
    fn reduce_limits(&mut self, index: EndpointIndex, started_at: Timestamp) {
        let group = &self.groups[self.endpoints[index].listing.group];
        for &member in &group.members {
            let endpoint = &mut self.endpoints[member];
            let are_replicas = ![index, member].map(Some).contains(&group.primary);
            if member == index || (are_replicas && endpoint.capacity.concurrency_limit < 1.0) {
                endpoint.capacity.reduce_limit(started_at, self.now, self.settings.concurrency.min_limit);
            }
        }
    }
}
