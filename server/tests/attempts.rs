//! Attempts on real connections, without a control loop. The tests guard against faults in the time between the last
//! check of a pooled connection and the sending of a request on it: bytes that arrive in that time must not be taken
//! for the request's answer, and a connection that the endpoint closes in that time must be replaced. The epoch that an
//! endpoint has reported on a connection must be part of the question whether the next request may be sent on it.

mod common {
    pub mod message;
    pub mod value_messages;
}

use common::message::message;
use common::value_messages::value_messages;
use may::sync::mpsc::{channel, Receiver, Sender};
use routing::time::{TimeDelta, Timestamp};
use routing::{AttemptId, AttemptOutcome};
use server::endpoints::attempt::run_attempt;
use server::endpoints::health_check::check_health;
use server::endpoints::pool::ConnectionPool;
use server::messages::control::{
    AttemptConfirmation, AttemptJob, AttemptResult, AttemptTimes, ControlMessage, OutgoingRequest,
};
use server::messages::request::RequestText;
use server::protocol::decode::first_row_value;
use server::protocol::encode::{error_response_with_code, Severity};
use server::runtime::cancellation::CancellationToken;
use server::runtime::clock::{Clock, Timers};
use server::runtime::resource_limits::ResourceLimits;
use server::runtime::tasks::spawn;
use sessions::epochs::Epoch;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SECOND: TimeDelta = TimeDelta::from_millis(1000);
/// Time within which bytes sent on loopback arrive.
const LOOPBACK_DELAY: Duration = Duration::from_millis(50);
/// Length of the body of the empty query, which is only a terminating zero. The router sends the empty query to check
/// whether a connection is alive.
const EMPTY_QUERY_BYTES: usize = 1;

/// Encodes a complete answer with a value.
fn complete_answer(value: &[u8]) -> Vec<u8> {
    [value_messages(value), message(b'Z', b"I")].concat()
}

/// Encodes a complete answer of a primary that consists of `result`, with the epoch [`EPOCH`].
fn answer_with_epoch(result: Vec<u8>) -> Vec<u8> {
    let role = message(b'S', b"recovery\0off\0");
    let epoch = message(b'S', b"epoch\x002@1790000000000\0");
    [result, role, epoch, message(b'Z', b"I")].concat()
}

/// The epoch that [`answer_with_epoch`] reports.
const EPOCH: Epoch = Epoch { number: 2, start_position: Some(Timestamp(1_790_000_000_000_000_000)) };

/// Encodes an error of an endpoint that has failed to execute a statement.
fn internal_error() -> Vec<u8> {
    let mut error = Vec::new();
    error_response_with_code(&mut error, Severity::Error, "XX000", "failed", None);
    error
}

/// Encodes an endpoint's answer to a statement, whose number among all statements is the parameter.
type EncodeAnswer = fn(u8) -> Vec<u8>;

/// An endpoint that answers each statement with the number of statements so far, and gives the test access to the
/// first connection that it accepted.
struct CountingEndpoint {
    addr: SocketAddr,
    first_connection: Arc<Mutex<Option<TcpStream>>>,
    /// For each statement, the index of the connection on which it was executed.
    executed_on: Arc<Mutex<Vec<usize>>>,
}

impl CountingEndpoint {
    /// Starts an endpoint that answers with the number of statements so far and reports nothing about itself.
    fn start() -> CountingEndpoint {
        CountingEndpoint::with_answers(|count| complete_answer(&[count]))
    }

    fn with_answers(encode_answer: EncodeAnswer) -> CountingEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("failed to listen on loopback");
        let addr = listener.local_addr().expect("failed to read the listener's address");
        let endpoint =
            CountingEndpoint { addr, first_connection: Arc::default(), executed_on: Arc::default() };
        let first_connection = endpoint.first_connection.clone();
        let executed_on = endpoint.executed_on.clone();
        thread::spawn(move || {
            for (index, stream) in listener.incoming().flatten().enumerate() {
                if index == 0 {
                    *first_connection.lock().expect("an endpoint thread panicked") = stream.try_clone().ok();
                }
                let executed_on = executed_on.clone();
                thread::spawn(move || serve_connection(stream, index, &executed_on, encode_answer));
            }
        });
        endpoint
    }

    /// Whether the endpoint has accepted a connection.
    fn was_connected_to(&self) -> bool {
        self.first_connection.lock().expect("an endpoint thread panicked").is_some()
    }
}

