//! Clients that send many messages without waiting for the answers.

use crate::fixture::*;
use server::protocol::encode::query;
use std::io::Write;
use std::time::{Duration, Instant};

/// By the protocol page an answer may be this late at most.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// More than a connection handles before it writes the answers.
const MESSAGES: usize = 600;

#[test]
fn messages_that_arrive_at_once_and_are_answered_at_once_are_all_answered() {
    let router = RouterProcess::start();
    for (text, answer) in [("", ClientResponse::Empty), ("SELECT 1", error_response("42601"))] {
        let mut client = Client::connect(router.listen);
        let mut messages = Vec::new();
        (0..MESSAGES).for_each(|_| query(&mut messages, text));
        client.0.write_all(&messages).expect("failed to send");
        let sent_at = Instant::now();
        for number in 0..MESSAGES {
            assert_eq!(client.read_response(), answer, "{text:?}, message {number}");
            let took = sent_at.elapsed();
            assert!(took <= ANSWER_GRACE, "{text:?}, message {number} was answered after {took:?}");
        }
    }
}

/// The size of a large statement in bytes.
const LARGE_BYTES: usize = 100_000;

/// A statement of about [`LARGE_BYTES`] bytes.
fn large_statement(method: &str, key: &str) -> String {
    statement(method, key, 1_500) + &" ".repeat(LARGE_BYTES)
}

#[test]
fn a_client_that_pipelines_large_queries_leaves_memory_for_those_of_others() {
    // Buffers may use 4 MB, which 40 large queries in progress would fill.
    let router = RouterProcess::with_limits(1024, 12, SETTINGS);
    let mut other = Client::connect(router.listen);
    assert_eq!(other.request("read", "good", 1_500), default_value());
    let greedy = Client::connect(router.listen);
    let mut messages = Vec::new();
    (0..64).for_each(|_| query(&mut messages, &large_statement("order", "slow")));
    let writer = std::thread::spawn(move || {
        let mut greedy = greedy;
        let _ = greedy.0.write_all(&messages);
        greedy
    });
    std::thread::sleep(Duration::from_millis(300));
    for _ in 0..5 {
        other.send(&large_statement("read", "good"));
        assert_eq!(other.read_response(), default_value());
    }
    let mut greedy = writer.join().expect("the writer panicked");
    for number in 0..64 {
        let response = greedy.read_response();
        assert_ne!(response, error_response("53200"), "message {number}");
        assert_ne!(response, ClientResponse::Closed, "message {number}");
    }
}
