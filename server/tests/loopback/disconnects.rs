//! Clients that disconnect, and requests during graceful shutdown. Rare interleavings are forced.

use crate::fixture::*;
use server::protocol::encode::{query, startup_message};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// Time after a client has disconnected within which its queued request may still be forwarded.
const FORWARD_WINDOW: Duration = Duration::from_millis(100);

/// Sends a write whose connection to the endpoint completes only when the returned sender is signalled.
fn held_write(router: &RouterProcess) -> (Client, Sender<()>) {
    let (open, startup_gate) = channel();
    *router.primary.startup_gate.lock().expect("no panic") = Some(startup_gate);
    let mut client = Client::open(router.listen);
    client.send(&statement("order", "good", 60_000));
    router.arrivals.recv_timeout(LIMIT).expect("its connection is being made");
    (client, open)
}

/// Lets the connection complete and returns whether the write is forwarded.
fn is_forwarded(router: &RouterProcess, open: Sender<()>) -> bool {
    thread::sleep(FORWARD_WINDOW);
    open.send(()).expect("the endpoint waits");
    let mut other = Client::open(router.listen);
    // Once a later request to the same endpoint is served, the earlier one would have been forwarded as well.
    while other.request("order", "good", 3000) != value() {}
    let statements = router.primary.statements.lock().expect("no panic");
    statements.len() > 1
}

