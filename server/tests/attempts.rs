//! Attempts on real connections, with the owner taken away: what comes between the last look at a connection and
//! the moment at which an RPC leaves on it.

use may::sync::mpsc::{channel, Receiver, Sender};
use routing::iface::Outcome;
use routing::time::Span;
use server::admit::Query;
use server::bell::Bell;
use server::clock::{Alarms, Clock};
use server::ledger::Ledger;
use server::news::{CallOut, End, News};
use server::pg;
use server::pool::Pool;
use server::send::call_out;
use server::tasks::spawn;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag], &(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

fn answer_of(value: &[u8]) -> Vec<u8> {
    let row = [&[0, 1], &(value.len() as u32).to_be_bytes()[..], value].concat();
    [
        message(b'T', b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01"),
        message(b'D', &row),
        message(b'C', b"SELECT 1\0"),
        message(b'Z', b"I"),
    ]
    .concat()
}

/// A store that answers each statement with its number, and on which the test can have something happen on the
/// first connection.
struct Store {
    addr: SocketAddr,
    first: Arc<Mutex<Option<TcpStream>>>,
    /// On which connection each statement came.
    ran: Arc<Mutex<Vec<usize>>>,
}

impl Store {
    fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("its address");
        let store = Store { addr, first: Arc::default(), ran: Arc::default() };
        let (first, ran) = (store.first.clone(), store.ran.clone());
        thread::spawn(move || {
            for (nth, stream) in listener.incoming().flatten().enumerate() {
                if nth == 0 {
                    *first.lock().expect("no panic") = stream.try_clone().ok();
                }
                let ran = ran.clone();
                thread::spawn(move || serve(stream, nth, &ran));
            }
        });
        store
    }
}

fn serve(mut stream: TcpStream, nth: usize, ran: &Mutex<Vec<usize>>) -> Option<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    stream.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4]).ok()?;
    stream.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat()).ok()?;
    loop {
        let mut head = [0; 5];
        stream.read_exact(&mut head).ok()?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4;
        stream.read_exact(&mut vec![0; length]).ok()?;
        let out = if length == 1 {
            [message(b'I', b""), message(b'Z', b"I")].concat()
        } else {
            let mut ran = ran.lock().expect("no panic");
            ran.push(nth);
            answer_of(&[ran.len() as u8])
        };
        stream.write_all(&out).ok()?;
    }
}

struct Rig {
    pool: Arc<Pool>,
    owner: Sender<News>,
    news: Receiver<News>,
}

impl Rig {
    fn new() -> Rig {
        may::config().set_workers(1).set_stack_size(16 << 10);
        let alarms = Arc::new(Alarms::start(Clock::start()));
        let second = Span::millis(1000);
        let pool = Arc::new(Pool::new(alarms, Ledger::new(64, 1 << 20, false), second, second * 30));
        let (owner, news) = channel();
        Rig { pool, owner, news }
    }

    /// One attempt; `meanwhile` happens when it asks whether it may leave.
    fn attempt(&self, store: &Store, meanwhile: impl Fn()) -> End {
        self.attempt_by(Arc::default(), store, meanwhile)
    }

    fn attempt_by(&self, bell: Arc<Bell>, store: &Store, meanwhile: impl Fn()) -> End {
        let mut weight = Ledger::new(1, 1 << 20, false).weight();
        let body = b"SELECT d=5\0".to_vec();
        weight.set(body.len());
        let query = Arc::new(Query { body, patience: 9..10, weight });
        let sent = self.pool.alarms.now();
        let job = CallOut {
            rpc: 1,
            number: 0,
            store: 0,
            addr: store.addr,
            sent,
            by: sent + Span::millis(5_000),
            query,
            bell,
            entry: None,
            follows: false,
        };
        let (pool, owner) = (self.pool.clone(), self.owner.clone());
        let (done, is_done) = std::sync::mpsc::channel();
        spawn(move || {
            call_out(&pool, None, owner, job);
            let _ = done.send(());
        });
        let mut first = true;
        loop {
            match self.news.recv().expect("it goes on") {
                News::Confirm { reply, .. } => {
                    if std::mem::take(&mut first) {
                        meanwhile();
                    }
                    reply.send(true).expect("it waits");
                }
                News::Ended(end) => {
                    is_done.recv_timeout(Duration::from_secs(5)).expect("the connection is given back");
                    return end;
                }
                _ => panic!("nothing else is told"),
            }
        }
    }
}

/// What the second attempt comes to where this happens on the connection it is about to leave on.
fn second(happens: fn(&mut TcpStream)) -> (Outcome, Vec<u8>, Vec<usize>) {
    let (rig, store) = (Rig::new(), Store::start());
    let first = rig.attempt(&store, || {});
    assert_eq!((first.outcome, pg::only_row(&first.value)), (Outcome::Ok, Some(&[1][..])));
    // The answer to the empty query has come by then.
    thread::sleep(Duration::from_millis(50));
    let end = rig.attempt(&store, || {
        happens(store.first.lock().expect("no panic").as_mut().expect("a connection"));
        thread::sleep(Duration::from_millis(50));
    });
    let ran = store.ran.lock().expect("no panic").clone();
    (end.outcome, pg::only_row(&end.value).unwrap_or_default().to_vec(), ran)
}

#[test]
fn what_comes_unasked_before_an_rpc_leaves_is_no_part_of_its_answer() {
    let own = (Outcome::Ok, vec![2], vec![0, 1]);
    let whole = |stream: &mut TcpStream| stream.write_all(&answer_of(b"another's")).expect("sent");
    assert_eq!(second(whole), own, "a whole answer");
    let half = |stream: &mut TcpStream| stream.write_all(&answer_of(b"another's")[..40]).expect("sent");
    assert_eq!(second(half), own, "half a one");
    let aside = |stream: &mut TcpStream| {
        stream.write_all(&message(b'S', b"lsn_ms\x001790000000000\0")).expect("sent");
    };
    assert_eq!(second(aside), own, "a position");
}

#[test]
fn a_connection_that_is_closed_or_reset_before_an_rpc_leaves_costs_it_nothing() {
    let own = (Outcome::Ok, vec![2], vec![0, 1]);
    let close = |stream: &mut TcpStream| stream.shutdown(Shutdown::Both).expect("open until then");
    assert_eq!(second(close), own);
    assert_eq!(second(|_| {}), (Outcome::Ok, vec![2], vec![0, 0]), "and one that is not is reused");
}

#[test]
fn an_attempt_that_is_called_off_before_it_has_a_connection_opens_none() {
    let (rig, store, bell) = (Rig::new(), Store::start(), Arc::new(Bell::default()));
    bell.ring();
    let end = rig.attempt_by(bell, &store, || panic!("it asks for nothing"));
    assert_eq!(end.outcome, Outcome::Moot);
    thread::sleep(Duration::from_millis(50));
    assert!(store.first.lock().expect("no panic").is_none(), "a connection costs the store work");
}
