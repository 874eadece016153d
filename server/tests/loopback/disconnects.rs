//! Clients that disconnect, and requests during graceful shutdown. The stub endpoints force rare orders of events.

use crate::fixture::*;
use server::protocol::encode::{query, startup_message};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// Time that the instance has to detect a disconnect before the endpoint accepts the queued request.
const DETECTION_TIME: Duration = Duration::from_millis(100);

/// Number of clients that send one request and disconnect at once: far more than the endpoints' concurrency limits.
const LEAVING_CLIENTS: usize = 80;

/// Sends a write whose connection to the endpoint completes only after a message to the returned sender.
fn send_gated_write(router: &RouterProcess) -> (Client, Sender<()>) {
    let (open_gate, startup_gate) = channel();
    *router.primary.startup_gate.lock().expect("a stub thread panicked") = Some(startup_gate);
    let mut client = Client::connect(router.listen);
    client.send(&statement("order", "good", 60_000));
    router.arrivals.recv_timeout(WAIT_TIMEOUT).expect("no startup message reached the endpoint");
    (client, open_gate)
}

/// Lets the connection to the endpoint complete and returns whether the write is forwarded.
fn is_forwarded_after_connecting(router: &RouterProcess, open_gate: Sender<()>) -> bool {
    thread::sleep(DETECTION_TIME);
    open_gate.send(()).expect("the endpoint does not wait for the gate");
    let mut other_client = Client::connect(router.listen);
    // Once a later request to the same endpoint has been served, the earlier one would have been forwarded as well.
    while other_client.request("order", "good", 3000) != default_value() {}
    let statements = router.primary.statements.lock().expect("a stub thread panicked");
    statements.len() > 1
}

