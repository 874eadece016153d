//! When the cache is saved: soon after a change, not for each one, and less often while the disk fails.

use crate::endpoint_state::RoleReport;
use routing::time::{TimeDelta, Timestamp};

/// A change waits this long for others that come with it.
const SETTLE_TIME: TimeDelta = TimeDelta::from_millis(150);
/// How often a mere confirmation is saved: an age on disk is too great by this much at most.
const CONFIRMATION_INTERVAL: TimeDelta = TimeDelta::from_millis(10_000);
const FIRST_RETRY_PAUSE: TimeDelta = TimeDelta::from_millis(1_000);
const MAX_RETRY_PAUSE: TimeDelta = TimeDelta::from_millis(60_000);
const MAX_DOUBLINGS: u32 = 16;
/// An endpoint's report is saved again once its position is this much further.
const POSITION_STEP: TimeDelta = TimeDelta::from_millis(5_000);

/// When to save next.
#[derive(Clone, Copy, Debug)]
pub struct SaveSchedule {
    min_interval: TimeDelta,
    changed_at: Option<Timestamp>,
    confirmed: bool,
    saved_at: Timestamp,
    failures: u32,
}

impl SaveSchedule {
    /// With at least this much time between two saves.
    pub fn new(min_interval: TimeDelta) -> SaveSchedule {
        SaveSchedule {
            min_interval,
            changed_at: None,
            confirmed: false,
            saved_at: Timestamp::DISTANT_PAST,
            failures: 0,
        }
    }

    /// Changes the least time between two saves.
    pub fn set_min_interval(&mut self, min_interval: TimeDelta) {
        self.min_interval = min_interval;
    }

    /// The list, or what an endpoint reports, has changed.
    pub fn changed(&mut self, now: Timestamp) {
        self.changed_at = self.changed_at.or(Some(now));
    }

    /// Discovery has confirmed the list as it is.
    pub fn confirmed(&mut self) {
        self.confirmed = true;
    }

    /// When to save next, if there is anything to save.
    pub fn due(&self) -> Option<Timestamp> {
        let wanted = match self.changed_at {
            Some(at) => at + SETTLE_TIME,
            None if self.confirmed => self.saved_at + CONFIRMATION_INTERVAL,
            None => return None,
        };
        Some(wanted.max(self.saved_at + self.pause()))
    }

    fn pause(&self) -> TimeDelta {
        if self.failures == 0 {
            return self.min_interval;
        }
        let doublings = (self.failures - 1).min(MAX_DOUBLINGS);
        let backoff = FIRST_RETRY_PAUSE * (1 << doublings);
        self.min_interval.max(backoff.min(MAX_RETRY_PAUSE))
    }

    /// A save starts, with all that is known by now.
    pub fn started(&mut self, now: Timestamp) {
        self.changed_at = None;
        self.confirmed = false;
        self.saved_at = now;
    }

    /// A save has ended. One that failed is still to be made.
    pub fn ended(&mut self, now: Timestamp, succeeded: bool) {
        self.failures = if succeeded { 0 } else { self.failures.saturating_add(1) };
        self.saved_at = now;
        if !succeeded {
            self.changed(now);
        }
    }
}

/// Whether an endpoint's report differs enough from the one that is saved.
pub fn is_worth_saving(saved: Option<RoleReport>, report: RoleReport) -> bool {
    let Some(saved) = saved else { return report.role.is_some() };
    let moved = match (saved.position, report.position) {
        (Some(saved), Some(position)) => position >= saved + POSITION_STEP,
        (saved, position) => saved.is_none() && position.is_some(),
    };
    report.role.is_some() && (saved.role != report.role || saved.timeline != report.timeline || moved)
}
