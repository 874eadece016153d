//! Admission of connections by client class while more clients connect than are allowed. The clients use different
//! loopback addresses.

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

/// Limit on file descriptors in the bootstrap file of each instance.
const DESCRIPTOR_LIMIT: usize = 200;
/// SQLSTATE of a connection that is not admitted.
const TOO_MANY_CONNECTIONS: &str = "53300";
/// Exit status of a start whose configuration is invalid, from `sysexits.h`.
const EX_CONFIG: i32 = 78;

/// A cluster of one primary, and the listen address and executable of an instance.
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

    /// Starts an instance with this text in its operators' file, and does not wait until it accepts clients.
    fn start_without_waiting(&self, operator_file: &str) -> Daemon {
        let folder = self.single_endpoint.folder.path();
        self.single_endpoint.start(&self.program, folder, self.listen, DESCRIPTOR_LIMIT, operator_file)
    }

    /// Replaces the text of the operators' file, and signals the instance to reload it.
    fn reload(&self, daemon: &Daemon, operator_file: &str) {
        let path = self.single_endpoint.folder.path().join("gingerwick.conf");
        std::fs::write(path, operator_file).expect("failed to write the operators' file");
        daemon.signal("HUP");
    }

    /// Starts an instance with this text in its operators' file, and waits until it serves a write.
    fn start(&self, operator_file: &str) -> Daemon {
        let daemon = self.start_without_waiting(operator_file);
        let started = Instant::now();
        while !self.serves_write(Ipv4Addr::new(127, 9, 0, 1), "warm") {
            assert!(started.elapsed() < Duration::from_secs(10), "no write was served:\n{}", daemon.kill());
            thread::sleep(Duration::from_millis(5));
        }
        daemon
    }

    /// Connects a client from the address `from` and sends a write. Returns whether the write is served.
    fn serves_write(&self, from: Ipv4Addr, id: &str) -> bool {
        let Ok(mut client) = Client::from_address(&self.listen, from) else { return false };
        client.rejected_with.is_none()
            && matches!(client.request(id, 1, Kind::Write, 800).answer, Answer::Value(_))
    }
}

/// Result of [`run_flood`].
#[derive(Debug, Default)]
struct FloodResult {
    /// Number of clients of the class `desk` whose write was served.
    desk_served: usize,
    /// Number of rejected connections of the other clients.
    rejected: usize,
    /// Number of these rejections that contained a Retry-After time.
    rejected_with_retry_after: usize,
    /// Number of admitted connections of the other clients.
    admitted: usize,
    /// Number of admitted connections whose first request got no answer.
    requests_lost: usize,
}

/// Counters that the clients of a flood share; see [`FloodResult`].
#[derive(Default)]
struct FloodCounts {
    rejected: AtomicUsize,
    rejected_with_retry_after: AtomicUsize,
    admitted: AtomicUsize,
    requests_lost: AtomicUsize,
}

/// Runs one client of a flood until `is_over` is set. The client alternates between two addresses that no other client
/// uses. Once admitted it sends one request after another, so that it is hardly ever idle. It reconnects when it is
/// rejected or disconnected.
fn run_flood_client(index: u16, listen: SocketAddr, is_over: &AtomicBool, counts: &FloodCounts) {
    for round in 0u16.. {
        let from = Ipv4Addr::new(127, 50, (index % 2) as u8 + 2 * (round % 2) as u8, index as u8);
        if is_over.load(Ordering::Acquire) {
            return;
        }
        let Ok(mut client) = Client::from_address(&listen, from) else {
            thread::sleep(Duration::from_millis(10));
            continue;
        };
        if client.rejected_with.is_some() {
            counts.rejected.fetch_add(1, Ordering::Relaxed);
            counts
                .rejected_with_retry_after
                .fetch_add(usize::from(client.retry_after_ms.is_some()), Ordering::Relaxed);
            thread::sleep(Duration::from_millis(20));
            continue;
        }
        counts.admitted.fetch_add(1, Ordering::Relaxed);
        for serial in 0.. {
            if is_over.load(Ordering::Acquire) {
                return;
            }
            let id = format!("f{index}-{round}-{serial}");
            if client.request(&id, 1, Kind::Read, 400).answer == Answer::Missing {
                // The router may close a connection that is idle between two requests, and then no request is lost.
                // It must not close a new connection before its first request is answered.
                counts.requests_lost.fetch_add(usize::from(serial == 0), Ordering::Relaxed);
                break;
            }
        }
    }
}

