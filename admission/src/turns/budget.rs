//! The limits of one turn of a client connection.

use routing::time::{TimeDelta, Timestamp};

/// The maximum number of messages that are handled in a turn.
const MAX_MESSAGES: u32 = 64;
/// The maximum number of bytes that are read in a turn.
const MAX_BYTES: usize = 64 << 10;
/// After this time no further message is handled and no further bytes are read in a turn.
const MAX_TIME: TimeDelta = TimeDelta::from_micros(250);
/// The assumed time of the worker that a request takes outside its client's connection: in the control loop, its
/// attempt and the response.
const REQUEST_TIME: TimeDelta = TimeDelta::from_micros(25);

/// What a turn has used so far.
#[derive(Clone, Copy, Debug)]
pub struct TurnBudget {
    started_at: Timestamp,
    messages: u32,
    requests: u32,
    bytes: usize,
}

impl TurnBudget {
    /// Begins a turn.
    pub fn start(now: Timestamp) -> TurnBudget {
        TurnBudget { started_at: now, messages: 0, requests: 0, bytes: 0 }
    }

    /// Counts a message that is handled.
    pub fn add_message(&mut self) {
        self.messages += 1;
    }

    /// Counts a request that is passed on.
    pub fn add_request(&mut self) {
        self.requests += 1;
    }

    /// Counts bytes that were read.
    pub fn add_bytes(&mut self, bytes: usize) {
        self.bytes += bytes;
    }

    /// The time of the worker that the turn has used, including the assumed time of its requests.
    pub fn used_time(&self, now: Timestamp) -> TimeDelta {
        (now - self.started_at) + REQUEST_TIME * i64::from(self.requests)
    }

    /// Whether the turn has reached one of its limits.
    pub fn is_exhausted(&self, now: Timestamp) -> bool {
        self.messages >= MAX_MESSAGES || self.bytes >= MAX_BYTES || self.used_time(now) >= MAX_TIME
    }
}
