//! Verification of a group's primary from the members' reports since the instance started.
//!
//! A claim to be primary is not sufficient: a former primary behind a network partition still claims the role. A
//! claim is disproved by a member on a later timeline, by a member that was ahead of the claimant before the claimant
//! was queried, or by a position below the group's known minimum. Exactly one claim must remain. It is verified if a
//! majority of members follows the claimant, if all other members are accounted for, or if discovery has confirmed
//! the member list.

use crate::endpoint_state::{EndpointState, RecoveringEndpoint};
use crate::staleness::VerificationLevel;
use routing::time::{TimeDelta, Timestamp};
use routing::{EndpointIndex, GroupIndex, Role};

/// The timeline and position that a group had reached before the instance started. The true primary is at or above
/// them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MinimumPosition {
    /// PostgreSQL timeline of the group's log.
    pub timeline: Option<u32>,
    /// Position (commit time) on that timeline.
    pub position: Option<Timestamp>,
}

/// The minimum position of one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupMinimum {
    /// The group.
    pub group: GroupIndex,
    /// The timeline and position that the group had reached.
    pub minimum: MinimumPosition,
}

/// Result of evaluating the members' claims to be primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verification {
    /// No member claims to be primary, or every claim was disproved.
    NoClaim,
    /// This member has the only valid claim, and the claim is not verified yet.
    Unverified(EndpointIndex),
    /// Several members have valid claims.
    Contested,
    /// This member is verified to be the primary.
    Verified(EndpointIndex),
}

/// How long a member's report or refused connection counts as evidence for a claim. Evidence from before a failover
/// must not be combined with evidence from after it. Evidence against a claim does not expire.
pub const EVIDENCE_VALID_FOR: TimeDelta = TimeDelta::from_millis(2_000);

/// Input of the verification of a group.
#[derive(Clone, Copy)]
pub struct GroupEvidence<'a> {
    /// Members of the group.
    pub members: &'a [EndpointIndex],
    /// All endpoints, by index.
    pub endpoints: &'a [RecoveringEndpoint],
    /// Lower bound on the true primary's timeline and position.
    pub minimum: MinimumPosition,
    /// The evidence required at the age of the member list.
    pub level: &'a VerificationLevel,
    /// Whether discovery has provided the member list since the instance started.
    pub list_confirmed: bool,
    /// The current time.
    pub now: Timestamp,
}

/// Evaluates the claims of a group's members to be primary.
pub fn verify(evidence: GroupEvidence) -> Verification {
    let claims: Vec<EndpointIndex> =
        evidence.members.iter().copied().filter(|&member| evidence.has_valid_claim(member)).collect();
    let claimant = match claims[..] {
        [] => return Verification::NoClaim,
        [claimant] => claimant,
        _ => return Verification::Contested,
    };
    let verified = evidence.all_queried()
        && evidence.has_claimed_often_enough(claimant)
        && (evidence.list_confirmed
            || evidence.is_followed_by_majority(claimant)
            || (evidence.level.accepts_without_majority && evidence.all_accounted_for()));
    if verified {
        Verification::Verified(claimant)
    } else {
        Verification::Unverified(claimant)
    }
}

impl GroupEvidence<'_> {
    fn evidence_valid_since(&self) -> Timestamp {
        self.now - EVIDENCE_VALID_FOR
    }

    fn identified_members(&self) -> impl Iterator<Item = EndpointIndex> + '_ {
        self.members.iter().copied().filter(|&member| self.endpoints[member].is_identified())
    }

    /// Whether a member claims to be primary and nothing disproves it.
    fn has_valid_claim(&self, member: EndpointIndex) -> bool {
        let claimant = &self.endpoints[member];
        claimant.claims_primary()
            && !is_below(claimant, self.minimum)
            && !self
                .identified_members()
                .any(|other| other != member && disproves(&self.endpoints[other], claimant))
    }

    /// Whether a query to every listed member has ended, with or without an answer.
    fn all_queried(&self) -> bool {
        let mut listed = self.members.iter().map(|&member| &self.endpoints[member]);
        listed.all(|endpoint| endpoint.state == EndpointState::Removed || endpoint.queried)
    }

    /// Whether a member's claim is recent and was repeated as often as the list's age requires.
    fn has_claimed_often_enough(&self, member: EndpointIndex) -> bool {
        let claimant = &self.endpoints[member];
        let is_recent = claimant.query_ended_at >= self.evidence_valid_since();
        is_recent && (claimant.consecutive_claims >= self.level.claims_required || self.list_confirmed)
    }

    /// Whether a majority of members, including the claimant, is on the claimant's timeline and has passed the first
    /// position that the claimant reported as a primary. The other members can only have received that part of the
    /// log from the claimant.
    fn is_followed_by_majority(&self, claimant: EndpointIndex) -> bool {
        let followers =
            self.members.iter().filter(|&&member| member == claimant || self.follows(member, claimant));
        let listed =
            self.members.iter().filter(|&&other| self.endpoints[other].state != EndpointState::Removed);
        followers.count() * 2 > listed.count()
    }

    /// Whether a member has recently reported that it replicates the claimant's log.
    fn follows(&self, member: EndpointIndex, claimant: EndpointIndex) -> bool {
        let (member, claimant) = (&self.endpoints[member], &self.endpoints[claimant]);
        let same_timeline =
            member.report.timeline.is_some() && member.report.timeline == claimant.report.timeline;
        let has_passed = claimant.first_primary_position.is_some()
            && member.report.position >= claimant.first_primary_position;
        member.is_identified()
            && member.query_ended_at >= self.evidence_valid_since()
            && member.report.role == Some(Role::Replica)
            && same_timeline
            && has_passed
    }

    /// Whether every member has answered or refused the connection recently. A member that does not answer is not
    /// accounted for, since it may have become primary behind a network partition.
    fn all_accounted_for(&self) -> bool {
        let mut members = self.members.iter().map(|&member| &self.endpoints[member]);
        members.all(|endpoint| match endpoint.state {
            EndpointState::Identified | EndpointState::Refusing => {
                endpoint.query_ended_at >= self.evidence_valid_since()
            }
            state => state == EndpointState::Removed,
        })
    }
}

/// Whether a claimant is below the minimum timeline and position of its group.
fn is_below(claimant: &RecoveringEndpoint, minimum: MinimumPosition) -> bool {
    match (claimant.report.timeline, minimum.timeline) {
        (Some(claimed), Some(lowest)) if claimed != lowest => claimed < lowest,
        // A claim without a position counts as below any minimum position (`None` is less than `Some`).
        _ => claimant.report.position < minimum.position,
    }
}

/// Whether another member's report disproves a claim: that member is on a later timeline, or was ahead on the same
/// timeline before the claimant was queried.
fn disproves(other: &RecoveringEndpoint, claimant: &RecoveringEndpoint) -> bool {
    match (other.report.timeline, claimant.report.timeline) {
        (Some(reported), Some(claimed)) if reported != claimed => reported > claimed,
        _ => {
            let was_ahead = other.report.position > claimant.report.position;
            was_ahead && other.reported_at <= claimant.queried_at
        }
    }
}
