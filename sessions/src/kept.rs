//! What one front remembers of sessions beside what their clients carry, so that two connections of one
//! session see the same. Never needed for a guarantee on one connection or a moved one, and bounded however
//! many sessions there are.

use crate::marks::Marks;
use crate::token::SessionId;
use routing::time::{Moment, Span};
use std::collections::{BTreeSet, HashMap};

/// Sessions that a front remembers at most, some 200 bytes each.
pub const MOST_KEPT: usize = 20_000;

struct Row {
    marks: Marks,
    used: Moment,
}

/// Sessions by their names. Those longest out of use go first, where there are too many, and all once their
/// time is over.
pub struct Kept {
    most: usize,
    lasts: Span,
    rows: HashMap<SessionId, Row>,
    by_use: BTreeSet<(Moment, SessionId)>,
}

impl Kept {
    pub fn new(most: usize, lasts: Span) -> Kept {
        Kept { most, lasts, rows: HashMap::new(), by_use: BTreeSet::new() }
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Merges what a client carries with what is remembered, both ways.
    pub fn merge(&mut self, now: Moment, session: SessionId, carried: &mut Marks) {
        self.forget(now);
        if let Some(row) = self.rows.get_mut(&session) {
            row.marks.merge(carried);
            carried.clone_from(&row.marks);
            self.by_use.remove(&(row.used, session));
            row.used = now;
        } else if carried.is_empty() {
            // A session that has seen nothing needs no room.
            return;
        } else {
            self.rows.insert(session, Row { marks: carried.clone(), used: now });
        }
        self.by_use.insert((now, session));
        while self.rows.len() > self.most {
            let Some((_, oldest)) = self.by_use.pop_first() else { break };
            self.rows.remove(&oldest);
        }
    }

    /// A mark of the session was struck out, and its client is told. Nothing stands in its place: one that
    /// was not reached comes again with the token that it had, and must be told again.
    pub fn strike(&mut self, session: &SessionId, group: i64) {
        if let Some(row) = self.rows.get_mut(session) {
            row.marks.strike(group);
        }
    }

    fn forget(&mut self, now: Moment) {
        while let Some(&(used, session)) = self.by_use.first().filter(|(used, _)| *used + self.lasts <= now) {
            self.by_use.remove(&(used, session));
            self.rows.remove(&session);
        }
        if self.rows.capacity() > 64 && self.rows.len() < self.rows.capacity() / 4 {
            self.rows.shrink_to(self.rows.len() * 2);
        }
    }
}
