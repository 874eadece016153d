//! Connection admission of client classes during floods, with clients on different loopback addresses.

mod common {
    pub mod router_program;
}

use common::router_program::ROUTER;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use test_servers::client::{Answer, Client, Kind};
use test_servers::daemon::Daemon;
use test_servers::endpoint::free_address;
use test_servers::single_endpoint::SingleEndpoint;

/// A cluster of one primary, and the address and executable of an instance with a limit of 200 descriptors.
struct Fixture {
    single_endpoint: SingleEndpoint,
    listen: SocketAddr,
    program: PathBuf,
}

impl Fixture {
    fn new() -> Fixture {
        let program = PathBuf::from(ROUTER);
        Fixture { single_endpoint: SingleEndpoint::new(1), listen: free_address(), program }
    }

    /// Starts an instance with the operators' file `conf` and returns at once.
    fn begin(&self, conf: &str) -> Daemon {
        self.single_endpoint.start(&self.program, self.single_endpoint.folder.path(), self.listen, 200, conf)
    }

    /// Has the instance reload its operators' file with this text.
    fn reload(&self, daemon: &Daemon, operator_file: &str) {
        let file = self.single_endpoint.folder.path().join("gingerwick.conf");
        std::fs::write(file, operator_file).expect("written");
        daemon.signal("HUP");
    }

    /// Starts an instance with the operators' file `conf` and waits until it serves a write.
    fn start(&self, conf: &str) -> Daemon {
        let daemon = self.begin(conf);
        let began = Instant::now();
        while !self.is_served(Ipv4Addr::new(127, 9, 0, 1), "warm") {
            assert!(began.elapsed() < Duration::from_secs(10), "{}", daemon.kill());
            thread::sleep(Duration::from_millis(5));
        }
        daemon
    }

    /// Whether a write of a new client at address `from` is served.
    fn is_served(&self, from: Ipv4Addr, id: &str) -> bool {
        let Ok(mut client) = Client::from_address(&self.listen, from) else { return false };
        client.rejected_with.is_none()
            && matches!(client.request(id, 1, Kind::Write, 800).answer, Answer::Value(_))
    }
}

/// Result of a flood from 300 addresses, during which 60 clients of the class `desk` each sent a write.
#[derive(Debug, Default)]
struct FloodResult {
    desk_served: usize,
    rejected: usize,
    with_retry_after: usize,
    admitted: usize,
    requests_lost: usize,
}

/// Counters shared by the clients of a flood.
#[derive(Default)]
struct FloodCounts {
    rejected: AtomicUsize,
    with_retry_after: AtomicUsize,
    admitted: AtomicUsize,
    requests_lost: AtomicUsize,
}

/// Runs one client of a flood until `over` is set. It has two addresses of its own, by `index`. Once admitted it sends
/// one request after the other, so that it is never idle. It reconnects when it is rejected or disconnected.
fn flood_client(index: u16, listen: SocketAddr, over: &AtomicBool, counts: &FloodCounts) {
    for round in 0u16.. {
        let from = Ipv4Addr::new(127, 50, (index % 2) as u8 + 2 * (round % 2) as u8, index as u8);
        if over.load(Ordering::Acquire) {
            return;
        }
        let Ok(mut client) = Client::from_address(&listen, from) else {
            thread::sleep(Duration::from_millis(10));
            continue;
        };
        if client.rejected_with.is_some() {
            counts.rejected.fetch_add(1, Ordering::Relaxed);
            counts
                .with_retry_after
                .fetch_add(usize::from(client.retry_after_ms.is_some()), Ordering::Relaxed);
            thread::sleep(Duration::from_millis(20));
            continue;
        }
        counts.admitted.fetch_add(1, Ordering::Relaxed);
        for serial in 0.. {
            if over.load(Ordering::Acquire) {
                return;
            }
            let id = format!("f{index}-{round}-{serial}");
            if client.request(&id, 1, Kind::Read, 400).answer == Answer::Missing {
                // A connection closed between two queries loses no request, one closed with a query in flight would.
                counts.requests_lost.fetch_add(usize::from(serial == 0), Ordering::Relaxed);
                break;
            }
        }
    }
}

