//! What proves that a store is its group's primary, from what the members have said since this start.
//!
//! A claim alone proves nothing: a former primary whose links were cut goes on claiming. Three things
//! disprove one: a member on a later timeline, a member that was ahead of it before it was asked, and less
//! than the group was known to have before. What is left must be sole, and be proved by the majority that
//! follows it, by all others being accounted for, or by discovery's standing by the list of members.

use crate::store::{Standing, Store};
use crate::trust::Step;
use routing::iface::{Role, StoreIx};
use routing::time::{Moment, Span};

/// What was known of a group before this start: no true primary has less.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Floor {
    pub timeline: Option<u32>,
    pub position: Option<Moment>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nobody claims to be primary, or nobody whose claim holds.
    NoClaim,
    /// This one alone claims it, and it is not proved yet.
    Alone(StoreIx),
    /// Several claim it, and nothing tells them apart.
    Contest,
    Proven(StoreIx),
}

/// What a member has said, or refused, counts for a proof for so long: pieces from before and after a
/// takeover must not add up to one. Against a claim it counts for good.
pub const COUNTS_FOR: Span = Span::millis(2_000);

/// Judges a group. `vouched`: discovery has given the list of members since this start.
pub fn judge(
    members: &[StoreIx],
    stores: &[Store],
    floor: Floor,
    step: &Step,
    vouched: bool,
    now: Moment,
) -> Verdict {
    let since = now - COUNTS_FOR;
    let heard: Vec<StoreIx> = members.iter().copied().filter(|&ix| stores[ix].is_heard()).collect();
    let stands = |&ix: &StoreIx| {
        let claimant = &stores[ix];
        claimant.claims_it()
            && !is_below(claimant, floor)
            && !heard.iter().any(|&other| other != ix && beats(&stores[other], claimant))
    };
    let left: Vec<StoreIx> = heard.iter().copied().filter(stands).collect();
    let one = match left[..] {
        [] => return Verdict::NoClaim,
        [one] => one,
        _ => return Verdict::Contest,
    };
    let open = |ix: &&StoreIx| stores[**ix].standing != Standing::Gone;
    let all_tried = members.iter().filter(open).all(|&ix| stores[ix].tried);
    let often = stores[one].ended >= since && (stores[one].claims >= step.rounds || vouched);
    let proved = vouched
        || is_followed(one, members, stores, since)
        || (step.accounted && accounted(members, stores, since));
    if all_tried && often && proved {
        Verdict::Proven(one)
    } else {
        Verdict::Alone(one)
    }
}

fn is_below(claimant: &Store, floor: Floor) -> bool {
    match (claimant.word.timeline, floor.timeline) {
        (Some(its), Some(least)) if its != least => return its < least,
        _ => {}
    }
    // A claim without a position can't be measured against one.
    claimant.word.position < floor.position
}

/// Whether what `other` said disproves the claim: it is on a later timeline, or it was further on the same
/// one before the claimant was so much as asked.
fn beats(other: &Store, claimant: &Store) -> bool {
    match (other.word.timeline, claimant.word.timeline) {
        (Some(its), Some(claimed)) if its != claimed => return its > claimed,
        _ => {}
    }
    other.word.position > claimant.word.position && other.told <= claimant.asked
}

/// Whether most members, itself among them, are on its timeline and have passed what it told after this
/// start: that part of the log can't have come from anywhere else.
fn is_followed(one: StoreIx, members: &[StoreIx], stores: &[Store], since: Moment) -> bool {
    let claimant = &stores[one];
    let follows = |&&ix: &&StoreIx| {
        let member = &stores[ix];
        ix == one
            || (member.is_heard()
                && member.ended >= since
                && member.word.role == Some(Role::Replica)
                && member.word.timeline.is_some()
                && member.word.timeline == claimant.word.timeline
                && claimant.first.is_some()
                && member.word.position >= claimant.first)
    };
    let open = members.iter().filter(|&&ix| stores[ix].standing != Standing::Gone).count();
    members.iter().filter(follows).count() * 2 > open
}

/// Whether every member has been heard, or has a machine which says that nothing listens there. Silence is no
/// account: who is cut off from us may have become primary.
fn accounted(members: &[StoreIx], stores: &[Store], since: Moment) -> bool {
    let known = |&ix: &StoreIx| match stores[ix].standing {
        Standing::Heard | Standing::Refused => stores[ix].ended >= since,
        standing => standing == Standing::Gone,
    };
    members.iter().all(known)
}
