//! State machine of a group, as a transition table: which member the routing policy may treat as the primary.

use crate::primary_verification::Verification;
use routing::{EndpointIndex, PrimaryEligibility};

/// What is known about the primary of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GroupState {
    /// No member has a valid claim to be primary.
    #[default]
    Unknown,
    /// One member claims to be primary and is not verified yet.
    Claimed,
    /// Several members claim to be primary.
    Contested,
    /// This member is verified to be the primary.
    Verified(EndpointIndex),
    /// Discovery has confirmed the list, and no second member claims to be primary. The routing policy again decides
    /// by itself which member is the primary.
    Settled,
}

/// Events that affect the state of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupEvent {
    /// The members' claims to be primary were evaluated, with this result.
    Verification(Verification),
    /// One member is verified, discovery has confirmed the list, and no other member claims to be primary, not even
    /// with a disproved claim.
    Undisputed,
    /// Discovery has confirmed the list, and this instance cannot query endpoints.
    Unverifiable,
    /// A list that is not from discovery changed the members, or the state was lost.
    Reset,
}

/// New state after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The new state.
    pub state: GroupState,
    /// Whether the routing policy must be notified of a new eligibility.
    pub eligibility_changed: bool,
}

/// A transition rule: in a state that `from` accepts, an event that `on` accepts leads to the state that `to`
/// returns.
struct Rule {
    from: fn(GroupState) -> bool,
    on: fn(GroupEvent) -> bool,
    to: fn(GroupEvent) -> GroupState,
}

fn is_settled(state: GroupState) -> bool {
    state == GroupState::Settled
}

fn is_unsettled(state: GroupState) -> bool {
    !is_settled(state)
}

fn is_verified(state: GroupState) -> bool {
    matches!(state, GroupState::Verified(_))
}

fn is_unverified(state: GroupState) -> bool {
    is_unsettled(state) && !is_verified(state)
}

fn is_unverified_claim(event: GroupEvent) -> bool {
    matches!(event, GroupEvent::Verification(Verification::Unverified(_)))
}

/// The first matching rule applies. A verified member remains verified while no other member claims to be primary:
/// evidence expires, and a replica that falls behind later does not invalidate the verification.
const RULES: &[Rule] = &[
    Rule { from: is_settled, on: |event| event == GroupEvent::Reset, to: |_| GroupState::Unknown },
    Rule {
        from: is_unsettled,
        on: |event| matches!(event, GroupEvent::Undisputed | GroupEvent::Unverifiable),
        to: |_| GroupState::Settled,
    },
    Rule {
        from: is_unsettled,
        on: |event| matches!(event, GroupEvent::Verification(Verification::Verified(_))),
        to: verified_claimant,
    },
    Rule {
        from: is_unsettled,
        on: |event| event == GroupEvent::Verification(Verification::NoClaim),
        to: |_| GroupState::Unknown,
    },
    Rule {
        from: is_unsettled,
        on: |event| event == GroupEvent::Verification(Verification::Contested),
        to: |_| GroupState::Contested,
    },
    Rule { from: is_unverified, on: is_unverified_claim, to: |_| GroupState::Claimed },
    Rule { from: is_verified, on: is_unverified_claim, to: verified_claimant },
    Rule { from: is_unsettled, on: |event| event == GroupEvent::Reset, to: |_| GroupState::Unknown },
];

/// Returns the state in which the claimant of the event is verified.
fn verified_claimant(event: GroupEvent) -> GroupState {
    match event {
        GroupEvent::Verification(Verification::Verified(member) | Verification::Unverified(member)) => {
            GroupState::Verified(member)
        }
        _ => GroupState::Claimed,
    }
}

/// Returns the transition that an event causes. If the only claim is that of the verified member, that member remains
/// verified. If the only claim is that of another member, no member is eligible until the new claimant is verified.
pub fn transition(state: GroupState, event: GroupEvent) -> Transition {
    let Some(rule) = RULES.iter().find(|rule| (rule.from)(state) && (rule.on)(event)) else {
        return Transition { state, eligibility_changed: false };
    };
    let mut next_state = (rule.to)(event);
    if is_verified(state) && is_unverified_claim(event) && next_state != state {
        next_state = GroupState::Claimed;
    }
    let eligibility_changed = eligibility(state) != eligibility(next_state);
    Transition { state: next_state, eligibility_changed }
}

/// Returns the members that the routing policy may treat as the primary.
pub fn eligibility(state: GroupState) -> PrimaryEligibility {
    match state {
        GroupState::Unknown | GroupState::Claimed | GroupState::Contested => PrimaryEligibility::NoMember,
        GroupState::Verified(member) => PrimaryEligibility::Only(member),
        GroupState::Settled => PrimaryEligibility::Any,
    }
}
