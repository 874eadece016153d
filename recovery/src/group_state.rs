//! The state of one group: which member the routing policy may take for its primary. One table.

use crate::primary_verification::Verification;
use routing::{EndpointIndex, PrimaryEligibility};

/// How far the primary of a group is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GroupState {
    /// No claim to be primary holds.
    #[default]
    Unknown,
    /// One member claims it and is not verified.
    Claimed,
    /// Several claim it.
    Contested,
    /// This member is verified.
    Verified(EndpointIndex),
    /// Discovery has confirmed the list and nobody else claims it: the policy's ordinary rule holds again.
    Settled,
}

/// What can happen to a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupEvent {
    /// Its members' claims were verified.
    Verification(Verification),
    /// One member is verified, discovery has confirmed the list, and no other claims it, disproved or not.
    Undisputed,
    /// Discovery has confirmed the list, and endpoints cannot be queried here.
    Unverifiable,
    /// Its members have changed by a list that was not discovery's, or its state is lost.
    Reset,
}

/// What follows from an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The state afterwards.
    pub state: GroupState,
    /// The routing policy has to be told of another eligibility.
    pub eligibility_changed: bool,
}

type Row = (fn(GroupState) -> bool, fn(GroupEvent) -> bool, fn(GroupEvent) -> GroupState);

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

/// The first row that fits counts; the state that it leads to may depend on the member that the event names. A verified
/// member stays so while its claim stands alone: evidence ages, and a replica that lags takes nothing back.
const TABLE: &[Row] = &[
    (is_settled, |event| event == GroupEvent::Reset, |_| GroupState::Unknown),
    (
        is_unsettled,
        |event| matches!(event, GroupEvent::Undisputed | GroupEvent::Unverifiable),
        |_| GroupState::Settled,
    ),
    (
        is_unsettled,
        |event| matches!(event, GroupEvent::Verification(Verification::Verified(_))),
        named_member_verified,
    ),
    (is_unsettled, |event| event == GroupEvent::Verification(Verification::NoClaim), |_| GroupState::Unknown),
    (
        is_unsettled,
        |event| event == GroupEvent::Verification(Verification::Contested),
        |_| GroupState::Contested,
    ),
    (is_unverified, is_unverified_claim, |_| GroupState::Claimed),
    (is_verified, is_unverified_claim, named_member_verified),
    (is_unsettled, |event| event == GroupEvent::Reset, |_| GroupState::Unknown),
];

fn named_member_verified(event: GroupEvent) -> GroupState {
    match event {
        GroupEvent::Verification(Verification::Verified(member) | Verification::Unverified(member)) => {
            GroupState::Verified(member)
        }
        _ => GroupState::Claimed,
    }
}

/// The state after an event. The sole claim of a verified member leaves it verified; that of any other takes eligibility
/// back until that one is verified.
pub fn next(state: GroupState, event: GroupEvent) -> Transition {
    let Some(row) = TABLE.iter().find(|(from, on, _)| from(state) && on(event)) else {
        return Transition { state, eligibility_changed: false };
    };
    let mut to = (row.2)(event);
    if is_verified(state) && is_unverified_claim(event) && to != state {
        to = GroupState::Claimed;
    }
    Transition { state: to, eligibility_changed: eligibility(state) != eligibility(to) }
}

/// Which member the routing policy may take for the primary.
pub fn eligibility(state: GroupState) -> PrimaryEligibility {
    match state {
        GroupState::Unknown | GroupState::Claimed | GroupState::Contested => PrimaryEligibility::Nobody,
        GroupState::Verified(member) => PrimaryEligibility::Only(member),
        GroupState::Settled => PrimaryEligibility::Any,
    }
}
