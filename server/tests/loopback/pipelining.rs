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
