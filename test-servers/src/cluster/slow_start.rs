//! Model of the load on endpoints: their slow start, the service times of statements, and overload.

use std::time::Duration;

const MICROS_PER_MILLI: i64 = 1_000;

/// Slow start of endpoints, and the load that overloads them. The instances' settings describe the same slow start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartModel {
    /// Fraction of its full capacity that an endpoint has when it starts.
    pub initial_fraction: f64,
    /// Time in milliseconds from the start of an endpoint until it has its full capacity. The capacity increases
    /// linearly.
    pub duration_ms: i64,
    /// An endpoint is overloaded if the work that arrives within the window exceeds this multiple of the work that its
    /// current capacity can do in that time.
    pub overload_multiple: f64,
    /// Length of the sliding window in milliseconds.
    pub window_ms: i64,
    /// Service time of one statement at full capacity, in milliseconds.
    pub work_ms: i64,
}

/// The statements that have arrived at an endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointLoad {
    /// Arrival times of the statements within the window, in Unix milliseconds.
    arrivals_ms: Vec<i64>,
    /// When the endpoint will have finished all these statements, one after the other, in Unix microseconds.
    busy_until_us: i64,
}

impl EndpointLoad {
    /// Records the arrival of a statement. Returns whether the work within the window overloads the endpoint, which has
    /// this fraction of its full capacity; `None` is full capacity, at which no load overloads the endpoint. After an
    /// overload, the window is cleared, so that each overload is reported once.
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

    /// Adds a statement with a service time of `work_us` microseconds after all earlier ones. Returns the time until
    /// the endpoint has finished it.
    pub(super) fn add_work(&mut self, now_ms: i64, work_us: i64) -> Duration {
        let now_us = now_ms * MICROS_PER_MILLI;
        self.busy_until_us = self.busy_until_us.max(now_us) + work_us;
        Duration::from_micros((self.busy_until_us - now_us).max(0) as u64)
    }
}

impl SlowStartModel {
    /// Fraction of its full capacity that an endpoint has `age_ms` after its start; `None` after slow start.
    pub(super) fn fraction_at(&self, age_ms: i64) -> Option<f64> {
        let progress = age_ms as f64 / self.duration_ms as f64;
        let fraction = self.initial_fraction + (1.0 - self.initial_fraction) * progress;
        (age_ms < self.duration_ms).then_some(fraction)
    }

    /// Service time of one statement in microseconds, at this fraction of the full capacity.
    pub(super) fn work_us(&self, fraction: Option<f64>) -> i64 {
        (self.work_ms as f64 * MICROS_PER_MILLI as f64 / fraction.unwrap_or(1.0)) as i64
    }
}