/// Answers the statements of a connection until it ends.
fn serve_connection(
    mut stream: TcpStream,
    index: usize,
    executed_on: &Mutex<Vec<usize>>,
    encode_answer: EncodeAnswer,
) -> Option<()> {
    read_body(&mut stream)?;
    stream.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat()).ok()?;
    loop {
        let mut tag = [0];
        stream.read_exact(&mut tag).ok()?;
        let body = read_body(&mut stream)?;
        let response = if body.len() == EMPTY_QUERY_BYTES {
            [message(b'I', b""), message(b'Z', b"I")].concat()
        } else {
            let mut executed_on = executed_on.lock().expect("an endpoint thread panicked");
            executed_on.push(index);
            encode_answer(executed_on.len() as u8)
        };
        stream.write_all(&response).ok()?;
    }
}

/// Reads a length field and the body that it describes.
fn read_body(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut body = vec![0; u32::from_be_bytes(length) as usize - 4];
    stream.read_exact(&mut body).ok()?;
    Some(body)
}

/// A connection pool, and the channel on which the test receives an attempt's messages in place of a control loop.
struct Fixture {
    pool: Arc<ConnectionPool>,
    control: Sender<ControlMessage>,
    messages: Receiver<ControlMessage>,
    /// The time that each attempt has.
    attempt_timeout: TimeDelta,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture::with_attempt_timeout(SECOND * 5)
    }

    fn with_attempt_timeout(attempt_timeout: TimeDelta) -> Fixture {
        may::config().set_workers(1).set_stack_size(16 << 10).set_worker_pin(false);
        let timers = Arc::new(Timers::start(Clock::start()));
        let resources = ResourceLimits::new(64, 1 << 20, false);
        let pool = Arc::new(ConnectionPool::new(timers, resources, SECOND, SECOND * 30));
        let (control, messages) = channel();
        Fixture { pool, control, messages, attempt_timeout }
    }

    /// Runs one attempt and returns its result. Calls `before_sending` when the attempt first asks for confirmation,
    /// and confirms it after that.
    fn run_attempt(&self, endpoint: &CountingEndpoint, before_sending: impl Fn()) -> AttemptResult {
        self.run_cancellable_attempt(Arc::default(), endpoint, |_| before_sending())
    }

    /// Runs one attempt and returns the epoch with which it asks for confirmation.
    fn epoch_before_sending(&self, endpoint: &CountingEndpoint) -> Option<Epoch> {
        let asked = Cell::new(None);
        self.run_cancellable_attempt(Arc::default(), endpoint, |confirmation| asked.set(confirmation.epoch));
        asked.get()
    }

    /// Runs a health check.
    fn check_health(&self, endpoint: &CountingEndpoint) {
        let (pool, control, addr) = (self.pool.clone(), self.control.clone(), endpoint.addr);
        spawn(move || check_health(&pool, control, 0, addr, SECOND));
        let message = self.messages.recv().expect("the health check ended without a result");
        assert!(matches!(message, ControlMessage::HealthCheckEnded(_)), "no result of the health check");
    }

    /// Runs one attempt as [`Fixture::run_attempt`], with a cancellation token.
    fn run_cancellable_attempt(
        &self,
        cancellation: Arc<CancellationToken>,
        endpoint: &CountingEndpoint,
        before_sending: impl Fn(&AttemptConfirmation),
    ) -> AttemptResult {
        let job = self.attempt_job(cancellation, endpoint);
        let (pool, control) = (self.pool.clone(), self.control.clone());
        let (done, finished) = std::sync::mpsc::channel();
        spawn(move || {
            run_attempt(&pool, None, control, &job);
            let _ = done.send(());
        });
        let mut is_first_confirmation = true;
        loop {
            match self.messages.recv().expect("the attempt ended without a result") {
                ControlMessage::ConfirmAttempt(confirmation) => {
                    if std::mem::take(&mut is_first_confirmation) {
                        before_sending(&confirmation);
                    }
                    confirmation.reply.send(true).expect("the attempt does not wait for confirmation");
                }
                ControlMessage::AttemptEnded(result) => {
                    // The connection returns to the pool after the result was sent, and before the attempt finishes.
                    finished.recv_timeout(Duration::from_secs(5)).expect("the attempt did not finish");
                    return *result;
                }
                _ => panic!("the attempt sent a message other than a confirmation or its result"),
            }
        }
    }

    /// An attempt of a read.
    fn attempt_job(&self, cancellation: Arc<CancellationToken>, endpoint: &CountingEndpoint) -> AttemptJob {
        let body = b"SELECT d=5\0".to_vec();
        let charge = ResourceLimits::new(1, 1 << 20, false).buffer_charge();
        let started_at = self.pool.timers.now();
        AttemptJob {
            attempt: AttemptId { request: 1, number: 0, endpoint: 0 },
            addr: endpoint.addr,
            times: AttemptTimes { started_at, deadline: started_at + self.attempt_timeout },
            outgoing: OutgoingRequest {
                text: Arc::new(RequestText { body, timeout_digits: 9..10, charge }),
                journal_entry: None,
                needs_epoch: false,
            },
            cancellation,
        }
    }
}

