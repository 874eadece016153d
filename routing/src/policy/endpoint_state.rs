//! What is taken from the endpoint list and from endpoints' own reports, and who is taken for the primary of
//! a group.

use crate::state::endpoint::{Endpoint, LoadReport, RoleEvidence};
use crate::time::Timestamp;
use crate::{Action, EndpointIndex, EndpointRecord, EndpointReport, EndpointStatus};
use crate::{GroupIndex, Role, RoutingPolicy};

impl RoutingPolicy {
    /// Polls the endpoint list if that is due.
    pub(crate) fn poll_endpoint_list(&mut self) {
        if self.next_list_poll.is_some_and(|at| at <= self.now) {
            self.next_list_poll = self.settings.times.list_poll_interval.map(|interval| self.now + interval);
            self.actions.push(Action::WatchEndpointList);
        }
    }

    /// After a failure, with jitter: many instances that polled again in step would fail together again.
    pub(crate) fn postpone_list_poll(&mut self) {
        let jitter = self.rng.below(16) as i64;
        let delay = self.settings.times.list_poll_interval.map(|interval| interval / 64 * (16 + jitter));
        self.next_list_poll = delay.map(|delay| self.now + delay);
    }

    pub(crate) fn apply_endpoint_list(&mut self, complete: bool, records: &[EndpointRecord]) {
        let unlisted_stay_usable = self.settings.settings.unlisted_stay_usable;
        let unlisted = self.endpoints.iter_mut().filter(|_| complete);
        unlisted.for_each(|endpoint| endpoint.listing.serving &= unlisted_stay_usable);
        // A watch that stands needs no renewal; one that was lost unnoticed does.
        self.next_list_poll = self.settings.times.list_poll_interval.map(|interval| self.now + interval * 4);
        for record in records {
            self.ensure_endpoint(record.endpoint, record.group, record.zone);
            self.apply_record(record);
            self.update_primary(record.group);
        }
    }

    fn apply_record(&mut self, record: &EndpointRecord) {
        let Endpoint { listing, role, health, capacity, .. } = &mut self.endpoints[record.endpoint];
        let stays_usable = listing.serving && self.settings.settings.unlisted_stay_usable;
        listing.serving = match record.status {
            EndpointStatus::Serving => true,
            EndpointStatus::Draining => false,
            EndpointStatus::Removed => stays_usable,
        };
        // A start that was only presumed gives way to the list's record of it.
        listing.started_at = listing.started_at.filter(|_| !listing.start_presumed);
        listing.start_presumed = record.start_presumed;
        if record.started_at > listing.started_at {
            listing.started_at = record.started_at;
            capacity.work.last_attempt_at = self.now;
            // Jitter: each instance makes its first attempt at a starting endpoint at a time of its own.
            let jitter = self.rng.below(64) as f64 / 256.0;
            capacity.work.at_last_attempt = jitter * self.settings.times.tightest_objective.as_secs_f64();
        }
        // The list's role is the weakest evidence: it counts only until the endpoint itself has answered.
        if health.answered_at.max(role.latest_evidence_at()) == Timestamp::DISTANT_PAST {
            role.primary_claim = record.primary.then_some(Timestamp::DISTANT_PAST);
        }
    }

    /// Takes a report for what it is worth. A position proves freshness however late it comes; a role counts
    /// from the time that it speaks of, which for a primary is its position.
    pub(crate) fn apply_report(&mut self, index: EndpointIndex, report: EndpointReport, is_answer: bool) {
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(index) else { return };
        // A report of a time to come proves nothing, least of all freshness.
        let from_future = report.position > Some(now + self.settings.times.answer_margin);
        let report = if from_future { EndpointReport::default() } else { report };
        if let Some(position) = report.position {
            endpoint.reported.record_position(position.min(now), now);
        }
        if let Some(busy) = report.load {
            endpoint.reported.load = Some(LoadReport { busy, at: now });
        }
        endpoint.role.apply(report, is_answer, now);
        let group = endpoint.listing.group;
        self.update_primary(group);
    }

    /// The primary of a group is the eligible member with the latest claim.
    pub(crate) fn update_primary(&mut self, group: GroupIndex) {
        let members = self.groups[group].members.iter().copied();
        let eligible = members.filter(|&member| self.groups[group].is_eligible(member));
        let claims = eligible.filter_map(|member| Some((self.endpoints[member].role.primary_claim?, member)));
        self.groups[group].primary = claims.max().map(|(_, member)| member);
    }
}

impl RoleEvidence {
    fn apply(&mut self, report: EndpointReport, is_answer: bool, now: Timestamp) {
        match report.role {
            Some(Role::Primary) => {
                let undated = if is_answer { now } else { self.primary_denied_at };
                let as_of = report.position.unwrap_or(undated);
                if as_of > self.primary_denied_at {
                    self.primary_claim = self.primary_claim.max(Some(as_of));
                }
            }
            // An answer that says "replica" holds at once; a report only as of its own time.
            Some(Role::Replica) if is_answer => (self.primary_claim, self.primary_denied_at) = (None, now),
            Some(Role::Replica) if report.position.unwrap_or(now) >= self.primary_claim.unwrap_or(now) => {
                self.primary_claim = None;
            }
            _ => {}
        }
    }
}
