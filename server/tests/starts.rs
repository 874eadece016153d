//! Starts of instances with and without discovery, during randomized faults and repeated kills. Also the command line,
//! and the log.

mod common {
    pub mod endpoint_group;
    pub mod router_program;
    pub mod run_program;
    pub mod saved_list;
    pub mod start_router;
}

use common::endpoint_group::{group_entry, start_endpoint_group};
use common::router_program::ROUTER;
use common::run_program::run_program;
use common::saved_list::save_old_list;
use common::start_router::start_router;
use endpoint_cache::{CacheDirectory, CachedEndpoint, CachedEndpointList};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use test_servers::client::{Answer, Client, Kind};
use test_servers::cluster::{unix_ms, Cluster};
use test_servers::daemon::Daemon;
use test_servers::discovery::{list_entry, Discovery, DiscoveryMode};
use test_servers::endpoint::{free_address, ServedEndpoint};
use test_servers::restart::{run_plan, Phases, Plan};
use test_servers::settings::settings;
use test_servers::{each_seed, Build};

/// Exit status of a command whose arguments are invalid: `EX_USAGE` of `sysexits.h`.
const EX_USAGE: i32 = 64;
/// Exit status of `list verify` if a file is damaged or there is no list.
const EX_DATAERR: i32 = 65;
/// Exit status of `list show` if the directory cannot be read.
const EX_NOINPUT: i32 = 66;
/// Exit status of a command or a start whose configuration is invalid.
const EX_CONFIG: i32 = 78;

#[test]
fn starts_from_an_outdated_list_violate_no_rule_and_writes_resume() {
    let phases =
        Phases { discovery_down: Duration::from_millis(1_500), discovery_back: Duration::from_millis(6_000) };
    let build = Build { program: Path::new(ROUTER), has_operator_file: true };
    // The daemons, endpoints and clients of one run use one or two cores. With fewer cores their answers would be late.
    let cores = thread::available_parallelism().map_or(2, usize::from);
    let failures = each_seed(0..18, (cores / 2).clamp(1, 6), |seed| {
        let plan = Plan::random(seed);
        println!("seed {seed}: {plan:?}");
        let outcome = run_plan(&plan, &build, phases).expect("the run could not be set up");
        let lacks_writes = outcome.groups_writing < outcome.groups_with_primary;
        (!outcome.verdict.violations.is_empty() || lacks_writes).then(|| format!("{plan:?}\n{outcome:#?}"))
    });
    let failures: Vec<String> = failures.into_iter().flatten().collect();
    assert!(
        failures.is_empty(),
        "runs violated a rule, or served no write in a group with a primary after discovery returned:\n{}",
        failures.join("\n")
    );
}

/// A group of a primary and a replica, a discovery service that lists them, and a temporary directory for an instance.
struct Fixture {
    folder: tempfile::TempDir,
    listen: SocketAddr,
    discovery: Discovery,
    cluster: Arc<Cluster>,
    _served: Vec<ServedEndpoint>,
}

impl Fixture {
    fn new(mode: DiscoveryMode) -> Fixture {
        let (cluster, served) = start_endpoint_group(&[20, 20]);
        let discovery =
            Discovery::start(mode, 7, vec![group_entry(&served, 0, 0), group_entry(&served, 1, 0)]);
        let folder = tempfile::tempdir().expect("failed to create a temporary directory");
        std::fs::create_dir(folder.path().join("state")).expect("failed to create the state directory");
        Fixture { folder, listen: free_address(), discovery, cluster, _served: served }
    }

    /// Path of the state directory.
    fn state_dir(&self) -> PathBuf {
        self.folder.path().join("state")
    }

    fn start(&self, operator_file: &str) -> Daemon {
        start_router(1, operator_file, self.folder.path(), self.listen, self.discovery.addr)
    }

    /// Content of an operators' file that configures the state directory.
    fn operator_file(&self) -> String {
        format!("state-dir {}\nstore-identity postgres\nsave-gap 100ms\n", self.state_dir().display())
    }

