//! Schedule of cache saves. A save follows soon after a change, related changes are saved together, and failed saves
//! are retried with backoff.

use crate::endpoint_state::RoleReport;
use routing::time::{TimeDelta, Timestamp};

/// Delay from the first change to a save, so that related changes are saved together.
const BATCHING_DELAY: TimeDelta = TimeDelta::from_millis(150);
/// Interval of saves while discovery only confirms an unchanged list. The age of the list on disk is too high by at
/// most this interval.
const CONFIRMATION_SAVE_INTERVAL: TimeDelta = TimeDelta::from_millis(10_000);
/// Pause after the first failed save. It doubles with each further failure.
const FIRST_RETRY_PAUSE: TimeDelta = TimeDelta::from_millis(1_000);
/// Longest pause after a failed save.
const MAX_RETRY_PAUSE: TimeDelta = TimeDelta::from_millis(60_000);
/// Maximum exponent of the backoff, which prevents an overflow. The longest pause is reached with fewer doublings.
const MAX_DOUBLINGS: u32 = 16;
/// An endpoint's report is saved again once the reported position has advanced by this much commit time.
const POSITION_STEP: TimeDelta = TimeDelta::from_millis(5_000);

/// Schedule of saves of the endpoint cache.
#[derive(Clone, Copy, Debug)]
pub struct SaveSchedule {
    min_interval: TimeDelta,
    /// When the first change occurred that is not saved yet.
    changed_at: Option<Timestamp>,
    /// Whether discovery has confirmed the list since the last save.
    confirmed: bool,
    /// When the last save started or ended.
    saved_at: Timestamp,
    /// Number of consecutive failed saves.
    failures: u32,
}

impl SaveSchedule {
    /// Creates a schedule with at least `min_interval` between two saves.
    pub fn new(min_interval: TimeDelta) -> SaveSchedule {
        SaveSchedule {
            min_interval,
            changed_at: None,
            confirmed: false,
            saved_at: Timestamp::DISTANT_PAST,
            failures: 0,
        }
    }

    /// Changes the minimum interval between two saves.
    pub fn set_min_interval(&mut self, min_interval: TimeDelta) {
        self.min_interval = min_interval;
    }

    /// Records a change of the list or of an endpoint's report.
    pub fn record_change(&mut self, now: Timestamp) {
        self.changed_at = self.changed_at.or(Some(now));
    }

    /// Records that discovery has confirmed the unchanged list.
    pub fn record_confirmation(&mut self) {
        self.confirmed = true;
    }

    /// When the next save is due; `None` if there is nothing to save.
    pub fn next_save_due(&self) -> Option<Timestamp> {
        let earliest = match self.changed_at {
            Some(at) => at + BATCHING_DELAY,
            None if self.confirmed => self.saved_at + CONFIRMATION_SAVE_INTERVAL,
            None => return None,
        };
        Some(earliest.max(self.saved_at + self.min_pause()))
    }

    /// Minimum time from the last save to the next one.
    fn min_pause(&self) -> TimeDelta {
        if self.failures == 0 {
            return self.min_interval;
        }
        let doublings = (self.failures - 1).min(MAX_DOUBLINGS);
        let backoff = FIRST_RETRY_PAUSE * (1 << doublings);
        self.min_interval.max(backoff.min(MAX_RETRY_PAUSE))
    }

    /// Records the start of a save that includes all changes recorded so far.
    pub fn save_started(&mut self, now: Timestamp) {
        self.changed_at = None;
        self.confirmed = false;
        self.saved_at = now;
    }

    /// Records the end of a save. A failed save is scheduled again.
    pub fn save_ended(&mut self, now: Timestamp, succeeded: bool) {
        self.failures = if succeeded { 0 } else { self.failures.saturating_add(1) };
        self.saved_at = now;
        if !succeeded {
            self.record_change(now);
        }
    }
}

/// Whether an endpoint's report differs enough from the saved one to be saved: in its role, in its timeline, or by at
/// least [`POSITION_STEP`] in its position.
pub fn is_worth_saving(saved: Option<RoleReport>, report: RoleReport) -> bool {
    let Some(saved) = saved else { return report.role.is_some() };
    let position_advanced = match (saved.position, report.position) {
        (Some(saved), Some(position)) => position >= saved + POSITION_STEP,
        (saved, position) => saved.is_none() && position.is_some(),
    };
    let changed = saved.role != report.role || saved.timeline != report.timeline || position_advanced;
    report.role.is_some() && changed
}
