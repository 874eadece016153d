//! What a timer of the routing policy is for, as the number that the host keeps.

use crate::events::RequestId;

/// The purpose of a timer.
#[derive(Clone, Copy)]
pub enum TimerTag {
    /// The regular tick.
    Tick,
    /// Half of the time that a request has is over.
    HalfTime(RequestId),
    /// The last moment for the final answer of a request.
    AnswerDue(RequestId),
}

impl TimerTag {
    /// The tag as a number.
    pub fn encode(self) -> u64 {
        match self {
            TimerTag::Tick => 0,
            TimerTag::HalfTime(request) => request * 2 + 1,
            TimerTag::AnswerDue(request) => request * 2 + 2,
        }
    }

    /// The tag of a number.
    pub fn decode(tag: u64) -> TimerTag {
        match tag {
            0 => TimerTag::Tick,
            tag if tag % 2 == 1 => TimerTag::HalfTime(tag / 2),
            tag => TimerTag::AnswerDue(tag / 2 - 1),
        }
    }
}
