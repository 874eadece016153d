//! What is known of each group's log: which epochs it has had and where each began, and whether a position still lies on
//! it. An epoch is PostgreSQL's timeline: it ends when another member is promoted to primary.

use crate::positions::{GroupNumber, LogPosition};
use routing::time::Timestamp;
use std::collections::BTreeMap;

/// Epochs kept per group, the latest ones. A position of an earlier one is judged by the oldest that is kept.
const MAX_EPOCHS: usize = 16;

/// An epoch as an endpoint reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Epoch {
    /// Its number; 0 is none.
    pub number: u32,
    /// The position at which it left the epoch before.
    pub began: Option<Timestamp>,
}

/// Whether a position lies on a group's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PositionStatus {
    /// It does: a read must see this position.
    OnLog(Timestamp),
    /// It lies beyond the point where a later epoch began: what the session saw is lost.
    Lost,
    /// It is of an epoch that is not known here yet: an endpoint of that epoch must show it.
    UnknownEpoch(Timestamp),
}

/// The epochs of all groups.
#[derive(Clone, Debug, Default)]
pub struct EpochHistory {
    /// By group: the number of each epoch and where it began, if that was reported.
    groups: BTreeMap<GroupNumber, BTreeMap<u32, Option<Timestamp>>>,
}

impl EpochHistory {
    /// An endpoint of the group has reported its epoch.
    pub fn record(&mut self, group: GroupNumber, epoch: Epoch) {
        let Epoch { number, began } = epoch;
        if number == 0 {
            return;
        }
        let known = self.groups.entry(group).or_default();
        let start = known.entry(number).or_insert(began);
        // Of two reports of one beginning the earlier: it can only make a position count as lost, never as on the log.
        *start = match (*start, began) {
            (Some(before), Some(now)) => Some(before.min(now)),
            (before, now) => before.or(now),
        };
        while known.len() > MAX_EPOCHS {
            known.pop_first();
        }
    }

    /// Whether a position lies on the group's log, by all that is known.
    pub fn status(&self, group: GroupNumber, seen: LogPosition) -> PositionStatus {
        let Some(known) = self.groups.get(&group) else { return PositionStatus::OnLog(seen.position) };
        let latest = known.last_key_value().map_or(0, |(number, _)| *number);
        // Without an epoch the position is all that there is.
        if seen.epoch == 0 {
            return PositionStatus::OnLog(seen.position);
        }
        if seen.epoch > latest {
            return PositionStatus::UnknownEpoch(seen.position);
        }
        // Every later epoch must have begun at or after it. One whose beginning was not reported proves nothing lost.
        let mut later = known.range(seen.epoch + 1..).filter_map(|(_, began)| *began);
        if later.any(|began| began < seen.position) {
            PositionStatus::Lost
        } else {
            PositionStatus::OnLog(seen.position)
        }
    }

    /// Where a session goes on that was told of a loss: at the beginning of the latest epoch.
    pub fn restart_position(&self, group: GroupNumber) -> LogPosition {
        let latest = self.groups.get(&group).and_then(|known| known.last_key_value());
        let (epoch, began) = latest.map_or((0, None), |(number, began)| (*number, *began));
        LogPosition { epoch, position: began.unwrap_or(Timestamp(0)) }
    }

    /// Whether an answer from an endpoint in this epoch and at this position shows all that the session has seen. What
    /// the answer itself reports of its epoch has to be recorded before: it may be the first report of a loss.
    pub fn shows(
        &self,
        group: GroupNumber,
        seen: LogPosition,
        epoch: Option<Epoch>,
        position: Option<Timestamp>,
    ) -> bool {
        if self.status(group, seen) == PositionStatus::Lost {
            return false;
        }
        let Some(position) = position else { return true };
        let number = epoch.map_or(0, |epoch| epoch.number);
        // An endpoint in an epoch before the session's is on an abandoned log; so is one before the latest known,
        // unless it has not come to the fork yet.
        let reaches_epoch = number == 0 || number >= seen.epoch;
        reaches_epoch && !self.is_abandoned(group, number, position) && position >= seen.position
    }

    /// Whether a later epoch began before this position of an epoch.
    fn is_abandoned(&self, group: GroupNumber, number: u32, position: Timestamp) -> bool {
        let Some(known) = self.groups.get(&group).filter(|_| number > 0) else { return false };
        let mut later = known.range(number + 1..).filter_map(|(_, began)| *began);
        later.any(|began| began < position)
    }
}
