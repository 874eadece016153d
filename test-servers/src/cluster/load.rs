//! The service times of statements, and the check that no endpoint in slow start is overloaded.

use super::endpoint_model::EndpointIndex;
use super::slow_start::SlowStartModel;
use super::state::ClusterState;
use history_checker::Rule;
use std::time::Duration;

impl ClusterState {
    /// Adds a statement that arrives at an endpoint to the endpoint's load. Returns the time until the endpoint has
    /// finished the statement: it executes one statement at a time, and needs longer for each during slow start.
    /// Reports a violation if the statement overloads the endpoint during slow start.
    pub fn accept_work(&mut self, index: EndpointIndex, now_ms: i64, model: &SlowStartModel) -> Duration {
        let age_ms = now_ms - self.endpoints[index].process.started_ms;
        let fraction = model.fraction_at(age_ms);
        let load = self.loads.entry(index).or_default();
        let is_overloaded = load.is_overloaded_by(now_ms, model, fraction);
        let service_time = load.add_work(now_ms, model.work_us(fraction));
        if is_overloaded {
            self.report_violation(
                index,
                Rule::SlowStart,
                format!("was overloaded during slow start, {age_ms} ms after its start"),
            );
        }
        service_time
    }
}
