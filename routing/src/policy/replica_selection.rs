//! Endpoint selection: the endpoint that a request is sent to, or none if the request has to wait.

use crate::state::request::{Request, RequestEvent};
use crate::time::{TimeDelta, Timestamp};
use crate::{Access, EndpointIndex, GroupIndex, LagHandling, MethodIndex, RequestId, RoutingPolicy};

/// A primary serves a read that a replica could serve, unless the primary reports that more than this fraction of
/// its cores is busy.
const PRIMARY_MAX_LOAD: f64 = 0.7;
/// The fraction of a primary's concurrency limit that is available to reads that replicas could serve.
const PRIMARY_READ_SHARE: f64 = 0.5;
/// The fraction of a concurrency limit that is available to clients' retries. Waiting requests are served
/// newest first, which would otherwise favour a retry storm.
const CLIENT_RETRY_SHARE: f64 = 0.25;
/// A write without a known primary is not sent to a member that has denied being the primary within the
/// tightest latency objective times this.
const PRIMARY_DENIAL_FACTOR: i64 = 4;
/// A read waits for a replica to catch up for at most its method's latency objective divided by this.
const CATCH_UP_DIVISOR: i64 = 2;
/// Range of the random numbers that select one of several equally good candidates.
pub(super) const TIE_BREAK_RANGE: usize = 1 << 16;

type Candidates = Vec<EndpointIndex>;

