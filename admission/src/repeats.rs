//! A budget for repeats, so that a storm of them can't feed itself: a part of the first tries, a client's and
//! the whole front's.

use routing::time::{Moment, Span};
use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// Clients whose budget is remembered at most, some 100 bytes each. Who comes as so many others can have one
/// forgotten that has used its up; it then begins with a single repeat.
pub const MOST_REMEMBERED: usize = 1 << 16;

/// One repeat, in the unit that budgets are counted in.
const WHOLE: i64 = 1_000;
/// A client's first repeat is always free, and so is one in each of these: a client that asks seldom could
/// never repeat else.
const ALONE: Span = Span::millis(10_000);
/// What a client can save up, in repeats: those of a page that failed whole.
const MOST_SAVED: i64 = 10;

#[derive(Clone, Copy, Debug)]
struct Budget {
    left: i64,
    /// When that was counted.
    at: Moment,
}

impl Budget {
    /// What is left by then, where one whole repeat is added in each span, up to so many.
    fn left(&self, now: Moment, each: Span, most: i64) -> i64 {
        let added = (now - self.at).0.max(0) / (each.0 / WHOLE).max(1);
        self.left.saturating_add(added).min(most * WHOLE).max(self.left)
    }
}

/// The budgets of a front and of each of its clients.
pub struct Repeats<C> {
    percent: i64,
    /// What the front can work on at once: so many repeats may come at once after a quiet time, and as many in
    /// each [`ALONE`] beside the part of the first tries.
    at_once: i64,
    whole: Budget,
    clients: HashMap<C, Budget>,
    by_age: BTreeSet<(Moment, C)>,
}

impl<C: Clone + Ord + Hash> Repeats<C> {
    /// So many repeats in a hundred first tries, on a front that works on so many RPCs at once.
    pub fn new(percent: u32, at_once: usize) -> Repeats<C> {
        let at_once = at_once.clamp(1, 1 << 20) as i64;
        let whole = Budget { left: at_once * WHOLE, at: Moment::DAWN };
        let (clients, by_age) = Default::default();
        Repeats { percent: i64::from(percent.min(100)), at_once, whole, clients, by_age }
    }

    fn whole(&self, now: Moment) -> i64 {
        self.whole.left(now, Span(ALONE.0 / self.at_once), self.at_once)
    }

    fn client(&self, now: Moment, client: &C) -> i64 {
        self.clients.get(client).map_or(WHOLE, |budget| budget.left(now, ALONE, 1))
    }

    /// Whether another repeat of the client's is within both budgets.
    pub fn allow(&self, now: Moment, client: &C) -> bool {
        self.whole(now) >= WHOLE && self.client(now, client) >= WHOLE
    }

    /// An RPC was taken: a first try adds its part to both budgets, a repeat uses one up.
    pub fn taken(&mut self, now: Moment, client: &C, repeat: bool) {
        let change = if repeat { -WHOLE } else { self.percent * WHOLE / 100 };
        let add = |left: i64, most: i64| left + change.min((most * WHOLE - left).max(0));
        self.whole = Budget { left: add(self.whole(now), self.at_once), at: now };
        let left = add(self.client(now, client), MOST_SAVED);
        if let Some(before) = self.clients.insert(client.clone(), Budget { left, at: now }) {
            self.by_age.remove(&(before.at, client.clone()));
        }
        self.by_age.insert((now, client.clone()));
        self.forget(now);
    }

    /// Gives back what says no more than a client that is not known, and the oldest of what is too much.
    fn forget(&mut self, now: Moment) {
        // Two at a time are more than come in.
        for _ in 0..2 {
            let Some((at, client)) = self.by_age.first().cloned() else { return };
            if now - at < ALONE && self.clients.len() <= MOST_REMEMBERED {
                return;
            }
            self.by_age.pop_first();
            self.clients.remove(&client);
        }
    }

    /// Clients whose budget is remembered.
    pub fn remembered(&self) -> usize {
        self.clients.len()
    }
}
