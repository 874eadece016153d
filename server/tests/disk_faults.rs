//! Writes and their fates while the disk of an instance fails for a while.

mod common {
    pub mod connect;
    pub mod router_program;
}

use common::connect::connect;
use common::router_program::ROUTER;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};
use test_servers::client::{Answer, Client, Kind};
use test_servers::daemon::Daemon;
use test_servers::endpoint::free_address;
use test_servers::single_endpoint::SingleEndpoint;

/// How long a test waits for anything.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// How long after the disk works again writes must be served.
const RECOVERY_LIMIT: Duration = Duration::from_secs(2);
const TIMEOUT_MS: i64 = 900;

/// An instance with a write journal, whose disk fails while its switch is on.
struct Fixture {
    single_endpoint: SingleEndpoint,
    _instance: Daemon,
    listen: SocketAddr,
    switch: PathBuf,
}

impl Fixture {
    /// Starts an instance and waits until it serves writes. `faults` is a plan of the fault library.
    fn start(faults: &str) -> Fixture {
        let test = std::env::current_exe().expect("the test has a path");
        let fault_shim = test.with_file_name("libfault_shim.so");
        assert!(fault_shim.exists(), "the fault library was not built");
        let single_endpoint = SingleEndpoint::new(1);
        let folder = single_endpoint.folder.path().join("instance");
        let switch = folder.join("switch");
        let environment = vec![
            ("LD_PRELOAD", fault_shim.display().to_string()),
            ("FAULT_PLAN", faults.to_string()),
            ("FAULT_SWITCH", switch.display().to_string()),
        ];
        let operator_file = format!("state-dir {}\nwrite-journal disk\n", folder.join("state").display());
        let listen = free_address();
        let instance =
            single_endpoint.start_with(Path::new(ROUTER), &folder, listen, 512, &operator_file, environment);
        let fixture = Fixture { single_endpoint, _instance: instance, listen, switch };
        fixture.wait_until_served("warm", WAIT_TIMEOUT);
        fixture
    }

    fn client(&self) -> Client {
        connect(&self.listen, "backend", Some("new"))
    }

    /// Sends writes until one is served; returns its id.
    fn wait_until_served(&self, prefix: &str, timeout: Duration) -> String {
        let until = Instant::now() + timeout;
        let mut client = self.client();
        for number in 0.. {
            let id = format!("{prefix}{number}");
            if matches!(client.request(&id, 1, Kind::Write, TIMEOUT_MS).answer, Answer::Value(_)) {
                return id;
            }
            assert!(Instant::now() < until, "no write was served within {timeout:?}");
            thread::sleep(Duration::from_millis(20));
        }
        unreachable!("the loop ends by itself")
    }

    fn executions(&self, id: &str) -> usize {
        self.single_endpoint.cluster.lock().executions.get(id).map_or(0, Vec::len)
    }
}

/// Checks that writes are rejected and not executed while the disk fails, that they are served soon after it works
/// again, and that a fate that was known before is still known.
fn assert_writes_survive(faults: &str) {
    let fixture = Fixture::start(faults);
    let mut client = fixture.client();
    let origin = client.origin.clone().expect("the instance has a write journal");
    let before = client.request("before", 1, Kind::Write, TIMEOUT_MS).answer;
    assert!(matches!(before, Answer::Value(_)), "not served before the fault: {before:?}");
    std::fs::write(&fixture.switch, "").expect("the switch cannot be written");
    for number in 0..5 {
        let id = format!("during{number}");
        let answer = client.request(&id, 1, Kind::Write, TIMEOUT_MS).answer;
        let executions = fixture.executions(&id);
        let is_rejected = matches!(answer, Answer::Rejected(_));
        assert!(is_rejected == (executions == 0), "{answer:?} after {executions} executions");
    }
    std::fs::remove_file(&fixture.switch).expect("the switch cannot be removed");
    let after = fixture.wait_until_served("after", RECOVERY_LIMIT);
    for id in ["before", &after] {
        assert_eq!(fixture.executions(id), 1, "{id} was not executed exactly once");
        let fate = fixture.client().fate(id, &origin);
        assert!(matches!(fate, Answer::Value(_)), "the fate of {id}, which was executed, is {fate:?}");
    }
}

#[test]
fn writes_are_served_again_after_the_disk_was_full() {
    assert_writes_survive("file_write:ENOSPC:1");
}

#[test]
fn writes_are_served_again_after_syncs_have_failed() {
    assert_writes_survive("file_sync:EIO:1");
}
