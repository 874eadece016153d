//! Health checks: when they are made, and of which endpoints.

use super::ejection::BASE_INTERVAL_TICKS;
use super::replica_selection::TIE_BREAK_RANGE;
use crate::state::endpoint::Endpoint;
use crate::{Action, AttemptOutcome, EndpointIndex, GroupIndex, RoutingPolicy};

/// Health checks that a tick earns for a group whose requests wait.
const CREDIT_PER_TICK: f64 = 0.25;
/// Factor of that interval for an endpoint that has failed more than once in a row.
const REPEATED_FAILURE_FACTOR: i64 = 2;
/// Divisor of the age from which a position is queried again while requests wait.
const WAITING_REPORT_AGE_DIVISOR: i64 = 2;
/// Factor of that age: a replica whose position is younger may serve reads without a new report.
const FRESH_REPORT_AGE_FACTOR: i64 = 4;

impl RoutingPolicy {
    /// Updates an endpoint's health after a health check.
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
