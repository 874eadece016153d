//! Schedule of cache saves: soon after a change, with changes batched, and with backoff while saving fails.

use crate::endpoint_state::RoleReport;
use routing::time::{TimeDelta, Timestamp};

/// Delay from the first change to a save, so that related changes are saved together.
const SETTLE_TIME: TimeDelta = TimeDelta::from_millis(150);
/// Interval of saves when discovery only confirms an unchanged list: the age recorded on disk is too high by at most
/// this much.
const CONFIRMATION_INTERVAL: TimeDelta = TimeDelta::from_millis(10_000);
/// Backoff after the first failed save; doubles with each further one.
const FIRST_RETRY_PAUSE: TimeDelta = TimeDelta::from_millis(1_000);
const MAX_RETRY_PAUSE: TimeDelta = TimeDelta::from_millis(60_000);
/// Bounds the exponent of the backoff against overflow; the longest pause is reached before.
const MAX_DOUBLINGS: u32 = 16;
/// An endpoint's report is saved again once its position has advanced by this much (commit time).
const POSITION_STEP: TimeDelta = TimeDelta::from_millis(5_000);

/// Schedule of saves of the endpoint cache.
#[derive(Clone, Copy, Debug)]
pub struct SaveSchedule {
    min_interval: TimeDelta,
    /// Time of the first change that is not saved yet.
    changed_at: Option<Timestamp>,
    /// Discovery has confirmed the list since the last save.
    confirmed: bool,
    /// When the last save started or ended.
    saved_at: Timestamp,
    /// Consecutive failed saves.
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

    /// When the next save is due, if there is anything to save.
    pub fn next_save_due(&self) -> Option<Timestamp> {
        let wanted = match self.changed_at {
            Some(at) => at + SETTLE_TIME,
            None if self.confirmed => self.saved_at + CONFIRMATION_INTERVAL,
            None => return None,
        };
        Some(wanted.max(self.saved_at + self.pause()))
    }

    /// Minimum time from the last save to the next.
    fn pause(&self) -> TimeDelta {
        if self.failures == 0 {
            return self.min_interval;
        }
        let doublings = (self.failures - 1).min(MAX_DOUBLINGS);
        let backoff = FIRST_RETRY_PAUSE * (1 << doublings);
        self.min_interval.max(backoff.min(MAX_RETRY_PAUSE))
    }

    /// Records the start of a save, which covers all changes so far.
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

/// Whether an endpoint's report differs enough from the saved one to be saved: in role, timeline, or by enough in
/// position.
pub fn is_worth_saving(saved: Option<RoleReport>, report: RoleReport) -> bool {
    let Some(saved) = saved else { return report.role.is_some() };
    let position_advanced = match (saved.position, report.position) {
        (Some(saved), Some(position)) => position >= saved + POSITION_STEP,
        (saved, position) => saved.is_none() && position.is_some(),
    };
    let changed = saved.role != report.role || saved.timeline != report.timeline || position_advanced;
    report.role.is_some() && changed
}
