//! Health checks: when they are made, and of which endpoints. Each check uses up one unit of its group's credit; the
//! group's requests add to the credit.

use super::ejection::BASE_INTERVAL_TICKS;
use super::replica_selection::TIE_BREAK_RANGE;
use crate::state::endpoint::Endpoint;
use crate::{Action, AttemptOutcome, EndpointIndex, GroupIndex, RoutingPolicy};

/// Number of health checks that each tick adds to a group's credit while requests of the group wait.
const CREDIT_PER_TICK: f64 = 0.25;
/// The minimum interval between health checks of an endpoint is multiplied by this after more than one
/// consecutive failure.
const REPEATED_FAILURE_FACTOR: i64 = 2;
/// While requests wait, a position is queried again once its age is `max_report_age` divided by this.
const WAITING_REPORT_AGE_DIVISOR: i64 = 2;
/// A replica counts as fresh, without a new report, while its position is younger than `max_report_age` times this.
const FRESH_REPORT_AGE_FACTOR: i64 = 4;

impl RoutingPolicy {
    /// Updates an endpoint's health at the end of a health check.
    pub(crate) fn on_health_check_ended(&mut self, index: EndpointIndex, outcome: AttemptOutcome) {
        self.endpoints[index].health.check_in_flight = false;
        match outcome {
            AttemptOutcome::Succeeded => self.endpoints[index].health.answered_at = self.now,
            // The endpoint rejects a check if too many are running; that is no sign of a failure.
            AttemptOutcome::Rejected => {}
            _ => self.eject(index),
        }
    }

    /// Adds one health check to a group's credit for a request that is not a client's retry. The health checks
    /// of all instances together are thus proportional to the traffic.
    pub(super) fn add_health_check_credit(&mut self, group: GroupIndex, client_retry: bool) {
        let group = &mut self.groups[group];
        let credit = group.health_check_credit + if client_retry { 0.0 } else { 1.0 };
        group.health_check_credit = credit.min(group.members.len() as f64);
    }

    /// Adds the health checks of one tick to the credit of a group if requests of the group wait. With many
    /// instances, the credit is added only while the group has no healthy primary.
    pub(crate) fn add_waiting_health_check_credit(&mut self, index: GroupIndex) {
        let group = &self.groups[index];
        let many_instances = self.settings.concurrency.initial_limit < 1.0;
        let needs_no_check = !group.has_waiting() || (self.has_healthy_primary(group) && many_instances);
        if group.health_check_credit < 1.0 && !needs_no_check {
            self.groups[index].health_check_credit += CREDIT_PER_TICK;
        }
    }

    /// Starts the health checks of a group that are due, as far as its credit allows. A check is started only if a
    /// read has just arrived (`for_read`) or requests wait. Otherwise the report from the check would be outdated by
    /// the time of the next read.
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

    /// The member to check next. Members are ranked by the lag in their last reports in steps of
    /// `max_report_age`, since a member with little lag is the most likely to be fresh. A member without a
    /// report counts as one step behind. Members are chosen at random within a rank, and among all members if
    /// the group has no healthy primary.
    fn next_health_check(&mut self, index: GroupIndex) -> Option<EndpointIndex> {
        let group = &self.groups[index];
        let (waiting, no_healthy_primary) = (group.has_waiting(), !self.has_healthy_primary(group));
        // Reads need no report from a healthy primary that has answered before.
        let is_primary = |member| group.primary == Some(member) && self.endpoints[member].has_answered();
        let mut members = group.members.clone();
        members.retain(|&member| no_healthy_primary || !is_primary(member));
        // While no request waits, one fresh replica is enough, so the positions of the others are not queried.
        let fresh_from = self.now - self.settings.times.max_report_age * FRESH_REPORT_AGE_FACTOR;
        let is_fresh = |member: &EndpointIndex| self.endpoints[*member].is_fresh_since(fresh_from);
        let fresh_is_known = !waiting && members.iter().any(is_fresh);
        members.retain(|&member| self.is_check_due(member, waiting, fresh_is_known));
        let (endpoints, rng, max_age) = (&self.endpoints, &mut self.rng, self.settings.times.max_report_age);
        members.into_iter().min_by_key(|&member| {
            let lag = endpoints[member].reported.lag().unwrap_or(max_age);
            let rank = if no_healthy_primary { 0 } else { lag.0 / max_age.0.max(1) };
            (rank, rng.below(TIE_BREAK_RANGE))
        })
    }

    /// Whether a health check of an endpoint is due: its ejection is over, or its position is outdated and no fresh
    /// replica is known. While requests wait, a position counts as outdated sooner.
    fn is_check_due(&self, index: EndpointIndex, waiting: bool, fresh_is_known: bool) -> bool {
        let Endpoint { listing, reported, health, .. } = &self.endpoints[index];
        let max_age =
            self.settings.times.max_report_age / if waiting { WAITING_REPORT_AGE_DIVISOR } else { 1 };
        let ejection_over = health.consecutive_failures > 0 && health.ejected_until <= self.now;
        let outdated = reported.position_reported_at + max_age <= self.now && !fresh_is_known;
        let backoff = if health.consecutive_failures > 1 { REPEATED_FAILURE_FACTOR } else { 1 };
        let interval = self.settings.times.tick_interval * BASE_INTERVAL_TICKS * backoff;
        let checked_recently = health.check_in_flight || health.checked_at + interval > self.now;
        listing.serving && (ejection_over || outdated) && !checked_recently
    }
}
