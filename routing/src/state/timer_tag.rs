//! Purposes of the routing policy's timers, encoded as the numbers that the host stores.

use crate::events::RequestId;

/// The purpose of a timer.
#[derive(Clone, Copy)]
pub enum TimerTag {
    /// The regular tick.
    Tick,
    /// Half of a request's time has passed.
    HalfTime(RequestId),
    /// The final answer of a request is due.
    AnswerDue(RequestId),
}

impl TimerTag {
    /// Encodes the tag.
    pub fn encode(self) -> u64 {
        match self {
            TimerTag::Tick => 0,
            TimerTag::HalfTime(request) => request * 2 + 1,
            TimerTag::AnswerDue(request) => request * 2 + 2,
        }
    }

    /// Decodes a tag.
    pub fn decode(tag: u64) -> TimerTag {
        match tag {
            0 => TimerTag::Tick,
            tag if tag % 2 == 1 => TimerTag::HalfTime(tag / 2),
            tag => TimerTag::AnswerDue(tag / 2 - 1),
        }
    }
}
