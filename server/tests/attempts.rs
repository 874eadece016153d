//! Attempts on real connections, without a control loop: events between the last check of a pooled connection and the
//! sending of a request on it.

mod common {
    pub mod message;
    pub mod value_messages;
}

use common::message::message;
use common::value_messages::value_messages;
use may::sync::mpsc::{channel, Receiver, Sender};
use routing::time::TimeDelta;
use routing::{AttemptId, AttemptOutcome};
use server::endpoints::attempt::run_attempt;
use server::endpoints::pool::ConnectionPool;
use server::messages::control::{AttemptJob, AttemptResult, AttemptTimes, ControlMessage, OutgoingRequest};
use server::messages::request::RequestText;
use server::protocol::decode::first_row_value;
use server::runtime::cancellation::CancellationToken;
use server::runtime::clock::{Clock, Timers};
use server::runtime::resource_limits::ResourceLimits;
use server::runtime::tasks::spawn;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const SECOND: TimeDelta = TimeDelta::from_millis(1000);
/// Time after which bytes sent on loopback have arrived.
const LOOPBACK_DELAY: Duration = Duration::from_millis(50);
/// Length of the body of the empty query, which checks whether a connection is alive: its terminating zero.
const EMPTY_QUERY_BYTES: usize = 1;

/// A complete answer with a value.
fn answer(value: &[u8]) -> Vec<u8> {
    [value_messages(value), message(b'Z', b"I")].concat()
}

/// An endpoint that answers each statement with the number of statements so far, and that gives the test access to its
/// first connection.
struct Endpoint {
    addr: SocketAddr,
    first_connection: Arc<Mutex<Option<TcpStream>>>,
    /// The index of the connection on which each statement arrived.
    executed_on: Arc<Mutex<Vec<usize>>>,
}

impl Endpoint {
    fn start() -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("its address");
        let endpoint = Endpoint { addr, first_connection: Arc::default(), executed_on: Arc::default() };
        let first_connection = endpoint.first_connection.clone();
        let executed_on = endpoint.executed_on.clone();
        thread::spawn(move || {
            for (index, stream) in listener.incoming().flatten().enumerate() {
                if index == 0 {
                    *first_connection.lock().expect("no panic") = stream.try_clone().ok();
                }
                let executed_on = executed_on.clone();
                thread::spawn(move || serve(stream, index, &executed_on));
            }
        });
        endpoint
    }

    fn has_connection(&self) -> bool {
        self.first_connection.lock().expect("no panic").is_some()
    }
}