/// Runs a flood of 150 clients (see [`flood_client`]) while 60 clients of the class `desk` each send one write.
fn flood(fixture: &Fixture) -> FloodResult {
    let over = Arc::new(AtomicBool::new(false));
    let counts: Arc<FloodCounts> = Arc::default();
    let flooding: Vec<_> = (0..150u16)
        .map(|index| {
            let (over, counts, listen) = (over.clone(), counts.clone(), fixture.listen);
            thread::spawn(move || flood_client(index, listen, &over, &counts))
        })
        .collect();
    thread::sleep(Duration::from_millis(400));
    let desk = |index: u8| fixture.is_served(Ipv4Addr::new(127, 9, 0, index % 10), &format!("d{index}"));
    let desk_served = (0..60).filter(|&index| desk(index)).count();
    over.store(true, Ordering::Release);
    flooding.into_iter().for_each(|flooding| flooding.join().expect("no client panics"));
    let load = |count: &AtomicUsize| count.load(Ordering::Relaxed);
    FloodResult {
        desk_served,
        rejected: load(&counts.rejected),
        with_retry_after: load(&counts.with_retry_after),
        admitted: load(&counts.admitted),
        requests_lost: load(&counts.requests_lost),
    }
}

#[test]
fn a_reserved_client_class_is_admitted_during_a_flood_that_rejects_it_without_classes() {
    let fixture = Fixture::new();
    let daemon =
        fixture.start("admit desk from 127.9.0.0/16 keep 20\nadmit others each 3 rate 50 burst 10\n");
    let with = flood(&fixture);
    daemon.kill();
    let daemon = fixture.start("");
    let without = flood(&fixture);
    daemon.kill();
    println!("with classes {with:?}\nwithout {without:?}");
    assert_eq!((with.desk_served, with.requests_lost), (60, 0), "{with:?}");
    assert!(with.rejected > 0 && with.with_retry_after > 0 && with.admitted > 20, "{with:?}");
    assert!(
        without.desk_served < 60,
        "the flood rejected nobody without classes, so the test proves nothing: {without:?}"
    );
}

#[test]
fn a_reload_changes_connection_limits_without_disconnecting_admitted_clients() {
    let fixture = Fixture::new();
    let desk = "admit desk from 127.9.0.0/16 keep 5\n";
    let daemon = fixture.start(&format!("{desk}admit others each 4\n"));
    let from = Ipv4Addr::new(127, 60, 0, 1);
    let open = || Client::from_address(&fixture.listen, from).expect("it answers");
    let mut held: Vec<Client> = (0..4).map(|_| open()).collect();
    assert!(held.iter().all(|client| client.rejected_with.is_none()));
    let fifth = open();
    assert_eq!(fifth.rejected_with.as_deref(), Some("53300"));
    assert!(fifth.retry_after_ms.is_some_and(|ms| (1..=1_000).contains(&ms)), "{:?}", fifth.retry_after_ms);
    // A file with contradictory limits is rejected as a whole.
    fixture.reload(&daemon, "admit desk from 127.9.0.0/16 keep 5 most 4\n");
    assert!(daemon.wait_for_log("reload: operators' file cannot be used, its settings are unchanged"));
    assert!(daemon
        .wait_for_log("1: admit: class desk reserves more connections (keep 5) than its maximum (most 4)"));
    fixture.reload(&daemon, "admit desk from 127.9.0.0/16 keep 5000\n");
    assert!(daemon.wait_for_log("the classes reserve 5000 connections (keep), more than the capacity of "));
    assert_eq!(open().rejected_with.as_deref(), Some("53300"), "the earlier limits still apply");
    // The limit is lowered below the connections in use: new ones are rejected, admitted ones stay.
    fixture.reload(&daemon, &format!("{desk}admit others each 1\n"));
    assert!(daemon.wait_for_log("others 4; rejected since the start: others 2"));
    for (index, client) in held.iter_mut().enumerate() {
        let answer = client.request(&format!("h{index}"), 1, Kind::Write, 800).answer;
        assert!(matches!(answer, Answer::Value(_)), "{answer:?}");
    }
    held.truncate(1);
    thread::sleep(Duration::from_millis(50));
    assert_eq!(open().rejected_with.as_deref(), Some("53300"), "one connection is still open");
    held.clear();
    let began = Instant::now();
    while open().rejected_with.is_some() {
        assert!(
            began.elapsed() < Duration::from_secs(5),
            "no client is admitted after the last connection has closed"
        );
        thread::sleep(Duration::from_millis(5));
    }
    drop(daemon);
}

#[test]
fn a_full_client_class_closes_only_its_own_idle_connections() {
    let fixture = Fixture::new();
    let daemon = fixture.start("admit desk from 127.9.0.0/16 keep 9\nadmit others most 3\n");
    let from = |net: u8, index: u8| {
        Client::from_address(&fixture.listen, Ipv4Addr::new(127, net, 0, index)).expect("it answers")
    };
    let mut desk = [from(9, 1), from(9, 2)];
    let held = [from(60, 1), from(60, 2), from(60, 3)];
    assert!(desk.iter().chain(&held).all(|client| client.rejected_with.is_none()));
    // A connection without a request is protected for a short time. After that it may be closed for a new connection.
    let began = Instant::now();
    let mut address = 4;
    let mut newer = Vec::new();
    while newer.len() < 3 {
        assert!(began.elapsed() < Duration::from_secs(10), "only {} new clients were admitted", newer.len());
        address += 1;
        let client = from(60, address);
        newer.extend(client.rejected_with.is_none().then_some(client));
        thread::sleep(Duration::from_millis(20));
    }
    for (index, client) in desk.iter_mut().enumerate() {
        let answer = client.request(&format!("k{index}"), 1, Kind::Write, 800).answer;
        assert!(
            matches!(answer, Answer::Value(_)),
            "a client of class desk was disconnected for another class: {answer:?}"
        );
    }
    drop(daemon);
}

