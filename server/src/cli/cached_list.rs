//! `query-router list` and `query-router cache`: the endpoint list that is cached on disk, in earlier and in standard
//! terms.

use crate::cli::output::{print, print_error};
use crate::exit_status::{ExitStatus, Failure};
use crate::messages::endpoint_list::cache_times;
use crate::runtime::terms::{Term, Vocabulary};
use endpoint_cache::{
    CacheDirectory, CachedEndpoint, CachedEndpointList, CachedReport, LoadedCache, LoadedList,
};
use recovery::staleness::{verification_level, VerificationLevel, VERIFICATION_LEVELS};
use routing::time::Timestamp;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

const NO_LIST: Term = Term::new("no list that is whole", "no complete list");
const COMPLETE: Term = Term::new("whole", "complete");
const ENDPOINT: Term = Term::new("store", "endpoint");
const ENDPOINTS: Term = Term::new("stores", "endpoints");
const REPORTED: Term = Term::new("said", "reported");
const NO_REPORT: Term = Term::new("nothing", "-");
const VERSION_SUFFIX: Term = Term::new(" of discovery", "");
const CONFIRMED: Term = Term::new("stood by it", "confirmed it");
const VERIFICATION: Term = Term::new("believed", "verified");
const CONCURRENT_QUERIES: Term = Term::new("stores at a time", "endpoints queried at a time");
const CLAIMS: Term = Term::new("answers of its own", "claim(s) of its own");
const ACCOUNTED_FOR: Term =
    Term::new("all members heard or refusing", "all members answered or refusing connections");
const FOLLOWED: Term = Term::new("a majority seen to follow it", "a majority following it");
const ACCEPTS_WITHOUT_IDENTITY: Term =
    Term::new("stores that can't say who they are", "endpoints without an identity accepted");
const LEVELS_TITLE: Term = Term::new("steps", "levels");
/// The width of the titles in the heading, in characters.
const TITLE_WIDTH: usize = 12;

/// Prints the newest valid list at `path`, which is a state directory or one list file. Errors in other files are
/// printed to standard error.
///
/// # Errors
/// The path cannot be read, or contains no valid list.
pub fn show(path: &Path, json: bool, vocabulary: Vocabulary) -> Result<(), Failure> {
    let loaded = load(path)?;
    for error in &loaded.errors {
        print_error(&error.to_string());
    }
    let Some(LoadedList { list, file }) = &loaded.list else {
        return Err(Failure::new(ExitStatus::DataError, no_list_message(path, vocabulary)));
    };
    if json {
        let text = serde_json::to_string_pretty(list);
        print(&text.map_err(|error| Failure::new(ExitStatus::IoError, error))?);
    } else {
        print(&format_list(list, file, wall_clock_now(), vocabulary));
    }
    Ok(())
}

/// Checks all list files at `path`, which is a state directory or one list file.
///
/// # Errors
/// The path cannot be read, a file is invalid, or there is no valid list.
pub fn verify(path: &Path, vocabulary: Vocabulary) -> Result<(), Failure> {
    let loaded = load(path)?;
    let mut problems: Vec<String> = loaded.errors.iter().map(|error| error.to_string()).collect();
    match &loaded.list {
        Some(LoadedList { list, file }) => {
            let (generation, endpoints) = (list.generation, list.endpoints.len());
            let (complete, noun) = (COMPLETE.text(vocabulary), ENDPOINTS.text(vocabulary));
            print(&format!("{}: {complete}, generation {generation}, {endpoints} {noun}", file.display()));
        }
        None => problems.push(no_list_message(path, vocabulary)),
    }
    if problems.is_empty() {
        Ok(())
    } else {
        Err(Failure::all(ExitStatus::DataError, problems))
    }
}

fn no_list_message(path: &Path, vocabulary: Vocabulary) -> String {
    format!("{}: {}", path.display(), NO_LIST.text(vocabulary))
}

