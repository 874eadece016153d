//! The adaptive concurrency limit of an endpoint: how many attempts of this instance may be in flight there.

use crate::state::endpoint::EndpointCapacity;
use crate::time::Timestamp;
use crate::{AttemptEnd, AttemptOutcome, EndpointIndex, MethodIndex, RoutingPolicy};

/// An endpoint's limit is not raised while the endpoint reports that more than this fraction of its cores is
/// busy.
const SATURATED_LOAD: f64 = 0.9;
/// A late answer multiplies the limit by this.
const LIMIT_REDUCTION_FACTOR: f64 = 0.8;
/// A warm endpoint whose limit is below 1, but not below the initial limit, accepts another attempt while the
/// work outstanding at the endpoint is at most the tightest latency objective divided by this.
const BURST_TOLERANCE_DIVISOR: f64 = 4.0;
/// A timely answer can raise a limit by 1 divided by the limit, but by at most the limit divided by this. The
/// maximum applies to limits below 2.
const MAX_RAISE_DIVISOR: f64 = 4.0;

impl EndpointCapacity {
    /// Whether another attempt is within `limit`. A limit below 1 is a rate, in seconds of work per second:
    /// another attempt is accepted once at most `max_outstanding` seconds of earlier work are outstanding at
    /// that rate.
    pub(super) fn accepts(&self, limit: f64, max_outstanding: f64, now: Timestamp) -> bool {
        let in_flight = f64::from(self.in_flight);
        in_flight < limit.max(1.0) && (limit >= 1.0 || self.work.outstanding(limit, now) <= max_outstanding)
    }

    /// Reduces the limit after a late answer to an attempt that started at `started_at`. Late answers to
    /// attempts from before the last reduction do not reduce the limit again.
    fn reduce_limit(&mut self, started_at: Timestamp, now: Timestamp, min_limit: f64) {
        if self.limit_reduced_at < started_at {
            self.concurrency_limit = (self.concurrency_limit * LIMIT_REDUCTION_FACTOR).max(min_limit);
            self.limit_reduced_at = now;
        }
    }
}

impl RoutingPolicy {
    /// Whether an endpoint may get attempts of a method, regardless of its concurrency limit.
    pub(super) fn is_usable(&self, index: EndpointIndex, method: MethodIndex) -> bool {
        let endpoint = &self.endpoints[index];
        let without_health_checks = !self.settings.settings.may_check_health;
        // An endpoint that has not answered yet may get a write if the endpoint list names it as the primary:
        // an endpoint that is not the primary rejects a write without executing it.
        let claims_primary = endpoint.role.primary_claim.is_some();
        let may_get_write = self.settings.methods[method].is_write() && claims_primary;
        let role_is_known = without_health_checks || may_get_write || endpoint.has_answered();
        // The log of an ineligible endpoint that claims to be primary may have diverged.
        let may_have_diverged = claims_primary && !self.groups[endpoint.listing.group].is_eligible(index);
        let fraction = self.slow_start_fraction(endpoint);
        let work_is_light =
            fraction.is_none_or(|fraction| self.is_light_work(self.p30_latency[method], fraction));
        endpoint.listing.serving
            && role_is_known
            && self.is_healthy(endpoint)
            && work_is_light
            && !may_have_diverged
    }

    /// Whether another attempt is within the fraction `share` of an endpoint's limit.
    pub(super) fn has_capacity(&self, index: EndpointIndex, share: f64) -> bool {
        let endpoint = &self.endpoints[index];
        // Two requests at nearly the same time are a coincidence rather than a sign of a queue if the endpoint
        // is warm and its limit is not below the initial one.
        let is_warm = self.slow_start_fraction(endpoint).is_none();
        let tolerates_burst =
            is_warm && endpoint.capacity.concurrency_limit >= self.settings.concurrency.initial_limit;
        let tolerance =
            share * self.settings.times.tightest_objective.as_secs_f64() / BURST_TOLERANCE_DIVISOR;
        let limit = endpoint.capacity.concurrency_limit.min(self.slow_start_limit(endpoint)) * share;
        endpoint.capacity.accepts(limit, if tolerates_burst { tolerance } else { 0.0 }, self.now)
    }

    /// Adapts an endpoint's concurrency limit and health to the end of an attempt.
    pub(crate) fn update_limit_and_health(&mut self, end: &AttemptEnd) {
        let (now, started_at) = (self.now, self.now - end.elapsed);
        let in_flight =
            self.requests.get(&end.attempt.request).and_then(|request| request.in_flight.as_ref());
        let queue_threshold = in_flight.map_or(end.elapsed, |attempt| attempt.queue_threshold);
        let under_pressure = in_flight.is_some_and(|attempt| attempt.under_pressure);
        let succeeded = end.outcome == AttemptOutcome::Succeeded;
        let work = in_flight.filter(|_| succeeded).map_or(0.0, |attempt| attempt.work);
        let load_reports_since = self.load_reports_since();
        let endpoint = &mut self.endpoints[end.attempt.endpoint];
        endpoint.capacity.finish_work(work, self.settings.settings.overload_window, now);
        // A reduced limit recovers even without pressure, because with many instances a single one rarely puts
        // an endpoint under pressure.
        let below_initial = endpoint.capacity.concurrency_limit < self.settings.concurrency.initial_limit;
        let is_saturated = endpoint.reported_busier_than(SATURATED_LOAD, load_reports_since);
        let may_raise = (under_pressure || below_initial) && !is_saturated;
        let is_late =
            end.outcome == AttemptOutcome::TimedOut || (succeeded && end.elapsed >= queue_threshold);
        if succeeded || end.outcome == AttemptOutcome::NotEligible {
            (endpoint.health.answered_at, endpoint.health.consecutive_failures) = (now, 0);
            let limit = &mut endpoint.capacity.concurrency_limit;
            *limit +=
                if may_raise && !is_late { (1.0 / *limit).min(*limit / MAX_RAISE_DIVISOR) } else { 0.0 };
        } else {
            self.record_failure(end);
        }
        if is_late {
            self.reduce_limits(end.attempt.endpoint, started_at);
        }
    }

    /// Reduces the limit of an endpoint after a late answer. If the endpoint is a replica, those limits of the
    /// group's other replicas that are below 1 are reduced too: at such a low rate an endpoint's own answers
    /// are too rare to adapt its limit.
    fn reduce_limits(&mut self, index: EndpointIndex, started_at: Timestamp) {
        let group = &self.groups[self.endpoints[index].listing.group];
        for &member in &group.members {
            let endpoint = &mut self.endpoints[member];
            let both_are_replicas = ![index, member].map(Some).contains(&group.primary);
            if member == index || (both_are_replicas && endpoint.capacity.concurrency_limit < 1.0) {
                endpoint.capacity.reduce_limit(started_at, self.now, self.settings.concurrency.min_limit);
            }
        }
    }
}