impl RoutingPolicy {
    /// Selects the endpoint of a waiting request's next attempt. Returns the event for the request, or `None` if
    /// the request has to keep waiting.
    pub(super) fn select_endpoint(&mut self, id: RequestId) -> Option<RequestEvent> {
        let request = &self.requests[&id];
        if self.cannot_succeed(request) {
            return Some(RequestEvent::CannotSucceed);
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

    /// Selects the endpoint of a read; `primary` is the primary of the read's group, if usable.
    fn select_for_read(&mut self, id: RequestId, primary: Option<EndpointIndex>) -> Option<EndpointIndex> {
        let request = &self.requests[&id];
        let share = if request.client_retry { CLIENT_RETRY_SHARE } else { 1.0 };
        let is_strong = self.settings.methods[request.method].access == Access::StrongRead;
        let replicas = self.qualifying_replicas(request, share)?;
        if let Some(replica) = self.fewest_in_flight(&replicas) {
            return Some(replica);
        }
        // Exception: if every qualifying replica is at its limit, the primary may serve the read, unless the
        // primary has recently reported a high load. Half of the primary's limit stays reserved for writes and
        // strong reads.
        let primary = primary?;
        // Without health checks, a primary that has not answered since it failed may have lost its role.
        if !self.settings.settings.may_check_health && self.endpoints[primary].silent_since_failure() {
            return None;
        }
        let primary_share = if is_strong { share } else { PRIMARY_READ_SHARE * share };
        let is_busy =
            self.endpoints[primary].reported_busier_than(PRIMARY_MAX_LOAD, self.load_reports_since());
        (self.has_capacity(primary, primary_share) && (is_strong || !is_busy)).then_some(primary)
    }

    /// Exception: without health checks, a write of a group without a known primary is sent to a member that
    /// may be the primary. This is safe because a member that is not the primary rejects the write without
    /// executing it. Members that have recently denied being the primary are left out.
    fn primary_candidate(&mut self, group: GroupIndex, method: MethodIndex) -> Option<EndpointIndex> {
        let group = &self.groups[group];
        if self.settings.settings.may_check_health || group.primary.is_some() {
            return None;
        }
        let recent_since = self.now - self.settings.times.tightest_objective * PRIMARY_DENIAL_FACTOR;
        let denied_at = |index: EndpointIndex| self.endpoints[index].role.primary_denied_at;
        let may_be_tried = |index: EndpointIndex| self.endpoints[index].is_idle() && group.is_eligible(index);
        let mut candidates = group.members.clone();
        candidates.retain(|&index| {
            denied_at(index) < recent_since && may_be_tried(index) && self.is_usable(index, method)
        });
        let earliest_denial = candidates.iter().map(|&index| denied_at(index)).min()?;
        candidates.retain(|&index| denied_at(index) == earliest_denial);
        self.fewest_in_flight(&candidates)
    }

    /// The position that a read must see if its attempt starts now; `None` if the read may see data of any age.
    pub(super) fn required_position(&self, request: &Request) -> Option<Timestamp> {
        match self.settings.methods[request.method].access {
            Access::BoundedRead(bound) => Some(self.now - bound).max(request.session.required_position),
            _ => request.session.required_position,
        }
    }

    /// The replicas that qualify for a read. An empty list means that the primary may serve the read; `None`
    /// means that the read has to wait.
    fn qualifying_replicas(&self, request: &Request, share: f64) -> Option<Candidates> {
        let method = &self.settings.methods[request.method];
        let group = &self.groups[request.group];
        let mut replicas = group.members.clone();
        replicas.retain(|&index| group.primary != Some(index) && self.is_usable(index, request.method));
        if method.delays_replication && !request.session.includes_seen_position && !replicas.is_empty() {
            return self.replica_for_long_read(replicas, share);
        }
        // The endpoint of the last failed attempt is tried again only if it is the only replica and no attempt of
        // the request was rejected as too stale.
        let may_repeat_endpoint = replicas.len() == 1 && request.attempts.eligibility_rejections == 0;
        replicas.retain(|&index| {
            (may_repeat_endpoint || Some(index) != request.attempts.last_failed_endpoint)
                && self.has_capacity(index, share)
        });
        let required = self.required_position(request);
        let position = |index: EndpointIndex| self.endpoints[index].reported.position;
        let is_fresh = |index: &EndpointIndex| required.is_none() || position(*index) >= required;
        if replicas.iter().any(is_fresh) {
            replicas.retain(is_fresh);
            return Some(replicas);
        }
        self.qualifying_stale_replicas(request, replicas)
    }

    /// The result of [`Self::qualifying_replicas`] if no replica is known to be fresh enough.
    fn qualifying_stale_replicas(&self, request: &Request, mut replicas: Candidates) -> Option<Candidates> {
        let method = &self.settings.methods[request.method];
        let catch_up_time = method.latency_objective / CATCH_UP_DIVISOR;
        let catches_up = |index: &EndpointIndex, within| self.may_catch_up(request, *index, within);
        let is_strong = method.access == Access::StrongRead;
        let may_wait = !is_strong && self.now - request.deadlines.arrived_at < catch_up_time;
        let worth_waiting = may_wait && replicas.iter().any(|index| catches_up(index, catch_up_time));
        let never_rejected_as_stale = request.attempts.eligibility_rejections == 0;
        match self.settings.settings.lag_handling {
            _ if request.session.includes_seen_position && worth_waiting => return None,
            _ if request.session.includes_seen_position => replicas.clear(),
            // A wait at a replica is useful only if the replica can make up its last reported lag meanwhile.
            LagHandling::Wait(max_wait) if never_rejected_as_stale => {
                replicas.retain(|index| catches_up(index, max_wait));
            }
            LagHandling::Reject if never_rejected_as_stale && !is_strong => {
                // The freshest replica gets the read, and rejects it if its data is too stale.
                let freshest =
                    replicas.into_iter().max_by_key(|&index| self.endpoints[index].reported.position);
                replicas = freshest.into_iter().collect();
            }
            // Exception: the read does not wait if every replica's last reported lag is too large to be made up
            // in time.
            LagHandling::ServeStale if worth_waiting => return None,
            _ => replicas.clear(),
        }
        Some(replicas)
    }

    /// Whether an endpoint may reach the position that a read must see within the time `within`, according to the
    /// endpoint's last reported lag.
    fn may_catch_up(&self, request: &Request, index: EndpointIndex, within: TimeDelta) -> bool {
        let required = self.required_position(request);
        let max_lag = required.map(|at| self.now - at + within + self.settings.times.max_report_age);
        self.endpoints[index].reported.lag().is_some_and(|lag| max_lag >= Some(lag))
    }

    /// The replica for a read that has no staleness bound itself but may take longer than another method's bound.
    /// Exception: such a read is sent only to the half of the replicas that lag most, because long reads on
    /// all replicas would keep all of them from applying the primary's log.
    fn replica_for_long_read(&self, mut replicas: Candidates, share: f64) -> Option<Candidates> {
        replicas.sort_by_key(|&index| self.endpoints[index].reported.position);
        replicas.truncate(replicas.len().div_ceil(2));
        replicas.into_iter().find(|&index| self.has_capacity(index, share)).map(|index| vec![index])
    }

    /// The candidate with the fewest attempts of this instance in flight. An endpoint in another zone counts as
    /// having one more attempt. Ties are broken in favour of this instance's zone, then at random.
    fn fewest_in_flight(&mut self, candidates: &[EndpointIndex]) -> Option<EndpointIndex> {
        let (settings, endpoints, rng) = (&self.settings.settings, &self.endpoints, &mut self.rng);
        candidates.iter().copied().min_by_key(|&index| {
            let endpoint = &endpoints[index];
            let is_other_zone = endpoint.listing.zone != settings.zone;
            // Without health checks, only an answer shows an endpoint's role, so endpoints that have never
            // been tried come first.
            let is_untried = !endpoint.has_answered() && endpoint.is_idle();
            let comes_later = settings.may_check_health || !is_untried;
            (
                comes_later,
                endpoint.capacity.in_flight + u32::from(is_other_zone),
                is_other_zone,
                rng.below(TIE_BREAK_RANGE),
            )
        })
    }
}
