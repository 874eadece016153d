//! The page `resources` (`limits` in earlier terms): the use and the limit of each resource.

use crate::admin::table::{cell_or_empty, format_delta, Table, EMPTY_CELL};
use crate::admin::view::{AdminView, PageError, DESCRIPTOR_CLASSES};
use crate::messages::snapshot::QueueSnapshot;
use crate::runtime::terms::{Term, Vocabulary};

const COLUMNS: [Term; 3] = [Term::same("resource"), Term::new("taken", "in use"), Term::new("most", "limit")];
const SHUTTING_DOWN: Term = Term::new("leaving", "shutting down");
const BUFFER_BYTES: Term = Term::new("bytes in buffers", "buffer bytes");
const OPEN_REQUESTS: Term = Term::new("open RPCs", "open requests");
const IN_FLIGHT: Term = Term::new("RPCs worked on", "requests in flight");
const QUEUED: Term = Term::new("RPCs that wait", "requests queued");
const TARGET_WAIT: Term = Term::new("wait where a queue stands", "target queue wait");
const RETRY_BUDGET: Term = Term::new("repeats", "retry budget");
const FIRST_ATTEMPTS: Term = Term::new("first tries", "first attempts");

impl AdminView {
    /// Renders the page `resources`.
    ///
    /// # Errors
    /// The control loop has not sent a snapshot.
    pub fn limits_page(&self, vocabulary: Vocabulary) -> Result<String, PageError> {
        let snapshot = self.snapshot()?;
        let mut table = Table::new(&COLUMNS, vocabulary);
        for (name, class) in DESCRIPTOR_CLASSES {
            let (in_use, limit) = (self.resources.in_use(class), self.resources.limit(class));
            let name = name.text(vocabulary);
            table.push([format!("descriptors: {name}"), in_use.to_string(), limit.to_string()]);
        }
        let (bytes, max_bytes) = (self.resources.buffer_bytes(), self.resources.max_buffer_bytes());
        table.push([BUFFER_BYTES.text(vocabulary).into(), bytes.to_string(), max_bytes.to_string()]);
        if vocabulary == Vocabulary::Standard {
            self.push_memory(&mut table);
        }
        let open_requests = snapshot.open_requests.to_string();
        table.push([OPEN_REQUESTS.text(vocabulary).into(), open_requests, EMPTY_CELL.into()]);
        if let Some(queue) = &snapshot.queue {
            push_queue_limits(&mut table, queue, vocabulary);
        }
        let shutting_down = SHUTTING_DOWN.text(vocabulary);
        let heading = if self.shutdown.has_begun() { format!("{shutting_down}\n") } else { String::new() };
        Ok(format!("{heading}{table}"))
    }
}

impl AdminView {
    /// The process's memory: what is resident, what the plan has reserved, and the difference.
    fn push_memory(&self, table: &mut Table) {
        let resources = &self.resources;
        let (resident, reserved) = (resources.resident_bytes(), resources.reserved_bytes());
        let limit = resources.memory_limit().to_string();
        table.push(["resident memory".into(), resident.to_string(), limit.clone()]);
        table.push(["reserved memory".into(), reserved.to_string(), limit]);
        let unreserved = resident as i64 - reserved as i64;
        table.push(["resident but not reserved".into(), unreserved.to_string(), EMPTY_CELL.into()]);
    }
}

fn push_queue_limits(table: &mut Table, queue: &QueueSnapshot, vocabulary: Vocabulary) {
    let in_flight: usize = queue.classes.iter().map(|class| class.requests.in_flight).sum();
    let waiting: usize = queue.classes.iter().map(|class| class.requests.waiting).sum();
    let limits = &queue.limits;
    let first_attempts = FIRST_ATTEMPTS.text(vocabulary);
    let retries = limits.retry_percent.map(|percent| format!("{percent}% of {first_attempts}"));
    let mut push = |name: Term, in_use: String, limit: String| {
        table.push([name.text(vocabulary).into(), in_use, limit]);
    };
    push(IN_FLIGHT, in_flight.to_string(), limits.max_in_flight.to_string());
    push(QUEUED, waiting.to_string(), limits.max_waiting.to_string());
    push(TARGET_WAIT, EMPTY_CELL.into(), format_delta(limits.target_wait));
    push(RETRY_BUDGET, EMPTY_CELL.into(), cell_or_empty(retries));
}
