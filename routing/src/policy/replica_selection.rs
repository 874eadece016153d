//! Endpoint selection: which endpoint a request is sent to now, if any.

use crate::state::request::{Request, RequestEvent};
use crate::time::{TimeDelta, Timestamp};
use crate::{Access, EndpointIndex, GroupIndex, LagHandling, MethodIndex, RequestId, RoutingPolicy};

/// The reported load, as a fraction of cores, up to which a primary serves reads that replicas could serve.
const PRIMARY_MAX_LOAD: f64 = 0.7;
/// The fraction of its limit that a primary gives to reads which replicas could serve.
const PRIMARY_READ_SHARE: f64 = 0.5;
/// The fraction of a limit that is given to clients' retries: serving the newest request first would favour a
/// retry storm.
const CLIENT_RETRY_SHARE: f64 = 0.25;
/// Factor of the tightest latency objective: a member that denied to be primary within this time is not
/// tried.
const PRIMARY_DENIAL_FACTOR: i64 = 4;
/// Divisor of a method's latency objective: the time for which a read waits for a replica to catch up.
const CATCH_UP_DIVISOR: i64 = 2;
/// The range of the random numbers that decide between equal candidates.
pub(super) const TIE_BREAK_RANGE: usize = 1 << 16;

type Candidates = Vec<EndpointIndex>;

impl RoutingPolicy {
    pub(super) fn select_endpoint(&mut self, id: RequestId) -> Option<RequestEvent> {
        let request = &self.requests[&id];
        if self.has_no_prospect(request) {
            return Some(RequestEvent::NoProspect);
        }
        let (method, group) = (request.method, request.group);
        let primary = self.groups[group].primary.filter(|&index| self.is_usable(index, method));
        let selected = if self.settings.methods[method].is_write() {
            let candidate = primary.or_else(|| self.primary_candidate(group, method));
            candidate.filter(|&index| self.has_capacity(index, 1.0))
        } else {
            self.select_for_read(id, primary)
        };
        selected.map(RequestEvent::EndpointSelected)
    }

    fn select_for_read(&mut self, id: RequestId, primary: Option<EndpointIndex>) -> Option<EndpointIndex> {
        let request = &self.requests[&id];
        let share = if request.client_retry { CLIENT_RETRY_SHARE } else { 1.0 };
        let is_strong = self.settings.methods[request.method].access == Access::StrongRead;
        let replicas = self.qualifying_replicas(request, share)?;
        if let Some(replica) = self.fewest_in_flight(&replicas) {
            return Some(replica);
        }
        // Departure: if every qualifying replica is at its limit, the primary serves the read within its own
        // limit, unless it has lately reported that it is busy. Half of its limit stays free for writes and
        // strong reads.
        let primary = primary?;
        // Without health checks, a silent primary may have lost its role unnoticed.
        if !self.settings.settings.may_check_health && self.endpoints[primary].is_silent() {
            return None;
        }
        let primary_share = if is_strong { share } else { PRIMARY_READ_SHARE * share };
        let is_busy =
            self.endpoints[primary].reported_busier_than(PRIMARY_MAX_LOAD, self.load_reports_since());
        (self.has_capacity(primary, primary_share) && (is_strong || !is_busy)).then_some(primary)
    }

    /// Departure: without health checks and without a known primary, writes discover the primary. A member
    /// that is not the primary rejects a write unexecuted; one that has lately denied to be primary is not
    /// tried.
    fn primary_candidate(&mut self, group: GroupIndex, method: MethodIndex) -> Option<EndpointIndex> {
        let group = &self.groups[group];
        if self.settings.settings.may_check_health || group.primary.is_some() {
            return None;
        }
        let lately = self.now - self.settings.times.tightest_objective * PRIMARY_DENIAL_FACTOR;
        let denied_at = |index: EndpointIndex| self.endpoints[index].role.primary_denied_at;
        let is_free = |index: EndpointIndex| self.endpoints[index].is_idle() && group.is_eligible(index);
        let mut candidates = group.members.clone();
        candidates
            .retain(|&index| denied_at(index) < lately && is_free(index) && self.is_usable(index, method));
        let longest_ago = candidates.iter().map(|&index| denied_at(index)).min()?;
        candidates.retain(|&index| denied_at(index) == longest_ago);
        self.fewest_in_flight(&candidates)
    }

    /// The position that a read must see at the current time.
    pub(super) fn required_position(&self, request: &Request) -> Option<Timestamp> {
        match self.settings.methods[request.method].access {
            Access::BoundedRead(bound) => Some(self.now - bound).max(request.session.required_position),
            _ => request.session.required_position,
        }
    }

