//! Requests and signals while system calls of the instance fail as Linux documents.

use crate::disconnects::{
    assert_disconnect_is_detected_behind_unread_queries, closed_with_unread_bytes,
    settings_with_long_timeouts,
};
use crate::fixture::*;
use server::protocol::encode::{query, startup_message};
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

    /// Starts an instance and waits until it serves requests.
    fn serving(plan: &str) -> FaultyRouter {
        let faulty = FaultyRouter::start(SETTINGS, 1024, plan);
        let until = Instant::now() + WAIT_TIMEOUT;
        let mut client = Client::connect(faulty.router.listen);
        client.request_until_served("order", "good", 1000, until, "no request was served");
        faulty
    }

    /// Lets system calls succeed again.
    fn switch_off(&self) {
        std::fs::remove_file(&self.switch).expect("the switch cannot be removed");
    }

    /// Lets system calls fail from now on.
    fn switch_on(&self) {
        std::fs::write(&self.switch, "").expect("the switch cannot be written");
    }
}

#[test]
fn signals_are_handled_although_the_handler_cannot_wake_its_thread() {
    let mut faulty = FaultyRouter::serving("unix_send:EINTR:1");
    faulty.switch_on();
    faulty.router.signal("-TERM");
    assert!(faulty.router.wait_for_exit().success(), "the process did not exit by itself");
}

#[test]
fn shutdown_closes_clients_and_exits_although_accept_fails() {
    let mut faulty = FaultyRouter::serving("accept:ENFILE:1");
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

#[test]
fn the_listener_is_closed_in_time_although_clients_keep_connecting_and_accept_fails() {
    let faulty = FaultyRouter::serving("accept:ENFILE:0.95");
    faulty.switch_on();
    faulty.router.signal("-TERM");
    let signalled = Instant::now();
    // Clients keep connecting for 0.4 s after the signal, and here for longer.
    let mut waiting = Vec::new();
    while signalled.elapsed() < Duration::from_secs(2) {
        let Ok(stream) = TcpStream::connect(faulty.router.listen) else { break };
        waiting.push(stream);
        std::thread::sleep(Duration::from_millis(2));
    }
    let refused_after = signalled.elapsed();
    assert!(refused_after < Duration::from_millis(700), "connected {refused_after:?} after SIGTERM");
}

#[test]
fn the_time_that_a_request_waited_to_be_accepted_is_no_longer_left_to_it() {
    let faulty = FaultyRouter::serving("accept:ENFILE:1");
    faulty.switch_on();
    let mut stream = TcpStream::connect(faulty.router.listen).expect("the connection was refused");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("failed to set the read timeout");
    stream.write_all(&startup_and_query(&statement("order", "waited", 1000))).expect("failed to send");
    let sent = Instant::now();
    std::thread::sleep(Duration::from_millis(500));
    let remaining = Duration::from_millis(1000).saturating_sub(sent.elapsed());
    faulty.switch_off();
    let mut client = Client(stream);
    client.read_response();
    assert_eq!(client.read_response(), default_value());
    let statements = faulty.router.primary.statements.lock().expect("a stub thread panicked").clone();
    let forwarded = statements.iter().find(|text| text.contains("waited")).expect("not forwarded");
    let digits = forwarded.split(",d=").nth(1).and_then(|rest| rest.split(',').next());
    let timeout = digits.and_then(|digits| digits.parse().ok()).map(Duration::from_millis);
    let timeout = timeout.expect("the forwarded statement has no timeout");
    assert!(
        timeout <= remaining + Duration::from_millis(150),
        "a timeout of {timeout:?} was forwarded when {remaining:?} remained"
    );
}

/// Sends requests on some connections while system calls fail, and checks that each is served.
fn assert_requests_are_served(faulty: &FaultyRouter) {
    for _ in 0..10 {
        let mut client = Client::connect(faulty.router.listen);
        for _ in 0..10 {
            assert_eq!(client.request("order", "good", 3000), default_value());
        }
    }
}

#[test]
fn a_client_gets_its_answers_although_the_kernel_is_short_of_memory() {
    let faulty =
        FaultyRouter::serving("client_recv:ENOMEM:0.3;client_send:ENOBUFS:0.3;client_send:ENOMEM:0.3");
    faulty.switch_on();
    assert_requests_are_served(&faulty);
}

#[test]
fn an_answer_of_an_endpoint_is_read_although_the_kernel_is_short_of_memory() {
    let faulty = FaultyRouter::serving("peer_recv:ENOMEM:0.3;peer_send:ENOBUFS:0.3");
    faulty.switch_on();
    assert_requests_are_served(&faulty);
}

#[test]
fn a_disconnect_is_detected_although_the_poll_for_it_is_interrupted() {
    for _ in 0..5 {
        let faulty = FaultyRouter::start(&settings_with_long_timeouts(), 1024, "poll:EINTR:0.9");
        faulty.switch_on();
        assert_disconnect_is_detected_behind_unread_queries(&faulty.router);
    }
}

/// Guards against an accept loop that reads the queries of a client that it rejects, and answers only the first.
#[test]
fn a_query_of_a_client_that_is_rejected_for_lack_of_a_descriptor_stays_unread() {
    let faulty = FaultyRouter::serving("accept:ENFILE:0.6");
    faulty.switch_on();
    // All queries have arrived before the first client is accepted.
    faulty.router.signal("-STOP");
    let connect = |_| TcpStream::connect(faulty.router.listen).expect("the connection was refused");
    let mut clients: Vec<Client> = (0..40).map(connect).map(Client).collect();
    for client in &mut clients {
        let mut bytes = startup_and_query(&statement("order", "first", 2000));
        query(&mut bytes, &statement("order", "second", 2000));
        client.0.write_all(&bytes).expect("failed to send");
    }
    faulty.router.signal("-CONT");
    std::thread::sleep(Duration::from_millis(500));
    let mut rejected = 0;
    for client in &mut clients {
        // A client that is served keeps its connection, and the read ends with the timeout.
        client.0.set_read_timeout(Some(Duration::from_millis(20))).expect("failed to set the read timeout");
        if client.0.read_to_end(&mut Vec::new()).is_ok() {
            rejected += 1;
            assert!(closed_with_unread_bytes(client), "two queries were read, with one answer to both");
        }
    }
    assert!(rejected > 0, "no client was rejected");
}

/// How long after its time a request may get its answer without being lost.
const LATE_ANSWER_LIMIT: Duration = Duration::from_millis(500);

#[test]
fn a_request_is_answered_in_time_although_no_thread_can_wake_the_worker() {
    let faulty = FaultyRouter::serving("event_send:EINTR:1");
    let mut client = Client::connect(faulty.router.listen);
    faulty.switch_on();
    for timeout_ms in [200, 500, 900] {
        let sent = Instant::now();
        client.send(&statement("order", "silent", timeout_ms));
        client.read_response();
        let late = sent.elapsed().saturating_sub(Duration::from_millis(timeout_ms.into()));
        assert!(late < LATE_ANSWER_LIMIT, "a timeout of {timeout_ms} ms was answered {late:?} late");
    }
}

#[test]
fn a_request_is_sent_although_this_machine_refuses_some_connections() {
    let faulty = FaultyRouter::serving(
        "socket:ENFILE:0.5;connect:EADDRNOTAVAIL:0.3;connect:EINTR:0.3;connect:ENOBUFS:0.2",
    );
    faulty.switch_on();
    let mut client = Client::connect(faulty.router.listen);
    for _ in 0..30 {
        // The connection cannot be used again after this, so each request needs a new one.
        assert_eq!(client.request("order", "mute", 1500), default_value());
    }
}
