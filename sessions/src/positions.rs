//! Positions of a session: for each group, the latest position that a read of the session observed or at which a
//! write of the session committed.

use routing::time::Timestamp;

/// Number of a group in the endpoint list. All instances use the same numbers.
pub type GroupNumber = i64;

/// Maximum number of groups with a position of their own. A session that has accessed more groups has a common lower
/// bound for the others.
pub const MAX_POSITIONS: usize = 16;

/// A position on a group's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPosition {
    /// Epoch of the position; 0 if the endpoint did not report one.
    pub epoch: u32,
    /// Position on the log, as a commit time.
    pub position: Timestamp,
}

impl LogPosition {
    /// Returns the later of two positions on the same group's log. Epochs are compared first, since positions on an
    /// abandoned branch may be ahead of those on its successor. Without both epochs only the positions can be
    /// compared.
    fn later(self, other: LogPosition) -> LogPosition {
        if self.epoch == 0 || other.epoch == 0 {
            let epoch = self.epoch.max(other.epoch);
            return LogPosition { epoch, position: self.position.max(other.position) };
        }
        self.max(other)
    }
}

/// The position of a session on one group's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupPosition {
    /// The group.
    pub group: GroupNumber,
    /// The position on the group's log.
    pub position: LogPosition,
}

/// The positions of one session. They only advance, except that a position is removed when it is no longer on the
/// log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionPositions {
    /// Positions of the groups with a position of their own, in ascending order of the groups.
    by_group: Vec<GroupPosition>,
    /// Lower bound for every group without a position of its own.
    lower_bound: Option<LogPosition>,
}

impl SessionPositions {
    /// The position of the session on a group's log: its own position, or else the lower bound, if any.
    pub fn get(&self, group: GroupNumber) -> Option<LogPosition> {
        match self.find(group) {
            Ok(index) => Some(self.by_group[index].position),
            Err(_) => self.lower_bound,
        }
    }

    /// Index of a group in `by_group`, or the index at which to insert the group.
    fn find(&self, group: GroupNumber) -> Result<usize, usize> {
        self.by_group.binary_search_by_key(&group, |entry| entry.group)
    }

    /// Positions of the groups with a position of their own, in ascending order of the groups.
    pub fn by_group(&self) -> &[GroupPosition] {
        &self.by_group
    }

    /// Lower bound for every group without a position of its own; `None` if these groups have no bound.
    pub fn lower_bound(&self) -> Option<LogPosition> {
        self.lower_bound
    }

    /// Whether the session has no position at all.
    pub fn is_empty(&self) -> bool {
        self.by_group.is_empty() && self.lower_bound.is_none()
    }

    /// Advances the position of a group. An earlier position has no effect.
    pub fn advance(&mut self, group: GroupNumber, position: LogPosition) {
        match self.find(group) {
            Ok(index) => {
                let current = &mut self.by_group[index].position;
                *current = current.later(position);
            }
            Err(index) => {
                let position = self.lower_bound.map_or(position, |lower_bound| lower_bound.later(position));
                self.by_group.insert(index, GroupPosition { group, position });
            }
        }
        if self.by_group.len() > MAX_POSITIONS {
            self.merge_earliest_into_lower_bound();
        }
    }

    /// Merges the earliest position into the lower bound. The earliest position restricts the other groups the least.
    fn merge_earliest_into_lower_bound(&mut self) {
        let earliest = (0..self.by_group.len()).min_by_key(|&index| self.by_group[index].position.position);
        let removed = self.by_group.remove(earliest.unwrap_or(0)).position;
        // An epoch is specific to one group, so the lower bound has none.
        self.raise_lower_bound(LogPosition { epoch: 0, ..removed });
    }

    /// Raises the lower bound of all groups without a position of their own.
    pub fn raise_lower_bound(&mut self, position: LogPosition) {
        self.lower_bound = Some(self.lower_bound.map_or(position, |lower_bound| lower_bound.later(position)));
    }

    /// Merges the positions of another copy of the same session.
    pub fn merge(&mut self, other: &SessionPositions) {
        if let Some(lower_bound) = other.lower_bound {
            self.raise_lower_bound(lower_bound);
        }
        for &GroupPosition { group, position } in &other.by_group {
            self.advance(group, position);
        }
    }

    /// Removes the lost position of a group when the client is notified of the loss. The caller must then
    /// [`advance`](Self::advance) the session to the start of the new epoch: otherwise merging another copy of the
    /// session would restore the lost position.
    pub fn remove(&mut self, group: GroupNumber) {
        self.by_group.retain(|entry| entry.group != group);
    }
}
