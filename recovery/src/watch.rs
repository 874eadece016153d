//! When a watch on discovery is held to be broken, and when it is taken up again.
//!
//! What a watch misses counts as told 6 s after it fell silent. An empty line comes every 2 s where nothing
//! changes, so a whole second may be missing before it is given up, and 3 s are left to open the next: two
//! connections or answers that never come fit in. Where lists are pushed they come from an agent on this
//! machine, which replies at once; what it has counts as told whether or not a watch is open, so no pause may
//! be longer than half of the time in which sends to a draining store must cease.

use routing::time::{Moment, Span};

/// From one word, a list or an empty line, to the next: bytes of a word that never ends are none.
const SILENCE: Span = Span::millis(3_000);
/// Until a connection is there, and until an agent's answer has begun.
pub const OPENS_WITHIN: Span = Span::millis(1_000);
/// A watch that has stood for so long was a sound one.
const SOUND_AFTER: Span = Span::millis(2_000);
const SHORTEST: Span = Span::millis(50);
/// A service that many ask must not be asked by all of them at once, again and again.
const LONGEST: Span = Span::millis(2_000);

#[derive(Clone, Copy, Debug)]
pub struct Watching {
    pushed: bool,
    longest: Span,
    pause: Span,
    asked: Moment,
    heard: Option<Moment>,
}

impl Watching {
    /// `grace`: within which sends to a draining store must cease, where that is known.
    pub fn new(pushed: bool, grace: Option<Span>) -> Watching {
        let close = grace.filter(|_| pushed).map(|grace| (grace / 2).max(SHORTEST).min(LONGEST));
        let longest = close.unwrap_or(LONGEST);
        Watching { pushed, longest, pause: SHORTEST, asked: Moment::DAWN, heard: None }
    }

    /// It is asked for now: by then its answer must have begun.
    pub fn asked(&mut self, now: Moment) -> Moment {
        (self.asked, self.heard) = (now, None);
        now + if self.pushed { OPENS_WITHIN } else { SILENCE }
    }

    /// Its answer has begun: by then the first word must have come.
    pub fn begun(&self) -> Moment {
        self.heard.unwrap_or(self.asked) + SILENCE
    }

    /// A whole word has come: by then the next one must.
    pub fn heard(&mut self, now: Moment) -> Moment {
        self.heard = Some(now);
        self.begun()
    }

    /// Discovery is somewhere else now, or has told something new.
    pub fn anew(&mut self) {
        self.pause = SHORTEST;
    }

    /// It has ended; so long until it is asked for again, by a `chance` of less than 32. One that stood was sound: what
    /// was wrong before it is no reason to wait.
    pub fn ended(&mut self, chance: usize, most: Option<Span>) -> Span {
        if self.heard.take().is_some_and(|heard| heard - self.asked >= SOUND_AFTER) {
            self.pause = SHORTEST;
        }
        let longest = most.map_or(self.longest, |most| most.min(self.longest));
        let now = self.pause.min(longest) / 64 * (32 + chance.min(31) as i64);
        self.pause = (self.pause * 2).min(longest);
        now
    }
}
