//! How many attempts an endpoint may have in flight: an adaptive concurrency limit.

use crate::state::endpoint::EndpointCapacity;
use crate::time::Timestamp;
use crate::{AttemptEnd, AttemptOutcome, EndpointIndex, MethodIndex, RoutingPolicy};

/// The fraction of its cores from which no limit is raised.
const SATURATED_LOAD: f64 = 0.9;
/// The factor by which a late answer reduces a limit.
const LIMIT_REDUCTION: f64 = 0.8;
/// Divisor of the tightest latency objective: outstanding work at which an endpoint still takes another
/// attempt.
const BURST_TOLERANCE_DIVISOR: f64 = 4.0;
/// Divisor of a limit below 2: the most that one answer raises it by.
const MAX_RAISE_DIVISOR: f64 = 4.0;

impl EndpointCapacity {
    /// Whether another attempt is within `limit`. A limit below 1 is a rate: another attempt is accepted once
    /// no more than `allowance` seconds of earlier work are outstanding at that rate.
    pub(super) fn accepts(&self, limit: f64, allowance: f64, now: Timestamp) -> bool {
        let in_flight = f64::from(self.in_flight);
        in_flight < limit.max(1.0) && (limit >= 1.0 || self.work.outstanding(limit, now) <= allowance)
    }

    /// Reduces the limit because of a late answer, only once for all attempts that started before the
    /// reduction.
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
        // For a write the role in the endpoint list suffices: an endpoint that is not the primary rejects it
        // unexecuted.
        let claims_primary = endpoint.role.primary_claim.is_some();
        let claims_write = self.settings.methods[method].is_write() && claims_primary;
        let is_known = unchecked || claims_write || endpoint.has_answered();
        // The log of an ineligible endpoint that claims to be primary may have diverged.
        let diverged = claims_primary && !self.groups[endpoint.listing.group].is_eligible(index);
        let fraction = self.slow_start_fraction(endpoint);
        let is_light = fraction.is_none_or(|fraction| self.is_light(self.quick_latency[method], fraction));
        endpoint.listing.serving && is_known && self.is_healthy(endpoint) && is_light && !diverged
    }

    /// Whether an endpoint has capacity for another attempt within a share of its limit.
    pub(super) fn has_capacity(&self, index: EndpointIndex, share: f64) -> bool {
        let endpoint = &self.endpoints[index];
        // Two requests at nearly the same time are chance, not a sign of a queue, at a warm endpoint whose
        // limit was not reduced.
        let warm = self.slow_start_fraction(endpoint).is_none();
        let tolerant = warm && endpoint.capacity.concurrency_limit >= self.settings.concurrency.initial_limit;
        let tolerance =
            share * self.settings.times.tightest_objective.as_secs_f64() / BURST_TOLERANCE_DIVISOR;
        let limit = endpoint.capacity.concurrency_limit.min(self.slow_start_limit(endpoint)) * share;
        endpoint.capacity.accepts(limit, if tolerant { tolerance } else { 0.0 }, self.now)
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
        let load_reports_since = self.load_reports_since();
        let endpoint = &mut self.endpoints[end.attempt.endpoint];
        endpoint.capacity.finish_work(work, self.settings.settings.overload_window, now);
        // A reduced limit recovers even without pressure: with many instances, each puts an endpoint under
        // pressure too seldom.
        let below_initial = endpoint.capacity.concurrency_limit < self.settings.concurrency.initial_limit;
        let saturated = endpoint.reported_busier_than(SATURATED_LOAD, load_reports_since);
        let may_raise = (under_pressure || below_initial) && !saturated;
        let late = end.outcome == AttemptOutcome::TimedOut || (succeeded && end.elapsed >= queue_threshold);
        if succeeded || end.outcome == AttemptOutcome::NotEligible {
            (endpoint.health.answered_at, endpoint.health.consecutive_failures) = (now, 0);
            let limit = &mut endpoint.capacity.concurrency_limit;
            *limit += if may_raise && !late { (1.0 / *limit).min(*limit / MAX_RAISE_DIVISOR) } else { 0.0 };
        } else {
            self.record_failure(end);
        }
        if late {
            self.reduce_limits(end.attempt.endpoint, started_at);
        }
    }

    /// Reduces the limit of an endpoint and, where limits are below 1, of all replicas of its group: with
    /// such limits each endpoint answers too seldom to adapt by its own answers.
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
