//! How far a kept list is believed at its age: the older, the fewer stores are asked and opened at once, and
//! the more is asked before anything is sent.

use routing::time::{Moment, Span};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Age {
    Fresh,
    Recent,
    Old,
    /// Older than a day, from a time to come, or of no known age.
    Unknown,
}

impl Age {
    pub fn word(self) -> &'static str {
        match self {
            Age::Fresh => "fresh",
            Age::Recent => "recent",
            Age::Old => "old",
            Age::Unknown => "of unknown age",
        }
    }
}

/// One row of the table on the operators' page.
#[derive(Debug)]
pub struct Step {
    pub age: Age,
    /// The greatest age that is still of this step.
    pub up_to: Span,
    /// Stores that may be asked at the same time, and so opened at once.
    pub wave: usize,
    /// Answers in which a store must have said that it is primary before writes go there.
    pub rounds: u32,
    /// Whether an address is believed to belong to the listed store where that store can't say who it is.
    pub named: bool,
    /// Whether it is proof enough that all other members were heard or refuse connections, none of them
    /// behind another primary; else a majority must be seen to follow.
    pub accounted: bool,
}

const SECOND: Span = Span::millis(1_000);

pub const STEPS: [Step; 4] = [
    Step { age: Age::Fresh, up_to: Span(SECOND.0 * 60), wave: 64, rounds: 1, named: true, accounted: true },
    Step {
        age: Age::Recent,
        up_to: Span(SECOND.0 * 3_600),
        wave: 32,
        rounds: 2,
        named: false,
        accounted: false,
    },
    Step {
        age: Age::Old,
        up_to: Span(SECOND.0 * 86_400),
        wave: 16,
        rounds: 2,
        named: false,
        accounted: false,
    },
    Step { age: Age::Unknown, up_to: Span(i64::MAX), wave: 8, rounds: 3, named: false, accounted: false },
];

/// So far a list may lie ahead of our clock: clocks of one fleet differ by a little.
const AHEAD: Span = Span::millis(500);

/// The times that stand in a kept list, by the wall clocks of then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// When discovery last stood by it.
    pub confirmed: Moment,
    /// When it was last written. Never before `confirmed`, or the wall clock has been set back in between.
    pub saved: Moment,
}

/// The step of a list at `now`. `shown` is the latest time that any store has told of since this start: a
/// wall clock that was set back makes a list look young, but not the stores. Without times the age is not
/// known.
pub fn step(times: Option<Times>, now: Moment, shown: Option<Moment>) -> &'static Step {
    let last = &STEPS[STEPS.len() - 1];
    let Some(times) = times else { return last };
    let ahead = times.confirmed.max(times.saved) > now + AHEAD;
    if ahead || times.saved + AHEAD < times.confirmed {
        return last;
    }
    let age = now.max(shown.unwrap_or(now)) - times.confirmed;
    STEPS.iter().find(|step| age <= step.up_to).unwrap_or(last)
}