/// Runs a flood of 150 clients with 300 addresses (see [`run_flood_client`]) while 60 clients of the class `desk` each
/// send one write.
fn run_flood(fixture: &Fixture) -> FloodResult {
    let is_over = Arc::new(AtomicBool::new(false));
    let counts: Arc<FloodCounts> = Arc::default();
    let flood_clients: Vec<_> = (0..150u16)
        .map(|index| {
            let (is_over, counts, listen) = (is_over.clone(), counts.clone(), fixture.listen);
            thread::spawn(move || run_flood_client(index, listen, &is_over, &counts))
        })
        .collect();
    thread::sleep(Duration::from_millis(400));
    let is_desk_served =
        |index: u8| fixture.serves_write(Ipv4Addr::new(127, 9, 0, index % 10), &format!("d{index}"));
    let desk_served = (0..60).filter(|&index| is_desk_served(index)).count();
    is_over.store(true, Ordering::Release);
    flood_clients.into_iter().for_each(|client| client.join().expect("a client panicked"));
    let load = |count: &AtomicUsize| count.load(Ordering::Relaxed);
    FloodResult {
        desk_served,
        rejected: load(&counts.rejected),
        rejected_with_retry_after: load(&counts.rejected_with_retry_after),
        admitted: load(&counts.admitted),
        requests_lost: load(&counts.requests_lost),
    }
}

#[test]
fn a_class_with_reserved_connections_is_admitted_during_a_flood() {
    let fixture = Fixture::new();
    let daemon =
        fixture.start("admit desk from 127.9.0.0/16 keep 20\nadmit others each 3 rate 50 burst 10\n");
    let with_classes = run_flood(&fixture);
    daemon.kill();
    let daemon = fixture.start("");
    let without_classes = run_flood(&fixture);
    daemon.kill();
    println!("with classes: {with_classes:?}\nwithout classes: {without_classes:?}");
    assert_eq!(
        (with_classes.desk_served, with_classes.requests_lost),
        (60, 0),
        "a client of class desk was not served, or a request was lost: {with_classes:?}"
    );
    assert!(
        with_classes.rejected > 0 && with_classes.rejected_with_retry_after > 0 && with_classes.admitted > 20,
        "too few clients were admitted, or none was rejected with a Retry-After time: {with_classes:?}"
    );
    assert!(
        without_classes.desk_served < 60,
        "without classes all clients of class desk were served too, so the flood was too small: {without_classes:?}"
    );
}

/// Reloads invalid operators' files. Checks that each error is logged and that `connect` is still rejected afterwards.
fn assert_invalid_files_keep_the_limits(fixture: &Fixture, daemon: &Daemon, connect: impl Fn() -> Client) {
    // If one setting of the file is invalid, none of the file's settings is applied.
    fixture.reload(daemon, "admit desk from 127.9.0.0/16 keep 5 most 4\n");
    assert!(daemon.wait_for_log("reload: operators' file cannot be used, its settings are unchanged"));
    assert!(daemon
        .wait_for_log("1: admit: class desk reserves more connections (keep 5) than its maximum (most 4)"));
    fixture.reload(daemon, "admit desk from 127.9.0.0/16 keep 5000\n");
    assert!(daemon.wait_for_log("the classes reserve 5000 connections (keep), more than the capacity of "));
    assert_eq!(
        connect().rejected_with.as_deref(),
        Some(TOO_MANY_CONNECTIONS),
        "an invalid operators' file changed the limits"
    );
}

