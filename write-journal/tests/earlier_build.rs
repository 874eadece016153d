//! A journal that an earlier build wrote remains readable. The build of commit 0eda158, not the code under test,
//! wrote `tests/data/journal`. The zeros at the end of its log file, up to 64 MiB, were cut off.

use std::path::Path;
use write_journal::journal::{ClockReading, Durability, Journal, Operation, Reply, Retention};
use write_journal::record_state::{Deduplication, Fate, Origin, RecordEvent, SendPermission, Uptime};

/// The size to which the log file is preallocated.
const LOG_BYTES: u64 = 64 << 20;

/// Copies a directory and everything in it.
fn copy_directory(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).expect("created");
    for entry in std::fs::read_dir(from).expect("a directory") {
        let entry = entry.expect("an entry");
        let target = to.join(entry.file_name());
        if entry.file_type().expect("a type").is_dir() {
            copy_directory(&entry.path(), &target);
        } else {
            std::fs::copy(entry.path(), &target).expect("copied");
        }
    }
}

#[test]
fn journal_of_an_earlier_build_is_readable() {
    let folder = tempfile::tempdir().expect("a directory");
    let path = folder.path().join("writes");
    copy_directory(&Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/journal"), &path);
    let log = std::fs::OpenOptions::new().write(true).open(path.join("0.jnl")).expect("the log");
    log.set_len(LOG_BYTES).expect("extended to its full length");
    drop(log);
    let retention = Retention { max_records: 1000, max_age_ms: i64::MAX };
    let mut journal = Journal::open(&path, Durability::System, retention, 1).expect("the journal opens");
    let origin = journal.origin();
    assert_eq!(origin.journal, "9f3c01aa52e87d14", "the name of the journal changed");
    assert!(origin.serial >= 5, "a serial would be assigned again: {origin}");
    for id in ["open", "ran", "ran-unsaid", "free", "barred"] {
        assert_eq!(journal.first_sent_ms(id).expect("the record is read"), Some(1_790_000_000_000), "{id}");
    }
    // The writes were first sent 40 s ago: within the window of 60 s, and since the same boot of the machine.
    let now = ClockReading { wall_ms: 1_790_000_040_000, uptime: Some(Uptime { boot_id: 7, ms: 45_000 }) };
    let deduplication = Some(Deduplication { group: Some(3), window_ms: 60_000 });
    let again = Operation::Record { id: "open".into(), event: RecordEvent::FirstAttempt, deduplication };
    let duplicate =
        Reply::Permission(SendPermission::GrantedAsDuplicate { remaining_ms: 60_000 - 40_000 - 10 });
    assert_eq!(journal.apply(now, &[again]).expect("the batch is applied"), [duplicate]);

    let origin = Origin::parse("9f3c01aa52e87d14.0");
    let query =
        |id: &str| Operation::QueryFate { id: id.into(), origin: origin.clone(), request_open: false };
    let queries = ["open", "ran", "ran-unsaid", "free", "barred", "never-seen"].map(query);
    let fates = [
        Fate::Unknown,
        Fate::Executed(Some(1_790_000_000_005)),
        Fate::Executed(None),
        Fate::NeverExecuted,
        Fate::NeverExecuted,
        Fate::NeverExecuted,
    ];
    assert_eq!(journal.apply(now, &queries).expect("the batch is applied"), fates.map(Reply::Fate));
}
