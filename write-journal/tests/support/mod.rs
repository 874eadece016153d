//! A journal in a temporary directory, and short forms of its operations.

use std::path::Path;
use tempfile::TempDir;
use write_journal::journal::{ClockReading, Durability, Journal, Operation, Reply, Retention};
use write_journal::record_state::{Deduplication, Fate, Origin, RecordEvent, SendPermission};

/// A retention beyond which most tests drop no record.
pub const RETENTION: Retention = Retention { max_records: 1_000, max_age_ms: 60_000 };
/// A retention under which no record of a test is dropped.
pub const UNLIMITED: Retention = Retention { max_records: 1 << 40, max_age_ms: i64::MAX };

/// An operation that records an event of a write without an idempotency key.
pub fn record(id: &str, event: RecordEvent) -> Operation {
    Operation::Record { id: id.to_string(), event, deduplication: None }
}

/// An operation that queries the fate of a write which the client sent on a connection with this origin.
pub fn query_fate(id: &str, origin: Option<&Origin>) -> Operation {
    Operation::QueryFate { id: id.to_string(), origin: origin.cloned(), request_open: false }
}

/// Opens the journal in a directory.
pub fn open(path: &Path, retention: Retention) -> Journal {
    Journal::open(path, Durability::System, retention, 7).expect("the journal opens")
}

/// A journal in its own temporary directory.
pub struct TestJournal {
    /// The journal under test.
    pub journal: Journal,
    retention: Retention,
    folder: TempDir,
}

impl TestJournal {
    /// Creates an empty journal.
    pub fn new(retention: Retention) -> TestJournal {
        let folder = tempfile::tempdir().expect("a temporary directory");
        TestJournal { journal: open(folder.path(), retention), retention, folder }
    }

    /// Closes the journal and opens it again, as after a restart of the process.
    pub fn reopen(self) -> TestJournal {
        let TestJournal { journal, retention, folder } = self;
        drop(journal);
        TestJournal { journal: open(folder.path(), retention), retention, folder }
    }

    /// Applies a batch of operations.
    pub fn apply(&mut self, now: impl Into<ClockReading>, operations: &[Operation]) -> Vec<Reply> {
        self.journal.apply(now, operations).expect("the batch is applied")
    }

    /// Records an event of a write without an idempotency key.
    pub fn record(&mut self, now: impl Into<ClockReading>, id: &str, event: RecordEvent) -> SendPermission {
        permission(&self.apply(now, &[record(id, event)]))
    }

    /// Records an event of a write with an idempotency key.
    pub fn record_keyed(
        &mut self,
        now: impl Into<ClockReading>,
        id: &str,
        event: RecordEvent,
        deduplication: Deduplication,
    ) -> SendPermission {
        let deduplication = Some(deduplication);
        permission(&self.apply(now, &[Operation::Record { id: id.to_string(), event, deduplication }]))
    }

    /// Queries the fate of a write which the client sent on a connection with this origin.
    pub fn fate(&mut self, now: impl Into<ClockReading>, id: &str, origin: Option<&Origin>) -> Fate {
        fate(&self.apply(now, &[query_fate(id, origin)]))
    }

    /// When the first attempt of a write was recorded, in Unix milliseconds, if there is a record.
    pub fn first_sent_ms(&self, id: &str) -> Option<i64> {
        self.journal.first_sent_ms(id).expect("the record is read")
    }
}

fn permission(replies: &[Reply]) -> SendPermission {
    match replies {
        [Reply::Permission(permission)] => *permission,
        other => panic!("expected one permission, got {other:?}"),
    }
}

/// Returns the fate that is the only reply.
pub fn fate(replies: &[Reply]) -> Fate {
    match replies {
        [Reply::Fate(fate)] => *fate,
        other => panic!("expected one fate, got {other:?}"),
    }
}
