//! Timeouts and reconnection backoff of the watch on discovery.
//!
//! Changes that a broken watch does not deliver must reach the router within 6 s of the last event. Discovery sends
//! an empty line every 2 s as a heartbeat. A watch is closed after 3 s of silence, which tolerates a heartbeat that
//! is 1 s late. This leaves 3 s to open the next watch, including two attempts that time out.
//!
//! Pushed lists come from an agent on the same machine, which responds at once. The router is assumed to know the
//! agent's list whether or not a watch is open. Therefore the pause between two watches must not exceed half of the
//! grace period after which no attempts may be sent to a draining endpoint.

use routing::time::{TimeDelta, Timestamp};

/// Maximum time between two events. An event is a complete list or an empty line; bytes of an incomplete event do not
/// count.
const MAX_SILENCE: TimeDelta = TimeDelta::from_millis(3_000);
/// Timeout for opening a connection, and for the start of a local agent's response.
pub const OPEN_TIMEOUT: TimeDelta = TimeDelta::from_millis(1_000);
/// A watch that received events for at least this long was healthy: the backoff starts over after it.
const HEALTHY_AFTER: TimeDelta = TimeDelta::from_millis(2_000);
/// First pause before reconnecting.
const MIN_PAUSE: TimeDelta = TimeDelta::from_millis(50);
/// Longest pause before reconnecting. Backoff and jitter keep many instances from polling discovery at the same time.
const MAX_PAUSE: TimeDelta = TimeDelta::from_millis(2_000);
/// Exclusive upper bound of the jitter. With a jitter of `j`, a pause is half of its nominal length plus
/// `j / JITTER_RANGE` of the other half.
pub const JITTER_RANGE: usize = 32;

/// Timing of the current watch and of the pause before the next one.
#[derive(Clone, Copy, Debug)]
pub struct WatchSchedule {
    /// Whether lists are pushed by an agent on the same machine.
    from_local_agent: bool,
    max_pause: TimeDelta,
    /// The next pause before reconnecting, without jitter.
    pause: TimeDelta,
    /// When the current watch was requested.
    requested_at: Timestamp,
    /// When the last event of the current watch was received.
    last_event_at: Option<Timestamp>,
}

impl WatchSchedule {
    /// Creates a schedule for the first watch. `from_local_agent` means that lists are pushed by an agent on the same
    /// machine. `drain_grace` is the time after which no attempts may be sent to a draining endpoint, if known.
    pub fn new(from_local_agent: bool, drain_grace: Option<TimeDelta>) -> WatchSchedule {
        let within_grace =
            drain_grace.filter(|_| from_local_agent).map(|grace| (grace / 2).max(MIN_PAUSE).min(MAX_PAUSE));
        WatchSchedule {
            from_local_agent,
            max_pause: within_grace.unwrap_or(MAX_PAUSE),
            pause: MIN_PAUSE,
            requested_at: Timestamp::DISTANT_PAST,
            last_event_at: None,
        }
    }

    /// Records the request of a watch. Returns the time by which the response must have started.
    pub fn watch_requested(&mut self, now: Timestamp) -> Timestamp {
        self.requested_at = now;
        self.last_event_at = None;
        self.response_due()
    }

    /// The time by which the response must have started.
    pub fn response_due(&self) -> Timestamp {
        self.requested_at + if self.from_local_agent { OPEN_TIMEOUT } else { MAX_SILENCE }
    }

    /// The time by which the next event must have been received, once the response has started.
    pub fn next_event_due(&self) -> Timestamp {
        self.last_event_at.unwrap_or(self.requested_at) + MAX_SILENCE
    }

    /// Records a complete event. Returns the time by which the next event must have been received.
    pub fn event_received(&mut self, now: Timestamp) -> Timestamp {
        self.last_event_at = Some(now);
        self.next_event_due()
    }

    /// Resets the backoff, after discovery has moved to another address or provided a new list.
    pub fn reset_backoff(&mut self) {
        self.pause = MIN_PAUSE;
    }

    /// Records the end of a watch. Returns the pause before the next request, varied by a `jitter` below
    /// [`JITTER_RANGE`] and limited to `max_pause` if set. The backoff starts over after a healthy watch.
    pub fn watch_ended(&mut self, jitter: usize, max_pause: Option<TimeDelta>) -> TimeDelta {
        let last_event_at = self.last_event_at.take();
        if last_event_at.is_some_and(|at| at - self.requested_at >= HEALTHY_AFTER) {
            self.reset_backoff();
        }
        let max_pause = max_pause.map_or(self.max_pause, |limit| limit.min(self.max_pause));
        let jitter = jitter.min(JITTER_RANGE - 1);
        let pause = self.pause.min(max_pause) / (2 * JITTER_RANGE as i64) * (JITTER_RANGE + jitter) as i64;
        self.pause = (self.pause * 2).min(max_pause);
        pause
    }
}
