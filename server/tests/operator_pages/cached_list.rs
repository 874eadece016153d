//! Output of the `query-router` commands on a cached endpoint list.

use crate::router_program::ROUTER;
use endpoint_cache::{CacheDirectory, CachedEndpoint, CachedEndpointList, CachedReport};
use std::path::Path;
use std::process::Command;
use std::time::{SystemTime, UNIX_EPOCH};

/// Placeholder for the path of the list in the compared output.
const PATH: &str = "PATH";
/// Placeholder for the age of the list.
const AGE: &str = "AGE";
/// The age of the list that [`run_on_list`] saves.
const LIST_AGE_MS: i64 = 30_000;

/// Exit code of a command, and its standard output followed by its standard error.
#[derive(Debug, PartialEq, Eq)]
pub struct CommandResult {
    pub code: Option<i32>,
    pub text: String,
}

fn run(command: &[&str], folder: &Path) -> CommandResult {
    let output = Command::new(ROUTER).env_clear().args(command).arg(folder).output().expect("it runs");
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8(text).expect("text").replace(folder.to_str().expect("text"), PATH);
    CommandResult { code: output.status.code(), text: without_age(&text) }
}

/// Replaces the age of the list, which differs between runs.
fn without_age(text: &str) -> String {
    let replace = |line: &str| match line.strip_prefix("age         ").and_then(|rest| rest.split_once(' ')) {
        Some((_, rest)) => format!("age         {AGE} {rest}\n"),
        None => format!("{line}\n"),
    };
    text.lines().map(replace).collect()
}

/// Runs a command on a state directory with a list of a primary, a replica and an endpoint without a report.
pub fn run_on_list(command: &[&str]) -> CommandResult {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut directory, _) = CacheDirectory::open(folder.path()).expect("it opens");
    directory.save(&mut list()).expect("saved");
    run(command, folder.path())
}

/// Runs a command on an empty state directory.
pub fn run_without_list(command: &[&str]) -> CommandResult {
    run(command, tempfile::tempdir().expect("a folder").path())
}

fn list() -> CachedEndpointList {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
    let now_ms = since_epoch.as_millis() as i64;
    let report =
        |primary, timeline| CachedReport { primary, position_ms: Some(77), timeline, received_ms: now_ms };
    CachedEndpointList {
        version: 41,
        confirmed_ms: now_ms - LIST_AGE_MS,
        saved_ms: now_ms,
        endpoints: vec![
            endpoint("s-1", "off", Some(report(true, Some(2)))),
            endpoint("s-2", "on", Some(report(false, None))),
            endpoint("s-3", "", None),
        ],
        ..CachedEndpointList::default()
    }
}

fn endpoint(name: &str, recovery: &str, report: Option<CachedReport>) -> CachedEndpoint {
    CachedEndpoint {
        name: name.into(),
        address: "10.0.0.1:5432".into(),
        group: 4,
        health: "SERVING".into(),
        recovery: recovery.into(),
        report,
        ..CachedEndpoint::default()
    }
}
