//! When those who are turned away had better come back: the more there are, the later and the wider apart.

use routing::rng::Mwc;
use routing::time::{Moment, Span};

/// What who is turned away waits at the least, and how many times that at the most.
const WAIT: Span = Span::millis(200);
const SPREAD: i64 = 4;
/// Over so long those turned away are counted: the more there are, the longer each waits.
const LATELY: Span = Span::millis(1_000);

/// Times to come back that lie apart.
pub struct Spread {
    /// As many may come in one wait.
    room: usize,
    /// The longest that may be told.
    longest: Span,
    lately: (Moment, i64),
    rng: Mwc,
}

impl Spread {
    /// For a front that can take in `room` clients at once and may tell them to stay away for `longest` at
    /// most.
    pub fn new(room: usize, longest: Span, seed: u64) -> Spread {
        Spread { room, longest, lately: (Moment(0), 0), rng: Mwc::new(seed) }
    }

    /// How long the next one had better stay away, and `least` at the least where that may be told.
    pub fn next(&mut self, now: Moment, least: Span) -> Span {
        if now - self.lately.0 >= LATELY {
            self.lately = (now, 0);
        }
        self.lately.1 += 1;
        // As many as there is room for may come in a wait; beyond that, waits grow with their number.
        let crowd = 1 + self.lately.1 / (self.room.max(1) as i64);
        let wait = least.max(WAIT) * crowd;
        // Under the longest that may be told they still lie apart: cut off there, all would come back at once.
        let wait = wait.min(self.longest / SPREAD);
        let apart = self.rng.below((wait.0 / 1_000_000 * (SPREAD - 1)).max(1) as usize) as i64;
        wait + Span::millis(apart)
    }
}
