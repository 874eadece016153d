//! The page `limits`: what there is of each resource, and what of it is in use.

use crate::admin::table::{cell_or_empty, format_delta, Table, EMPTY_CELL};
use crate::admin::view::{AdminView, PageError, DESCRIPTOR_CLASSES};
use crate::messages::snapshot::QueueSnapshot;

impl AdminView {
    /// The page.
    ///
    /// # Errors
    /// The control loop gives no snapshot.
    pub fn limits_page(&self) -> Result<String, PageError> {
        let snapshot = self.snapshot()?;
        let mut table = Table::new(&["resource", "taken", "most"]);
        for (name, class) in DESCRIPTOR_CLASSES {
            let (in_use, limit) = (self.resources.in_use(class), self.resources.limit(class));
            table.push([format!("descriptors: {name}"), in_use.to_string(), limit.to_string()]);
        }
        let (bytes, max_bytes) = (self.resources.buffer_bytes(), self.resources.max_buffer_bytes());
        table.push(["bytes in buffers".into(), bytes.to_string(), max_bytes.to_string()]);
        table.push(["open RPCs".into(), snapshot.open_requests.to_string(), EMPTY_CELL.into()]);
        if let Some(queue) = &snapshot.queue {
            push_queue_limits(&mut table, queue);
        }
        let heading = if self.shutdown.has_begun() { "leaving\n" } else { "" };
        Ok(format!("{heading}{table}"))
    }
}

fn push_queue_limits(table: &mut Table, queue: &QueueSnapshot) {
    let in_flight: usize = queue.classes.iter().map(|(_, requests)| requests.in_flight).sum();
    let waiting: usize = queue.classes.iter().map(|(_, requests)| requests.waiting).sum();
    let limits = &queue.limits;
    let retries = limits.retry_percent.map(|percent| format!("{percent}% of first tries"));
    table.push(["RPCs worked on".into(), in_flight.to_string(), limits.max_in_flight.to_string()]);
    table.push(["RPCs that wait".into(), waiting.to_string(), limits.max_waiting.to_string()]);
    table.push(["wait where a queue stands".into(), EMPTY_CELL.into(), format_delta(limits.target_wait)]);
    table.push(["repeats".into(), EMPTY_CELL.into(), cell_or_empty(retries)]);
}
