//! What verifies that an endpoint is its group's primary, from what the members have reported since this start.
//!
//! A claim alone verifies nothing: a former primary whose links were cut goes on claiming. Three things disprove one: a
//! member on a later timeline, a member that was ahead of it before it was queried, and less than the group was known to
//! have before. What is left must be the only one, and be verified by a majority that follows it, by all others being
//! accounted for, or by discovery's confirmation of the list of members.

use crate::endpoint_state::{EndpointState, RecoveringEndpoint};
use crate::staleness::VerificationLevel;
use routing::time::{TimeDelta, Timestamp};
use routing::{EndpointIndex, Role};

/// What was known of a group before this start: no true primary has less.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MinimumPosition {
    /// The timeline of its log.
    pub timeline: Option<u32>,
    /// A position on it.
    pub position: Option<Timestamp>,
}

/// What the members' claims come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verification {
    /// Nobody claims to be primary, or no claim holds.
    NoClaim,
    /// Only this one claims it, and it is not verified yet.
    Unverified(EndpointIndex),
    /// Several claim it, and nothing tells them apart.
    Contested,
    /// This one is verified.
    Verified(EndpointIndex),
}

/// What a member has reported, or refused, counts as evidence for this long: pieces from before and after a failover must
/// not add up. Against a claim it counts for good.
pub const EVIDENCE_VALID_FOR: TimeDelta = TimeDelta::from_millis(2_000);

/// What is known of a group when its members' claims are verified.
#[derive(Clone, Copy)]
pub struct GroupEvidence<'a> {
    /// Its members.
    pub members: &'a [EndpointIndex],
    /// All endpoints, by index.
    pub endpoints: &'a [RecoveringEndpoint],
    /// What its true primary has at the least.
    pub minimum: MinimumPosition,
    /// How far the list of members is trusted.
    pub level: &'a VerificationLevel,
    /// Discovery has given the list of members since this start.
    pub list_confirmed: bool,
    /// The time.
    pub now: Timestamp,
}

/// Verifies the claims of a group's members.
pub fn verify(evidence: GroupEvidence) -> Verification {
    let claims: Vec<EndpointIndex> =
        evidence.members.iter().copied().filter(|&member| evidence.claim_holds(member)).collect();
    let claimant = match claims[..] {
        [] => return Verification::NoClaim,
        [claimant] => claimant,
        _ => return Verification::Contested,
    };
    let verified = evidence.all_queried()
        && evidence.has_claimed_often_enough(claimant)
        && (evidence.list_confirmed
            || evidence.is_followed_by_majority(claimant)
            || (evidence.level.accounting_suffices && evidence.all_accounted_for()));
    if verified {
        Verification::Verified(claimant)
    } else {
        Verification::Unverified(claimant)
    }
}

impl GroupEvidence<'_> {
    fn valid_since(&self) -> Timestamp {
        self.now - EVIDENCE_VALID_FOR
    }

    fn identified(&self) -> impl Iterator<Item = EndpointIndex> + '_ {
        self.members.iter().copied().filter(|&member| self.endpoints[member].is_identified())
    }

    fn claim_holds(&self, member: EndpointIndex) -> bool {
        let claimant = &self.endpoints[member];
        claimant.claims_primary()
            && !is_below(claimant, self.minimum)
            && !self.identified().any(|other| other != member && disproves(&self.endpoints[other], claimant))
    }

    fn all_queried(&self) -> bool {
        let mut listed = self.members.iter().map(|&member| &self.endpoints[member]);
        listed.all(|endpoint| endpoint.state == EndpointState::Removed || endpoint.queried)
    }

    fn has_claimed_often_enough(&self, member: EndpointIndex) -> bool {
        let claimant = &self.endpoints[member];
        let often = claimant.consecutive_claims >= self.level.claims_required || self.list_confirmed;
        claimant.query_ended_at >= self.valid_since() && often
    }

    /// Whether most members, itself among them, are on its timeline and have passed the position that it reported after
    /// this start: that part of the log cannot have come from anywhere else.
    fn is_followed_by_majority(&self, member: EndpointIndex) -> bool {
        let followers = self.members.iter().filter(|&&other| other == member || self.follows(other, member));
        let listed =
            self.members.iter().filter(|&&other| self.endpoints[other].state != EndpointState::Removed);
        followers.count() * 2 > listed.count()
    }

    fn follows(&self, member: EndpointIndex, claimant: EndpointIndex) -> bool {
        let (member, claimant) = (&self.endpoints[member], &self.endpoints[claimant]);
        let same_timeline =
            member.report.timeline.is_some() && member.report.timeline == claimant.report.timeline;
        let has_passed = claimant.first_primary_position.is_some()
            && member.report.position >= claimant.first_primary_position;
        member.is_identified()
            && member.query_ended_at >= self.valid_since()
            && member.report.role == Some(Role::Replica)
            && same_timeline
            && has_passed
    }

    /// Whether every member has answered, or its machine says that nothing listens there. Silence is no account: a member
    /// that is cut off from here may have become primary.
    fn all_accounted_for(&self) -> bool {
        let mut members = self.members.iter().map(|&member| &self.endpoints[member]);
        members.all(|endpoint| match endpoint.state {
            EndpointState::Identified | EndpointState::Refusing => {
                endpoint.query_ended_at >= self.valid_since()
            }
            state => state == EndpointState::Removed,
        })
    }
}

fn is_below(claimant: &RecoveringEndpoint, minimum: MinimumPosition) -> bool {
    match (claimant.report.timeline, minimum.timeline) {
        (Some(claimed), Some(least)) if claimed != least => claimed < least,
        // A claim without a position cannot be measured against one.
        _ => claimant.report.position < minimum.position,
    }
}

/// Whether another member's report disproves a claim: it is on a later timeline, or it was further on the same one before
/// the claimant was even queried.
fn disproves(other: &RecoveringEndpoint, claimant: &RecoveringEndpoint) -> bool {
    match (other.report.timeline, claimant.report.timeline) {
        (Some(others), Some(claimed)) if others != claimed => others > claimed,
        _ => {
            let was_ahead = other.report.position > claimant.report.position;
            was_ahead && other.reported_at <= claimant.queried_at
        }
    }
}