/// Calls `connect` until a client is admitted, for five seconds at most.
fn wait_until_admitted(connect: impl Fn() -> Client) {
    let started = Instant::now();
    while connect().rejected_with.is_some() {
        assert!(
            started.elapsed() < Duration::from_secs(5),
            "no client is admitted after the last connection has closed"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_reload_changes_connection_limits_and_keeps_admitted_connections() {
    let fixture = Fixture::new();
    let desk_line = "admit desk from 127.9.0.0/16 keep 5\n";
    let daemon = fixture.start(&format!("{desk_line}admit others each 4\n"));
    let from = Ipv4Addr::new(127, 60, 0, 1);
    let connect = || Client::from_address(&fixture.listen, from).expect("the instance did not answer");
    let mut admitted: Vec<Client> = (0..4).map(|_| connect()).collect();
    assert!(
        admitted.iter().all(|client| client.rejected_with.is_none()),
        "a connection within the limit was rejected"
    );
    let fifth = connect();
    assert_eq!(fifth.rejected_with.as_deref(), Some(TOO_MANY_CONNECTIONS));
    assert!(
        fifth.retry_after_ms.is_some_and(|ms| (1..=1_000).contains(&ms)),
        "the Retry-After time is missing or out of range: {:?}",
        fifth.retry_after_ms
    );
    assert_invalid_files_keep_the_limits(&fixture, &daemon, connect);
    // When the limit is lowered below the number of open connections, new ones are rejected and open ones are kept.
    fixture.reload(&daemon, &format!("{desk_line}admit others each 1\n"));
    assert!(daemon.wait_for_log("others 4; rejected since the start: others 2"));
    for (index, client) in admitted.iter_mut().enumerate() {
        let answer = client.request(&format!("h{index}"), 1, Kind::Write, 800).answer;
        assert!(matches!(answer, Answer::Value(_)), "an admitted client was not served: {answer:?}");
    }
    admitted.truncate(1);
    thread::sleep(Duration::from_millis(50));
    assert_eq!(
        connect().rejected_with.as_deref(),
        Some(TOO_MANY_CONNECTIONS),
        "a second connection was admitted although the limit is one"
    );
    admitted.clear();
    wait_until_admitted(connect);
    drop(daemon);
}

#[test]
fn a_full_client_class_closes_only_its_own_idle_connections() {
    let fixture = Fixture::new();
    let daemon = fixture.start("admit desk from 127.9.0.0/16 keep 9\nadmit others most 3\n");
    let connect_from = |network: u8, index: u8| {
        Client::from_address(&fixture.listen, Ipv4Addr::new(127, network, 0, index))
            .expect("the instance did not answer")
    };
    let mut desk = [connect_from(9, 1), connect_from(9, 2)];
    let others = [connect_from(60, 1), connect_from(60, 2), connect_from(60, 3)];
    assert!(
        desk.iter().chain(&others).all(|client| client.rejected_with.is_none()),
        "a connection within the limits was rejected"
    );
    // A connection that has not sent a request yet stays open for a short time. After that time the router may close
    // it to admit a new connection.
    let started = Instant::now();
    let mut address = 4;
    let mut newer = Vec::new();
    while newer.len() < 3 {
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "only {} new clients were admitted",
            newer.len()
        );
        address += 1;
        let client = connect_from(60, address);
        newer.extend(client.rejected_with.is_none().then_some(client));
        thread::sleep(Duration::from_millis(20));
    }
    for (index, client) in desk.iter_mut().enumerate() {
        let answer = client.request(&format!("k{index}"), 1, Kind::Write, 800).answer;
        assert!(
            matches!(answer, Answer::Value(_)),
            "a client of class desk was disconnected to admit a client of another class: {answer:?}"
        );
    }
    drop(daemon);
}

/// Writes a shell script that starts the router with a limit on its file descriptors, and returns the script's path.
fn write_limiting_script(fixture: &Fixture, descriptors: usize) -> PathBuf {
    let path = fixture.single_endpoint.folder.path().join("limited");
    let text = format!("#!/bin/sh\nulimit -n {descriptors}\nexec {ROUTER} \"$@\"\n");
    // A child process writes the script. If this process did, a process that another test starts meanwhile could
    // inherit the descriptor that is open for writing, and the script could not be executed (ETXTBSY).
    let command = r#"printf %s "$1" > "$2" && chmod 755 "$2""#;
    let status = std::process::Command::new("/bin/sh").args(["-c", command, "sh", &text]).arg(&path).status();
    assert!(status.expect("failed to run the shell").success(), "the shell failed to write the script");
    path
}

#[test]
fn reserved_connections_are_admitted_under_a_lower_descriptor_limit() {
    let mut fixture = Fixture::new();
    fixture.program = write_limiting_script(&fixture, 100);
    let daemon = fixture.start("admit desk from 127.9.0.0/16 keep 8\nadmit others each 3\n");
    assert!(daemon
        .wait_for_log("descriptor limit of the process is lower than configured allowed=100 configured=200"));
    let result = run_flood(&fixture);
    let log = daemon.kill();
    assert_eq!(
        (result.desk_served, result.requests_lost),
        (60, 0),
        "a client of class desk was not served, or a request was lost: {result:?}"
    );
    assert!(
        result.rejected > 0 && !log.contains("connection not accepted"),
        "no client was rejected, or a connection was not accepted: {result:?}\n{log}"
    );
}

#[test]
fn descriptor_exhaustion_rejects_new_clients_and_keeps_admitted_ones() {
    let fixture = Fixture::new();
    let daemon = fixture.start("admit desk from 127.9.0.0/16 keep 8\n");
    let connect = || Client::from_address(&fixture.listen, Ipv4Addr::new(127, 9, 0, 1));
    let mut first = connect().expect("the instance did not answer");
    // After this request the instance has a connection to its endpoint. The limit then leaves it a few more
    // descriptors, and it can use those of connections that close meanwhile, such as the connection of the warm-up.
    assert!(matches!(first.request("before", 1, Kind::Write, 800).answer, Answer::Value(_)));
    let used = std::fs::read_dir(format!("/proc/{}/fd", daemon.pid()))
        .expect("failed to list the instance's descriptors")
        .count() as u64;
    let pid = daemon.pid() as i32;
    let set_limit = |soft: u64| rlimit::prlimit(pid, rlimit::Resource::NOFILE, Some((soft, 4_096)), None);
    set_limit(used + 3).expect("failed to lower the instance's descriptor limit");
    let started = Instant::now();
    let (mut admitted, mut rejected) = (Vec::new(), 0);
    for _ in 0..30 {
        // A connection that was reset counts as neither, but its client did not have to wait.
        match connect() {
            Ok(client) if client.rejected_with.is_none() => admitted.push(client),
            Ok(client) => {
                rejected += usize::from(client.rejected_with.as_deref() == Some(TOO_MANY_CONNECTIONS));
            }
            Err(_) => {}
        }
    }
    assert!(
        started.elapsed() < Duration::from_secs(3),
        "clients waited in the accept queue: {:?}",
        started.elapsed()
    );
    assert!(
        admitted.len() <= 9 && rejected >= 20,
        "too many of 30 clients were admitted ({}), or too few rejected ({rejected})",
        admitted.len()
    );
    for (index, client) in [first].iter_mut().chain(&mut admitted).enumerate() {
        let answer = client.request(&format!("held{index}"), 1, Kind::Write, 800).answer;
        assert!(
            matches!(answer, Answer::Value(_) | Answer::Rejected(_)),
            "an admitted client was neither served nor rejected: {answer:?}"
        );
    }
    set_limit(4_096).expect("failed to raise the instance's descriptor limit");
    let started = Instant::now();
    while !connect().is_ok_and(|client| client.rejected_with.is_none()) {
        assert!(
            started.elapsed() < Duration::from_secs(2),
            "no client is admitted although descriptors are available again"
        );
    }
    assert!(daemon.wait_for_log("connection not accepted reason="));
}

#[test]
fn a_start_fails_if_reservations_exceed_the_descriptor_limit() {
    let fixture = Fixture::new();
    let mut daemon = fixture.start_without_waiting("admit desk from 127.9.0.0/16 keep 5000\n");
    assert_eq!(daemon.exit_status_within(Duration::from_secs(5)), Some(EX_CONFIG));
    assert!(
        daemon.wait_for_log("admit: the classes reserve 5000 connections (keep), more than the capacity of ")
    );
}