/// Loads all list files of a state directory, or one list file.
fn load(path: &Path) -> Result<LoadedCache, Failure> {
    let metadata = std::fs::metadata(path);
    let metadata = metadata.map_err(|error| {
        Failure::new(ExitStatus::NoInput, format!("{}: cannot be read: {error}", path.display()))
    })?;
    if metadata.is_dir() {
        return Ok(CacheDirectory::read(path));
    }
    let mut loaded = LoadedCache::default();
    match CacheDirectory::read_file(path) {
        Ok(list) => loaded.list = list.map(|list| LoadedList { list, file: path.to_path_buf() }),
        Err(error) => loaded.errors.push(error),
    }
    Ok(loaded)
}

fn wall_clock_now() -> Timestamp {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Timestamp(unix.as_nanos() as i64)
}

fn format_list(list: &CachedEndpointList, file: &Path, now: Timestamp, vocabulary: Vocabulary) -> String {
    let mut lines = heading(list, file, now, vocabulary);
    lines.push(String::new());
    let (endpoint, reported) = (ENDPOINT.text(vocabulary), REPORTED.text(vocabulary));
    lines.push(endpoint_line(endpoint, "group", "address", "health", "listed", reported));
    for endpoint in &list.endpoints {
        let group = endpoint.group.to_string();
        let (role, report) = (listed_role(endpoint), format_report(endpoint.report, vocabulary));
        lines.push(endpoint_line(&endpoint.name, &group, &endpoint.address, &endpoint.health, role, &report));
    }
    lines.join("\n")
}

fn heading(list: &CachedEndpointList, file: &Path, now: Timestamp, vocabulary: Vocabulary) -> Vec<String> {
    let times = cache_times(list);
    let level = verification_level(Some(times), now, None);
    let age_s = (now - times.confirmed).as_secs_f64();
    let identified_by_address = if level.identifies_by_address { "yes" } else { "no" };
    let levels: Vec<&str> = VERIFICATION_LEVELS.iter().map(|level| level.staleness.name()).collect();
    let text = |term: Term| term.text(vocabulary);
    let line = |title: &str, text: &str| format!("{title:<TITLE_WIDTH$}{text}");
    let age = format!("{age_s:.1} s since discovery {}: {}", text(CONFIRMED), level.staleness.name());
    vec![
        line("file", &file.display().to_string()),
        line("generation", &list.generation.to_string()),
        line("version", &format!("{}{}", list.version, text(VERSION_SUFFIX))),
        line("age", &age),
        line(text(VERIFICATION), &verification(level, vocabulary)),
        line("", &format!("{}: {identified_by_address}", text(ACCEPTS_WITHOUT_IDENTITY))),
        line(text(LEVELS_TITLE), &levels.join(", ")),
    ]
}

fn verification(level: &VerificationLevel, vocabulary: Vocabulary) -> String {
    let (queries, claims) = (level.max_queries, level.claims_required);
    let members = if level.accepts_without_majority { ACCOUNTED_FOR } else { FOLLOWED };
    let (endpoints, of_its_own) = (CONCURRENT_QUERIES.text(vocabulary), CLAIMS.text(vocabulary));
    let members = members.text(vocabulary);
    format!("{queries} {endpoints}; a primary after {claims} {of_its_own} and {members}")
}

fn endpoint_line(name: &str, group: &str, address: &str, health: &str, role: &str, report: &str) -> String {
    format!("{name:<24} {group:>6} {address:<22} {health:<9} {role:<8} {report}")
}

fn listed_role(endpoint: &CachedEndpoint) -> &'static str {
    match endpoint.recovery.as_str() {
        "off" => "primary",
        "on" => "replica",
        _ => "-",
    }
}

fn format_report(report: Option<CachedReport>, vocabulary: Vocabulary) -> String {
    let Some(report) = report else { return NO_REPORT.text(vocabulary).into() };
    let role = if report.primary { "primary" } else { "replica" };
    let position = report.position_ms.map(|ms| format!(" at {ms}"));
    let timeline = report.timeline.map(|timeline| format!(", timeline {timeline}"));
    format!("{role}{}{}", position.unwrap_or_default(), timeline.unwrap_or_default())
}
