//! What a session has seen of each group: the furthest position that a read showed it or a write of its own
//! got.

use routing::time::Moment;

/// A group as every front names it: the list's own number.
pub type Block = i64;

/// So many groups have a mark of their own; a session that has seen more keeps one floor for the others.
pub const MOST_MARKS: usize = 16;

/// A point on a group's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mark {
    /// The timeline it lies on; 0 where the store did not say.
    pub epoch: u32,
    pub position: Moment,
}

/// The marks of one session. They only ever rise, until one is struck out because its log was lost.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Marks {
    /// By group, in rising order.
    each: Vec<(Block, Mark)>,
    /// What every group without a mark of its own must show at the least.
    floor: Option<Mark>,
}

/// Of two marks on one group's log the later: a later epoch goes before a later position, since positions of
/// a log that was left lie ahead of its successor too. One without an epoch can't be told apart by it.
fn later(a: Mark, b: Mark) -> Mark {
    if a.epoch == 0 || b.epoch == 0 {
        let epoch = a.epoch.max(b.epoch);
        return Mark { epoch, position: a.position.max(b.position) };
    }
    a.max(b)
}

impl Marks {
    pub fn of(&self, group: Block) -> Option<Mark> {
        let own = self.each.binary_search_by_key(&group, |(group, _)| *group).ok();
        own.map(|nth| self.each[nth].1).or(self.floor)
    }

    pub fn each(&self) -> &[(Block, Mark)] {
        &self.each
    }

    pub fn floor(&self) -> Option<Mark> {
        self.floor
    }

    pub fn is_empty(&self) -> bool {
        self.each.is_empty() && self.floor.is_none()
    }

    /// The session has seen this of a group.
    pub fn see(&mut self, group: Block, mark: Mark) {
        match self.each.binary_search_by_key(&group, |(group, _)| *group) {
            Ok(nth) => self.each[nth].1 = later(self.each[nth].1, mark),
            Err(nth) => {
                let mark = self.floor.map_or(mark, |floor| later(floor, mark));
                self.each.insert(nth, (group, mark));
            }
        }
        if self.each.len() > MOST_MARKS {
            // The one that lies furthest back costs the others least when it becomes everybody's.
            let oldest = (0..self.each.len()).min_by_key(|&nth| self.each[nth].1.position);
            let (_, gone) = self.each.remove(oldest.unwrap_or(0));
            // An epoch belongs to one group: for others the position alone can count.
            self.raise_floor(Mark { epoch: 0, ..gone });
        }
    }

    pub fn raise_floor(&mut self, mark: Mark) {
        self.floor = Some(self.floor.map_or(mark, |floor| later(floor, mark)));
    }

    /// Takes in what another copy of the same session has seen.
    pub fn merge(&mut self, other: &Marks) {
        if let Some(floor) = other.floor {
            self.raise_floor(floor);
        }
        for &(group, mark) in &other.each {
            self.see(group, mark);
        }
    }

    /// The log that a mark lies on was lost, and the client is told. What it carries on must then `see` where
    /// the new epoch began, or another copy that still has the old mark would bring it back.
    pub fn strike(&mut self, group: Block) {
        self.each.retain(|(other, _)| *other != group);
    }
}
