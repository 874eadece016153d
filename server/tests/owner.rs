//! The router's owner with the sockets taken away: what it answers, and what a panic leaves behind.

use host_support::facts::{facts, BootInfo};
use may::io::WaitIo;
use may::net::TcpStream;
use may::sync::mpsc::{channel, Sender};
use routing::time::Span;
use server::admit::{Admission, Query};
use server::clock::{Alarms, Clock};
use server::hosts::{Health, Host};
use server::ledger::Ledger;
use server::mailbox::{Answer, Mailbox, Ticket};
use server::news::News;
use server::owner::Owner;
use server::pool::Pool;
use server::send::Outlet;
use server::tally::Tally;
use server::tasks::spawn;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{"nInstances":1,"resolutionNs":5000000,"membershipMode":"push","report":{},"rules":{},
    "classes":[{"name":"order","aimNs":40000000,"deadlineNs":3000000000,"effect":"non_idempotent"},
        {"name":"view","aimNs":40000000,"deadlineNs":3000000000,"effect":"read_like"}],
    "familyInfo":{"classRead":["update","latest"],"guards":"off"},"allowed":{"maxAttempts":6,"retryAfter":true,"maxRetryAfterNs":2000000000}}"#;

struct Rig {
    owner: Sender<News>,
    alarms: Arc<Alarms>,
    ledger: Arc<Ledger>,
    mailbox: Arc<Mailbox>,
    _stream: TcpStream,
}

/// An owner that knows one store, the primary, which takes connections and never says a word.
fn rig(silent: &TcpListener, most_held: usize) -> Rig {
    may::config().set_workers(1).set_stack_size(16 << 10);
    let boot: BootInfo = serde_json::from_str(SETTINGS).expect("start facts");
    let facts = facts(&boot).expect("sound ones");
    let alarms = Arc::new(Alarms::start(Clock::start()));
    let ledger = Ledger::new(64, 1 << 20, false);
    let second = Span::millis(1000);
    let pool = Arc::new(Pool::new(alarms.clone(), ledger.clone(), second, second * 30));
    let (owner, news) = channel();
    let tally = Arc::new(Tally::new(&[]));
    let outlet = Outlet { pool, owner: owner.clone(), probe_within: second, writes: None, tally };
    let decides = Owner::new(facts, 1, Vec::new(), most_held, outlet, news, None);
    spawn(move || decides.run());
    let primary = host("s", silent, 3, "off");
    owner.send(News::List { whole: true, hosts: vec![primary] }).expect("an owner");
    let stream = TcpStream::connect(silent.local_addr().expect("its address")).expect("a connection");
    Rig { owner, alarms, ledger, mailbox: Mailbox::new(stream.waker()), _stream: stream }
}

fn host(name: &str, at: &TcpListener, block: i64, recovery: &str) -> Host {
    Host {
        host: name.to_string(),
        dial: at.local_addr().expect("its address").to_string(),
        site: String::new(),
        block,
        health: Health::Serving,
        born_ms: 0.0,
        recovery: recovery.to_string(),
    }
}

impl Rig {
    fn arrive(&self, rpc: u64, d: i64) {
        self.arrive_as(rpc, &rpc.to_string(), d);
    }

    fn arrive_as(&self, rpc: u64, id: &str, d: i64) {
        self.arrive_in(0, 3, rpc, id, d);
    }

    fn arrive_in(&self, method: usize, cluster: i64, rpc: u64, id: &str, d: i64) {
        let deadline = self.alarms.now() + Span::millis(d);
        let (session, last_write, repeat) = (None, None, false);
        let (id, patience, mark) = (id.into(), 0..0, None);
        let admission = Admission {
            id,
            method,
            cluster,
            session,
            last_write,
            mark,
            deadline,
            repeat,
            patience,
            client: None,
        };
        let query = Query { body: vec![0], patience: 0..0, weight: self.ledger.weight() };
        let ticket = Ticket::new(rpc, self.mailbox.clone());
        self.owner.send(News::Arrived(admission, query, ticket)).expect("an owner");
    }