/// Serves a connection until it ends.
fn serve(mut stream: TcpStream, index: usize, executed_on: &Mutex<Vec<usize>>) -> Option<()> {
    read_body(&mut stream)?;
    stream.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat()).ok()?;
    loop {
        let mut tag = [0];
        stream.read_exact(&mut tag).ok()?;
        let body = read_body(&mut stream)?;
        let response = if body.len() == EMPTY_QUERY_BYTES {
            [message(b'I', b""), message(b'Z', b"I")].concat()
        } else {
            let mut executed_on = executed_on.lock().expect("no panic");
            executed_on.push(index);
            answer(&[executed_on.len() as u8])
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

/// A connection pool, and a channel to a control loop that the test plays.
struct Fixture {
    pool: Arc<ConnectionPool>,
    control: Sender<ControlMessage>,
    messages: Receiver<ControlMessage>,
}

impl Fixture {
    fn new() -> Fixture {
        may::config().set_workers(1).set_stack_size(16 << 10);
        let timers = Arc::new(Timers::start(Clock::start()));
        let resources = ResourceLimits::new(64, 1 << 20, false);
        let pool = Arc::new(ConnectionPool::new(timers, resources, SECOND, SECOND * 30));
        let (control, messages) = channel();
        Fixture { pool, control, messages }
    }

    /// Makes one attempt and calls `before_sending` when it asks for confirmation.
    fn attempt(&self, endpoint: &Endpoint, before_sending: impl Fn()) -> AttemptResult {
        self.cancellable_attempt(Arc::default(), endpoint, before_sending)
    }

    fn cancellable_attempt(
        &self,
        cancellation: Arc<CancellationToken>,
        endpoint: &Endpoint,
        before_sending: impl Fn(),
    ) -> AttemptResult {
        let job = self.job(cancellation, endpoint);
        let (pool, control) = (self.pool.clone(), self.control.clone());
        let (done, is_done) = std::sync::mpsc::channel();
        spawn(move || {
            run_attempt(&pool, None, control, &job);
            let _ = done.send(());
        });
        let mut is_first = true;
        loop {
            match self.messages.recv().expect("the attempt is still running") {
                ControlMessage::ConfirmAttempt(question) => {
                    if std::mem::take(&mut is_first) {
                        before_sending();
                    }
                    question.reply.send(true).expect("the attempt waits");
                }
                ControlMessage::AttemptEnded(result) => {
                    is_done
                        .recv_timeout(Duration::from_secs(5))
                        .expect("the connection is returned to the pool");
                    return *result;
                }
                _ => panic!("an attempt sends no other message"),
            }
        }
    }

    fn job(&self, cancellation: Arc<CancellationToken>, endpoint: &Endpoint) -> AttemptJob {
        let body = b"SELECT d=5\0".to_vec();
        let charge = ResourceLimits::new(1, 1 << 20, false).buffer_charge();
        let started_at = self.pool.timers.now();
        AttemptJob {
            attempt: AttemptId { request: 1, number: 0, endpoint: 0 },
            addr: endpoint.addr,
            times: AttemptTimes { started_at, deadline: started_at + SECOND * 5 },
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
struct SecondAttempt {
    outcome: AttemptOutcome,
    value: Vec<u8>,
    /// Indexes of the connections on which statements were executed.
    executed_on: Vec<usize>,
}

impl SecondAttempt {
    /// It received its own answer, on the connection with this index.
    fn succeeded_on(connection: usize) -> SecondAttempt {
        SecondAttempt { outcome: AttemptOutcome::Succeeded, value: vec![2], executed_on: vec![0, connection] }
    }
}

/// Makes two attempts and calls `before_second` on the endpoint's side of the first connection right before the second
/// is sent.
fn second_attempt(before_second: fn(&mut TcpStream)) -> SecondAttempt {
    let (fixture, endpoint) = (Fixture::new(), Endpoint::start());
    let first = fixture.attempt(&endpoint, || {});
    assert_eq!((first.outcome, first_row_value(&first.value)), (AttemptOutcome::Succeeded, Some(&[1][..])));
    // Waits for the answer to the empty query.
    thread::sleep(LOOPBACK_DELAY);
    let result = fixture.attempt(&endpoint, || {
        before_second(endpoint.first_connection.lock().expect("no panic").as_mut().expect("a connection"));
        thread::sleep(LOOPBACK_DELAY);
    });
    let executed_on = endpoint.executed_on.lock().expect("no panic").clone();
    let value = first_row_value(&result.value).unwrap_or_default().to_vec();
    SecondAttempt { outcome: result.outcome, value, executed_on }
}

#[test]
fn bytes_received_before_a_request_is_sent_are_not_part_of_its_answer() {
    let complete = |stream: &mut TcpStream| stream.write_all(&answer(b"another's")).expect("sent");
    assert_eq!(second_attempt(complete), SecondAttempt::succeeded_on(1), "a complete answer");
    let half = |stream: &mut TcpStream| stream.write_all(&answer(b"another's")[..40]).expect("sent");
    assert_eq!(second_attempt(half), SecondAttempt::succeeded_on(1), "half of one");
    let parameter = |stream: &mut TcpStream| {
        stream.write_all(&message(b'S', b"lsn_ms\x001790000000000\0")).expect("sent");
    };
    assert_eq!(second_attempt(parameter), SecondAttempt::succeeded_on(1), "a position");
}

#[test]
fn a_request_uses_a_new_connection_if_the_pooled_one_was_closed() {
    let close = |stream: &mut TcpStream| stream.shutdown(Shutdown::Both).expect("open until then");
    assert_eq!(second_attempt(close), SecondAttempt::succeeded_on(1));
    assert_eq!(
        second_attempt(|_| {}),
        SecondAttempt::succeeded_on(0),
        "a connection that stays open is reused"
    );
}

#[test]
fn an_attempt_that_is_cancelled_before_it_has_a_connection_opens_none() {
    let (fixture, endpoint) = (Fixture::new(), Endpoint::start());
    let cancellation = Arc::new(CancellationToken::default());
    cancellation.cancel();
    let result = fixture
        .cancellable_attempt(cancellation, &endpoint, || panic!("a cancelled attempt asks for confirmation"));
    assert_eq!(result.outcome, AttemptOutcome::NotSent);
    thread::sleep(LOOPBACK_DELAY);
    assert!(!endpoint.has_connection(), "a connection was opened for a cancelled attempt");
}
