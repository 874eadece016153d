//! Detects a client that does not read its responses. A client that reads slowly makes progress.

use routing::time::{TimeDelta, Timestamp};

/// The interval at which the progress is checked.
const CHECK_INTERVAL: TimeDelta = TimeDelta::from_millis(250);

/// The progress of a client while the socket's send buffer is full.
pub struct StallDetector {
    /// When the client was last seen to make progress.
    progress_at: Timestamp,
    /// The number of bytes that the client had acknowledged then.
    acknowledged: u64,
    /// When the progress is checked next.
    check_at: Timestamp,
}

impl StallDetector {
    /// Begins when the send buffer is full. The client has acknowledged `acknowledged` bytes so far.
    pub fn start(acknowledged: u64, now: Timestamp) -> StallDetector {
        StallDetector { progress_at: now, acknowledged, check_at: now + CHECK_INTERVAL }
    }

    /// When the progress must be checked.
    pub fn check_at(&self) -> Timestamp {
        self.check_at
    }

    /// Checks the progress, if a check is due. Returns whether the client has made none for the duration `timeout`.
    pub fn is_stalled(&mut self, acknowledged: u64, now: Timestamp, timeout: TimeDelta) -> bool {
        if now < self.check_at {
            return false;
        }
        self.check_at = now + CHECK_INTERVAL;
        if acknowledged > self.acknowledged {
            self.acknowledged = acknowledged;
            self.progress_at = now;
        }
        now >= self.progress_at + timeout
    }
}
