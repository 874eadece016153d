//! The thread of the write journal: operations that arrive faster than they are written are split into several
//! batches, and each of them gets its reply.

use server::storage::journal::WriteJournal;
use std::sync::mpsc::channel;
use std::time::Duration;
use write_journal::journal::{Durability, Retention, MAX_BATCH_OPERATIONS};
use write_journal::record_state::{Fate, RecordEvent};

#[test]
fn every_operation_of_a_long_queue_gets_its_reply() {
    let folder = tempfile::tempdir().expect("a folder");
    let retention = Retention { max_records: 100_000, max_age_ms: 3_600_000 };
    let journal = WriteJournal::start(&folder.path().join("writes"), Durability::Disk, retention, 7);
    let journal = journal.expect("it opens");
    let queries = 40 * MAX_BATCH_OPERATIONS;
    let (replies, replied) = channel();
    for index in 0..queries {
        // Writing these takes long enough for a queue to form.
        journal.record_outcome(&format!("written-{index}"), RecordEvent::NotExecuted);
        let replies = replies.clone();
        journal.query_fate(format!("unknown-{index}"), None, false, move |fate| _ = replies.send(fate));
    }
    drop(replies);
    let mut count = 0;
    while let Ok(fate) = replied.recv_timeout(Duration::from_secs(30)) {
        assert_eq!(fate, Fate::Unknown);
        count += 1;
    }
    assert_eq!(count, queries);
}
