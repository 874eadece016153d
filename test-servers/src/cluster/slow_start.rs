//! Model of the load on endpoints: their slow start after a start, their service times, and their overload.

use std::time::Duration;

const MICROS_PER_MILLI: i64 = 1_000;

/// Slow start of endpoints and the load that overloads them, as in the instances' settings.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartModel {
    /// Fraction of its capacity that an endpoint has right after its start.
    pub initial_fraction: f64,
    /// Time from the start until it has its full capacity.
    pub duration_ms: i64,
    /// An endpoint is overloaded by work of more than this multiple of its current capacity within the window.
    pub overload_multiple: f64,
    /// Length of the window over which work is counted.
    pub window_ms: i64,
    /// Service time of one statement at full capacity.
    pub work_ms: i64,
}

/// The statements that an endpoint has accepted.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointLoad {
    /// Arrival times of statements within the current window, in Unix milliseconds.
    arrivals_ms: Vec<i64>,
    /// When the single core will have finished all accepted statements, in Unix microseconds.
    busy_until_us: i64,
}

impl EndpointLoad {
    /// Records the arrival of a statement. Returns whether the work within the window overloads an endpoint that has
    /// `fraction` of its capacity; the window then starts anew.
    pub(super) fn is_overloaded_by(
        &mut self,
        now_ms: i64,
        model: &SlowStartModel,
        fraction: Option<f64>,
    ) -> bool {
        self.arrivals_ms.retain(|at_ms| now_ms - at_ms < model.window_ms);
        self.arrivals_ms.push(now_ms);
        let Some(fraction) = fraction else { return false };
        let offered_ms = self.arrivals_ms.len() as f64 * model.work_ms as f64;
        let is_overloaded = offered_ms > fraction * model.overload_multiple * model.window_ms as f64;
        if is_overloaded {
            self.arrivals_ms.clear();
        }
        is_overloaded
    }

    /// Adds a statement to the work of the single core. Returns the time until the statement is done.
    pub(super) fn add_work(&mut self, now_ms: i64, work_us: i64) -> Duration {
        let now_us = now_ms * MICROS_PER_MILLI;
        self.busy_until_us = self.busy_until_us.max(now_us) + work_us;
        Duration::from_micros((self.busy_until_us - now_us).max(0) as u64)
    }
}

impl SlowStartModel {
    /// Fraction of its capacity that an endpoint has `age_ms` after its start; `None` if it has its full capacity.
    pub(super) fn fraction_at(&self, age_ms: i64) -> Option<f64> {
        let progress = age_ms as f64 / self.duration_ms as f64;
        let fraction = self.initial_fraction + (1.0 - self.initial_fraction) * progress;
        (age_ms < self.duration_ms).then_some(fraction)
    }

    /// Service time of one statement in microseconds at a fraction of the capacity.
    pub(super) fn work_us(&self, fraction: Option<f64>) -> i64 {
        (self.work_ms as f64 * MICROS_PER_MILLI as f64 / fraction.unwrap_or(1.0)) as i64
    }
}
