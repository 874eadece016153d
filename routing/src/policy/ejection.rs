//! Ejection: an endpoint that fails gets no attempts for a while.

use crate::state::endpoint::Endpoint;
use crate::{AttemptEnd, AttemptOutcome, EndpointIndex, RoutingPolicy};

/// Number of consecutive failures from which the duration of an ejection no longer grows.
const MAX_COUNTED_FAILURES: u32 = 5;
/// Duration of the first ejection, and minimum interval between two health checks of an endpoint, in tick
/// intervals.
pub(super) const BASE_INTERVAL_TICKS: i64 = 2;

impl RoutingPolicy {
    /// Ejects an endpoint after a failure: it gets no attempts for a time that doubles with each consecutive
    /// failure, and then a single attempt. Without ejection, an endpoint that fails fast would look idle and
    /// attract all requests. A failure during an ejection does not extend it.
    pub(super) fn eject(&mut self, index: EndpointIndex) {
        let (now, base) = (self.now, self.settings.times.tick_interval * BASE_INTERVAL_TICKS);
        let health = &mut self.endpoints[index].health;
        if health.ejected_until <= now {
            health.consecutive_failures = (health.consecutive_failures + 1).min(MAX_COUNTED_FAILURES);
            health.ejected_until = now + base * (1 << (health.consecutive_failures - 1));
        }
        health.failed_at = now;
    }

    /// Whether an endpoint's failures allow another attempt. After an ejection the endpoint gets only one
    /// attempt at a time until an attempt succeeds. If health checks are allowed, the endpoint must first
    /// have answered since the failure.
    pub(super) fn is_healthy(&self, endpoint: &Endpoint) -> bool {
        let without_health_checks = !self.settings.settings.may_check_health;
        let health = &endpoint.health;
        let may_retry = without_health_checks || health.answered_at > health.failed_at;
        let may_get_single_attempt = endpoint.is_idle() && may_retry;
        health.ejected_until <= self.now && (health.consecutive_failures == 0 || may_get_single_attempt)
    }

    /// Updates the health of an endpoint after an attempt without a usable answer.
    pub(super) fn record_failure(&mut self, end: &AttemptEnd) {
        let started_at = self.now - end.elapsed;
        let health = &mut self.endpoints[end.attempt.endpoint].health;
        let answered_since_failure = health.answered_at > health.failed_at;
        match end.outcome {
            // An endpoint that has answered anything since the attempt started is slow but has not failed.
            AttemptOutcome::TimedOut if health.answered_at >= started_at => {}
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
            // The first failure after an answer does not eject the endpoint; a second one in a row does.
            AttemptOutcome::Failed | AttemptOutcome::ConnectionLost if answered_since_failure => {
                health.failed_at = self.now;
            }
            _ => self.eject(end.attempt.endpoint),
        }
    }
}
