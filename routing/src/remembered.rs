//! The commits of sessions' last writes, where clients don't carry them. Bounded, whoever never comes back; what
//! is out is bounded by the open RPCs.

use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet};

/// Sessions whose marks are kept at most.
const MOST_SESSIONS: usize = 1 << 16;

#[derive(Default)]
pub struct Remembered {
    marks: BTreeMap<u64, Moment>,
    by_mark: BTreeSet<(Moment, u64)>,
    /// How many writes of a session are out. Each may have run and been answered, though the answer is still on
    /// its way, or lost.
    out: BTreeMap<u64, u32>,
    /// The latest of the marks that were given up: every session that has none is taken to have this one.
    forgotten: Option<Moment>,
}

impl Remembered {
    /// The position that a session's reads must show which come now.
    pub fn mark(&self, session: Option<u64>, now: Moment) -> Option<Moment> {
        let key = session.unwrap_or_default();
        let known = self.marks.get(&key).copied();
        let open = self.out.contains_key(&key).then_some(now);
        known.max(open).filter(|_| session.is_some()).max(self.forgotten)
    }

    pub fn sent(&mut self, session: u64) {
        *self.out.entry(session).or_default() += 1;
    }

    /// A write that was out has ended; `shown` is the position that surely shows it, none where it never ran.
    pub fn ended(&mut self, session: u64, shown: Option<Moment>) {
        if let Some(out) = self.out.get_mut(&session) {
            *out -= 1;
            if *out == 0 {
                self.out.remove(&session);
            }
        }
        if let Some(at) = shown {
            self.wrote(session, at);
        }
    }

    fn wrote(&mut self, session: u64, at: Moment) {
        let mark = self.marks.entry(session).or_insert(at);
        self.by_mark.remove(&(*mark, session));
        *mark = at.max(*mark);
        self.by_mark.insert((*mark, session));
    }

    /// Marks that every store in use has reached bind nobody; those beyond what there is room for bind all
    /// alike.
    pub fn forget(&mut self, reached: Option<Moment>) {
        while let Some(&(mark, session)) = self.by_mark.first() {
            if reached < Some(mark) && self.marks.len() <= MOST_SESSIONS {
                return;
            }
            self.by_mark.pop_first();
            self.marks.remove(&session);
            self.forgotten = self.forgotten.max(Some(mark));
        }
    }

    pub fn len(&self) -> usize {
        self.marks.len()
    }

    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }
}
