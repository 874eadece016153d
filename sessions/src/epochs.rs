//! What is known of each group's log: which epochs it has had and where each began, and whether a mark still
//! lies on it.

use crate::marks::{Block, Mark};
use routing::time::Moment;
use std::collections::BTreeMap;

/// Epochs kept a group, the latest ones. A mark from an earlier one is judged by the oldest that is kept.
const MOST_EPOCHS: usize = 16;

/// An epoch as a store tells of it: its number, and the position at which it left the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Epoch {
    pub number: u32,
    pub began: Option<Moment>,
}

/// What becomes of a mark when it is held against what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It lies on the log: this position must be seen.
    Stands(Moment),
    /// It lies beyond the point where a later epoch left its own: what the session saw is lost.
    Lost,
    /// Of an epoch that is not known here yet: it must be seen of a store on that one.
    Ahead(Moment),
}

#[derive(Clone, Debug, Default)]
pub struct Epochs {
    /// By group: each epoch's number and where it began, where that was told.
    groups: BTreeMap<Block, BTreeMap<u32, Option<Moment>>>,
}

impl Epochs {
    /// A store of the group has told of its epoch.
    pub fn learn(&mut self, group: Block, epoch: Epoch) {
        let Epoch { number, began } = epoch;
        if number == 0 {
            return;
        }
        let known = self.groups.entry(group).or_default();
        let at = known.entry(number).or_insert(began);
        // Of two words on one beginning the earlier: it may only make a mark be lost, never be believed.
        *at = match (*at, began) {
            (Some(before), Some(now)) => Some(before.min(now)),
            (before, now) => before.or(now),
        };
        while known.len() > MOST_EPOCHS {
            known.pop_first();
        }
    }

    /// One row of the table is one arm; they are tried from above.
    pub fn judge(&self, group: Block, mark: Mark) -> Verdict {
        let Some(known) = self.groups.get(&group) else { return Verdict::Stands(mark.position) };
        let latest = known.last_key_value().map_or(0, |(number, _)| *number);
        match mark.epoch {
            // It was told without an epoch: the position is all that there is.
            0 => Verdict::Stands(mark.position),
            of if of > latest => Verdict::Ahead(mark.position),
            // Every later epoch must have begun at or after it. One whose beginning was not told proves
            // nothing lost.
            of => {
                let mut later = known.range(of + 1..).filter_map(|(_, began)| *began);
                if later.any(|began| began < mark.position) {
                    Verdict::Lost
                } else {
                    Verdict::Stands(mark.position)
                }
            }
        }
    }

    /// Where a session goes on that was told of a loss: at the beginning of the latest epoch.
    pub fn anew(&self, group: Block) -> Mark {
        let latest = self.groups.get(&group).and_then(|known| known.last_key_value());
        let (epoch, began) = latest.map_or((0, None), |(number, began)| (*number, *began));
        Mark { epoch, position: began.unwrap_or(Moment(0)) }
    }

    /// Whether an answer from a store on this epoch and at this position shows all that the mark has seen.
    /// What the answer itself tells of its epoch is learnt before this is asked: it may be the first word of
    /// a loss.
    pub fn shows(&self, group: Block, mark: Mark, epoch: Option<Epoch>, position: Option<Moment>) -> bool {
        if self.judge(group, mark) == Verdict::Lost {
            return false;
        }
        let Some(position) = position else { return true };
        let number = epoch.map_or(0, |epoch| epoch.number);
        // A store on an epoch before the mark's stands on a log that was left; so does one before the latest
        // known, unless it has not come to the fork yet.
        let on_it = number == 0 || number >= mark.epoch;
        let left = self.groups.get(&group).is_some_and(|known| {
            number > 0
                && known.range(number + 1..).any(|(_, began)| began.is_some_and(|began| began < position))
        });
        on_it && !left && position >= mark.position
    }
}
