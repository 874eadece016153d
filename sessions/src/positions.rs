//! What a session has seen of each group: the furthest position that a read showed it or that a write of its own got.

use routing::time::Timestamp;

/// A group as every instance names it: the number in the endpoint list.
pub type GroupNumber = i64;

/// Groups that have a position of their own. A session that has seen more of them keeps one lower bound for the others.
pub const MAX_POSITIONS: usize = 16;

/// A position on a group's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPosition {
    /// The epoch that it lies in; 0 if the endpoint did not report one.
    pub epoch: u32,
    /// The commit time up to which the log has been seen.
    pub position: Timestamp,
}

impl LogPosition {
    /// The later of two positions on one group's log. A later epoch goes before a later position, since positions of an
    /// abandoned log may lie ahead of its successor's. Without an epoch only the position can be compared.
    fn later(self, other: LogPosition) -> LogPosition {
        if self.epoch == 0 || other.epoch == 0 {
            let epoch = self.epoch.max(other.epoch);
            return LogPosition { epoch, position: self.position.max(other.position) };
        }
        self.max(other)
    }
}

/// The positions of one session. They only ever rise, until one is removed because its log was lost.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionPositions {
    /// By group, in rising order.
    by_group: Vec<(GroupNumber, LogPosition)>,
    /// What every group without a position of its own must show at the least.
    lower_bound: Option<LogPosition>,
}

impl SessionPositions {
    /// What the session has seen of a group.
    pub fn get(&self, group: GroupNumber) -> Option<LogPosition> {
        match self.find(group) {
            Ok(index) => Some(self.by_group[index].1),
            Err(_) => self.lower_bound,
        }
    }

    fn find(&self, group: GroupNumber) -> Result<usize, usize> {
        self.by_group.binary_search_by_key(&group, |(group, _)| *group)
    }

    /// The groups that have a position of their own.
    pub fn by_group(&self) -> &[(GroupNumber, LogPosition)] {
        &self.by_group
    }

    /// What every other group must show at the least.
    pub fn lower_bound(&self) -> Option<LogPosition> {
        self.lower_bound
    }

    /// Whether the session has seen nothing.
    pub fn is_empty(&self) -> bool {
        self.by_group.is_empty() && self.lower_bound.is_none()
    }

    /// The session has seen this of a group.
    pub fn advance(&mut self, group: GroupNumber, position: LogPosition) {
        match self.find(group) {
            Ok(index) => self.by_group[index].1 = self.by_group[index].1.later(position),
            Err(index) => {
                let position = self.lower_bound.map_or(position, |lower_bound| lower_bound.later(position));
                self.by_group.insert(index, (group, position));
            }
        }
        if self.by_group.len() > MAX_POSITIONS {
            self.fold_oldest_into_lower_bound();
        }
    }

    /// The position that lies furthest back costs the other groups least when it becomes their lower bound.
    fn fold_oldest_into_lower_bound(&mut self) {
        let oldest = (0..self.by_group.len()).min_by_key(|&index| self.by_group[index].1.position);
        let (_, removed) = self.by_group.remove(oldest.unwrap_or(0));
        // An epoch belongs to one group: for others the position alone counts.
        self.raise_lower_bound(LogPosition { epoch: 0, ..removed });
    }

    /// Every group without a position of its own must show this at the least.
    pub fn raise_lower_bound(&mut self, position: LogPosition) {
        self.lower_bound = Some(self.lower_bound.map_or(position, |lower_bound| lower_bound.later(position)));
    }

    /// Adds what another copy of the same session has seen.
    pub fn merge(&mut self, other: &SessionPositions) {
        if let Some(lower_bound) = other.lower_bound {
            self.raise_lower_bound(lower_bound);
        }
        for &(group, position) in &other.by_group {
            self.advance(group, position);
        }
    }

    /// The log that a group's position lies on was lost, and the client is told so. The session must then `advance` to
    /// where the new epoch began, or another copy with the old position would bring it back.
    pub fn remove(&mut self, group: GroupNumber) {
        self.by_group.retain(|(other, _)| *other != group);
    }
}
