//! Health checks, and the ejection of endpoints that fail.

use super::replica_selection::TIE_BREAK_RANGE;
use crate::state::endpoint::Endpoint;
use crate::{Action, AttemptEnd, AttemptOutcome, EndpointIndex, GroupIndex, RoutingPolicy};

/// Failures in a row from which the ejection time grows no further.
const MAX_COUNTED_FAILURES: u32 = 5;
/// Health checks that a tick earns for a group whose requests wait.
const CREDIT_PER_TICK: f64 = 0.25;
/// Factor of the tick interval: the first ejection, and the least interval between two checks of an endpoint.
const BASE_INTERVAL_TICKS: i64 = 2;
/// Factor of that interval for an endpoint that has failed more than once in a row.
const REPEATED_FAILURE_FACTOR: i64 = 2;
/// Divisor of the age from which a position is queried again while requests wait.
const WAITING_REPORT_AGE_DIVISOR: i64 = 2;
/// Factor of that age: a replica whose position is younger may serve reads without a new report.
const FRESH_REPORT_AGE_FACTOR: i64 = 4;

impl RoutingPolicy {
    /// Ejects a failed endpoint: it gets no attempts for a time that doubles with each failure in a row, then
    /// a single one. Otherwise an endpoint that fails fast would look idle and attract all requests.
    fn eject(&mut self, index: EndpointIndex) {
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

    pub(crate) fn on_health_check_ended(&mut self, index: EndpointIndex, outcome: AttemptOutcome) {
        self.endpoints[index].health.check_in_flight = false;
        match outcome {
            AttemptOutcome::Succeeded => self.endpoints[index].health.answered_at = self.now,
            // Rejected for too many concurrent checks, which is no sign of bad health.
            AttemptOutcome::Rejected => {}
            _ => self.eject(index),
        }
    }

    /// Adds the health check that a request earns for its group, so that the checks of all instances together
    /// are proportional to the traffic.
    pub(super) fn earn_health_check(&mut self, group: GroupIndex, client_retry: bool) {
        let group = &mut self.groups[group];
        let credit = group.health_check_credit + if client_retry { 0.0 } else { 1.0 };
        group.health_check_credit = credit.min(group.members.len() as f64);
    }

    /// Adds the checks that waiting requests earn per tick, with few instances or without a healthy primary.
    pub(crate) fn accrue_health_check_credit(&mut self, index: GroupIndex) {
        let group = &self.groups[index];
        let many_instances = self.settings.concurrency.initial_limit < 1.0;
        let idle = !group.has_waiting() || (self.has_healthy_primary(group) && many_instances);
        if group.health_check_credit < 1.0 && !idle {
            self.groups[index].health_check_credit += CREDIT_PER_TICK;
        }
    }

    /// Starts the health checks that a group has earned and needs. Without reads none is started: its report
    /// would be outdated by the time of the next read.
    pub(crate) fn schedule_health_checks(&mut self, group: GroupIndex, for_read: bool) {
        while self.settings.settings.may_check_health && self.groups[group].health_check_credit >= 1.0 {
            if !for_read && !self.groups[group].has_waiting() {
                return;
            }
            let Some(endpoint) = self.next_health_check(group) else { return };
            let health = &mut self.endpoints[endpoint].health;
            (health.check_in_flight, health.checked_at) = (true, self.now);
            self.groups[group].health_check_credit -= 1.0;
            self.actions.push(Action::CheckHealth { endpoint });
        }
    }

    /// The member to check next: the one with the least lag in its last report, as it is most likely to be
    /// fresh, then those without a report.
    fn next_health_check(&mut self, index: GroupIndex) -> Option<EndpointIndex> {
        let group = &self.groups[index];
        let (waiting, primary_lost) = (group.has_waiting(), !self.has_healthy_primary(group));
        // Reads need no report of a healthy primary that has answered.
        let is_primary = |member| group.primary == Some(member) && self.endpoints[member].has_answered();
        let mut members = group.members.clone();
        members.retain(|&member| primary_lost || !is_primary(member));
        // Another replica's report is needed only if no replica is known to be fresh.
        let fresh_from = self.now - self.settings.times.max_report_age * FRESH_REPORT_AGE_FACTOR;
        let is_fresh = |member: &EndpointIndex| self.endpoints[*member].is_fresh_since(fresh_from);
        let fresh_known = !waiting && members.iter().any(is_fresh);
        members.retain(|&member| self.is_check_due(member, waiting, fresh_known));
        let (endpoints, rng, max_age) = (&self.endpoints, &mut self.rng, self.settings.times.max_report_age);
        members.into_iter().min_by_key(|&member| {
            let lag = endpoints[member].reported.lag().unwrap_or(max_age);
            let rank = if primary_lost { 0 } else { lag.0 / max_age.0.max(1) };
            (rank, rng.below(TIE_BREAK_RANGE))
        })
    }

    fn is_check_due(&self, index: EndpointIndex, waiting: bool, fresh_known: bool) -> bool {
        let Endpoint { listing, reported, health, .. } = &self.endpoints[index];
        let max_age =
            self.settings.times.max_report_age / if waiting { WAITING_REPORT_AGE_DIVISOR } else { 1 };
        let ejection_over = health.consecutive_failures > 0 && health.ejected_until <= self.now;
        let outdated = reported.position_reported_at + max_age <= self.now && !fresh_known;
        let backoff = if health.consecutive_failures > 1 { REPEATED_FAILURE_FACTOR } else { 1 };
        let interval = self.settings.times.tick_interval * BASE_INTERVAL_TICKS * backoff;
        let checked_recently = health.check_in_flight || health.checked_at + interval > self.now;
        listing.serving && (ejection_over || outdated) && !checked_recently
    }
}
