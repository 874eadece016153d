//! The end of a connection that the server closes.

use crate::clients::connection::{ClientConnection, CLIENT_TIMEOUT};
use crate::runtime::idle_clients::IdleRank;
use routing::time::{TimeDelta, Timestamp};

/// How long a client has to read what it was sent last.
const CLOSE_TIMEOUT: TimeDelta = TimeDelta::from_millis(500);
/// The part of it that a client has whose descriptor is needed.
const HURRIED_PART: i64 = 10;
/// How often the system is asked whether the client's has acknowledged the last byte.
const ACKNOWLEDGEMENT_POLL: TimeDelta = TimeDelta::from_millis(20);

/// How far the client's system has acknowledged what it was sent.
struct AcknowledgementProgress {
    fewest_bytes: usize,
    since: Timestamp,
}

impl AcknowledgementProgress {
    /// Whether it has stopped for too long.
    fn has_stalled(&mut self, unacknowledged: usize, now: Timestamp) -> bool {
        if unacknowledged < self.fewest_bytes {
            self.fewest_bytes = unacknowledged;
            self.since = now;
        }
        now >= self.since + CLIENT_TIMEOUT
    }
}

impl ClientConnection {
    /// Ends sending and waits for the client's end, reading nothing: a query that crosses the close is left unread, and so never
    /// taken. A close over unread bytes resets the connection, which takes with it what the client's system has not
    /// acknowledged; so over such bytes it waits for longer.
    pub fn close_gracefully(&mut self) {
        if self.socket.shutdown_write().is_err() {
            return;
        }
        self.unregister_idle();
        let began = self.context.timers.now();
        let hurried = self.channel.take_close_request();
        let timeout = if hurried { CLOSE_TIMEOUT / HURRIED_PART } else { CLOSE_TIMEOUT };
        self.register_idle(IdleRank::Closing, None);
        self.wake_at(began + timeout);
        let mut progress = AcknowledgementProgress { fewest_bytes: usize::MAX, since: began };
        while !self.socket.has_ended() {
            let now = self.context.timers.now();
            if now >= began + timeout || self.channel.is_close_requested() {
                if self.may_close(&mut progress, now) {
                    return;
                }
                self.wake_at(now + ACKNOWLEDGEMENT_POLL);
            }
            self.socket.wait();
        }
    }

    /// Whether a close loses nothing that the client could still get.
    fn may_close(&self, progress: &mut AcknowledgementProgress, now: Timestamp) -> bool {
        let unacknowledged = self.socket.unacknowledged_bytes();
        let has_stalled = progress.has_stalled(unacknowledged, now);
        unacknowledged == 0 || !self.socket.has_unread() || has_stalled
    }
}