/// Result of the second of two attempts.
#[derive(Debug, PartialEq, Eq)]
struct SecondAttemptResult {
    outcome: AttemptOutcome,
    value: Vec<u8>,
    /// For each statement of both attempts, the index of the connection on which it was executed.
    executed_on: Vec<usize>,
}

impl SecondAttemptResult {
    /// The second attempt received its own answer, on the connection with this index.
    fn succeeded_on(connection: usize) -> SecondAttemptResult {
        SecondAttemptResult {
            outcome: AttemptOutcome::Succeeded,
            value: vec![2],
            executed_on: vec![0, connection],
        }
    }
}

/// Runs two attempts. Calls `before_second` with the endpoint's side of the first connection right before the request
/// of the second attempt is sent.
fn run_second_attempt(before_second: fn(&mut TcpStream)) -> SecondAttemptResult {
    let (fixture, endpoint) = (Fixture::new(), CountingEndpoint::start());
    let first = fixture.run_attempt(&endpoint, || {});
    assert_eq!((first.outcome, first_row_value(&first.value)), (AttemptOutcome::Succeeded, Some(&[1][..])));
    // The router sends the empty query on the connection; its answer must arrive before the second attempt.
    thread::sleep(LOOPBACK_DELAY);
    let result = fixture.run_attempt(&endpoint, || {
        before_second(
            endpoint
                .first_connection
                .lock()
                .expect("an endpoint thread panicked")
                .as_mut()
                .expect("the endpoint accepted no connection"),
        );
        thread::sleep(LOOPBACK_DELAY);
    });
    let executed_on = endpoint.executed_on.lock().expect("an endpoint thread panicked").clone();
    let value = first_row_value(&result.value).unwrap_or_default().to_vec();
    SecondAttemptResult { outcome: result.outcome, value, executed_on }
}

