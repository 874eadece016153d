//! Runs `query-router` commands on a cached endpoint list and returns what they print.

use crate::router_program::ROUTER;
use endpoint_cache::{CacheDirectory, CachedEndpoint, CachedEndpointList, CachedReport};
use std::path::Path;
use std::process::Command;
use std::time::{SystemTime, UNIX_EPOCH};

/// Replaces the path of the state directory in the compared output.
const PATH_PLACEHOLDER: &str = "PATH";
/// Replaces the age of the list in the compared output.
const AGE_PLACEHOLDER: &str = "AGE";
/// Age of the list that [`run_on_list`] saves, in milliseconds.
const LIST_AGE_MS: i64 = 30_000;

/// The exit code of a command, and its standard output followed by its standard error.
#[derive(Debug, PartialEq, Eq)]
pub struct CommandResult {
    pub code: Option<i32>,
    pub text: String,
}

/// Runs a command on a state directory, with placeholders for the path and the age in its output.
fn run(command: &[&str], state_dir: &Path) -> CommandResult {
    let output = Command::new(ROUTER).env_clear().args(command).arg(state_dir).output();
    let output = output.expect("failed to run the router");
    let text = [output.stdout, output.stderr].concat();
    let path = state_dir.to_str().expect("the path is not UTF-8");
    let text = String::from_utf8(text).expect("the output is not UTF-8").replace(path, PATH_PLACEHOLDER);
    CommandResult { code: output.status.code(), text: with_age_placeholder(&text) }
}

/// Replaces the age of the list, because it differs between runs.
fn with_age_placeholder(text: &str) -> String {
    let replace_age =
        |line: &str| match line.strip_prefix("age         ").and_then(|rest| rest.split_once(' ')) {
            Some((_, rest)) => format!("age         {AGE_PLACEHOLDER} {rest}\n"),
            None => format!("{line}\n"),
        };
    text.lines().map(replace_age).collect()
}

/// Runs a command on a state directory whose list has a primary, a replica and an endpoint without a report.
pub fn run_on_list(command: &[&str]) -> CommandResult {
    let folder = tempfile::tempdir().expect("no temporary directory");
    let (mut directory, _) = CacheDirectory::open(folder.path()).expect("the state directory did not open");
    directory.save(&mut cached_list()).expect("failed to save the list");
    run(command, folder.path())
}

/// Runs a command on an empty state directory.
pub fn run_without_list(command: &[&str]) -> CommandResult {
    run(command, tempfile::tempdir().expect("no temporary directory").path())
}

fn cached_list() -> CachedEndpointList {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is before 1970");
    let now_ms = since_epoch.as_millis() as i64;
    let report =
        |primary, timeline| CachedReport { primary, position_ms: Some(77), timeline, received_ms: now_ms };
    CachedEndpointList {
        version: 41,
        confirmed_ms: now_ms - LIST_AGE_MS,
        saved_ms: now_ms,
        endpoints: vec![
            cached_endpoint("s-1", "off", Some(report(true, Some(2)))),
            cached_endpoint("s-2", "on", Some(report(false, None))),
            cached_endpoint("s-3", "", None),
        ],
        ..CachedEndpointList::default()
    }
}

fn cached_endpoint(name: &str, recovery: &str, report: Option<CachedReport>) -> CachedEndpoint {
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
