//! When a watch on discovery is held to be broken, and when it is opened again.
//!
//! What a watch misses counts as known 6 s after it fell silent. An empty line comes every 2 s if nothing changes, so a whole
//! second may be missing before the watch is given up, and 3 s are left to open the next one: two connections or answers
//! that never come fit in. Lists that are pushed come from an agent on this machine, which replies at once; what it has
//! counts as known whether or not a watch is open, so no pause may be longer than half of the time in which attempts to a
//! draining endpoint must cease.

use routing::time::{TimeDelta, Timestamp};

/// From one event, a list or an empty line, to the next: bytes of an event that never ends are none.
const MAX_SILENCE: TimeDelta = TimeDelta::from_millis(3_000);
/// Until a connection is there, and until an agent's answer has begun.
pub const OPEN_TIMEOUT: TimeDelta = TimeDelta::from_millis(1_000);
/// A watch that has stood for this long was a sound one.
const SOUND_AFTER: TimeDelta = TimeDelta::from_millis(2_000);
const MIN_PAUSE: TimeDelta = TimeDelta::from_millis(50);
/// A service that many instances poll must not be polled by all of them at once, again and again.
const MAX_PAUSE: TimeDelta = TimeDelta::from_millis(2_000);
/// Jitter is less than this.
pub const JITTER_RANGE: usize = 32;

/// The watch that is open, or the pause before the next.
#[derive(Clone, Copy, Debug)]
pub struct WatchSchedule {
    from_local_agent: bool,
    max_pause: TimeDelta,
    pause: TimeDelta,
    requested_at: Timestamp,
    last_event_at: Option<Timestamp>,
}

impl WatchSchedule {
    /// `from_local_agent`: lists come from an agent on this machine. `drain_grace`: within which attempts to a draining
    /// endpoint must cease, if that is known.
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

    /// The watch is requested; its answer must have begun by the time that is returned.
    pub fn requested(&mut self, now: Timestamp) -> Timestamp {
        self.requested_at = now;
        self.last_event_at = None;
        self.answer_due()
    }

    /// When the answer must have begun.
    pub fn answer_due(&self) -> Timestamp {
        self.requested_at + if self.from_local_agent { OPEN_TIMEOUT } else { MAX_SILENCE }
    }

    /// Its answer has begun; the next event must have come by the time that is returned.
    pub fn next_event_due(&self) -> Timestamp {
        self.last_event_at.unwrap_or(self.requested_at) + MAX_SILENCE
    }

    /// A whole event has come; the next one must have come by the time that is returned.
    pub fn event_received(&mut self, now: Timestamp) -> Timestamp {
        self.last_event_at = Some(now);
        self.next_event_due()
    }

    /// Discovery is somewhere else now, or has given something new.
    pub fn reset_backoff(&mut self) {
        self.pause = MIN_PAUSE;
    }

    /// The watch has ended; the pause until it is requested again, with a `jitter` of less than [`JITTER_RANGE`]. A watch
    /// that stood was sound: what was wrong before it is no reason to wait.
    pub fn ended(&mut self, jitter: usize, max_pause: Option<TimeDelta>) -> TimeDelta {
        let last_event_at = self.last_event_at.take();
        if last_event_at.is_some_and(|at| at - self.requested_at >= SOUND_AFTER) {
            self.reset_backoff();
        }
        let max_pause = max_pause.map_or(self.max_pause, |most| most.min(self.max_pause));
        let jitter = jitter.min(JITTER_RANGE - 1);
        let pause = self.pause.min(max_pause) / (2 * JITTER_RANGE as i64) * (JITTER_RANGE + jitter) as i64;
        self.pause = (self.pause * 2).min(max_pause);
        pause
    }
}