    /// The replicas that qualify for a read. If the list is empty, the primary may serve it; if it is `None`,
    /// it waits.
    fn qualifying_replicas(&self, request: &Request, share: f64) -> Option<Candidates> {
        let method = &self.settings.methods[request.method];
        let group = &self.groups[request.group];
        let mut replicas = group.members.clone();
        replicas.retain(|&index| group.primary != Some(index) && self.is_usable(index, request.method));
        if method.delays_replication && !request.session.carries_position && !replicas.is_empty() {
            return self.replica_for_long_read(replicas, share);
        }
        let only_one = replicas.len() == 1 && request.attempts.eligibility_rejections == 0;
        replicas.retain(|&index| {
            (only_one || Some(index) != request.attempts.last_failed_endpoint)
                && self.has_capacity(index, share)
        });
        let required = self.required_position(request);
        let position = |index: EndpointIndex| self.endpoints[index].reported.position;
        let is_fresh = |index: &EndpointIndex| required.is_none() || position(*index) >= required;
        if replicas.iter().any(is_fresh) {
            replicas.retain(is_fresh);
            return Some(replicas);
        }
        self.stale_replicas(request, replicas)
    }

    /// As [`Self::qualifying_replicas`], if no replica is known to be fresh enough.
    fn stale_replicas(&self, request: &Request, mut replicas: Candidates) -> Option<Candidates> {
        let method = &self.settings.methods[request.method];
        let catch_up_time = method.latency_objective / CATCH_UP_DIVISOR;
        let catches_up = |index: &EndpointIndex, within| self.may_catch_up(request, *index, within);
        let is_strong = method.access == Access::StrongRead;
        let may_wait = !is_strong && self.now - request.deadlines.arrived_at < catch_up_time;
        let worth_waiting = may_wait && replicas.iter().any(|index| catches_up(index, catch_up_time));
        let first_try = request.attempts.eligibility_rejections == 0;
        match self.settings.settings.lag_handling {
            _ if request.session.carries_position && worth_waiting => return None,
            _ if request.session.carries_position => replicas.clear(),
            // The wait at an endpoint is of use only if its last reported lag can be made up within it.
            LagHandling::Wait(max_wait) if first_try => replicas.retain(|index| catches_up(index, max_wait)),
            LagHandling::Reject if first_try && !is_strong => {
                let freshest =
                    replicas.into_iter().max_by_key(|&index| self.endpoints[index].reported.position);
                replicas = freshest.into_iter().collect();
            }
            // Departure: the read does not wait if no replica can catch up in time by its last reported lag.
            LagHandling::ServeStale if worth_waiting => return None,
            _ => replicas.clear(),
        }
        Some(replicas)
    }

    /// Whether an endpoint's data may become fresh enough within a time, by its last reported lag.
    fn may_catch_up(&self, request: &Request, index: EndpointIndex, within: TimeDelta) -> bool {
        let required = self.required_position(request);
        let allowed = required.map(|at| self.now - at + within + self.settings.times.max_report_age);
        self.endpoints[index].reported.lag().is_some_and(|lag| allowed >= Some(lag))
    }

    /// Departure: a read without a bound that may take longer than other methods' bounds is sent only to the
    /// half of the replicas with the most lag: long reads on all replicas would keep all of them from
    /// applying their logs.
    fn replica_for_long_read(&self, mut replicas: Candidates, share: f64) -> Option<Candidates> {
        replicas.sort_by_key(|&index| self.endpoints[index].reported.position);
        replicas.truncate(replicas.len().div_ceil(2));
        replicas.into_iter().find(|&index| self.has_capacity(index, share)).map(|index| vec![index])
    }

    /// The candidate with the fewest of this instance's attempts in flight. An endpoint in another zone
    /// counts one more attempt; ties are decided by zone, then at random.
    fn fewest_in_flight(&mut self, candidates: &[EndpointIndex]) -> Option<EndpointIndex> {
        let (settings, endpoints, rng) = (&self.settings.settings, &self.endpoints, &mut self.rng);
        candidates.iter().copied().min_by_key(|&index| {
            let endpoint = &endpoints[index];
            let other_zone = endpoint.listing.zone != settings.zone;
            // Without health checks only an answer shows an endpoint's role: those never tried are first.
            let untried = !endpoint.has_answered() && endpoint.is_idle();
            let known = settings.may_check_health || !untried;
            (
                known,
                endpoint.capacity.in_flight + u32::from(other_zone),
                other_zone,
                rng.below(TIE_BREAK_RANGE),
            )
        })
    }
}
