//! The page `metrics`: all metrics in the text format of Prometheus.

use crate::admin::metric_names::{metric_names, with_standard_names};
use crate::admin::view::{AdminView, DESCRIPTOR_CLASSES};
use crate::messages::snapshot::ServerSnapshot;
use admission::concurrency_limiter::ClassRequests;
use admission::ClassConnections;
use metrics::gauge;
use metrics_exporter_prometheus::PrometheusHandle;

impl AdminView {
    /// Updates the gauges and renders the page, with each metric under both its earlier and its standard name.
    pub fn metrics_page(&self, recorder: &PrometheusHandle) -> String {
        self.set_resource_gauges();
        self.set_connection_gauges();
        if let Ok(snapshot) = self.snapshot() {
            set_request_gauges(snapshot);
        }
        with_standard_names(&recorder.render(), &metric_names())
    }

    fn set_resource_gauges(&self) {
        for (name, class) in DESCRIPTOR_CLASSES {
            gauge!("gingerwick_descriptors", "share" => name.earlier)
                .set(self.resources.in_use(class) as f64);
        }
        gauge!("gingerwick_buffer_bytes").set(self.resources.buffer_bytes() as f64);
        let (resident, reserved) = (self.resources.resident_bytes(), self.resources.reserved_bytes());
        gauge!("gingerwick_memory_resident_bytes").set(resident as f64);
        gauge!("gingerwick_memory_reserved_bytes").set(reserved as f64);
        gauge!("gingerwick_memory_unreserved_bytes").set(resident as f64 - reserved as f64);
        gauge!("gingerwick_memory_limit_bytes").set(self.resources.memory_limit() as f64);
    }

    fn set_connection_gauges(&self) {
        gauge!("gingerwick_sessions").set(self.shutdown.connections() as f64);
        let Some(admission) = &self.admission else { return };
        for ClassConnections { class, connections } in admission.snapshot(0).connections {
            gauge!("gingerwick_connections", "class" => class).set(connections as f64);
        }
    }
}

fn set_request_gauges(snapshot: ServerSnapshot) {
    gauge!("gingerwick_rpcs_open").set(snapshot.open_requests as f64);
    for ClassRequests { class, requests } in snapshot.queue.into_iter().flat_map(|queue| queue.classes) {
        gauge!("gingerwick_rpcs_under_way", "class" => class.clone()).set(requests.in_flight as f64);
        gauge!("gingerwick_rpcs_waiting", "class" => class).set(requests.waiting as f64);
    }
}
