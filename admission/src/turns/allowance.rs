//! How much of the worker a client has used lately. A client within its allowance is served before the others.

use routing::time::{TimeDelta, Timestamp};

/// The most time of the worker that a client can save up.
const MAX_BALANCE: TimeDelta = TimeDelta::from_millis(2);
/// The least that a balance falls to, so that a client is not set back for long by one large message.
const MIN_BALANCE: TimeDelta = TimeDelta::from_millis(-20);
/// The allowance grows by one unit of time in this many: a client may use 2 % of the worker.
const REFILL_DIVISOR: i64 = 50;

/// The time of the worker that a client may still use before it counts as heavy.
#[derive(Clone, Copy, Debug)]
pub struct WorkAllowance {
    balance: TimeDelta,
    refilled_at: Timestamp,
}

impl WorkAllowance {
    /// The full allowance of a new client.
    pub fn new(now: Timestamp) -> WorkAllowance {
        WorkAllowance { balance: MAX_BALANCE, refilled_at: now }
    }

    /// Adds what the client has saved up until `now`, and subtracts the time that it has used.
    pub fn charge(&mut self, now: Timestamp, used: TimeDelta) {
        self.refill(now);
        self.balance = (self.balance - used).max(MIN_BALANCE);
    }

    /// Whether the client has used no more than its allowance.
    pub fn is_within(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.balance > TimeDelta::ZERO
    }

    fn refill(&mut self, now: Timestamp) {
        self.balance = (self.balance + (now - self.refilled_at) / REFILL_DIVISOR).min(MAX_BALANCE);
        self.refilled_at = now;
    }
}