#[test]
fn bytes_received_before_a_request_is_sent_are_not_part_of_its_answer() {
    let send_complete_answer = |stream: &mut TcpStream| {
        stream.write_all(&complete_answer(b"another's")).expect("failed to send");
    };
    assert_eq!(
        run_second_attempt(send_complete_answer),
        SecondAttemptResult::succeeded_on(1),
        "the result is wrong after a complete answer arrived early"
    );
    let send_partial_answer = |stream: &mut TcpStream| {
        stream.write_all(&complete_answer(b"another's")[..40]).expect("failed to send");
    };
    assert_eq!(
        run_second_attempt(send_partial_answer),
        SecondAttemptResult::succeeded_on(1),
        "the result is wrong after a part of an answer arrived early"
    );
    let send_position = |stream: &mut TcpStream| {
        stream.write_all(&message(b'S', b"lsn_ms\x001790000000000\0")).expect("failed to send");
    };
    assert_eq!(
        run_second_attempt(send_position),
        SecondAttemptResult::succeeded_on(1),
        "the result is wrong after a position arrived early"
    );
}

#[test]
fn a_request_uses_a_new_connection_if_the_pooled_one_was_closed() {
    let close =
        |stream: &mut TcpStream| stream.shutdown(Shutdown::Both).expect("the connection was closed before");
    assert_eq!(run_second_attempt(close), SecondAttemptResult::succeeded_on(1));
    assert_eq!(
        run_second_attempt(|_| {}),
        SecondAttemptResult::succeeded_on(0),
        "a pooled connection that stays open is not reused"
    );
}

/// Guards against a connection that counts as one whose epoch is known, although the control loop, which compares it with
/// what sessions have seen, was not told of it: by a health check, a failed request, or before its state was replaced.
#[test]
fn an_epoch_that_any_answer_has_reported_is_part_of_the_next_confirmation_on_its_connection() {
    let after_value = CountingEndpoint::with_answers(|count| answer_with_epoch(value_messages(&[count])));
    let after_error = CountingEndpoint::with_answers(|_| answer_with_epoch(internal_error()));
    for endpoint in [after_value, after_error] {
        let fixture = Fixture::new();
        assert_eq!(fixture.epoch_before_sending(&endpoint), None, "nothing was reported yet");
        assert_eq!(fixture.epoch_before_sending(&endpoint), Some(EPOCH));
    }
    let checked = CountingEndpoint::with_answers(|count| answer_with_epoch(value_messages(&[count])));
    let fixture = Fixture::new();
    fixture.check_health(&checked);
    assert_eq!(fixture.epoch_before_sending(&checked), Some(EPOCH), "not known after a health check");
}

#[test]
fn an_attempt_cancelled_before_connecting_opens_no_connection() {
    let (fixture, endpoint) = (Fixture::new(), CountingEndpoint::start());
    let cancellation = Arc::new(CancellationToken::default());
    cancellation.cancel();
    let result = fixture.run_cancellable_attempt(cancellation, &endpoint, |_| {
        panic!("a cancelled attempt asked for confirmation")
    });
    assert_eq!(result.outcome, AttemptOutcome::NotSent);
    thread::sleep(LOOPBACK_DELAY);
    assert!(!endpoint.was_connected_to(), "a connection was opened for a cancelled attempt");
}

/// More than the time for which a connection's timer is set at a time.
const LONGEST_TIMER: Duration = Duration::from_millis(3_500);

#[test]
fn timers_of_attempts_that_have_ended_do_not_stay_until_a_deadline_far_away() {
    let (fixture, endpoint) = (Fixture::with_attempt_timeout(SECOND * 86_400), CountingEndpoint::start());
    for _ in 0..20 {
        assert_eq!(fixture.run_attempt(&endpoint, || {}).outcome, AttemptOutcome::Succeeded);
    }
    thread::sleep(LONGEST_TIMER);
    assert_eq!(fixture.pool.timers.pending(), 0, "timers are still set");
}

#[test]
fn an_attempt_times_out_at_a_deadline_that_is_later_than_its_first_timer() {
    let fixture = Fixture::with_attempt_timeout(SECOND * 4);
    let silent = CountingEndpoint::with_answers(|_| Vec::new());
    let started = Instant::now();
    assert_eq!(fixture.run_attempt(&silent, || {}).outcome, AttemptOutcome::TimedOut);
    let took = started.elapsed();
    assert!(
        took >= Duration::from_secs(4) && took < Duration::from_millis(4_500),
        "timed out after {took:?}"
    );
}
