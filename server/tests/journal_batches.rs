//! The thread of the write journal. Operations that arrive faster than they are written are split into several batches.
//! The test guards against fate queries that get no reply because they are lost when a batch is full.

use server::storage::journal::WriteJournal;
use std::sync::mpsc::channel;
use std::time::Duration;
use write_journal::journal::{Durability, Retention, MAX_BATCH_OPERATIONS};
use write_journal::record_state::{Fate, RecordEvent};

#[test]
fn every_fate_query_in_a_long_queue_gets_a_reply() {
    let folder = tempfile::tempdir().expect("failed to create a temporary directory");
    let retention = Retention { max_records: 100_000, max_age_ms: 3_600_000 };
    let journal = WriteJournal::start(&folder.path().join("writes"), Durability::Disk, retention, 7);
    let journal = journal.expect("the journal cannot be opened");
    let queries = 40 * MAX_BATCH_OPERATIONS;
    let (reply_sender, replies) = channel();
    for index in 0..queries {
        // Recording an outcome is slow enough for the operations to queue.
        journal.record_outcome(&format!("written-{index}"), RecordEvent::NotExecuted);
        let reply_sender = reply_sender.clone();
        journal.query_fate(format!("unknown-{index}"), None, false, move |fate| _ = reply_sender.send(fate));
    }
    drop(reply_sender);
    let mut count = 0;
    while let Ok(fate) = replies.recv_timeout(Duration::from_secs(30)) {
        assert_eq!(fate, Fate::Unknown);
        count += 1;
    }
    assert_eq!(count, queries, "a fate query got no reply");
}