#[test]
fn a_queued_request_is_not_forwarded_once_its_client_has_disconnected() {
    let settings = SETTINGS
        .replace(r#""probes":true"#, r#""probes":false,"dialTimeoutNs":8000000000"#)
        .replace(r#""deadlineNs":3000000000"#, r#""deadlineNs":60000000000"#);
    let closes: [fn(Client); 4] = [
        drop,
        reset,
        // A Terminate message, as sent by well-behaved clients.
        |mut client| client.0.write_all(b"X\0\0\0\x04").expect("sent"),
        |client| client.0.shutdown(Shutdown::Write).expect("still open"),
    ];
    for (index, close) in closes.into_iter().enumerate() {
        let router = RouterProcess::with_limits(1024, 192, &settings);
        let (client, open) = held_write(&router);
        close(client);
        assert!(!is_forwarded(&router, open), "disconnect {index} was not detected");
    }
}

/// Number of open file descriptors of the instance.
fn descriptors(router: &RouterProcess) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", router.child.id())).expect("a process of ours").count()
}

/// Closes a connection with a TCP reset.
fn reset(client: Client) {
    socket2::SockRef::from(&client.0).set_linger(Some(Duration::ZERO)).expect("a socket");
}

#[test]
fn a_burst_of_disconnecting_clients_releases_their_requests_and_descriptors() {
    let router = RouterProcess::start();
    while Client::open(router.listen).request("order", "good", 1000) != value() {}
    // As many slow requests as the endpoint's concurrency limit, so that later requests are queued.
    let mut busy: Vec<Client> = (0..4).map(|_| Client::open(router.listen)).collect();
    busy.iter_mut().for_each(|client| client.send(&statement("order", "slow", 3000)));
    (0..4).for_each(|_| router.arrivals.recv_timeout(LIMIT).expect("it is at work"));
    let before = descriptors(&router);
    let mut leaving: Vec<Client> = (0..40).map(|_| Client::open(router.listen)).collect();
    leaving.iter_mut().for_each(|client| client.send(&statement("order", "gone", 3000)));
    // Accepted after them: once it is connected, all of them have been accepted.
    Client::open(router.listen);
    for (index, mut client) in leaving.into_iter().enumerate() {
        match index % 4 {
            0 => drop(client),
            1 => reset(client),
            2 => client.0.write_all(b"X\0\0\0\x04").expect("sent"),
            _ => client.0.shutdown(Shutdown::Write).expect("still open"),
        }
    }
    for client in &mut busy {
        assert_eq!(client.response(), value());
    }
    assert_eq!(busy[0].request("order", "good", 3000), value(), "a request after the burst is served");
    let statements = router.primary.statements.lock().expect("no panic").clone();
    assert_eq!(
        statements.iter().filter(|text| text.contains("gone")).count(),
        0,
        "requests of disconnected clients were forwarded"
    );
    drop(statements);
    let until = Instant::now() + LIMIT;
    // A few more connections to endpoints may be open by now. Each kind of disconnect was used by ten clients.
    while descriptors(&router) >= before + 10 {
        assert!(Instant::now() < until, "{} descriptors, {before} before", descriptors(&router));
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_disconnect_is_detected_behind_a_long_pipeline_of_unread_queries() {
    let settings = SETTINGS
        .replace(r#""probes":true"#, r#""probes":false,"dialTimeoutNs":8000000000"#)
        .replace(r#""deadlineNs":3000000000"#, r#""deadlineNs":60000000000"#);
    let router = RouterProcess::with_limits(1024, 192, &settings);
    let (mut client, open) = held_write(&router);
    // The instance reads at most 64 pipelined queries, so the end of the stream is behind unread bytes.
    let mut much = Vec::new();
    (0..100).for_each(|_| query(&mut much, ";"));
    client.0.write_all(&much).expect("sent");
    drop(client);
    assert!(!is_forwarded(&router, open), "the disconnect was not detected behind unread queries");
}

/// Sends SIGTERM and waits until the instance has begun its graceful shutdown.
fn begin_shutdown(router: &RouterProcess) {
    let mut idle = Client::open(router.listen);
    router.signal("-TERM");
    assert_eq!(idle.response(), ClientResponse::Ended);
}

#[test]
fn a_client_that_sends_its_startup_message_after_shutdown_began_is_served() {
    let mut router = RouterProcess::start();
    while Client::open(router.listen).request("order", "good", 1000) != value() {}
    let mut early = TcpStream::connect(router.listen).expect("a listener");
    early.set_read_timeout(Some(LIMIT)).expect("a time-out");
    // Once this later connection is served, the first one has been accepted.
    Client::open(router.listen);
    begin_shutdown(&router);
    early.write_all(&startup_message()).expect("sent");
    let mut early = Client(early);
    early.send(&statement("order", "good", 3000));
    assert_eq!(early.response(), ClientResponse::Empty, "the end of the startup");
    assert_eq!((early.response(), early.response()), (value(), ClientResponse::Ended));
    assert!(router.ended().success());
}

#[test]
fn a_client_that_always_pipelines_is_closed_at_shutdown_and_its_later_queries_are_not_read() {
    let (mut router, mut client) = RouterProcess::start().with_client();
    while client.request("order", "good", 1000) != value() {}
    let (began, mut sent, mut answered) = (Instant::now(), 0, 0);
    let slow = || statement("order", "slow", 3000);
    for _ in 0..2 {
        client.send(&slow());
        sent += 1;
    }
    router.signal("-TERM");
    loop {
        match client.response() {
            ClientResponse::Ended => break,
            ClientResponse::Value(_) => answered += 1,
            ClientResponse::Error(code, _) => {
                assert_eq!(code, "53300", "a query that was not served may be retried");
                answered += 1;
            }
            ClientResponse::Empty => panic!("an empty response to a query"),
        }
        assert!(began.elapsed() < Duration::from_secs(5), "the connection was not closed");
        let mut out = Vec::new();
        query(&mut out, &slow());
        sent += usize::from(client.0.write_all(&out).is_ok());
    }
    assert!(router.ended().success());
    let ran = router
        .primary
        .statements
        .lock()
        .expect("no panic")
        .iter()
        .filter(|text| text.contains("slow"))
        .count();
    assert!(answered >= 2 && answered < sent, "{answered} of {sent}");
    assert!(ran <= answered, "{ran} were forwarded but only {answered} answered: queries were read and lost");
}

/// Whether the instance closed the connection before it had read all bytes, in which case the system resets it.
fn was_left_unread(client: &Client) -> bool {
    let reset = |why: std::io::Error| matches!(why.raw_os_error(), Some(libc::EPIPE | libc::ECONNRESET));
    client.0.take_error().expect("a socket").is_some_and(reset)
}

#[test]
fn a_query_sent_after_the_instance_closed_the_connection_is_not_read() {
    let mut router = RouterProcess::start();
    while Client::open(router.listen).request("order", "good", 1000) != value() {}
    let mut clients: Vec<Client> = (0..20).map(|_| Client::open(router.listen)).collect();
    for client in &mut clients {
        assert_eq!(client.request("read", "good", 1500), value());
    }
    router.signal("-TERM");
    for client in &mut clients {
        assert_eq!(client.response(), ClientResponse::Ended);
        client.send(&statement("read", "good", 1500));
    }
    assert!(router.ended().success());
    let read = clients.iter().filter(|client| !was_left_unread(client)).count();
    assert_eq!(read, 0, "of 20 queries were read after the close and never answered");
}

#[test]
fn a_query_sent_during_shutdown_does_not_cut_off_a_long_answer() {
    let (mut router, mut client) = RouterProcess::start().with_client();
    while client.request("order", "good", 1000) != value() {}
    let small = socket2::SockRef::from(&client.0);
    small.set_recv_buffer_size(4096).expect("a small window");
    client.send(&statement("read", "long", 1500));
    // The first byte has arrived, so the instance has written the whole answer. Most of it is in the socket buffers.
    client.0.peek(&mut [0]).expect("the answer begins");
    let mut idle = Client::open(router.listen);
    router.signal("-TERM");
    assert_eq!(idle.response(), ClientResponse::Ended);
    // Far longer than a tenth of the time that the client has to read the answer.
    thread::sleep(Duration::from_millis(150));
    client.send(&statement("read", "good", 1500));
    thread::sleep(Duration::from_millis(50));
    let ClientResponse::Value(value) = client.response() else { panic!("the answer was cut off") };
    assert_eq!(value.len(), 400_000);
    let mut rest = Vec::new();
    let _ = client.0.read_to_end(&mut rest);
    assert!(rest.is_empty(), "something was sent about the query after the close");
    assert!(router.ended().success());
}

#[test]
fn requests_to_hanging_endpoints_are_answered_in_time_during_shutdown() {
    let mut router = RouterProcess::without_health_checks();
    while Client::open(router.listen).request("order", "good", 1000) != value() {}
    let mut before = Client::open(router.listen);
    before.send(&statement("order", "silent", 1000));
    let sent = Instant::now();
    // SIGTERM right after SIGHUP: the reload of an unchanged file must not prevent the shutdown.
    router.signal("-HUP");
    begin_shutdown(&router);
    let mut during = Client::open(router.listen);
    during.send(&statement("order", "silent", 800));
    let mut read = Client::open(router.listen);
    read.send(&statement("read", "silent", 600));
    // A write that may have run is aborted, not rejected. A read may always be retried.
    assert_eq!(before.response(), error("58000"));
    assert!(sent.elapsed() < Duration::from_millis(1_050), "{:?}", sent.elapsed());
    assert_eq!(during.response(), error("58000"));
    let ClientResponse::Error(code, _) = read.response() else { panic!("the read was not rejected") };
    assert_eq!(code, "53300");
    assert_eq!(
        (before.response(), during.response(), read.response()),
        (ClientResponse::Ended, ClientResponse::Ended, ClientResponse::Ended)
    );
    assert!(router.ended().success());
    let statements = router.primary.statements.lock().expect("no panic").clone();
    assert_eq!(
        statements.iter().filter(|text| text.contains("silent") && text.contains("c=order")).count(),
        2
    );
}

#[test]
fn shutdown_closes_idle_connections_and_waits_for_a_half_sent_query() {
    let mut router = RouterProcess::start();
    while Client::open(router.listen).request("order", "good", 1000) != value() {}
    // One client has only connected, one has sent part of its startup message, one part of its first query.
    let plain = || TcpStream::connect(router.listen).expect("a listener");
    let mut silent = plain();
    let mut greeting = plain();
    greeting.write_all(&startup_message()[..10]).expect("sent");
    let mut begun = Client::open(router.listen);
    let mut bytes = Vec::new();
    query(&mut bytes, &statement("order", "good", 3000));
    begun.0.write_all(&bytes[..bytes.len() / 2]).expect("sent");
    thread::sleep(Duration::from_millis(50));
    begin_shutdown(&router);
    let began = Instant::now();
    // After idle connections have been closed, a query that had begun is still read.
    thread::sleep(Duration::from_millis(700));
    begun.0.write_all(&bytes[bytes.len() / 2..]).expect("the connection is still open");
    assert_eq!((begun.response(), begun.response()), (value(), ClientResponse::Ended));
    silent.set_read_timeout(Some(LIMIT)).expect("a time-out");
    assert_eq!(silent.read(&mut [0; 64]).expect("a close without a reset"), 0);
    // Its startup message is incomplete for 2.5 s, then it gets an error.
    greeting.set_read_timeout(Some(LIMIT)).expect("a time-out");
    let _ = greeting.read_to_end(&mut Vec::new());
    assert!(router.ended().success());
    assert!(began.elapsed() < Duration::from_secs(4), "{:?}", began.elapsed());
}

#[test]
fn the_timeout_sent_to_an_endpoint_does_not_exceed_the_clients_remaining_time() {
    let router = RouterProcess::without_health_checks();
    let (open, startup_gate) = channel();
    *router.primary.startup_gate.lock().expect("no panic") = Some(startup_gate);
    let mut client = Client::open(router.listen);
    let sent = Instant::now();
    client.send(&statement("order", "good", 3000));
    router.arrivals.recv_timeout(LIMIT).expect("its connection is being made");
    thread::sleep(Duration::from_millis(600));
    open.send(()).expect("the endpoint waits");
    let left = Duration::from_millis(3000).saturating_sub(sent.elapsed());
    assert_eq!(client.response(), value());
    let statements = router.primary.statements.lock().expect("no panic").remove(0);
    let deadline = statements.split(",d=").nth(1).and_then(|rest| rest.split(',').next()).expect("a time");
    let deadline = Duration::from_millis(deadline.parse().expect("a number"));
    assert!(deadline <= left + Duration::from_millis(150), "{deadline:?} sent, {left:?} left");
}