/// Writes a shell script that starts the daemon with a limit on its file descriptors, and returns its path.
fn limited(fixture: &Fixture, descriptors: usize) -> PathBuf {
    let path = fixture.single_endpoint.folder.path().join("limited");
    let text = format!("#!/bin/sh\nulimit -n {descriptors}\nexec {ROUTER} \"$@\"\n");
    // Written by a child process: a process that another test starts meanwhile would inherit a descriptor open for
    // writing, and the script could not be executed.
    let write = r#"printf %s "$1" > "$2" && chmod 755 "$2""#;
    let shell = std::process::Command::new("/bin/sh").args(["-c", write, "sh", &text]).arg(&path).status();
    assert!(shell.expect("a shell").success());
    path
}

#[test]
fn a_lower_descriptor_limit_of_the_process_applies_and_reserved_clients_are_admitted() {
    let mut fixture = Fixture::new();
    fixture.program = limited(&fixture, 100);
    let daemon = fixture.start("admit desk from 127.9.0.0/16 keep 8\nadmit others each 3\n");
    assert!(daemon
        .wait_for_log("descriptor limit of the process is lower than configured allowed=100 configured=200"));
    let result = flood(&fixture);
    let log = daemon.kill();
    assert_eq!((result.desk_served, result.requests_lost), (60, 0), "{result:?}");
    assert!(result.rejected > 0 && !log.contains("connection not accepted"), "{result:?} {log}");
}

#[test]
fn clients_are_rejected_while_descriptors_are_exhausted_and_admitted_ones_are_answered() {
    let fixture = Fixture::new();
    let daemon = fixture.start("admit desk from 127.9.0.0/16 keep 8\n");
    let open = || Client::from_address(&fixture.listen, Ipv4Addr::new(127, 9, 0, 1));
    let mut first = open().expect("it is admitted");
    // The instance has a connection to its endpoint; from now on it can open only a few descriptors more. Connections
    // that close meanwhile, such as the one of the warm-up, free some.
    assert!(matches!(first.request("before", 1, Kind::Write, 800).answer, Answer::Value(_)));
    let used = std::fs::read_dir(format!("/proc/{}/fd", daemon.pid())).expect("a process").count() as u64;
    let pid = daemon.pid() as i32;
    let limit = |soft: u64| rlimit::prlimit(pid, rlimit::Resource::NOFILE, Some((soft, 4_096)), None);
    limit(used + 3).expect("an own process may be limited");
    let began = Instant::now();
    let (mut held, mut rejected) = (Vec::new(), 0);
    for _ in 0..30 {
        // A client whose rejection was lost in a connection reset was not left waiting either.
        match open() {
            Ok(client) if client.rejected_with.is_none() => held.push(client),
            Ok(client) => rejected += usize::from(client.rejected_with.as_deref() == Some("53300")),
            Err(_) => {}
        }
    }
    assert!(
        began.elapsed() < Duration::from_secs(3),
        "clients waited in the accept queue: {:?}",
        began.elapsed()
    );
    assert!(held.len() <= 9 && rejected >= 20, "{} were admitted, {rejected} rejected", held.len());
    for (index, client) in [first].iter_mut().chain(&mut held).enumerate() {
        let answer = client.request(&format!("held{index}"), 1, Kind::Write, 800).answer;
        assert!(matches!(answer, Answer::Value(_) | Answer::Rejected(_)), "{answer:?}");
    }
    limit(4_096).expect("an own process may be limited");
    let began = Instant::now();
    while !open().is_ok_and(|client| client.rejected_with.is_none()) {
        assert!(
            began.elapsed() < Duration::from_secs(2),
            "no client is admitted although descriptors are available again"
        );
    }
    assert!(daemon.wait_for_log("connection not accepted reason="));
}

#[test]
fn reservations_above_the_descriptor_limit_fail_the_start_with_an_error() {
    let fixture = Fixture::new();
    let mut daemon = fixture.begin("admit desk from 127.9.0.0/16 keep 5000\n");
    assert_eq!(daemon.exit_status_within(Duration::from_secs(5)), Some(78));
    assert!(
        daemon.wait_for_log("admit: the classes reserve 5000 connections (keep), more than the capacity of ")
    );
}
