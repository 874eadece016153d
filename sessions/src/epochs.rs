//! History of each group's log: its epochs, their start positions, and whether the log still contains a position. An
//! epoch is a PostgreSQL timeline: a new one starts when another member is promoted to primary.

use crate::positions::{GroupNumber, LogPosition};
use routing::time::Timestamp;
use std::collections::BTreeMap;

/// Maximum number of epochs kept per group. The latest epochs are kept, and positions are checked only against these.
const MAX_EPOCHS_PER_GROUP: usize = 16;

/// An epoch as reported by an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Epoch {
    /// Number of the epoch (PostgreSQL's timeline ID); 0 if the endpoint did not report one.
    pub number: u32,
    /// Position at which the epoch forked from the previous one, if reported.
    pub start_position: Option<Timestamp>,
}

/// Whether a group's log contains a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PositionStatus {
    /// The log contains the position: a read must be served at this position or later.
    OnLog(Timestamp),
    /// A later epoch forked before this position: data that the session observed is lost.
    Lost,
    /// The epoch of the position is not known to this instance yet: a read must be served in that epoch, at this
    /// position or later.
    UnknownEpoch(Timestamp),
}

/// Start positions of one group's epochs by epoch number; `None` if not reported.
type Epochs = BTreeMap<u32, Option<Timestamp>>;

/// The epochs of all groups that endpoints have reported to this instance.
#[derive(Clone, Debug, Default)]
pub struct EpochHistory {
    /// Known epochs by group.
    groups: BTreeMap<GroupNumber, Epochs>,
}

impl EpochHistory {
    /// Records an epoch that an endpoint of the group has reported.
    pub fn record(&mut self, group: GroupNumber, epoch: Epoch) {
        let Epoch { number, start_position } = epoch;
        if number == 0 {
            return;
        }
        let known = self.groups.entry(group).or_default();
        let start = known.entry(number).or_insert(start_position);
        // If reports conflict, the earlier start is used, so that a lost position is never mistaken for one on the
        // log.
        *start = match (*start, start_position) {
            (Some(recorded), Some(reported)) => Some(recorded.min(reported)),
            (recorded, reported) => recorded.or(reported),
        };
        while known.len() > MAX_EPOCHS_PER_GROUP {
            known.pop_first();
        }
    }

    /// Whether the group's log contains the position `seen`, according to the known epochs.
    pub fn position_status(&self, group: GroupNumber, seen: LogPosition) -> PositionStatus {
        let Some(known) = self.groups.get(&group) else { return PositionStatus::OnLog(seen.position) };
        let latest = known.last_key_value().map_or(0, |(number, _)| *number);
        // A position without an epoch cannot be assigned to a branch of the log.
        if seen.epoch == 0 {
            return PositionStatus::OnLog(seen.position);
        }
        if seen.epoch > latest {
            return PositionStatus::UnknownEpoch(seen.position);
        }
        if forked_before(known, seen.epoch, seen.position) {
            PositionStatus::Lost
        } else {
            PositionStatus::OnLog(seen.position)
        }
    }

    /// Returns the position at which a session continues after its client was notified of a loss: the start of the
    /// latest epoch, or position 0 if no start was reported.
    pub fn restart_position(&self, group: GroupNumber) -> LogPosition {
        let latest = self.groups.get(&group).and_then(|known| known.last_key_value());
        let (epoch, start) = latest.map_or((0, None), |(number, start)| (*number, *start));
        LogPosition { epoch, position: start.unwrap_or(Timestamp(0)) }
    }

    /// Whether an answer from an endpoint at this epoch and position includes everything that the session has
    /// observed up to `seen`. The caller must record the epoch in the answer first, because it may be the first
    /// evidence of a loss.
    pub fn answer_includes(
        &self,
        group: GroupNumber,
        seen: LogPosition,
        epoch: Option<Epoch>,
        position: Option<Timestamp>,
    ) -> bool {
        if self.position_status(group, seen) == PositionStatus::Lost {
            return false;
        }
        let Some(position) = position else { return true };
        let number = epoch.map_or(0, |epoch| epoch.number);
        // An endpoint in an epoch earlier than the session's is on an abandoned branch of the log. An endpoint in an
        // epoch earlier than the latest known one is on an abandoned branch too, unless the endpoint's position is
        // not beyond the fork.
        let reaches_epoch = number == 0 || number >= seen.epoch;
        reaches_epoch && !self.is_abandoned(group, number, position) && position >= seen.position
    }

    /// Whether a position in the epoch `number` is on an abandoned branch of the log.
    fn is_abandoned(&self, group: GroupNumber, number: u32, position: Timestamp) -> bool {
        let Some(known) = self.groups.get(&group).filter(|_| number > 0) else { return false };
        forked_before(known, number, position)
    }
}

/// Whether an epoch later than `number` forked before `position`. Epochs without a reported start are not evidence of
/// a fork.
fn forked_before(known: &Epochs, number: u32, position: Timestamp) -> bool {
    let mut later_starts = known.range(number + 1..).filter_map(|(_, start)| *start);
    later_starts.any(|start| start < position)
}
