//! Updates of endpoint state from the endpoint list and from endpoints' own reports, and of each group's primary.

use crate::state::endpoint::{Endpoint, LoadReport, RoleEvidence};
use crate::time::Timestamp;
use crate::{Action, EndpointIndex, EndpointRecord, EndpointReport, EndpointStatus};
use crate::{GroupIndex, Role, RoutingPolicy};

/// An open watch of the endpoint list is renewed after the poll interval times this, in case the watch has broken
/// without an error.
const WATCH_RENEWAL_FACTOR: i64 = 4;
/// A load report is ignored once it is older than `max_report_age` times this.
const LOAD_REPORT_AGE_FACTOR: i64 = 4;

impl RoutingPolicy {
    /// Polls the endpoint list if the time of the next poll has come.
    pub(crate) fn poll_endpoint_list(&mut self) {
        if self.next_list_poll.is_some_and(|at| at <= self.now) {
            self.next_list_poll = self.settings.times.list_poll_interval.map(|interval| self.now + interval);
            self.actions.push(Action::WatchEndpointList);
        }
    }

    /// Schedules the next poll after a failed one. The jitter keeps instances from polling all at the same
    /// time.
    pub(crate) fn schedule_list_poll_retry(&mut self) {
        // The next poll is 16/64 to 31/64 of the poll interval later.
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

    /// Applies received records of the endpoint list. If the list is complete, endpoints missing from it get no
    /// more attempts, unless the settings keep unlisted endpoints usable.
    pub(crate) fn apply_endpoint_list(&mut self, complete: bool, records: &[EndpointRecord]) {
        let unlisted_stay_usable = self.settings.settings.unlisted_stay_usable;
        let unlisted = self.endpoints.iter_mut().filter(|_| complete);
        unlisted.for_each(|endpoint| endpoint.listing.serving &= unlisted_stay_usable);
        // The watch of the list is open, so it is renewed only in case it has broken without an error.
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
        // A listed start time replaces one that was only an upper bound.
        listing.started_at = listing.started_at.filter(|_| !listing.start_is_upper_bound);
        listing.start_is_upper_bound = record.start_is_upper_bound;
        if record.started_at > listing.started_at {
            listing.started_at = record.started_at;
            capacity.work.last_attempt_at = self.now;
            // A random amount of outstanding work, up to a quarter of the tightest objective, is assumed, so
            // that the first attempts of all instances do not reach a starting endpoint at the same time.
            const START_JITTER_PARTS: usize = 64;
            const START_JITTER_DIVISOR: f64 = 256.0;
            let jitter = self.rng.below(START_JITTER_PARTS) as f64 / START_JITTER_DIVISOR;
            capacity.work.outstanding_at_last_attempt =
                jitter * self.settings.times.tightest_objective.as_secs_f64();
        }
        // The role in the list is used only until the endpoint itself has answered or reported its role.
        if health.answered_at.max(role.latest_evidence_at()) == Timestamp::DISTANT_PAST {
            role.primary_claim = record.primary.then_some(Timestamp::DISTANT_PAST);
        }
    }

    /// Load reports received before this time are ignored.
    pub(super) fn load_reports_since(&self) -> Timestamp {
        self.now - self.settings.times.max_report_age * LOAD_REPORT_AGE_FACTOR
    }

    /// Applies a report of an endpoint. `is_answer` means that the report is part of an answer and therefore
    /// current. A position is valid however late its report arrives. A role is valid only as of the time of its
    /// report, which for a primary is the reported position.
    pub(crate) fn apply_report(&mut self, index: EndpointIndex, report: EndpointReport, is_answer: bool) {
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(index) else { return };
        // A report with a position in the future is ignored: it proves nothing, least of all that the endpoint's
        // data is fresh.
        let from_future = report.position > Some(now + self.settings.times.answer_margin);
        let report = if from_future { EndpointReport::default() } else { report };
        if let Some(position) = report.position {
            endpoint.reported.record_position(position.min(now), now);
        }
        if let Some(busy_fraction) = report.load {
            endpoint.reported.load = Some(LoadReport { busy_fraction, received_at: now });
        }
        endpoint.role.apply(report, is_answer, now);
        let group = endpoint.listing.group;
        self.update_primary(group);
    }

    /// Selects a group's primary: the eligible member with the latest claim to be primary.
    pub(crate) fn update_primary(&mut self, group: GroupIndex) {
        let members = self.groups[group].members.iter().copied();
        let eligible = members.filter(|&member| self.groups[group].is_eligible(member));
        let claims = eligible.filter_map(|member| Some((self.endpoints[member].role.primary_claim?, member)));
        self.groups[group].primary = claims.max().map(|(_, member)| member);
    }
}

impl RoleEvidence {
    /// Applies the role in a report. A claim to be primary counts only if it is later than the last answer in
    /// which the endpoint denied being the primary.
    fn apply(&mut self, report: EndpointReport, is_answer: bool, now: Timestamp) {
        match report.role {
            Some(Role::Primary) => {
                let time_without_position = if is_answer { now } else { self.primary_denied_at };
                let claimed_at = report.position.unwrap_or(time_without_position);
                if claimed_at > self.primary_denied_at {
                    self.primary_claim = self.primary_claim.max(Some(claimed_at));
                }
            }
            // The role "replica" withdraws the claim at once if it is part of an answer. In any other report it
            // withdraws only a claim that is no later than the report's position.
            Some(Role::Replica) if is_answer => (self.primary_claim, self.primary_denied_at) = (None, now),
            Some(Role::Replica) if report.position.unwrap_or(now) >= self.primary_claim.unwrap_or(now) => {
                self.primary_claim = None;
            }
            _ => {}
        }
    }
}