    /// Sends requests until one is served, for ten seconds at most. Returns the time until then.
    fn wait_until_served(&self, kind: Kind, name: &str) -> Duration {
        let (started, mut index) = (Instant::now(), 0);
        while started.elapsed() < Duration::from_secs(10) {
            if let Ok(mut client) = Client::open(&self.listen) {
                index += 1;
                let record = client.request(&format!("{name}{index}"), 1, kind, 500);
                if matches!(record.answer, Answer::Value(_)) {
                    return started.elapsed();
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("no {kind:?} with the id prefix {name} was served within ten seconds");
    }

    /// Waits until the cached list satisfies `condition`, for ten seconds at most. Returns the list.
    fn wait_for_cached_list(&self, condition: impl Fn(&CachedEndpointList) -> bool) -> CachedEndpointList {
        let started = Instant::now();
        loop {
            let loaded = CacheDirectory::read(&self.state_dir());
            assert!(loaded.errors.is_empty(), "the cached list is invalid: {:?}", loaded.errors);
            match loaded.list {
                Some(loaded) if condition(&loaded.list) => return loaded.list,
                other => assert!(
                    started.elapsed() < Duration::from_secs(10),
                    "the cached list is not as expected after ten seconds: {other:?}"
                ),
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Whether the list is version 7 and contains an endpoint that has reported itself as the primary.
fn has_verified_primary(cached: &CachedEndpointList) -> bool {
    cached.version == 7
        && cached.endpoints.iter().filter_map(|endpoint| endpoint.report).any(|report| report.primary)
}

/// Starts and kills the instance repeatedly without discovery. Checks that it starts from the cached list, that it
/// serves requests, and that the cached list stays complete.
fn assert_served_after_kills(fixture: &Fixture) {
    for round in 0..6 {
        let daemon = fixture.start(&fixture.operator_file());
        fixture.wait_until_served(Kind::Write, &format!("b{round}"));
        fixture.wait_until_served(Kind::Read, &format!("c{round}"));
        assert!(
            daemon.wait_for_log("starting from the cached endpoint list"),
            "the cached list was not used:\n{}",
            daemon.kill()
        );
        daemon.kill();
        fixture.wait_for_cached_list(has_verified_primary);
    }
}

#[test]
fn an_instance_starts_from_its_cached_list_without_discovery_after_kills() {
    let fixture = Fixture::new(DiscoveryMode::Up);
    let daemon = fixture.start(&fixture.operator_file());
    fixture.wait_until_served(Kind::Write, "a");
    let cached = fixture.wait_for_cached_list(has_verified_primary);
    assert_eq!(cached.endpoints.len(), 2);
    daemon.kill();
    fixture.discovery.set_mode(DiscoveryMode::Down);
    // The instance is killed repeatedly while it starts and saves the list. The list must stay complete, and requests
    // must be served each time.
    assert_served_after_kills(&fixture);
    // The endpoint list of a new incarnation of discovery must be accepted and cached.
    let daemon = fixture.start(&fixture.operator_file());
    let endpoints = fixture.wait_for_cached_list(has_verified_primary).endpoints;
    let entries = endpoints.iter().enumerate().map(|(index, endpoint)| {
        let address = endpoint.address.parse().expect("an endpoint has an invalid address");
        list_entry(&endpoint.name, &address, 1, index == 0, "SERVING", 0)
    });
    fixture.discovery.set_list(2, entries.collect());
    fixture.discovery.set_mode(DiscoveryMode::Up);
    fixture.wait_for_cached_list(|cached| cached.version == 2);
    assert!(
        daemon.wait_for_log("endpoint list of a new discovery incarnation accepted"),
        "the list of the new incarnation was not accepted:\n{}",
        daemon.kill()
    );
    assert!(
        fixture.cluster.lock().executions.values().flatten().all(|execution| execution.at_primary),
        "a write was executed by a replica"
    );
}

/// Checks that `log` contains `text`, the report of `event`, exactly once.
fn assert_logged_once(log: &str, text: &str, event: &str) {
    assert_eq!(log.matches(text).count(), 1, "expected one report of {event}, {text:?}, in the log:\n{log}");
}

/// Checks that an instance whose state directory does not exist logs this once and serves requests.
fn assert_missing_directory_is_logged_once(fixture: &Fixture) {
    let without_directory = fixture.start(&fixture.operator_file().replace("/state", "/nowhere"));
    fixture.wait_until_served(Kind::Write, "a");
    without_directory.wait_for_log("endpoint list not cached");
    // If the failure were logged again, a second line would appear with the next saves.
    thread::sleep(Duration::from_millis(300));
    let log = without_directory.kill();
    assert_logged_once(&log, "endpoint list not cached", "the missing directory");
}

#[test]
fn an_unusable_state_directory_is_logged_once_and_requests_are_served() {
    let fixture = Fixture::new(DiscoveryMode::Up);
    assert_missing_directory_is_logged_once(&fixture);

    // The second instance is configured with the state directory that the first one has locked.
    let first = fixture.start(&fixture.operator_file());
    fixture.wait_until_served(Kind::Write, "b");
    let second_fixture = Fixture { listen: free_address(), ..Fixture::new(DiscoveryMode::Up) };
    let second = second_fixture.start(&fixture.operator_file());
    second_fixture.wait_until_served(Kind::Write, "c");
    assert!(
        second.wait_for_log("another process uses this directory"),
        "the locked directory was not logged:\n{}",
        second.kill()
    );
    // A directory in place of the temporary file makes all later saves fail. The failure must be logged once.
    let endpoints = fixture.wait_for_cached_list(|cached| cached.version == 7).endpoints;
    let temporary_file = fixture.state_dir().join("list.new");
    // The temporary file exists while a save is in progress.
    while std::fs::create_dir(&temporary_file).is_err() {
        thread::sleep(Duration::from_millis(1));
    }
    let entries = replica_entries(&endpoints);
    for version in 8..12 {
        fixture.discovery.set_list(version, entries.clone());
        thread::sleep(Duration::from_millis(150));
        fixture.wait_until_served(Kind::Read, &format!("d{version}"));
    }
    first.wait_for_log("endpoint list not cached");
    std::fs::remove_dir(&temporary_file).expect("failed to remove the directory");
    fixture.wait_for_cached_list(|cached| cached.version == 11);
    first.wait_for_log("endpoint list cached again");
    let log = first.kill();
    assert_logged_once(&log, "endpoint list not cached", "the failing saves");
    assert_logged_once(&log, "endpoint list cached again", "the next successful save");
}

#[test]
fn unreachable_endpoints_in_a_large_cached_list_do_not_delay_a_write() {
    let fixture = Fixture::new(DiscoveryMode::Up);
    let daemon = fixture.start(&fixture.operator_file());
    fixture.wait_until_served(Kind::Write, "a");
    let mut cached = fixture
        .wait_for_cached_list(|cached| cached.endpoints.iter().any(|endpoint| endpoint.report.is_some()));
    daemon.kill();
    fixture.discovery.set_mode(DiscoveryMode::Down);
    let unused_address = free_address().to_string();
    cached.endpoints.extend((0..9_998).map(|index| CachedEndpoint {
        name: format!("a-{index:05}"),
        address: unused_address.clone(),
        group: 2 + index / 3,
        health: "SERVING".into(),
        ..CachedEndpoint::default()
    }));
    cached.confirmed_ms = unix_ms() - 600_000;
    CacheDirectory::open(&fixture.state_dir())
        .expect("failed to open the state directory")
        .0
        .save(&mut cached)
        .expect("failed to save the list");
    let daemon = fixture.start(&fixture.operator_file());
    let took = fixture.wait_until_served(Kind::Write, "b");
    assert!(took < Duration::from_secs(5), "the first write was served only after {took:?}");
    let status = std::fs::read_to_string(format!("/proc/{}/status", daemon.pid())).unwrap_or_default();
    let peak_kb = status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.split_whitespace().next());
    println!("first write after {took:?}, peak resident memory {} kB", peak_kb.unwrap_or("?"));
}

/// Entries of an endpoint list that lists the cached endpoints `endpoints` as serving replicas.
fn replica_entries(endpoints: &[CachedEndpoint]) -> Vec<serde_json::Value> {
    let entry = |endpoint: &CachedEndpoint| {
        let address = endpoint.address.parse().expect("an endpoint has an invalid address");
        list_entry(&endpoint.name, &address, 1, false, "SERVING", 0)
    };
    endpoints.iter().map(entry).collect()
}

fn write_file(path: &Path, text: &str) {
    std::fs::write(path, text).expect("failed to write the file");
}

/// Checks `list show` with a missing directory, and `list show` and `list verify` with the directory `folder`, which
/// has first no list, then a valid one, and then a damaged one.
fn assert_list_commands_report_the_file(folder: &Path, bootstrap: &Path) {
    let state_dir = folder.to_str().expect("the path is not UTF-8");
    assert_eq!(run_program(&["list", "show", "/nowhere/at/all"], bootstrap).0, Some(EX_NOINPUT));
    assert_eq!(run_program(&["list", "verify", state_dir], bootstrap).0, Some(EX_DATAERR));
    save_old_list(folder);
    let (status, stdout, _) = run_program(&["list", "show", state_dir], bootstrap);
    assert!(
        status == Some(0) && stdout.contains("version     41") && stdout.contains("old"),
        "status {status:?}, stdout:\n{stdout}"
    );
    assert_eq!(run_program(&["list", "verify", state_dir], bootstrap).0, Some(0));
    write_file(&folder.join("list"), "gingerwick-list 1 9");
    let (status, _, stderr) = run_program(&["list", "verify", state_dir], bootstrap);
    assert!(
        status == Some(EX_DATAERR) && stderr.contains("the file is incomplete or damaged"),
        "status {status:?}, stderr:\n{stderr}"
    );
}

#[test]
fn the_command_line_reports_all_errors_and_exits_with_sysexits_statuses() {
    let folder = tempfile::tempdir().expect("failed to create a temporary directory");
    let [bootstrap, conf] = ["config.json", "gingerwick.conf"].map(|name| folder.path().join(name));
    let valid_bootstrap = format!("{{\"seed\":\"1\",\n\"settings\":{}}}", settings());
    write_file(&bootstrap, &valid_bootstrap);
    write_file(&conf, "log-format json\n");
    let conf_path = conf.to_str().expect("the path is not UTF-8");
    assert_eq!(run_program(&["check", "--conf", conf_path], &bootstrap).0, Some(0));

    write_file(
        &bootstrap,
        &valid_bootstrap.replace("\"seed\":\"1\"", "\"listen\":\"here\",\n\"seed\":\"xyz\""),
    );
    write_file(&conf, "log-fromat json\n\nstate-dir there\n");
    let (status, _, stderr) = run_program(&["check", "--conf", conf_path], &bootstrap);
    assert_eq!(status, Some(EX_CONFIG));
    for expected in [
        format!(
            "ROUTER_CONFIG: {}:2: seed: \"xyz\" is not a hexadecimal number of up to 64 bits",
            bootstrap.display()
        ),
        format!("{conf_path}:1: log-fromat: unknown keyword; did you mean log-format?"),
        format!("{conf_path}:3: state-dir: \"there\" is not an absolute path"),
    ] {
        assert!(stderr.contains(&expected), "{expected:?} is missing in:\n{stderr}");
    }
    let (status, _, stderr) = run_program(&["--conf", conf_path], &bootstrap);
    assert!(status == Some(EX_CONFIG) && stderr.lines().count() == 3, "status {status:?}, stderr:\n{stderr}");

    assert_eq!(run_program(&["frobnicate"], &bootstrap).0, Some(EX_USAGE));
    assert_eq!(run_program(&["--help"], &bootstrap).0, Some(0));
    assert!(run_program(&["completions", "bash"], &bootstrap).1.contains("query-router"));
    assert_list_commands_report_the_file(folder.path(), &bootstrap);
}

/// Parses each line of `log` as JSON.
fn json_lines(log: &str) -> Vec<serde_json::Value> {
    log.lines()
        .map(|line| serde_json::from_str(line).unwrap_or_else(|_| panic!("a log line is not JSON: {line}")))
        .collect()
}

#[test]
fn the_json_log_reports_reloaded_settings_that_need_a_restart() {
    let fixture = Fixture::new(DiscoveryMode::Up);
    let conf = fixture.operator_file() + "log-format json\nlog-level debug\n";
    let daemon = fixture.start(&conf);
    fixture.wait_until_served(Kind::Write, "a");
    let conf_path = fixture.folder.path().join("gingerwick.conf");
    write_file(&conf_path, &conf.replace("postgres", "none").replace("100ms", "2s"));
    daemon.signal("HUP");
    daemon.wait_for_log("changed setting takes effect at the next start");
    write_file(&conf_path, "save-gap never\n");
    daemon.signal("HUP");
    daemon.wait_for_log("cannot be used, its settings are unchanged");
    fixture.wait_until_served(Kind::Write, "b");
    daemon.signal("TERM");
    let mut daemon = daemon;
    assert_eq!(daemon.exit_status_within(Duration::from_secs(5)), Some(0));
    let log = daemon.kill();
    let lines = json_lines(&log);
    let has_message = |text: &str| {
        lines.iter().any(|line| line["message"].as_str().is_some_and(|message| message.contains(text)))
    };
    let needs_restart = lines.iter().find(|line| line["setting"] == "store-identity");
    let needs_restart = needs_restart.unwrap_or_else(|| panic!("store-identity is not logged:\n{log}"));
    assert_eq!(needs_restart["message"], "reload: changed setting takes effect at the next start");
    assert!(
        has_message("reload: operators' file cannot be used, its settings are unchanged"),
        "the invalid operators' file is not logged:\n{log}"
    );
    let has_reason = |line: &serde_json::Value| {
        line["reason"].as_str().is_some_and(|reason| reason.contains("1: save-gap: "))
    };
    assert!(lines.iter().any(has_reason), "the reason of the failed reload is not logged:\n{log}");
    // The fields of the log line of an attempt identify the attempt.
    let attempt_ended = lines.iter().find(|line| line["message"] == "attempt ended");
    let attempt_ended = attempt_ended.unwrap_or_else(|| panic!("no attempt is logged:\n{log}"));
    for field in ["request", "attempt", "endpoint", "group", "outcome"] {
        assert!(!attempt_ended[field].is_null(), "field {field} is missing in {attempt_ended}");
    }
}
