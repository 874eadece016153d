//! Starts of instances with and without discovery: randomized faults, a state directory during kills, the command
//! line, and the log.

mod common {
    pub mod endpoint_group;
    pub mod router_program;
    pub mod start_router;
}

use common::endpoint_group::{group_entry, start_endpoint_group};
use common::router_program::ROUTER;
use common::start_router::start_router;
use endpoint_cache::{CacheDirectory, CachedEndpoint, CachedEndpointList};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
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

#[test]
fn starts_from_an_outdated_list_violate_no_rule_and_writes_are_served_after_discovery_returns() {
    let phases =
        Phases { discovery_down: Duration::from_millis(1_500), discovery_back: Duration::from_millis(6_000) };
    let build = Build { program: Path::new(ROUTER), has_operator_file: true };
    // Daemons, endpoints and clients of one plan use one or two cores. With fewer cores answers would be late.
    let cores = thread::available_parallelism().map_or(2, usize::from);
    let failed = each_seed(0..18, (cores / 2).clamp(1, 6), |seed| {
        let plan = Plan::random(seed);
        println!("seed {seed}: {plan:?}");
        let outcome = run_plan(&plan, &build, phases).expect("the run could not be set up");
        let lacks_writes = outcome.groups_writing < outcome.groups_with_primary;
        (!outcome.verdict.violations.is_empty() || lacks_writes).then(|| format!("{plan:?}\n{outcome:#?}"))
    });
    let failed: Vec<String> = failed.into_iter().flatten().collect();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// A group of a primary and a replica, a discovery service, and a temporary directory for an instance.
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
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::create_dir(folder.path().join("state")).expect("made");
        Fixture { folder, listen: free_address(), discovery, cluster, _served: served }
    }

    /// Path of the state directory.
    fn state(&self) -> PathBuf {
        self.folder.path().join("state")
    }

    fn start(&self, operator_file: &str) -> Daemon {
        start_router(1, operator_file, self.folder.path(), self.listen, self.discovery.addr)
    }

    /// Content of an operators' file with the state directory.
    fn operator_file(&self) -> String {
        format!("state-dir {}\nstore-identity postgres\nsave-gap 100ms\n", self.state().display())
    }

    /// Sends requests until one is served, for ten seconds at most. Returns the time that it took.
    fn time_until_served(&self, kind: Kind, name: &str) -> Duration {
        let (began, mut index) = (Instant::now(), 0);
        while began.elapsed() < Duration::from_secs(10) {
            if let Ok(mut client) = Client::open(&self.listen) {
                index += 1;
                let record = client.request(&format!("{name}{index}"), 1, kind, 500);
                if matches!(record.answer, Answer::Value(_)) {
                    return began.elapsed();
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("{kind:?} {name} is not served");
    }

    /// Waits until the cached list satisfies `wanted`, for ten seconds at most. Returns the list.
    fn wait_for_cached(&self, wanted: impl Fn(&CachedEndpointList) -> bool) -> CachedEndpointList {
        let began = Instant::now();
        loop {
            let loaded = CacheDirectory::read(&self.state());
            assert!(loaded.errors.is_empty(), "{:?}", loaded.errors);
            match loaded.list {
                Some(loaded) if wanted(&loaded.list) => return loaded.list,
                found => assert!(began.elapsed() < Duration::from_secs(10), "{found:?}"),
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

#[test]
fn an_instance_starts_from_its_cached_list_without_discovery_after_kills() {
    let fixture = Fixture::new(DiscoveryMode::Up);
    let daemon = fixture.start(&fixture.operator_file());
    fixture.time_until_served(Kind::Write, "a");
    let is_verified = |cached: &CachedEndpointList| {
        cached.version == 7
            && cached.endpoints.iter().filter_map(|endpoint| endpoint.report).any(|report| report.primary)
    };
    let cached = fixture.wait_for_cached(is_verified);
    assert_eq!(cached.endpoints.len(), 2);
    daemon.kill();
    fixture.discovery.set_mode(DiscoveryMode::Down);
    // The instance is killed repeatedly while it starts and saves: the list stays complete, and requests are served
    // each time.
    for round in 0..6 {
        let daemon = fixture.start(&fixture.operator_file());
        fixture.time_until_served(Kind::Write, &format!("b{round}"));
        fixture.time_until_served(Kind::Read, &format!("c{round}"));
        assert!(daemon.wait_for_log("starting from the cached endpoint list"), "{}", daemon.kill());
        daemon.kill();
        fixture.wait_for_cached(is_verified);
    }
    // The endpoint list of a new incarnation of discovery is accepted, and cached.
    let daemon = fixture.start(&fixture.operator_file());
    let entries = fixture.wait_for_cached(is_verified).endpoints;
    let hosts = entries.iter().enumerate().map(|(index, endpoint)| {
        let address = endpoint.address.parse().expect("an address");
        list_entry(&endpoint.name, &address, 1, index == 0, "SERVING", 0)
    });
    fixture.discovery.set_list(2, hosts.collect());
    fixture.discovery.set_mode(DiscoveryMode::Up);
    fixture.wait_for_cached(|cached| cached.version == 2);
    assert!(
        daemon.wait_for_log("endpoint list of a new discovery incarnation accepted"),
        "{}",
        daemon.kill()
    );
    assert!(fixture.cluster.lock().executions.values().flatten().all(|run| run.at_primary));
}

#[test]
fn an_unusable_state_directory_is_logged_once_and_requests_are_served() {
    let fixture = Fixture::new(DiscoveryMode::Up);
    let missing = fixture.start(&fixture.operator_file().replace("/state", "/nowhere"));
    fixture.time_until_served(Kind::Write, "a");
    missing.wait_for_log("endpoint list not cached");
    // A second log line would appear with the next saves.
    thread::sleep(Duration::from_millis(300));
    let log = missing.kill();
    assert_eq!(log.matches("endpoint list not cached").count(), 1, "{log}");

    let first = fixture.start(&fixture.operator_file());
    fixture.time_until_served(Kind::Write, "b");
    let second = Fixture { listen: free_address(), ..Fixture::new(DiscoveryMode::Up) };
    let other = second.start(&fixture.operator_file());
    second.time_until_served(Kind::Write, "c");
    assert!(other.wait_for_log("another process uses it"), "{}", other.kill());
    // A directory in place of the temporary file makes all saves fail from now on, which is logged once.
    let entries = fixture.wait_for_cached(|cached| cached.version == 7).endpoints;
    let blocked = fixture.state().join("list.new");
    // A save may be in progress.
    while std::fs::create_dir(&blocked).is_err() {
        thread::sleep(Duration::from_millis(1));
    }
    let only = replica_entries(&entries);
    for seq in 8..12 {
        fixture.discovery.set_list(seq, only.clone());
        thread::sleep(Duration::from_millis(150));
        fixture.time_until_served(Kind::Read, &format!("d{seq}"));
    }
    first.wait_for_log("endpoint list not cached");
    std::fs::remove_dir(&blocked).expect("gone");
    fixture.wait_for_cached(|cached| cached.version == 11);
    first.wait_for_log("endpoint list cached again");
    let log = first.kill();
    assert_eq!(log.matches("endpoint list not cached").count(), 1, "{log}");
    assert_eq!(log.matches("endpoint list cached again").count(), 1, "{log}");
}

#[test]
fn a_cached_list_of_ten_thousand_mostly_unreachable_endpoints_does_not_delay_the_first_write() {
    let fixture = Fixture::new(DiscoveryMode::Up);
    let daemon = fixture.start(&fixture.operator_file());
    fixture.time_until_served(Kind::Write, "a");
    let mut cached =
        fixture.wait_for_cached(|cached| cached.endpoints.iter().any(|endpoint| endpoint.report.is_some()));
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
    CacheDirectory::open(&fixture.state()).expect("free again").0.save(&mut cached).expect("saved");
    let daemon = fixture.start(&fixture.operator_file());
    let took = fixture.time_until_served(Kind::Write, "b");
    assert!(took < Duration::from_secs(5), "{took:?}");
    let status = std::fs::read_to_string(format!("/proc/{}/status", daemon.pid())).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.split_whitespace().next());
    println!("first write after {took:?}, {} kB at most", resident.unwrap_or("?"));
}

/// Creates list entries of cached endpoints, all as serving replicas.
fn replica_entries(endpoints: &[CachedEndpoint]) -> Vec<serde_json::Value> {
    let entry = |endpoint: &CachedEndpoint| {
        list_entry(&endpoint.name, &endpoint.address.parse().expect("one"), 1, false, "SERVING", 0)
    };
    endpoints.iter().map(entry).collect()
}

/// Runs the router's command line with `args` and the bootstrap file `bootstrap`. Returns its exit code, stdout and
/// stderr.
fn run(args: &[&str], bootstrap: &Path) -> (Option<i32>, String, String) {
    let mut command = Command::new(ROUTER);
    command.env_clear().env("ROUTER_CONFIG", bootstrap).env("ROUTER_LISTEN", "127.0.0.1:1");
    let output = command.env("ROUTER_DISCOVERY", "127.0.0.1:2").args(args).output().expect("it runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (output.status.code(), text(output.stdout), text(output.stderr))
}

fn write_file(path: &Path, text: &str) {
    std::fs::write(path, text).expect("written");
}

/// Saves an endpoint list with version 41 and one endpoint in the state directory `state`, confirmed two hours ago.
fn save_old_list(state: &Path) {
    let (mut dir, _) = CacheDirectory::open(state).expect("it opens");
    let endpoints = vec![CachedEndpoint { name: "s-1".into(), group: 4, ..CachedEndpoint::default() }];
    let mut cached = CachedEndpointList {
        version: 41,
        confirmed_ms: unix_ms() - 7_200_000,
        saved_ms: unix_ms(),
        endpoints,
        ..CachedEndpointList::default()
    };
    dir.save(&mut cached).expect("saved");
}

#[test]
fn the_command_line_reports_all_errors_and_exits_with_sysexits_statuses() {
    let folder = tempfile::tempdir().expect("a folder");
    let [bootstrap, conf] = ["config.json", "gingerwick.conf"].map(|name| folder.path().join(name));
    let good = format!("{{\"seed\":\"1\",\n\"settings\":{}}}", settings());
    write_file(&bootstrap, &good);
    write_file(&conf, "log-format json\n");
    let with = conf.to_str().expect("text");
    assert_eq!(run(&["check", "--conf", with], &bootstrap).0, Some(0));

    write_file(&bootstrap, &good.replace("\"seed\":\"1\"", "\"listen\":\"here\",\n\"seed\":\"xyz\""));
    write_file(&conf, "log-fromat json\n\nstate-dir there\n");
    let (code, _, stderr) = run(&["check", "--conf", with], &bootstrap);
    assert_eq!(code, Some(78));
    for expected in [
        format!(
            "ROUTER_CONFIG: {}: 2: seed: \"xyz\" is not a hexadecimal number of up to 64 bits",
            bootstrap.display()
        ),
        format!("{with}:1: log-fromat: unknown keyword; did you mean log-format?"),
        format!("{with}:3: state-dir: \"there\" is not an absolute path"),
    ] {
        assert!(stderr.contains(&expected), "{expected} in {stderr}");
    }
    let (code, _, stderr) = run(&["--conf", with], &bootstrap);
    assert!(code == Some(78) && stderr.lines().count() == 3, "{stderr}");

    assert_eq!(run(&["frobnicate"], &bootstrap).0, Some(64));
    assert_eq!(run(&["--help"], &bootstrap).0, Some(0));
    assert!(run(&["completions", "bash"], &bootstrap).1.contains("query-router"));
    let state = folder.path().to_str().expect("text");
    assert_eq!(run(&["list", "show", "/nowhere/at/all"], &bootstrap).0, Some(66));
    assert_eq!(run(&["list", "verify", state], &bootstrap).0, Some(65));
    save_old_list(folder.path());
    let (code, shown, _) = run(&["list", "show", state], &bootstrap);
    assert!(code == Some(0) && shown.contains("version     41") && shown.contains("old"), "{shown}");
    assert_eq!(run(&["list", "verify", state], &bootstrap).0, Some(0));
    std::fs::write(folder.path().join("list"), "gingerwick-list 1 9").expect("written");
    let (code, _, stderr) = run(&["list", "verify", state], &bootstrap);
    assert!(code == Some(65) && stderr.contains("torn"), "{stderr}");
}

#[test]
fn the_log_is_json_if_configured_and_a_reload_reports_settings_that_need_a_restart() {
    let fixture = Fixture::new(DiscoveryMode::Up);
    let conf = fixture.operator_file() + "log-format json\nlog-level debug\n";
    let daemon = fixture.start(&conf);
    fixture.time_until_served(Kind::Write, "a");
    let file = fixture.folder.path().join("gingerwick.conf");
    std::fs::write(&file, conf.replace("postgres", "none").replace("100ms", "2s")).expect("written");
    daemon.signal("HUP");
    daemon.wait_for_log("changed setting takes effect at the next start");
    std::fs::write(&file, "save-gap never\n").expect("written");
    daemon.signal("HUP");
    daemon.wait_for_log("cannot be used, its settings are unchanged");
    fixture.time_until_served(Kind::Write, "b");
    daemon.signal("TERM");
    let mut daemon = daemon;
    assert_eq!(daemon.exit_status_within(Duration::from_secs(5)), Some(0));
    let log = daemon.kill();
    let lines: Vec<serde_json::Value> =
        log.lines().map(|line| serde_json::from_str(line).unwrap_or_else(|_| panic!("{line}"))).collect();
    let logged =
        |text: &str| lines.iter().any(|line| line["message"].as_str().is_some_and(|m| m.contains(text)));
    let needs_restart = lines.iter().find(|line| line["setting"] == "store-identity");
    let needs_restart = needs_restart.unwrap_or_else(|| panic!("{log}"));
    assert_eq!(needs_restart["message"], "reload: changed setting takes effect at the next start");
    assert!(logged("reload: operators' file cannot be used, its settings are unchanged"), "{log}");
    let reason =
        |line: &serde_json::Value| line["reason"].as_str().is_some_and(|it| it.contains("1: save-gap: "));
    assert!(lines.iter().any(reason), "{log}");
    // The fields of a log line identify its attempt.
    let ended = lines.iter().find(|line| line["message"] == "attempt ended");
    let ended = ended.unwrap_or_else(|| panic!("{log}"));
    for field in ["request", "attempt", "endpoint", "group", "outcome"] {
        assert!(!ended[field].is_null(), "{field} in {ended}");
    }
}
