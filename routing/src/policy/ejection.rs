//! Ejection: endpoints that fail get no attempts for a time.

use crate::state::endpoint::Endpoint;
use crate::{AttemptEnd, AttemptOutcome, EndpointIndex, RoutingPolicy};

/// Failures in a row from which the ejection time grows no further.
const MAX_COUNTED_FAILURES: u32 = 5;
/// Factor of the tick interval: the first ejection, and the least interval between two checks of an endpoint.
pub(super) const BASE_INTERVAL_TICKS: i64 = 2;

impl RoutingPolicy {
    /// Ejects a failed endpoint: it gets no attempts for a time that doubles with each failure in a row, then
    /// a single one. Otherwise an endpoint that fails fast would look idle and attract all requests.
    pub(super) fn eject(&mut self, index: EndpointIndex) {
        let (now, base) = (self.now, self.settings.times.tick_interval * BASE_INTERVAL_TICKS);
        let health = &mut self.endpoints[index].health;
        if health.ejected_until <= now {
            health.consecutive_failures = (health.consecutive_failures + 1).min(MAX_COUNTED_FAILURES);
            health.ejected_until = now + base * (1 << (health.consecutive_failures - 1));
        }
        health.failed_at = now;
    }

    /// Whether an endpoint is not ejected and either has not failed or may get a single attempt.
    pub(super) fn is_healthy(&self, endpoint: &Endpoint) -> bool {
        let unchecked = !self.settings.settings.may_check_health;
        let health = &endpoint.health;
        let may_retry = unchecked || health.answered_at > health.failed_at;
        let single_attempt = endpoint.is_idle() && may_retry;
        health.ejected_until <= self.now && (health.consecutive_failures == 0 || single_attempt)
    }

    /// Updates the health of an endpoint after an attempt without a usable answer.
    pub(super) fn record_failure(&mut self, end: &AttemptEnd) {
        let started_at = self.now - end.elapsed;
        let health = &mut self.endpoints[end.attempt.endpoint].health;
        let answered_since_failure = health.answered_at > health.failed_at;
        match end.outcome {
            // A slow endpoint has not failed: only one that has answered nothing since the attempt started.
            AttemptOutcome::TimedOut if health.answered_at >= started_at => {}
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
            // One failure among answers does not eject; the next one in a row does.
            AttemptOutcome::Failed | AttemptOutcome::ConnectionLost if answered_since_failure => {
                health.failed_at = self.now;
            }
            _ => self.eject(end.attempt.endpoint),
        }
    }
}
