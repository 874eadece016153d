//! Starts with and without discovery, on sockets: drawn faults, a state directory through kills, what the
//! command line and the log say.

use endpoint_cache::{CacheDirectory, CachedEndpoint, CachedEndpointList};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use test_servers::client::{Answer, Client, Kind};
use test_servers::daemon::{Daemon, Start};
use test_servers::discovery::{host, Discovery, Mode};
use test_servers::each_seed;
use test_servers::starts::{play, settings, Build, Plan, Times};
use test_servers::store::{free_address, serve, Served};
use test_servers::world::{unix_ms, Branch, Cold, Machine, World};

const DAEMON: &str = env!("CARGO_BIN_EXE_query-router");

#[test]
fn with_discovery_down_and_an_untrue_list_no_rule_breaks_and_writes_flow_once_they_may() {
    let times = Times { down: Duration::from_millis(1_500), back: Duration::from_millis(6_000) };
    let build = Build { program: Path::new(DAEMON), keeps: true };
    // Daemons, stores and clients of one plan keep a core or two busy; starved of them answers are late.
    let cores = thread::available_parallelism().map_or(2, usize::from);
    let failed = each_seed(0..18, (cores / 2).clamp(1, 6), |seed| {
        let plan = Plan::draw(seed);
        println!("seed {seed}: {plan:?}");
        let played = play(&plan, &build, times).expect("it can be played");
        let idle = played.groups_writing < played.groups_able;
        (!played.audit.offences.is_empty() || idle).then(|| format!("{plan:?}\n{played:#?}"))
    });
    let failed: Vec<String> = failed.into_iter().flatten().collect();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// Two stores of one group that nothing ails, and discovery.
struct Place {
    folder: tempfile::TempDir,
    listen: SocketAddr,
    discovery: Discovery,
    world: Arc<World>,
    _served: Vec<Served>,
}

impl Place {
    fn new(mode: Mode) -> Place {
        let cold = Cold { from: 1.0, for_ms: 1, overload_multiple: 9.0, window_ms: 500, work_ms: 1 };
        let world = Arc::new(World::new(cold, 250));
        let machine = |nth: usize| {
            let lag_ms = 20;
            Machine::of(format!("s-{nth}"), 1, (nth > 0).then_some(0), lag_ms)
        };
        world.lock().branches.insert(1, vec![Branch { forked_ms: 0, truth: true }]);
        world.lock().machines = (0..2).map(machine).collect();
        let served: Vec<Served> = (0..2).map(|ix| serve(&world, ix)).collect();
        let entry = |nth: usize| host(&format!("s-{nth}"), &served[nth].addr, 1, nth == 0, "SERVING", 0);
        let discovery = Discovery::start(mode, 7, vec![entry(0), entry(1)]);
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::create_dir(folder.path().join("state")).expect("made");
        Place { folder, listen: free_address(), discovery, world, _served: served }
    }

    fn state(&self) -> PathBuf {
        self.folder.path().join("state")
    }

    fn start(&self, conf: &str) -> Daemon {
        let facts = format!(r#"{{"seed":"1","settings":{}}}"#, settings());
        let start = Start {
            program: Path::new(DAEMON),
            facts: &facts,
            conf: Some(conf),
            folder: self.folder.path(),
            listen: self.listen,
            discovery: self.discovery.addr,
        };
        Daemon::start(&start).expect("it starts")
    }

    fn conf(&self) -> String {
        format!("state-dir {}\nstore-identity postgres\nsave-gap 100ms\n", self.state().display())
    }

    /// Asks until it is served, for ten seconds at most; the time it took.
    fn served(&self, kind: Kind, name: &str) -> Duration {
        let (began, mut nth) = (Instant::now(), 0);
        while began.elapsed() < Duration::from_secs(10) {
            if let Ok(mut client) = Client::open(&self.listen) {
                nth += 1;
                let record = client.ask(&format!("{name}{nth}"), 1, kind, 500);
                if matches!(record.answer, Answer::Value(_)) {
                    return began.elapsed();
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("{kind:?} {name} is not served");
    }

    fn kept_within(&self, wanted: impl Fn(&CachedEndpointList) -> bool) -> CachedEndpointList {
        let began = Instant::now();
        loop {
            let loaded = CacheDirectory::read(&self.state());
            assert!(loaded.errors.is_empty(), "{:?}", loaded.errors);
            match loaded.list {
                Some((kept, _)) if wanted(&kept) => return kept,
                found => assert!(began.elapsed() < Duration::from_secs(10), "{found:?}"),
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

#[test]
fn what_was_kept_through_a_kill_serves_the_next_start_without_discovery() {
    let place = Place::new(Mode::Up);
    let daemon = place.start(&place.conf());
    place.served(Kind::Write, "a");
    let knows = |kept: &CachedEndpointList| {
        kept.version == 7
            && kept.endpoints.iter().filter_map(|store| store.report).any(|report| report.primary)
    };
    let kept = place.kept_within(knows);
    assert_eq!(kept.endpoints.len(), 2);
    daemon.kill();
    place.discovery.turn(Mode::Down);
    // Killed again and again while it starts and saves: the list stays whole, and it serves each time.
    for round in 0..6 {
        let daemon = place.start(&place.conf());
        place.served(Kind::Write, &format!("b{round}"));
        place.served(Kind::Read, &format!("c{round}"));
        assert!(daemon.says("starting from the cached endpoint list"), "{}", daemon.kill());
        daemon.kill();
        place.kept_within(knows);
    }
    // Another life of discovery is taken, and kept.
    let daemon = place.start(&place.conf());
    let entries = place.kept_within(knows).endpoints;
    let hosts = entries.iter().enumerate().map(|(nth, store)| {
        let dial = store.dial.parse().expect("an address");
        host(&store.host, &dial, 1, nth == 0, "SERVING", 0)
    });
    place.discovery.tell(2, hosts.collect());
    place.discovery.turn(Mode::Up);
    place.kept_within(|kept| kept.version == 2);
    assert!(daemon.says("endpoint list of a new discovery incarnation accepted"), "{}", daemon.kill());
    assert!(place.world.lock().runs.values().flatten().all(|run| run.by_primary));
}

#[test]
fn a_directory_of_no_use_costs_one_line_and_no_service() {
    let place = Place::new(Mode::Up);
    let missing = place.start(&place.conf().replace("/state", "/nowhere"));
    place.served(Kind::Write, "a");
    missing.says("endpoint list not cached");
    // A second line would come with the next saves.
    thread::sleep(Duration::from_millis(300));
    let log = missing.kill();
    assert_eq!(log.matches("endpoint list not cached").count(), 1, "{log}");

    let first = place.start(&place.conf());
    place.served(Kind::Write, "b");
    let second = Place { listen: free_address(), ..Place::new(Mode::Up) };
    let other = second.start(&place.conf());
    second.served(Kind::Write, "c");
    assert!(other.says("another front uses it"), "{}", other.kill());
    // No room: saving fails from now on, and is said once.
    let entries = place.kept_within(|kept| kept.version == 7).endpoints;
    let blocked = place.state().join("list.new");
    // A save may just be under way.
    while std::fs::create_dir(&blocked).is_err() {
        thread::sleep(Duration::from_millis(1));
    }
    let only: Vec<_> = entries
        .iter()
        .map(|store| host(&store.host, &store.dial.parse().expect("one"), 1, false, "SERVING", 0))
        .collect();
    for seq in 8..12 {
        place.discovery.tell(seq, only.clone());
        thread::sleep(Duration::from_millis(150));
        place.served(Kind::Read, &format!("d{seq}"));
    }
    first.says("endpoint list not cached");
    std::fs::remove_dir(&blocked).expect("gone");
    place.kept_within(|kept| kept.version == 11);
    first.says("endpoint list cached again");
    let log = first.kill();
    assert_eq!(log.matches("endpoint list not cached").count(), 1, "{log}");
    assert_eq!(log.matches("endpoint list cached again").count(), 1, "{log}");
}

#[test]
fn a_list_of_ten_thousand_stores_most_of_them_gone_holds_up_nobody_who_waits() {
    let place = Place::new(Mode::Up);
    let daemon = place.start(&place.conf());
    place.served(Kind::Write, "a");
    let mut kept = place.kept_within(|kept| kept.endpoints.iter().any(|store| store.report.is_some()));
    daemon.kill();
    place.discovery.turn(Mode::Down);
    let nobody = free_address().to_string();
    kept.endpoints.extend((0..9_998).map(|nth| CachedEndpoint {
        host: format!("a-{nth:05}"),
        dial: nobody.clone(),
        block: 2 + nth / 3,
        health: "SERVING".into(),
        ..CachedEndpoint::default()
    }));
    kept.confirmed_ms = unix_ms() - 600_000;
    CacheDirectory::open(&place.state()).expect("free again").0.save(&mut kept).expect("saved");
    let daemon = place.start(&place.conf());
    let took = place.served(Kind::Write, "b");
    assert!(took < Duration::from_secs(5), "{took:?}");
    let status = std::fs::read_to_string(format!("/proc/{}/status", daemon.pid())).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.split_whitespace().next());
    println!("first write after {took:?}, {} kB at most", resident.unwrap_or("?"));
}

fn run(args: &[&str], facts: &Path) -> (Option<i32>, String, String) {
    let mut command = Command::new(DAEMON);
    command.env_clear().env("ROUTER_CONFIG", facts).env("ROUTER_LISTEN", "127.0.0.1:1");
    let output = command.env("ROUTER_DISCOVERY", "127.0.0.1:2").args(args).output().expect("it runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (output.status.code(), text(output.stdout), text(output.stderr))
}

#[test]
fn the_command_line_says_all_faults_and_ends_with_the_codes_of_sysexits() {
    let folder = tempfile::tempdir().expect("a folder");
    let [facts, conf] = ["config.json", "gingerwick.conf"].map(|name| folder.path().join(name));
    let good = format!("{{\"seed\":\"1\",\n\"settings\":{}}}", settings());
    std::fs::write(&facts, &good).expect("written");
    std::fs::write(&conf, "log-format json\n").expect("written");
    let with = conf.to_str().expect("text");
    assert_eq!(run(&["check", "--conf", with], &facts).0, Some(0));

    std::fs::write(&facts, good.replace("\"seed\":\"1\"", "\"listen\":\"here\",\n\"seed\":\"xyz\""))
        .expect("written");
    std::fs::write(&conf, "log-fromat json\n\nstate-dir there\n").expect("written");
    let (code, _, said) = run(&["check", "--conf", with], &facts);
    assert_eq!(code, Some(78));
    for words in [
        format!("ROUTER_CONFIG: {}: 2: seed: not hex digits", facts.display()),
        format!("{with}:1: log-fromat: is no keyword; is log-format meant?"),
        format!("{with}:3: state-dir: \"there\" is not an absolute path"),
    ] {
        assert!(said.contains(&words), "{words} in {said}");
    }
    let (code, _, said) = run(&["--conf", with], &facts);
    assert!(code == Some(78) && said.lines().count() == 3, "{said}");

    assert_eq!(run(&["frobnicate"], &facts).0, Some(64));
    assert_eq!(run(&["--help"], &facts).0, Some(0));
    assert!(run(&["completions", "bash"], &facts).1.contains("query-router"));
    let state = folder.path().to_str().expect("text");
    assert_eq!(run(&["list", "show", "/nowhere/at/all"], &facts).0, Some(66));
    assert_eq!(run(&["list", "verify", state], &facts).0, Some(65));
    let (mut dir, _) = CacheDirectory::open(folder.path()).expect("it opens");
    let endpoints = vec![CachedEndpoint { host: "s-1".into(), block: 4, ..CachedEndpoint::default() }];
    let mut kept = CachedEndpointList {
        version: 41,
        confirmed_ms: unix_ms() - 7_200_000,
        saved_ms: unix_ms(),
        endpoints,
        ..CachedEndpointList::default()
    };
    dir.save(&mut kept).expect("saved");
    let (code, shown, _) = run(&["list", "show", state], &facts);
    assert!(code == Some(0) && shown.contains("version     41") && shown.contains("old"), "{shown}");
    assert_eq!(run(&["list", "verify", state], &facts).0, Some(0));
    std::fs::write(folder.path().join("list"), "gingerwick-list 1 9").expect("written");
    let (code, _, said) = run(&["list", "verify", state], &facts);
    assert!(code == Some(65) && said.contains("torn"), "{said}");
}

#[test]
fn the_log_is_json_where_it_is_asked_for_and_a_reload_says_what_must_wait() {
    let place = Place::new(Mode::Up);
    let conf = place.conf() + "log-format json\nlog-level debug\n";
    let daemon = place.start(&conf);
    place.served(Kind::Write, "a");
    let file = place.folder.path().join("gingerwick.conf");
    std::fs::write(&file, conf.replace("postgres", "none").replace("100ms", "2s")).expect("written");
    daemon.signal("HUP");
    daemon.says("changed setting takes effect at the next start");
    std::fs::write(&file, "save-gap never\n").expect("written");
    daemon.signal("HUP");
    daemon.says("not usable, nothing changed");
    place.served(Kind::Write, "b");
    daemon.signal("TERM");
    let mut daemon = daemon;
    assert_eq!(daemon.ends_within(Duration::from_secs(5)), Some(0));
    let log = daemon.kill();
    let lines: Vec<serde_json::Value> =
        log.lines().map(|line| serde_json::from_str(line).unwrap_or_else(|_| panic!("{line}"))).collect();
    let said =
        |words: &str| lines.iter().any(|line| line["message"].as_str().is_some_and(|m| m.contains(words)));
    let waits = lines.iter().find(|line| line["setting"] == "store-identity");
    let waits = waits.unwrap_or_else(|| panic!("{log}"));
    assert_eq!(waits["message"], "reload: changed setting takes effect at the next start");
    assert!(said("reload: operators' file not usable, nothing changed"), "{log}");
    let reason =
        |line: &serde_json::Value| line["reason"].as_str().is_some_and(|it| it.contains("1: save-gap: "));
    assert!(lines.iter().any(reason), "{log}");
    // The path of one call-out can be followed by its fields.
    let ended = lines.iter().find(|line| line["message"] == "attempt ended");
    let ended = ended.unwrap_or_else(|| panic!("{log}"));
    for field in ["request", "attempt", "endpoint", "group", "outcome"] {
        assert!(!ended[field].is_null(), "{field} in {ended}");
    }
}
