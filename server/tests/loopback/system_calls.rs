//! Requests and signals while system calls of the instance fail as Linux documents.

use crate::fixture::*;
use std::path::{Path, PathBuf};

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
        std::time::Instant::now() + WAIT_TIMEOUT,
        "no request was served",
    );
    faulty.switch_on();
    faulty.router.signal("-TERM");
    assert!(faulty.router.wait_for_exit().success(), "the process did not exit by itself");
}
