//! A journal whose process is killed at any point: no fate that it reports is wrong.

#[allow(dead_code)] // Each test file uses a part of it.
mod support;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use support::{fate, open, query_fate, record, UNLIMITED};
use write_journal::journal::{Journal, Operation, Reply};
use write_journal::record_state::{Fate, RecordEvent, SendPermission};

/// The environment variable that names the directory to the killed process.
const DIRECTORY_VARIABLE: &str = "JOURNAL_TEST_DIR";
/// The environment variable that gives the killed process the number of its first write.
const FIRST_WRITE_VARIABLE: &str = "JOURNAL_TEST_FIRST_WRITE";

/// What the killed process printed last of a write.
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

    /// Reads a line such as `sent 17`: the progress, and the number of the write.
    fn parse_line(line: &str) -> Option<(Progress, u64)> {
        let (text, number) = line.split_once(' ')?;
        let progress = Progress::ALL.into_iter().find(|progress| progress.as_str() == text)?;
        Some((progress, number.parse().ok()?))
    }
}

/// How the process ends a write: by its number executed, not executed, or left pending.
fn end_of(number: u64) -> Option<(RecordEvent, Progress)> {
    match number % 3 {
        0 => Some((RecordEvent::Executed(Some(number as i64)), Progress::Executed)),
        1 => Some((RecordEvent::NotExecuted, Progress::NotExecuted)),
        _ => None,
    }
}

fn apply(journal: &mut Journal, now: u64, operation: Operation) -> Vec<Reply> {
    journal.apply(now as i64, &[operation]).expect("the batch is applied")
}

/// Not a test of its own: the process that the next one kills. Each line it prints says what was recorded.
#[test]
#[ignore = "records until it is killed"]
fn records_until_it_is_killed() {
    let Ok(path) = std::env::var(DIRECTORY_VARIABLE) else { return };
    let first = std::env::var(FIRST_WRITE_VARIABLE).ok().and_then(|first| first.parse().ok()).unwrap_or(0);
    let mut journal = open(Path::new(&path), UNLIMITED);
    let mut out = std::io::stderr();
    for number in first.. {
        let id = format!("w{number}");
        let mut print = |progress: Progress| _ = writeln!(out, "{} {number}", progress.as_str());
        let replies = apply(&mut journal, number, record(&id, RecordEvent::FirstAttempt));
        assert_eq!(replies, [Reply::Permission(SendPermission::Granted)]);
        // Only now the write may be sent, and the endpoint may execute it.
        print(Progress::Sent);
        if let Some((event, progress)) = end_of(number) {
            apply(&mut journal, number, record(&id, event));
            print(progress);
        }
    }
}

fn start_process(directory: &Path, first_write: u64) -> Child {
    Command::new(std::env::current_exe().expect("the path of this program"))
        .args(["--ignored", "--exact", "records_until_it_is_killed", "--nocapture"])
        .env(DIRECTORY_VARIABLE, directory)
        .env(FIRST_WRITE_VARIABLE, first_write.to_string())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the process starts")
}

/// Kills the process after so many lines of output; returns the progress that it printed, in order.
fn kill_after_lines(mut child: Child, count: u64) -> Vec<(Progress, u64)> {
    let mut printed = Vec::new();
    let lines = BufReader::new(child.stderr.take().expect("a pipe")).lines();
    for (nth, line) in lines.map_while(Result::ok).enumerate() {
        if nth as u64 == count {
            child.kill().expect("killed");
        }
        printed.extend(Progress::parse_line(&line));
    }
    child.wait().expect("ended");
    printed
}

/// Whether this fate may be reported of a write whose last printed progress this was.
fn is_correct(fate: Fate, number: u64, progress: Progress) -> bool {
    match (progress, end_of(number)) {
        (Progress::Executed, _) => fate == Fate::Executed(Some(number as i64)),
        (Progress::NotExecuted, _) => fate == Fate::NeverExecuted,
        // Killed after this line: the end may have been recorded and not printed.
        (Progress::Sent, Some((RecordEvent::Executed(_), _))) => {
            matches!(fate, Fate::Unknown | Fate::Executed(_))
        }
        (Progress::Sent, Some(_)) => matches!(fate, Fate::Unknown | Fate::NeverExecuted),
        (Progress::Sent, None) => fate == Fate::Unknown,
    }
}

#[test]
fn a_process_killed_at_any_point_reports_no_wrong_fate() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let mut last_progress: HashMap<u64, Progress> = HashMap::new();
    let mut next_write = 0;
    for round in 0..30u64 {
        let child = start_process(folder.path(), next_write);
        for (progress, number) in kill_after_lines(child, 5 + round * 7 % 23) {
            last_progress.insert(number, progress);
            next_write = next_write.max(number + 2);
        }
        // No fate that the next process reports contradicts what was printed.
        let mut journal = open(folder.path(), UNLIMITED);
        for (&number, &progress) in &last_progress {
            let fate = fate(&apply(&mut journal, 0, query_fate(&format!("w{number}"), None)));
            assert!(is_correct(fate, number, progress), "w{number}, {progress:?}: {fate:?}");
        }
    }
    assert!(last_progress.len() > 100);
}
