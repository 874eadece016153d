//! The purposes of the routing policy's timers, encoded as numbers for the host.

use crate::events::RequestId;

/// The purpose of a timer.
#[derive(Clone, Copy)]
pub enum TimerTag {
    /// The periodic tick of the policy.
    Tick,
    /// Half of the time between a request's arrival and its final answer has passed.
    HalfTimeout(RequestId),
    /// The final answer to a request must be given now.
    AnswerDue(RequestId),
}

impl TimerTag {
    /// Encodes the purpose: 0 for the tick, otherwise odd and even numbers for the two timers of a request.
    pub fn encode(self) -> u64 {
        match self {
            TimerTag::Tick => 0,
            TimerTag::HalfTimeout(request) => request * 2 + 1,
            TimerTag::AnswerDue(request) => request * 2 + 2,
        }
    }

    /// Decodes a number that [`TimerTag::encode`] gave.
    pub fn decode(tag: u64) -> TimerTag {
        match tag {
            0 => TimerTag::Tick,
            tag if tag % 2 == 1 => TimerTag::HalfTimeout(tag / 2),
            tag => TimerTag::AnswerDue(tag / 2 - 1),
        }
    }
}
