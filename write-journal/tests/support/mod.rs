//! A journal in a temporary directory, and the operations of the tests in short.

use std::path::Path;
use tempfile::TempDir;
use write_journal::journal::{ClockReading, Durability, Journal, Operation, Reply, Retention};
use write_journal::record_state::{Deduplication, Fate, Origin, RecordEvent, SendPermission};

/// A retention that is longer than most tests.
pub const RETENTION: Retention = Retention { max_records: 1_000, max_age_ms: 60_000 };
/// A retention under which no record of a test is dropped.
pub const UNLIMITED: Retention = Retention { max_records: 1 << 40, max_age_ms: i64::MAX };

/// Something happens to a write without an idempotency key.
pub fn record(id: &str, event: RecordEvent) -> Operation {
    Operation::Record { id: id.to_string(), event, deduplication: None }
}

/// A client asks for the fate of a write that it sent on a connection of this origin.
pub fn query_fate(id: &str, origin: Option<&Origin>) -> Operation {
    Operation::QueryFate { id: id.to_string(), origin: origin.cloned(), request_open: false }
}

/// Opens the journal in a directory.
pub fn open(path: &Path, retention: Retention) -> Journal {
    Journal::open(path, Durability::System, retention, 7).expect("the journal opens")
}

/// A journal in a temporary directory of its own.
pub struct TestJournal {
    /// What is tested.
    pub journal: Journal,
    retention: Retention,
    folder: TempDir,
}

impl TestJournal {
    /// An empty journal.
    pub fn new(retention: Retention) -> TestJournal {
        let folder = tempfile::tempdir().expect("a temporary directory");
        TestJournal { journal: open(folder.path(), retention), retention, folder }
    }

    /// Closes the journal and opens it again, as a process that starts does.
    pub fn reopen(self) -> TestJournal {
        let TestJournal { journal, retention, folder } = self;
        drop(journal);
        TestJournal { journal: open(folder.path(), retention), retention, folder }
    }

    /// Applies a batch.
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

    /// The fate of a write, for a client that sent it on a connection of this origin.
    pub fn fate(&mut self, now: impl Into<ClockReading>, id: &str, origin: Option<&Origin>) -> Fate {
        fate(&self.apply(now, &[query_fate(id, origin)]))
    }

    /// When the write was first sent, if it is on record.
    pub fn first_sent_ms(&self, id: &str) -> Option<i64> {
        self.journal.first_sent_ms(id).expect("the record is read")
    }
}

fn permission(replies: &[Reply]) -> SendPermission {
    match replies {
        [Reply::Permission(permission)] => *permission,
        other => panic!("one permission: {other:?}"),
    }
}

/// The only reply, which is a fate.
pub fn fate(replies: &[Reply]) -> Fate {
    match replies {
        [Reply::Fate(fate)] => *fate,
        other => panic!("one fate: {other:?}"),
    }
}
