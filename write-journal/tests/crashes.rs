//! The process that owns a journal is killed at any point: no fate that the journal reports afterwards is wrong.

#[allow(dead_code)] // Each test file uses only some of the items.
mod support;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use support::{fate, open, query_fate, record, UNLIMITED};
use write_journal::journal::{Journal, Operation, Reply};
use write_journal::record_state::{Fate, RecordEvent, SendPermission};

/// Environment variable with the directory of the journal, for the process that is killed.
const DIRECTORY_VARIABLE: &str = "JOURNAL_TEST_DIR";
/// Environment variable with the number of the first write, for the process that is killed.
const FIRST_WRITE_VARIABLE: &str = "JOURNAL_TEST_FIRST_WRITE";

/// The last progress of a write that the killed process printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Sent,
    Executed,
    NotExecuted,
}

impl Progress {
    const ALL: [Progress; 3] = [Progress::Sent, Progress::Executed, Progress::NotExecuted];

    fn as_str(self) -> &'static str {
        match self {
            Progress::Sent => "sent",
            Progress::Executed => "executed",
            Progress::NotExecuted => "not-executed",
        }
    }

    /// Parses a line such as `sent 17` into the progress and the number of the write.
    fn parse_line(line: &str) -> Option<(Progress, u64)> {
        let (text, number) = line.split_once(' ')?;
        let progress = Progress::ALL.into_iter().find(|progress| progress.as_str() == text)?;
        Some((progress, number.parse().ok()?))
    }
}

/// The result that the process records for a write, by the number of the write; `None` if the write is left pending.
fn result_of(number: u64) -> Option<(RecordEvent, Progress)> {
    match number % 3 {
        0 => Some((RecordEvent::Executed(Some(number as i64)), Progress::Executed)),
        1 => Some((RecordEvent::NotExecuted, Progress::NotExecuted)),
        _ => None,
    }
}

fn apply(journal: &mut Journal, now: u64, operation: Operation) -> Vec<Reply> {
    journal.apply(now as i64, &[operation]).expect("the batch is applied")
}

/// Not a test by itself: the process that the next test kills. Each printed line names what was recorded.
#[test]
#[ignore = "records until the process is killed"]
fn child_process_records_until_killed() {
    let Ok(path) = std::env::var(DIRECTORY_VARIABLE) else { return };
    let first = std::env::var(FIRST_WRITE_VARIABLE).ok().and_then(|first| first.parse().ok()).unwrap_or(0);
    let mut journal = open(Path::new(&path), UNLIMITED);
    let mut out = std::io::stderr();
    for number in first.. {
        let id = format!("w{number}");
        let mut print = |progress: Progress| _ = writeln!(out, "{} {number}", progress.as_str());
        let replies = apply(&mut journal, number, record(&id, RecordEvent::FirstAttempt));
        assert_eq!(replies, [Reply::Permission(SendPermission::Granted)]);
        // From now on the write may be sent, and the endpoint may execute it.
        print(Progress::Sent);
        if let Some((event, progress)) = result_of(number) {
            apply(&mut journal, number, record(&id, event));
            print(progress);
        }
    }
}

fn start_process(directory: &Path, first_write: u64) -> Child {
    Command::new(std::env::current_exe().expect("the path of this program"))
        .args(["--ignored", "--exact", "child_process_records_until_killed", "--nocapture"])
        .env(DIRECTORY_VARIABLE, directory)
        .env(FIRST_WRITE_VARIABLE, first_write.to_string())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the process starts")
}

/// Kills the process after `count` lines of output. Returns the progress that the process printed, in order.
fn kill_after_lines(mut child: Child, count: u64) -> Vec<(Progress, u64)> {
    let mut printed = Vec::new();
    let lines = BufReader::new(child.stderr.take().expect("a pipe")).lines();
    for (index, line) in lines.map_while(Result::ok).enumerate() {
        if index as u64 == count {
            child.kill().expect("killed");
        }
        printed.extend(Progress::parse_line(&line));
    }
    child.wait().expect("ended");
    printed
}

/// Whether this fate may be reported for the write `number`, whose last printed progress was `progress`.
fn is_correct(fate: Fate, number: u64, progress: Progress) -> bool {
    match (progress, result_of(number)) {
        (Progress::Executed, _) => fate == Fate::Executed(Some(number as i64)),
        (Progress::NotExecuted, _) => fate == Fate::NeverExecuted,
        // The process was killed after this line: the result may have been recorded but not printed.
        (Progress::Sent, Some((RecordEvent::Executed(_), _))) => {
            matches!(fate, Fate::Unknown | Fate::Executed(_))
        }
        (Progress::Sent, Some(_)) => matches!(fate, Fate::Unknown | Fate::NeverExecuted),
        (Progress::Sent, None) => fate == Fate::Unknown,
    }
}

#[test]
fn no_wrong_fate_is_reported_after_the_process_is_killed() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let mut last_progress: HashMap<u64, Progress> = HashMap::new();
    let mut next_write = 0;
    for round in 0..30u64 {
        let child = start_process(folder.path(), next_write);
        for (progress, number) in kill_after_lines(child, 5 + round * 7 % 23) {
            last_progress.insert(number, progress);
            next_write = next_write.max(number + 2);
        }
        // No fate that the reopened journal reports contradicts the printed progress.
        let mut journal = open(folder.path(), UNLIMITED);
        for (&number, &progress) in &last_progress {
            let fate = fate(&apply(&mut journal, 0, query_fate(&format!("w{number}"), None)));
            assert!(is_correct(fate, number, progress), "w{number}, {progress:?}: {fate:?}");
        }
    }
    assert!(last_progress.len() > 100);
}
