//! Endpoint state from the endpoint list and from endpoints' own reports, and the primary of each group.

use crate::state::endpoint::{Endpoint, LoadReport, RoleEvidence};
use crate::time::Timestamp;
use crate::{Action, EndpointIndex, EndpointRecord, EndpointReport, EndpointStatus};
use crate::{GroupIndex, Role, RoutingPolicy};

/// Factor of the poll interval: an open watch is renewed after this time, in case it was lost unnoticed.
const WATCH_RENEWAL_FACTOR: i64 = 4;
/// Factor of the age from which a position is queried again: a load report older than that is ignored.
const LOAD_REPORT_AGE_FACTOR: i64 = 4;

impl RoutingPolicy {
    /// Polls the endpoint list if that is due.
    pub(crate) fn poll_endpoint_list(&mut self) {
        if self.next_list_poll.is_some_and(|at| at <= self.now) {
            self.next_list_poll = self.settings.times.list_poll_interval.map(|interval| self.now + interval);
            self.actions.push(Action::WatchEndpointList);
        }
    }

    /// Schedules the next poll after a failed one. The jitter keeps many instances from polling in step.
    pub(crate) fn postpone_list_poll(&mut self) {
        // The poll is repeated after 16 to 31 of 64 parts of the poll interval.
        const RETRY_PARTS: i64 = 64;
        const MIN_RETRY_PARTS: i64 = 16;
        const RETRY_JITTER_PARTS: usize = 16;
        let jitter = self.rng.below(RETRY_JITTER_PARTS) as i64;
        let delay = self
            .settings
            .times
            .list_poll_interval
            .map(|interval| interval / RETRY_PARTS * (MIN_RETRY_PARTS + jitter));
        self.next_list_poll = delay.map(|delay| self.now + delay);
    }

    pub(crate) fn apply_endpoint_list(&mut self, complete: bool, records: &[EndpointRecord]) {
        let unlisted_stay_usable = self.settings.settings.unlisted_stay_usable;
        let unlisted = self.endpoints.iter_mut().filter(|_| complete);
        unlisted.for_each(|endpoint| endpoint.listing.serving &= unlisted_stay_usable);
        // An open watch needs no poll, unless it was lost unnoticed.
        self.next_list_poll =
            self.settings.times.list_poll_interval.map(|interval| self.now + interval * WATCH_RENEWAL_FACTOR);
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
        // The start in the list replaces one that was only presumed.
        listing.started_at = listing.started_at.filter(|_| !listing.start_is_upper_bound);
        listing.start_is_upper_bound = record.start_is_upper_bound;
        if record.started_at > listing.started_at {
            listing.started_at = record.started_at;
            capacity.work.last_attempt_at = self.now;
            // The jitter spreads the first attempts of all instances at a starting endpoint: work of up to a
            // quarter of the tightest objective is reckoned to be outstanding.
            const START_JITTER_PARTS: usize = 64;
            const START_JITTER_DIVISOR: f64 = 256.0;
            let jitter = self.rng.below(START_JITTER_PARTS) as f64 / START_JITTER_DIVISOR;
            capacity.work.at_last_attempt = jitter * self.settings.times.tightest_objective.as_secs_f64();
        }
        // The role in the list is the weakest evidence: it is used only until the endpoint itself has
        // answered.
        if health.answered_at.max(role.latest_evidence_at()) == Timestamp::DISTANT_PAST {
            role.primary_claim = record.primary.then_some(Timestamp::DISTANT_PAST);
        }
    }

    /// The time from which load reports are recent enough to be used.
    pub(super) fn load_reports_since(&self) -> Timestamp {
        self.now - self.settings.times.max_report_age * LOAD_REPORT_AGE_FACTOR
    }

    /// Applies a report of an endpoint. A position proves freshness however late the report arrives; a role
    /// is valid as of the time that it was reported for, which for a primary is its position.
    pub(crate) fn apply_report(&mut self, index: EndpointIndex, report: EndpointReport, is_answer: bool) {
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(index) else { return };
        // A report dated in the future is no evidence, in particular not of freshness.
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
            // The role "replica" in an answer is valid at once; in another report only as of its own time.
            Some(Role::Replica) if is_answer => (self.primary_claim, self.primary_denied_at) = (None, now),
            Some(Role::Replica) if report.position.unwrap_or(now) >= self.primary_claim.unwrap_or(now) => {
                self.primary_claim = None;
            }
            _ => {}
        }
    }
}