    fn answers(&self, many: usize) -> Vec<(u64, Answer)> {
        let (until, mut all) = (Instant::now() + Duration::from_secs(10), Vec::new());
        while all.len() < many {
            all.extend(self.mailbox.collect());
            assert!(Instant::now() < until, "an RPC is lost: {all:?}");
            std::thread::sleep(Duration::from_millis(1));
        }
        all.sort_by_key(|answer: &(u64, Answer)| answer.0);
        all
    }
}

#[test]
fn a_panic_of_the_router_aborts_what_is_open_and_the_next_rpc_is_served_by_a_new_one() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let rig = rig(&silent, 100);
    rig.arrive(1, 60_000);
    rig.arrive(2, 60_000);
    // A store that the module was never told of: its table has no such row.
    let (reply, _answer) = channel();
    rig.owner.send(News::Confirm { rpc: 1, call_out: 0, store: 99, reply }).expect("an owner");
    assert_eq!(rig.answers(2), [(1, Answer::Abort), (2, Answer::Abort)]);
    rig.arrive(3, 200);
    let [(3, answer)] = &rig.answers(1)[..] else { panic!("one answer, to the third") };
    assert!(matches!(answer, Answer::PushBack(_) | Answer::Abort), "its store is silent: {answer:?}");
    assert!(!rig.ledger.is_heavy());
}

#[test]
fn beyond_the_most_that_may_be_held_rpcs_are_pushed_back_and_room_comes_back() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let rig = rig(&silent, 2);
    (1..=3).for_each(|rpc| rig.arrive(rpc, 60_000));
    let full = Answer::PushBack(Some(Span::millis(2000)));
    assert_eq!(
        rig.answers(1),
        [(3, Answer::PushBack(Some(Span::millis(2000))))],
        "and told when to come back"
    );
    (1..=2).for_each(|rpc| rig.owner.send(News::Gone { rpc }).expect("an owner"));
    // Their pages are struck out once their call-outs have ended, which the silent store takes a second for.
    let until = Instant::now() + Duration::from_secs(10);
    for rpc in 4.. {
        rig.arrive(rpc, 200);
        let [(answered, answer)] = &rig.answers(1)[..] else { panic!("one answer") };
        assert_eq!(*answered, rpc, "those whose clients are gone get none");
        if *answer != full {
            break;
        }
        assert!(Instant::now() < until, "no room comes back");
    }
}

#[test]
fn an_alarm_that_rings_while_a_batch_is_under_way_holds_up_nobody() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let rig = rig(&silent, 100);
    // Nobody is known as primary of the group, so nothing happens to a current read but by the time.
    let replicas = (0..2_000).map(|nth| host(&format!("r-{nth}"), &silent, 4, "on")).collect();
    rig.owner.send(News::List { whole: false, hosts: replicas }).expect("an owner");
    for rpc in 1..=3 {
        rig.arrive_in(1, 4, rpc, &rpc.to_string(), 300);
        // Far longer to take in than the alarms of this owner lie apart.
        let again = (0..2_000).map(|nth| host(&format!("r-{nth}"), &silent, 4, "on")).collect();
        rig.owner.send(News::List { whole: false, hosts: again }).expect("an owner");
        let [(answered, answer)] = &rig.answers(1)[..] else { panic!("one answer") };
        assert_eq!((*answered, matches!(answer, Answer::PushBack(_))), (rpc, true), "{answer:?}");
    }
}

#[test]
fn an_id_is_taken_once_until_nothing_more_can_come_of_its_rpc() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let rig = rig(&silent, 100);
    rig.arrive_as(1, "same", 60_000);
    rig.arrive_as(2, "same", 60_000);
    let [(2, Answer::Refused("42710", _))] = rig.answers(1)[..] else { panic!("not the second alone") };
    rig.owner.send(News::Gone { rpc: 1 }).expect("an owner");
    // Its call-out still waits for the silent store, a second at most: until that has ended the id is not
    // free.
    let until = Instant::now() + Duration::from_secs(10);
    for rpc in 4.. {
        rig.arrive_as(rpc, "same", 400);
        let [(answered, answer)] = &rig.answers(1)[..] else { panic!("one answer") };
        assert_eq!(*answered, rpc);
        if !matches!(answer, Answer::Refused("42710", _)) {
            break;
        }
        assert!(Instant::now() < until, "an id is kept for good");
    }
}
