//! What to do when the process's resident memory comes near its limit, although the memory plan should prevent it: first
//! free memory is returned to the operating system, then those who hold most are shed.

use routing::time::{TimeDelta, Timestamp};

/// The share of the limit from which on the process sheds, in percent.
const HIGH_PERCENT: usize = 85;
/// The share of the limit below which the process no longer sheds, and to which it sheds, in percent.
const LOW_PERCENT: usize = 75;
/// Free memory is returned if resident memory exceeds what is reserved by more than the limit divided by this.
const UNRESERVED_DIVISOR: usize = 8;
/// How often free memory is returned at most: this takes time in proportion to the size of the heap.
const RELEASE_INTERVAL: TimeDelta = TimeDelta::from_millis(500);

/// What to do now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PressureResponse {
    /// Return free memory to the operating system.
    pub releases_free_memory: bool,
    /// The bytes that connections are to give up; 0 if none.
    pub shed_bytes: usize,
    /// Take no new clients, and only one request of each client.
    pub is_high: bool,
}

/// Follows the process's resident memory.
#[derive(Clone, Copy, Debug)]
pub struct MemoryPressure {
    /// The process's limit, in bytes.
    limit: usize,
    is_high: bool,
    released_at: Timestamp,
}

impl MemoryPressure {
    /// Creates the state of a process with a limit in bytes.
    pub fn new(limit: usize) -> MemoryPressure {
        MemoryPressure { limit, is_high: false, released_at: Timestamp::DISTANT_PAST }
    }

    /// The bytes of a share of the limit.
    fn share(&self, percent: usize) -> usize {
        self.limit / 100 * percent
    }

    /// Decides by the resident memory and the memory that is reserved by the plan, both in bytes.
    pub fn observe(&mut self, now: Timestamp, resident: usize, reserved: usize) -> PressureResponse {
        let threshold = if self.is_high { LOW_PERCENT } else { HIGH_PERCENT };
        self.is_high = resident > self.share(threshold);
        let is_unreserved = resident > reserved + self.limit / UNRESERVED_DIVISOR;
        let may_release = now - self.released_at >= RELEASE_INTERVAL;
        let releases_free_memory = (self.is_high || is_unreserved) && may_release;
        if releases_free_memory {
            self.released_at = now;
        }
        let excess = resident.saturating_sub(self.share(LOW_PERCENT));
        // Returning free memory may be enough.
        let shed_bytes = if self.is_high && !releases_free_memory { excess } else { 0 };
        PressureResponse { releases_free_memory, shed_bytes, is_high: self.is_high }
    }
}
