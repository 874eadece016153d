//! Which of discovery's lists are taken. A version only rises within one life of discovery; one that was
//! restored or set up anew begins lower, and so does an old copy that a lagging agent hands out.
//!
//! The rule: a whole list of a lower version is taken once discovery has given one on two watches that lie
//! [`APART`], the second no older than the first, with nothing of our own life in between. An empty one never
//! is.

use routing::time::{Moment, Span};

/// An old copy is in flight, or in a cache that is just being filled, for less.
pub const APART: Span = Span::millis(2_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Take,
    /// It tells nothing new.
    Pass,
    /// It may be of another life: ask again, on a new watch.
    Suspect,
}

/// The longest pause between two watches while nothing that discovery said since this start is known: all
/// else waits for its first word.
pub const LONGEST_ANEW: Span = Span::millis(500);

/// What is offered.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    pub seq: i64,
    pub whole: bool,
    pub empty: bool,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Lives {
    seq: i64,
    suspect: Option<(i64, Moment)>,
    /// Nothing that discovery itself said has been taken since this start.
    unproved: bool,
}

type Row = (fn(&Lives, &Offer, Moment) -> bool, Verdict);

/// The first row that fits counts.
const TABLE: &[Row] = &[
    // A start that stands on a kept list is not over because a discovery that has lost everything says so.
    (|lives, offer, _| lives.unproved && offer.whole && offer.empty, Verdict::Pass),
    (|lives, offer, _| offer.seq > lives.seq, Verdict::Take),
    (|lives, offer, _| offer.seq == lives.seq && offer.whole, Verdict::Take),
    (|_, offer, _| !offer.whole || offer.empty, Verdict::Pass),
    (|lives, offer, now| lives.repeats(offer, now), Verdict::Take),
    (|_, _, _| true, Verdict::Suspect),
];

impl Lives {
    /// `kept`: the list at hand is one that discovery has not stood by since this start.
    pub fn new(seq: i64, kept: bool) -> Lives {
        Lives { seq, suspect: None, unproved: kept }
    }

    pub fn seq(&self) -> i64 {
        self.seq
    }

    /// When to look again at a list that may be of another life; no sooner, it would not count, and no later.
    pub fn look_again(&self) -> Option<Moment> {
        self.suspect.map(|(_, at)| at + APART)
    }

    fn repeats(&self, offer: &Offer, now: Moment) -> bool {
        self.suspect.is_some_and(|(seq, at)| offer.seq >= seq && now >= at + APART)
    }

    pub fn offer(&mut self, now: Moment, offer: Offer) -> Verdict {
        let row = TABLE.iter().find(|row| row.0(self, &offer, now));
        let verdict = row.map_or(Verdict::Pass, |row| row.1);
        match verdict {
            Verdict::Take => *self = Lives::new(offer.seq, false),
            Verdict::Suspect => {
                // The first sight counts, unless an older one comes: then that begins anew.
                let first = self.suspect.filter(|(seq, _)| offer.seq >= *seq);
                self.suspect = first.or(Some((offer.seq, now)));
            }
            Verdict::Pass => {}
        }
        verdict
    }
}
