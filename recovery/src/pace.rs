//! When what is known is saved: soon after a change, not for each one, and less often while the disk fails.

use crate::store::Word;
use routing::time::{Moment, Span};

/// A change waits so long for others that come with it.
const SETTLE: Span = Span::millis(150);
/// How often a mere confirmation is written: an age on disk is too great by so much at most.
const REFRESH: Span = Span::millis(10_000);
/// After a save that failed: the first pause and the longest.
const AFTER_FAILURE: (Span, Span) = (Span::millis(1_000), Span::millis(60_000));

#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Between two saves, at least.
    gap: Span,
    changed: Option<Moment>,
    confirmed: bool,
    saved: Moment,
    failures: u32,
}

impl Pace {
    pub fn new(gap: Span) -> Pace {
        Pace { gap, changed: None, confirmed: false, saved: Moment::DAWN, failures: 0 }
    }

    pub fn set_gap(&mut self, gap: Span) {
        self.gap = gap;
    }

    /// The list or what a store says of itself is another.
    pub fn changed(&mut self, now: Moment) {
        self.changed = self.changed.or(Some(now));
    }

    /// Discovery stands by the list as it is.
    pub fn confirmed(&mut self) {
        self.confirmed = true;
    }

    /// When to save next, if anything is to be saved.
    pub fn due(&self) -> Option<Moment> {
        let wanted = match self.changed {
            Some(at) => at + SETTLE,
            None if self.confirmed => self.saved + REFRESH,
            None => return None,
        };
        let pause = match self.failures {
            0 => self.gap,
            failed => {
                let (first, longest) = AFTER_FAILURE;
                self.gap.max(Span(first.0 << (failed - 1).min(16)).min(longest))
            }
        };
        Some(wanted.max(self.saved + pause))
    }

    /// A save begins with all that is known by now.
    pub fn begins(&mut self, now: Moment) {
        (self.changed, self.confirmed, self.saved) = (None, false, now);
    }

    /// How it ended. One that failed is still to be made up for.
    pub fn ended(&mut self, now: Moment, ok: bool) {
        self.failures = if ok { 0 } else { self.failures.saturating_add(1) };
        self.saved = now;
        if !ok {
            self.changed(now);
        }
    }
}

/// A store's own word is kept again once its position is so much further.
const FURTHER: Span = Span::millis(5_000);

/// Whether what a store says now is worth another save than what is kept of it.
pub fn is_news(kept: Option<Word>, word: Word) -> bool {
    let Some(kept) = kept else { return word.role.is_some() };
    let moved = match (kept.position, word.position) {
        (Some(kept), Some(position)) => position >= kept + FURTHER,
        (kept, position) => kept.is_none() && position.is_some(),
    };
    word.role.is_some() && (kept.role != word.role || kept.timeline != word.timeline || moved)
}
