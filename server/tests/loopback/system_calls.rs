//! Requests and signals while system calls of the instance fail as Linux documents.

use crate::fixture::*;
use server::protocol::encode::startup_message;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The fault library, which cargo builds as a dependency of the tests.
fn fault_shim() -> PathBuf {
    let test = std::env::current_exe().expect("the test has a path");
    let folder = test.parent().expect("the test is in a directory");
    folder.join("libfault_shim.so")
}

/// An instance whose system calls fail while its switch is on.
struct FaultyRouter {
    router: RouterProcess,
    switch: PathBuf,
    _folder: tempfile::TempDir,
}

impl FaultyRouter {
    /// Starts an instance with settings in JSON and the faults of a plan of the fault library. The switch is off.
    fn start(settings: &str, limit_sockets: usize, plan: &str) -> FaultyRouter {
        assert!(fault_shim().exists(), "the fault library was not built");
        let folder = tempfile::tempdir().expect("no temporary directory");
        let switch = folder.path().join("switch");
        let display = |path: &Path| path.display().to_string();
        let environment = [
            ("LD_PRELOAD", display(&fault_shim())),
            ("FAULT_PLAN", plan.to_string()),
            ("FAULT_SWITCH", display(&switch)),
        ];
        let router = RouterProcess::with_environment(limit_sockets, 192, settings, &environment);
        FaultyRouter { router, switch, _folder: folder }
    }

    /// Lets system calls fail from now on.
    fn switch_on(&self) {
        std::fs::write(&self.switch, "").expect("the switch cannot be written");
    }
}

#[test]
fn signals_are_handled_although_the_handler_cannot_wake_its_thread() {
    let mut faulty = FaultyRouter::start(SETTINGS, 1024, "unix_send:EINTR:1");
    Client::connect(faulty.router.listen).request_until_served(
        "read",
        "good",
        1000,
        Instant::now() + WAIT_TIMEOUT,
        "no request was served",
    );
    faulty.switch_on();
    faulty.router.signal("-TERM");
    assert!(faulty.router.wait_for_exit().success(), "the process did not exit by itself");
}

#[test]
fn shutdown_closes_clients_and_exits_although_accept_fails() {
    let mut faulty = FaultyRouter::start(SETTINGS, 1024, "accept:ENFILE:1");
    Client::connect(faulty.router.listen).request_until_served(
        "read",
        "good",
        1000,
        Instant::now() + WAIT_TIMEOUT,
        "no request was served",
    );
    let mut never_queried = TcpStream::connect(faulty.router.listen).expect("the connection was refused");
    never_queried.set_read_timeout(Some(WAIT_TIMEOUT)).expect("failed to set the read timeout");
    never_queried.write_all(&startup_message()).expect("failed to send");
    never_queried.read_exact(&mut [0]).expect("the startup message was not answered");
    faulty.switch_on();
    // Arrives while accept(2) fails, so the listen queue stays filled.
    let _waiting = TcpStream::connect(faulty.router.listen).expect("the connection was refused");
    faulty.router.signal("-TERM");
    let signalled = Instant::now();
    let _ = never_queried.read_to_end(&mut Vec::new());
    let closed_after = signalled.elapsed();
    assert!(closed_after < Duration::from_millis(700), "closed {closed_after:?} after SIGTERM");
    assert!(faulty.router.wait_for_exit().success(), "the process did not exit by itself");
}