#[test]
fn a_queued_request_is_not_forwarded_once_its_client_has_disconnected() {
    let settings = SETTINGS
        .replace(r#""probes":true"#, r#""probes":false,"dialTimeoutNs":8000000000"#)
        .replace(r#""deadlineNs":3000000000"#, r#""deadlineNs":60000000000"#);
    let disconnects: [fn(Client); 4] = [
        drop,
        reset_connection,
        // A Terminate message, which well-behaved clients send.
        |mut client| client.0.write_all(b"X\0\0\0\x04").expect("failed to send"),
        |client| client.0.shutdown(Shutdown::Write).expect("the connection is closed"),
    ];
    for (index, disconnect) in disconnects.into_iter().enumerate() {
        let router = RouterProcess::with_limits(1024, 192, &settings);
        let (client, open_gate) = send_gated_write(&router);
        disconnect(client);
        assert!(
            !is_forwarded_after_connecting(&router, open_gate),
            "the request was forwarded after disconnect {index}"
        );
    }
}

/// The number of open file descriptors of the instance.
fn open_descriptors(router: &RouterProcess) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", router.child.id()))
        .expect("failed to list the descriptors")
        .count()
}

/// Closes a connection with a TCP reset.
fn reset_connection(client: Client) {
    socket2::SockRef::from(&client.0).set_linger(Some(Duration::ZERO)).expect("a socket option failed");
}

#[test]
fn a_burst_of_disconnects_releases_requests_and_descriptors() {
    let router = RouterProcess::start();
    while Client::connect(router.listen).request("order", "good", 1000) != default_value() {}
    // There are as many slow requests as the endpoint's concurrency limit, so that later requests are queued.
    let mut busy: Vec<Client> = (0..4).map(|_| Client::connect(router.listen)).collect();
    busy.iter_mut().for_each(|client| client.send(&statement("order", "slow", 3000)));
    for _ in 0..4 {
        router.arrivals.recv_timeout(WAIT_TIMEOUT).expect("a slow statement did not reach the endpoint");
    }
    let before = open_descriptors(&router);
    let mut leaving: Vec<Client> = (0..40).map(|_| Client::connect(router.listen)).collect();
    leaving.iter_mut().for_each(|client| client.send(&statement("order", "gone", 3000)));
    // Connections are accepted in order: once this one has been accepted, all of the above have been accepted as well.
    Client::connect(router.listen);
    for (index, mut client) in leaving.into_iter().enumerate() {
        match index % 4 {
            0 => drop(client),
            1 => reset_connection(client),
            2 => client.0.write_all(b"X\0\0\0\x04").expect("failed to send"),
            _ => client.0.shutdown(Shutdown::Write).expect("the connection is closed"),
        }
    }
    for client in &mut busy {
        assert_eq!(client.read_response(), default_value());
    }
    assert_eq!(busy[0].request("order", "good", 3000), default_value(), "not served after the burst");
    let statements = router.primary.statements.lock().expect("a stub thread panicked").clone();
    assert_eq!(
        statements.iter().filter(|text| text.contains("gone")).count(),
        0,
        "requests of disconnected clients were forwarded"
    );
    drop(statements);
    let until = Instant::now() + WAIT_TIMEOUT;
    // A few more connections to endpoints may be open by now. Each kind of disconnect was used by ten clients.
    while open_descriptors(&router) >= before + 10 {
        assert!(
            Instant::now() < until,
            "{} descriptors, {before} before the burst",
            open_descriptors(&router)
        );
        thread::sleep(Duration::from_millis(5));
    }
}

/// The settings of the tests with long timeouts and without health checks, so that a write can wait for its connection.
pub fn settings_with_long_timeouts() -> String {
    SETTINGS
        .replace(r#""probes":true"#, r#""probes":false,"dialTimeoutNs":8000000000"#)
        .replace(r#""deadlineNs":3000000000"#, r#""deadlineNs":60000000000"#)
}

#[test]
fn a_disconnect_is_detected_behind_a_long_pipeline_of_unread_queries() {
    let router = RouterProcess::with_limits(1024, 192, &settings_with_long_timeouts());
    assert_disconnect_is_detected_behind_unread_queries(&router);
}

/// Checks that a write is not forwarded after its client has disconnected behind queries that the instance does not read.
pub fn assert_disconnect_is_detected_behind_unread_queries(router: &RouterProcess) {
    let (mut client, open_gate) = send_gated_write(router);
    // The instance reads at most 64 pipelined queries, so the end of the stream is behind unread bytes.
    let mut pipeline = Vec::new();
    (0..100).for_each(|_| query(&mut pipeline, ";"));
    client.0.write_all(&pipeline).expect("failed to send");
    drop(client);
    assert!(
        !is_forwarded_after_connecting(router, open_gate),
        "the request was forwarded: its client's disconnect behind unread queries was not detected"
    );
}

/// Guards against an instance that rejects every request for good after clients have sent one request and closed their
/// connection at once.
#[test]
fn requests_are_served_after_clients_have_disconnected_right_after_sending() {
    let (router, mut client) = RouterProcess::start().with_client();
    let until = Instant::now() + WAIT_TIMEOUT;
    client.request_until_served("order", "good", 1000, until, "the primary was not found");
    for index in 0..LEAVING_CLIENTS {
        let method = if index % 2 == 0 { "order" } else { "read" };
        let mut stream = TcpStream::connect(router.listen).expect("the connection was refused");
        stream.write_all(&startup_and_query(&statement(method, "good", 3000))).expect("failed to send");
        drop(stream);
    }
    // Once this later connection is served, those above have been accepted.
    Client::connect(router.listen);
    assert_eq!(client.request("order", "good", 3000), default_value(), "a write is not served");
    assert_eq!(client.request("read", "good", 1500), default_value(), "a read is not served");
}

/// Sends SIGTERM and waits until the instance has begun its graceful shutdown.
pub fn begin_shutdown(router: &RouterProcess) {
    let mut idle = Client::connect(router.listen);
    router.signal("-TERM");
    assert_eq!(idle.read_response(), ClientResponse::Closed);
}

#[test]
fn a_startup_message_sent_after_shutdown_began_is_served() {
    let mut router = RouterProcess::start();
    while Client::connect(router.listen).request("order", "good", 1000) != default_value() {}
    let mut early = TcpStream::connect(router.listen).expect("the connection was refused");
    early.set_read_timeout(Some(WAIT_TIMEOUT)).expect("failed to set the read timeout");
    // Once this later connection is served, the first one has been accepted.
    Client::connect(router.listen);
    begin_shutdown(&router);
    early.write_all(&startup_message()).expect("failed to send");
    let mut early = Client(early);
    early.send(&statement("order", "good", 3000));
    assert_eq!(early.read_response(), ClientResponse::Empty, "the startup message was not answered");
    assert_eq!((early.read_response(), early.read_response()), (default_value(), ClientResponse::Closed));
    assert!(router.wait_for_exit().success());
}

#[test]
fn shutdown_closes_a_pipelining_client_and_leaves_later_queries_unread() {
    let (mut router, mut client) = RouterProcess::start().with_client();
    while client.request("order", "good", 1000) != default_value() {}
    let (began, mut sent, mut answered) = (Instant::now(), 0, 0);
    let slow_statement = || statement("order", "slow", 3000);
    for _ in 0..2 {
        client.send(&slow_statement());
        sent += 1;
    }
    router.signal("-TERM");
    loop {
        match client.read_response() {
            ClientResponse::Closed => break,
            ClientResponse::Value(_) => answered += 1,
            ClientResponse::Error(code, _) => {
                assert_eq!(code, "53300", "a query that was not served must be rejected");
                answered += 1;
            }
            ClientResponse::Empty => panic!("a query got an empty response"),
        }
        assert!(began.elapsed() < Duration::from_secs(5), "the connection was not closed");
        let mut out = Vec::new();
        query(&mut out, &slow_statement());
        sent += usize::from(client.0.write_all(&out).is_ok());
    }
    assert!(router.wait_for_exit().success());
    let statements = router.primary.statements.lock().expect("a stub thread panicked").clone();
    let forwarded = statements.iter().filter(|text| text.contains("slow")).count();
    assert!(
        answered >= 2 && answered < sent,
        "{answered} of {sent} queries were answered: at least 2 and not all are expected"
    );
    assert!(
        forwarded <= answered,
        "{forwarded} queries were forwarded but only {answered} answered: queries were read and lost"
    );
}

/// Whether the instance closed the connection before it had read all bytes. The operating system then resets it.
pub fn closed_with_unread_bytes(client: &Client) -> bool {
    let is_reset =
        |error: std::io::Error| matches!(error.raw_os_error(), Some(libc::EPIPE | libc::ECONNRESET));
    client.0.take_error().expect("a socket option failed").is_some_and(is_reset)
}

#[test]
fn a_query_sent_after_the_instance_closed_the_connection_is_not_read() {
    let mut router = RouterProcess::start();
    while Client::connect(router.listen).request("order", "good", 1000) != default_value() {}
    let mut clients: Vec<Client> = (0..20).map(|_| Client::connect(router.listen)).collect();
    for client in &mut clients {
        assert_eq!(client.request("read", "good", 1500), default_value());
    }
    router.signal("-TERM");
    for client in &mut clients {
        assert_eq!(client.read_response(), ClientResponse::Closed);
        client.send(&statement("read", "good", 1500));
    }
    assert!(router.wait_for_exit().success());
    let read = clients.iter().filter(|client| !closed_with_unread_bytes(client)).count();
    assert_eq!(read, 0, "some of 20 queries were read after the close and not answered");
}

#[test]
fn a_query_sent_during_shutdown_does_not_truncate_a_long_answer() {
    let (mut router, mut client) = RouterProcess::start().with_client();
    while client.request("order", "good", 1000) != default_value() {}
    let socket = socket2::SockRef::from(&client.0);
    socket.set_recv_buffer_size(4096).expect("failed to set the receive buffer size");
    client.send(&statement("read", "long", 1500));
    // Once the first byte has arrived, the instance has written the whole answer. Most of it is in the socket buffers.
    client.0.peek(&mut [0]).expect("no answer arrived");
    let mut idle = Client::connect(router.listen);
    router.signal("-TERM");
    assert_eq!(idle.read_response(), ClientResponse::Closed);
    // This is far longer than a tenth of the time that the client has to read the answer.
    thread::sleep(Duration::from_millis(150));
    client.send(&statement("read", "good", 1500));
    thread::sleep(Duration::from_millis(50));
    let ClientResponse::Value(value) = client.read_response() else { panic!("the answer was truncated") };
    assert_eq!(value.len(), 400_000, "the answer was truncated");
    let mut rest = Vec::new();
    let _ = client.0.read_to_end(&mut rest);
    assert!(rest.is_empty(), "the query after the close got a response");
    assert!(router.wait_for_exit().success());
}

#[test]
fn requests_to_hanging_endpoints_are_answered_in_time_during_shutdown() {
    let mut router = RouterProcess::without_health_checks();
    while Client::connect(router.listen).request("order", "good", 1000) != default_value() {}
    let mut before = Client::connect(router.listen);
    before.send(&statement("order", "silent", 1000));
    let sent = Instant::now();
    // The shutdown signal comes right after SIGHUP: the reload of an unchanged file must not prevent the shutdown.
    router.signal("-HUP");
    begin_shutdown(&router);
    let mut during = Client::connect(router.listen);
    during.send(&statement("order", "silent", 800));
    let mut read = Client::connect(router.listen);
    read.send(&statement("read", "silent", 600));
    // A write that may have run is aborted, not rejected. A read may always be retried.
    assert_eq!(before.read_response(), error_response("58000"));
    assert!(
        sent.elapsed() < Duration::from_millis(1_050),
        "a write with a timeout of 1 s was answered after {:?}",
        sent.elapsed()
    );
    assert_eq!(during.read_response(), error_response("58000"));
    let ClientResponse::Error(code, _) = read.read_response() else { panic!("the read was not rejected") };
    assert_eq!(code, "53300");
    assert_eq!(
        (before.read_response(), during.read_response(), read.read_response()),
        (ClientResponse::Closed, ClientResponse::Closed, ClientResponse::Closed)
    );
    assert!(router.wait_for_exit().success());
    let statements = router.primary.statements.lock().expect("a stub thread panicked").clone();
    let writes = statements.iter().filter(|text| text.contains("silent") && text.contains("c=order"));
    assert_eq!(writes.count(), 2, "the two writes were not forwarded once each");
}

#[test]
fn shutdown_closes_idle_connections_and_waits_for_a_half_sent_query() {
    let mut router = RouterProcess::start();
    while Client::connect(router.listen).request("order", "good", 1000) != default_value() {}
    // The first client only connects, the second sends part of its startup message, the third part of its first query.
    let tcp_connect = || TcpStream::connect(router.listen).expect("the connection was refused");
    let mut silent = tcp_connect();
    let mut half_started = tcp_connect();
    half_started.write_all(&startup_message()[..10]).expect("failed to send");
    let mut half_sent = Client::connect(router.listen);
    let mut bytes = Vec::new();
    query(&mut bytes, &statement("order", "good", 3000));
    half_sent.0.write_all(&bytes[..bytes.len() / 2]).expect("failed to send");
    thread::sleep(Duration::from_millis(50));
    begin_shutdown(&router);
    let began = Instant::now();
    // After idle connections have been closed, the rest of a half-sent query is still read.
    thread::sleep(Duration::from_millis(700));
    half_sent.0.write_all(&bytes[bytes.len() / 2..]).expect("the connection is closed");
    assert_eq!(
        (half_sent.read_response(), half_sent.read_response()),
        (default_value(), ClientResponse::Closed)
    );
    silent.set_read_timeout(Some(WAIT_TIMEOUT)).expect("failed to set the read timeout");
    assert_eq!(silent.read(&mut [0; 64]).expect("the connection was reset"), 0);
    // A startup message that is still incomplete after 2.5 s gets an error.
    half_started.set_read_timeout(Some(WAIT_TIMEOUT)).expect("failed to set the read timeout");
    let _ = half_started.read_to_end(&mut Vec::new());
    assert!(router.wait_for_exit().success());
    assert!(
        began.elapsed() < Duration::from_secs(4),
        "the shutdown took {:?}, longer than 4 s",
        began.elapsed()
    );
}

#[test]
fn the_forwarded_timeout_does_not_exceed_the_remaining_time() {
    let router = RouterProcess::without_health_checks();
    let (open_gate, startup_gate) = channel();
    *router.primary.startup_gate.lock().expect("a stub thread panicked") = Some(startup_gate);
    let mut client = Client::connect(router.listen);
    let sent = Instant::now();
    client.send(&statement("order", "good", 3000));
    router.arrivals.recv_timeout(WAIT_TIMEOUT).expect("no startup message reached the endpoint");
    thread::sleep(Duration::from_millis(600));
    open_gate.send(()).expect("the endpoint does not wait for the gate");
    let remaining = Duration::from_millis(3000).saturating_sub(sent.elapsed());
    assert_eq!(client.read_response(), default_value());
    let forwarded = router.primary.statements.lock().expect("a stub thread panicked").remove(0);
    let timeout = forwarded
        .split(",d=")
        .nth(1)
        .and_then(|rest| rest.split(',').next())
        .expect("the forwarded statement has no timeout");
    let timeout = Duration::from_millis(timeout.parse().expect("the timeout is not a number"));
    assert!(
        timeout <= remaining + Duration::from_millis(150),
        "a timeout of {timeout:?} was forwarded when {remaining:?} remained"
    );
}
