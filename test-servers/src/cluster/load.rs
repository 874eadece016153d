//! The work that endpoints of a cluster accept.

use super::endpoint_model::EndpointIndex;
use super::slow_start::SlowStartModel;
use super::state::ClusterState;
use history_checker::Rule;
use std::time::Duration;

impl ClusterState {
    /// Accepts a statement at an endpoint and returns the time until it is done. The single core of an endpoint works
    /// on statements one after the other, more slowly during slow start. Overload during slow start is reported as a
    /// violation.
    pub fn accept_work(&mut self, index: EndpointIndex, now_ms: i64, model: &SlowStartModel) -> Duration {
        let age_ms = now_ms - self.endpoints[index].process.started_ms;
        let fraction = model.fraction_at(age_ms);
        let load = self.loads.entry(index).or_default();
        let is_overloaded = load.is_overloaded_by(now_ms, model, fraction);
        let service_time = load.add_work(now_ms, model.work_us(fraction));
        if is_overloaded {
            self.report(index, Rule::SlowStart, format!("was overloaded {age_ms} ms after its start"));
        }
        service_time
    }
}
