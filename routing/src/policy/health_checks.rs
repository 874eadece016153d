//! Health checks, and the ejection of endpoints that fail.

use crate::state::endpoint::Endpoint;
use crate::{Action, AttemptEnd, AttemptOutcome, EndpointIndex, GroupIndex, RoutingPolicy};

/// Failures in a row from which the ejection time grows no further.
const MAX_COUNTED_FAILURES: u32 = 5;
/// Health checks that a tick earns for a group whose requests wait.
const CREDIT_PER_TICK: f64 = 0.25;

impl RoutingPolicy {
    /// An endpoint that fails gets nothing for a while, each time longer, then a single attempt to show
    /// itself: one that fails fast would otherwise look idle and attract all requests. Answers from elsewhere
    /// do not shorten it.
    fn eject(&mut self, index: EndpointIndex) {
        let (now, base) = (self.now, self.settings.times.tick_interval * 2);
        let health = &mut self.endpoints[index].health;
        if health.ejected_until <= now {
            health.consecutive_failures = (health.consecutive_failures + 1).min(MAX_COUNTED_FAILURES);
            health.ejected_until = now + base * (1 << (health.consecutive_failures - 1));
        }
        health.failed_at = now;
    }

    /// Whether an endpoint is not ejected and has not failed, or may get its single attempt.
    pub(super) fn is_healthy(&self, endpoint: &Endpoint) -> bool {
        let unchecked = !self.settings.settings.may_check_health;
        let health = &endpoint.health;
        let may_show_itself = unchecked || health.answered_at > health.failed_at;
        let single_attempt = endpoint.is_idle() && may_show_itself;
        health.ejected_until <= self.now && (health.consecutive_failures == 0 || single_attempt)
    }

    /// What an attempt without an answer of use says of the endpoint's health.
    pub(super) fn record_failure(&mut self, end: &AttemptEnd) {
        let started_at = self.now - end.elapsed;
        let health = &mut self.endpoints[end.attempt.endpoint].health;
        let answered_since_failure = health.answered_at > health.failed_at;
        match end.outcome {
            // Slow is not silent: only an endpoint that has answered nothing since has failed.
            AttemptOutcome::TimedOut if health.answered_at >= started_at => {}
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
            // One bad answer among good ones ejects nobody; the next one in a row does.
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
            // Too many checked it at once: that says nothing of its health.
            AttemptOutcome::Rejected => {}
            _ => self.eject(index),
        }
    }

    /// Health checks are earned by their group's requests, so those of all instances together follow the
    /// traffic.
    pub(super) fn earn_health_check(&mut self, group: GroupIndex, client_retry: bool) {
        let group = &mut self.groups[group];
        let credit = group.health_check_credit + if client_retry { 0.0 } else { 1.0 };
        group.health_check_credit = credit.min(group.members.len() as f64);
    }

    /// With few instances, or without a known primary, requests that wait earn some more.
    pub(crate) fn accrue_health_check_credit(&mut self, index: GroupIndex) {
        let group = &self.groups[index];
        let many_instances = self.settings.concurrency.initial_limit < 1.0;
        let idle = !group.has_waiting() || (self.has_healthy_primary(group) && many_instances);
        if group.health_check_credit < 1.0 && !idle {
            self.groups[index].health_check_credit += CREDIT_PER_TICK;
        }
    }

    /// Starts the health checks that a group has earned and needs. Without reads nothing is asked: a report
    /// is outdated by the time that one comes.
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

    /// The member to check next: whichever was least behind when it last reported is likeliest to be fresh;
    /// those that never reported come next.
    fn next_health_check(&mut self, index: GroupIndex) -> Option<EndpointIndex> {
        let group = &self.groups[index];
        let (waiting, primary_lost) = (group.has_waiting(), !self.has_healthy_primary(group));
        // A read needs no report of a sound primary that has answered.
        let is_primary = |member| group.primary == Some(member) && self.endpoints[member].has_answered();
        let mut members = group.members.clone();
        members.retain(|&member| primary_lost || !is_primary(member));
        // Another replica's report is of use only if none is known that would do.
        let fresh_from = self.now - self.settings.times.max_report_age * 4;
        let is_fresh = |member: &EndpointIndex| self.endpoints[*member].is_fresh_since(fresh_from);
        let fresh_known = !waiting && members.iter().any(is_fresh);
        members.retain(|&member| self.is_check_due(member, waiting, fresh_known));
        let (endpoints, rng, max_age) = (&self.endpoints, &mut self.rng, self.settings.times.max_report_age);
        members.into_iter().min_by_key(|&member| {
            let lag = endpoints[member].reported.lag().unwrap_or(max_age);
            let rank = if primary_lost { 0 } else { lag.0 / max_age.0.max(1) };
            (rank, rng.below(1 << 16))
        })
    }

    fn is_check_due(&self, index: EndpointIndex, waiting: bool, fresh_known: bool) -> bool {
        let Endpoint { listing, reported, health, .. } = &self.endpoints[index];
        let max_age = self.settings.times.max_report_age / if waiting { 2 } else { 1 };
        let ejection_over = health.consecutive_failures > 0 && health.ejected_until <= self.now;
        let outdated = reported.position_reported_at + max_age <= self.now && !fresh_known;
        let backoff = if health.consecutive_failures > 1 { 2 } else { 1 };
        let interval = self.settings.times.tick_interval * 2 * backoff;
        let checked_recently = health.check_in_flight || health.checked_at + interval > self.now;
        listing.serving && (ejection_over || outdated) && !checked_recently
    }
}
