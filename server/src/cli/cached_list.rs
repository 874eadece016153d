//! `query-router list`: the endpoint list that is cached on disk.

use crate::cli::output::{print, print_error};
use crate::exit_status::{ExitStatus, Failure};
use crate::messages::endpoint_list::cache_times;
use endpoint_cache::{CacheDirectory, CachedEndpoint, CachedEndpointList, CachedReport, LoadedCache};
use recovery::staleness::{verification_level, VerificationLevel, LEVELS};
use routing::time::Timestamp;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

const NO_LIST: &str = "no list that is whole";

/// Prints a list.
pub fn show(path: &Path, json: bool) -> Result<(), Failure> {
    let loaded = load(path)?;
    for error in &loaded.errors {
        print_error(&error.to_string());
    }
    let Some((list, file)) = &loaded.list else {
        return Err(Failure::new(ExitStatus::DataError, format!("{}: {NO_LIST}", path.display())));
    };
    if json {
        let text = serde_json::to_string_pretty(list);
        print(&text.map_err(|error| Failure::new(ExitStatus::IoError, error))?);
    } else {
        print(&format_list(list, file, wall_clock()));
    }
    Ok(())
}

/// Checks all files of a list.
pub fn verify(path: &Path) -> Result<(), Failure> {
    let loaded = load(path)?;
    let mut problems: Vec<String> = loaded.errors.iter().map(|error| error.to_string()).collect();
    match &loaded.list {
        Some((list, file)) => {
            let (generation, endpoints) = (list.generation, list.endpoints.len());
            print(&format!("{}: whole, generation {generation}, {endpoints} stores", file.display()));
        }
        None => problems.push(format!("{}: {NO_LIST}", path.display())),
    }
    if problems.is_empty() {
        Ok(())
    } else {
        Err(Failure::all(ExitStatus::DataError, problems))
    }
}

/// Loads a state directory, or one file.
fn load(path: &Path) -> Result<LoadedCache, Failure> {
    let metadata = std::fs::metadata(path);
    let metadata = metadata
        .map_err(|error| Failure::new(ExitStatus::NoInput, format!("{}: {error}", path.display())))?;
    if metadata.is_dir() {
        return Ok(CacheDirectory::read(path));
    }
    let mut loaded = LoadedCache::default();
    match CacheDirectory::read_file(path) {
        Ok(list) => loaded.list = list.map(|list| (list, path.to_path_buf())),
        Err(error) => loaded.errors.push(error),
    }
    Ok(loaded)
}

fn wall_clock() -> Timestamp {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Timestamp(unix.as_nanos() as i64)
}

fn format_list(list: &CachedEndpointList, file: &Path, now: Timestamp) -> String {
    let mut lines = heading(list, file, now);
    lines.push(String::new());
    lines.push(endpoint_line("store", "group", "address", "health", "listed", "said"));
    for endpoint in &list.endpoints {
        let group = endpoint.block.to_string();
        let (role, report) = (listed_role(endpoint), format_report(endpoint.report));
        lines.push(endpoint_line(&endpoint.host, &group, &endpoint.dial, &endpoint.health, role, &report));
    }
    lines.join("\n")
}

fn heading(list: &CachedEndpointList, file: &Path, now: Timestamp) -> Vec<String> {
    let times = cache_times(list);
    let level = verification_level(Some(times), now, None);
    let age_s = (now - times.confirmed).as_secs_f64();
    let identified_by_address = if level.identifies_by_address { "yes" } else { "no" };
    let levels: Vec<&str> = LEVELS.iter().map(|level| level.staleness.name()).collect();
    vec![
        format!("file        {}", file.display()),
        format!("generation  {}", list.generation),
        format!("version     {} of discovery", list.version),
        format!("age         {age_s:.1} s since discovery stood by it: {}", level.staleness.name()),
        format!("believed    {}", verification(level)),
        format!("            stores that can't say who they are: {identified_by_address}"),
        format!("steps       {}", levels.join(", ")),
    ]
}

fn verification(level: &VerificationLevel) -> String {
    let (queries, claims) = (level.max_queries, level.claims_required);
    let members = if level.accounting_suffices {
        "all members heard or refusing"
    } else {
        "a majority seen to follow it"
    };
    format!("{queries} stores at a time; a primary after {claims} answers of its own and {members}")
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

fn format_report(report: Option<CachedReport>) -> String {
    let Some(report) = report else { return "nothing".into() };
    let role = if report.primary { "primary" } else { "replica" };
    let position = report.position_ms.map(|ms| format!(" at {ms}"));
    let timeline = report.timeline.map(|timeline| format!(", timeline {timeline}"));
    format!("{role}{}{}", position.unwrap_or_default(), timeline.unwrap_or_default())
}
