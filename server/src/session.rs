//! Client sessions: one coroutine each, which owns the socket, takes in what the client sends and writes the
//! answers in the order of its queries. It goes on reading while RPCs are out, so a client that leaves is
//! seen; where it may not read on, it asks the system whether the client has ended the connection.

use crate::admit::{self, Query};
use crate::carry::{Carried, Carry};
use crate::clock::Alarms;
use crate::gate::{Gate, Passage};
use crate::ledger::{Entry, Ledger, Rank, Weight};
use crate::log;
use crate::mailbox::{Answer, Mailbox, Ticket};
use crate::news::News;
use crate::pg::{self, Hello, Statement};
use crate::shutdown::{Leave, Member};
use crate::take_in::{Item, TakeIn};
use crate::wire::{BREATH, BURST, LIGHT};
use crate::writes::Writes;
use admission::turnstile::Client;
use admission::Prefixes;
use may::io::WaitIo;
use may::net::TcpStream;
use may::sync::mpsc::Sender;
use routing::iface::RpcId;
use routing::time::{Moment, Span};
use sessions::marks::Block;
use std::collections::VecDeque;
use std::io::{ErrorKind, IoSlice, Read, Write};
use std::net::{IpAddr, Shutdown};
use std::os::fd::AsRawFd;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use write_journal::fate::{Fate, Origin};

/// Queries of one client answered side by side; what it sends beyond them stays unread.
const MOST_PENDING: usize = 64;
/// So long a client may owe: its start-up and first query from when it connects, the rest of a message from
/// when it began it, the reading of its answers.
const OWED_WITHIN: Span = Span::millis(2_500);
/// So long after its last byte a client may not have read it yet.
const CLOSE_WITHIN: Span = Span::millis(500);
/// How often the system is asked whether a client's has acknowledged the last byte.
const ACKNOWLEDGED_AGAIN: Span = Span::millis(20);

/// What all sessions share.
pub struct Shared {
    pub alarms: Arc<Alarms>,
    pub ledger: Arc<Ledger>,
    pub owner: Sender<News>,
    pub terms: admit::Terms,
    /// How long who is turned away for want of memory had better stay away, where that may be said.
    pub come_back: Option<Span>,
    pub leave: Arc<Leave>,
    /// Where sessions are carried by their clients.
    pub carry: Option<Arc<Carry>>,
    /// Where clients have classes.
    pub gate: Option<Arc<Gate>>,
    /// Whom the RPCs of an address count for where clients have none, but RPCs have turns.
    pub counts: Option<Prefixes>,
    /// Where writes are kept on record.
    pub writes: Option<Arc<Writes>>,
    pub rpcs: AtomicU64,
    pub number: AtomicU64,
}

enum Slot {
    Open(RpcId, Block),
    Ready(Vec<u8>),
}

struct Session {
    shared: Arc<Shared>,
    stream: TcpStream,
    mailbox: Arc<Mailbox>,
    inbox: TakeIn,
    /// Answers in the order of the queries.
    slots: VecDeque<Slot>,
    outbox: VecDeque<Vec<u8>>,
    /// How much of the first of the outbox has left.
    left: usize,
    /// Nothing more is taken in; what is pending is still answered.
    last: bool,
    served: bool,
    /// Has asked for something, if only for an empty answer.
    asked: bool,
    /// Since when the client has owed what must come next.
    owes: Option<Moment>,
    idle: Option<(Rank, u64)>,
    weight: Weight,
    /// What its client carries, where it asked for that.
    carried: Option<Carried>,
    passage: Option<Passage>,
    /// Whom its RPCs count for.
    client: Option<Client>,
    /// Dropped last: the front may end with it.
    member: Member,
}

/// An accepted connection that is a member of those whom the front waits for.
pub struct Seat {
    stream: TcpStream,
    mailbox: Arc<Mailbox>,
    member: Member,
}

impl Seat {
    pub fn take(leave: &Arc<Leave>, stream: TcpStream) -> Seat {
        let mailbox = Mailbox::new(stream.waker());
        let member = leave.join(&mailbox);
        Seat { stream, mailbox, member }
    }
}

enum Heard {
    Bytes(usize),
    Nothing,
    Gone,
}

/// How a client is received.
pub enum Reception {
    /// With its place in its class, where it has one.
    Stays(Option<Passage>),
    /// It is told why not, and when it had better come back where that may be said.
    Goes(&'static str, Option<Span>),
}

/// Runs a client's session from its first byte to its close.
pub fn run(shared: Arc<Shared>, seat: Seat, _entry: Entry, from: IpAddr, reception: Reception) {
    let Seat { stream, mailbox, member } = seat;
    let _ = stream.set_nodelay(true);
    let (weight, connected) = (shared.ledger.weight(), shared.alarms.now());
    let client = shared.counts.map(|prefixes| Client::other(from, prefixes));
    let mut session = Session {
        shared,
        stream,
        mailbox,
        inbox: TakeIn::default(),
        slots: VecDeque::new(),
        outbox: VecDeque::new(),
        left: 0,
        last: false,
        served: false,
        asked: false,
        owes: Some(connected),
        idle: None,
        weight,
        carried: None,
        passage: None,
        client,
        member,
    };
    session.wake_at(connected + OWED_WITHIN);
    match reception {
        Reception::Stays(passage) => session.stay(passage),
        Reception::Goes(why, come_back) => session.turn_away(why, come_back),
    }
    let served = catch_unwind(AssertUnwindSafe(|| session.serve()));
    if served.unwrap_or_else(|_| session.after_panic()) {
        session.close_gently();
    }
}

impl Drop for Session {
    /// However the session ends, what it still waited for is told to the owner.
    fn drop(&mut self) {
        self.stir();
        for slot in &self.slots {
            if let Slot::Open(rpc, _) = slot {
                let _ = self.shared.owner.send(News::Gone { rpc: *rpc });
            }
        }
    }
}

impl Session {
    fn stay(&mut self, passage: Option<Passage>) {
        let Some(passage) = passage else { return };
        if !passage.waits_at(&self.mailbox) {
            self.make_way(&passage);
        }
        self.client = passage.client().or(self.client.take());
        self.passage = Some(passage);
    }

    /// Others come, and it has not said yet who it is.
    fn make_way(&mut self, passage: &Passage) {
        let refusal = passage.refusal();
        self.turn_away(refusal.why.words(), self.shared.come_back.map(|_| refusal.come_back));
    }

    /// True where the client should be let go gently, false where the connection is dead.
    fn serve(&mut self) -> bool {
        let (mut stalled, mut burst): (Option<Moment>, usize) = (None, 0);
        loop {
            self.take_in();
            let asked_to_go = !self.last && self.mailbox.should_close();
            if let Some(passage) = self.passage.take_if(|passage| asked_to_go && passage.is_in_lobby()) {
                self.make_way(&passage);
            }
            self.collect();
            let Ok(blocked) = self.flush() else { return false };
            let now = self.shared.alarms.now();
            match stalled {
                _ if !blocked => stalled = None,
                None => {
                    stalled = Some(now);
                    self.wake_at(now + OWED_WITHIN);
                }
                Some(since) if now >= since + OWED_WITHIN => return false,
                Some(_) => {}
            }
            if self.too_heavy() {
                if blocked {
                    log!(WARN; "a client that does not read was let go: the memory for buffers is used up");
                    return false;
                }
                if self.inbox.weight() > LIGHT {
                    self.end("53200", "the memory for buffers is used up");
                    continue;
                }
            }
            let most = self.may_read();
            if most == 0 && self.has_left() {
                return false;
            }
            if most > 0 {
                match self.read(most) {
                    Heard::Bytes(many) => {
                        self.stir();
                        burst += many;
                        if burst >= BURST {
                            burst = 0;
                            self.shared.alarms.pause(BREATH);
                        }
                        continue;
                    }
                    Heard::Gone => return false,
                    Heard::Nothing => {}
                }
            }
            if self.overdue(now) {
                self.end("08P01", "what was begun did not come to its end in time");
                continue;
            }
            if self.slots.is_empty() && self.outbox.is_empty() {
                // Without a word: one behind the last answer would be a second answer to that RPC. What
                // crosses the close never ran, and its client sends it again elsewhere.
                if self.last || (self.inbox.is_empty() && self.should_close()) {
                    return true;
                }
                self.rest();
            }
            burst = 0;
            self.stream.wait_io();
        }
    }

    fn takes_more(&self) -> bool {
        self.slots.len() < MOST_PENDING && self.outbox.len() < MOST_PENDING
    }

    /// How much may be read now. Once the front is closed no more than what completes a query that has begun:
    /// what is read must be answered, and a client that always sends the next would never be let go. What
    /// stays unread its client sends again elsewhere.
    fn may_read(&self) -> usize {
        match () {
            () if self.last || !self.takes_more() => 0,
            () if self.shared.leave.is_closed() => self.inbox.lacks(),
            () => usize::MAX,
        }
    }

    /// Whether a client that still waits for something has ended the connection.
    fn has_left(&self) -> bool {
        self.slots.iter().any(|slot| matches!(slot, Slot::Open(..))) && self.has_ended()
    }

    /// Whether the client has owed its next message, or the rest of one, for too long.
    fn overdue(&mut self, now: Moment) -> bool {
        let owes = !self.last && self.takes_more() && !(self.asked && self.inbox.is_empty());
        if owes && self.owes.is_none() {
            self.owes = Some(now);
            self.wake_at(now + OWED_WITHIN);
        }
        self.owes = self.owes.filter(|_| owes);
        self.owes.is_some_and(|since| now >= since + OWED_WITHIN)
    }

    fn should_close(&self) -> bool {
        self.mailbox.should_close() || self.member.should_go(self.asked, self.served)
    }

    fn wake_at(&self, at: Moment) {
        let waker = self.stream.waker();
        self.shared.alarms.at(at, move || waker.wakeup());
    }

    /// Weighs its buffers; true where all sessions' are too much and this one's are no small part of it.
    fn too_heavy(&mut self) -> bool {
        let ready = self.slots.iter().map(|slot| if let Slot::Ready(bytes) = slot { bytes.len() } else { 0 });
        let out: usize = self.outbox.iter().map(Vec::len).sum();
        let weight = self.inbox.weight() + ready.sum::<usize>() + out;
        self.weight.set(weight);
        weight > LIGHT && !self.last && self.shared.ledger.is_heavy()
    }

    /// Nothing to do: buffers are given back, and the ledger may ask for the descriptor.
    fn rest(&mut self) {
        if self.idle.is_none() {
            let rank = if self.asked { Rank::Idle } else { Rank::Silent };
            let class = self.passage.as_ref().and_then(Passage::class);
            self.idle = Some(self.shared.ledger.idle(rank, self.shared.alarms.now(), &self.mailbox, class));
        }
        self.inbox.rest();
        self.outbox = VecDeque::new();
        self.weight.set(self.inbox.weight());
    }

    fn stir(&mut self) {
        if let Some(serial) = self.idle.take() {
            self.shared.ledger.busy(serial);
        }
    }

    fn read(&mut self, most: usize) -> Heard {
        let mut bytes = [0; 4096];
        let most = most.min(bytes.len());
        loop {
            match self.stream.inner().read(&mut bytes[..most]) {
                Ok(0) => return Heard::Gone,
                Ok(n) => {
                    self.inbox.feed(&bytes[..n]);
                    return Heard::Bytes(n);
                }
                Err(why) if why.kind() == ErrorKind::WouldBlock => return Heard::Nothing,
                Err(why) if why.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Heard::Gone,
            }
        }
    }

    /// Works off the whole messages of the inbox.
    fn take_in(&mut self) {
        while !self.last && self.slots.len() < MOST_PENDING {
            match self.inbox.next_item() {
                None => return,
                Some(Item::Encrypt) => self.slots.push_back(Slot::Ready(vec![b'N'])),
                Some(Item::Greet { minor, hello }) => self.greet(minor, hello),
                Some(Item::Query(body)) => {
                    (self.asked, self.owes) = (true, None);
                    self.query(body);
                }
                Some(Item::Sync) => self.say(pg::ready),
                Some(Item::Unsupported { alone }) => self.say(|out| {
                    pg::error(out, "ERROR", "0A000", "only simple queries are taken", None);
                    if alone {
                        pg::ready(out);
                    }
                }),
                Some(Item::Cancel | Item::Terminate) => self.last = true,
                Some(Item::Unfit { code, why }) => self.end(code, why),
            }
        }
    }

    /// Begins or takes up what the client carries, where it asked for that and it is given here.
    fn greet(&mut self, minor: u16, hello: Hello) {
        let now = self.shared.alarms.now();
        if let Some(passage) = &mut self.passage {
            if let Err(refusal) = passage.introduce(&hello.user) {
                let come_back = self.shared.come_back.map(|_| refusal.come_back);
                return self.turn_away(refusal.why.words(), come_back);
            }
            self.client = passage.client().or(self.client.take());
        }
        let (carry, asked) = (self.shared.carry.clone(), hello.session.is_some());
        let token = match (carry, hello.session) {
            (Some(carry), Some(word)) => match carry.begin(now, &word, &hello.audience) {
                Ok(carried) => {
                    let token = carry.token(now, &carried);
                    self.carried = Some(carried);
                    token
                }
                Err(why) => return self.end(why.code(), &format!("the session's token is not taken: {why}")),
            },
            _ => None,
        };
        let number = self.shared.number.fetch_add(1, Ordering::Relaxed) as u32;
        let origin = self.shared.writes.as_ref().filter(|_| asked).map(|writes| writes.origin());
        self.say(|out| pg::greeting(out, minor, number, token.as_deref(), origin.as_deref()));
    }

    fn query(&mut self, body: Vec<u8>) {
        let terms = &self.shared.terms;
        let head = match pg::statement(&body) {
            Statement::Fate(id, at) => {
                let (id, origin) = (id.to_string(), at.and_then(Origin::parse));
                let rpc = self.shared.rpcs.fetch_add(1, Ordering::Relaxed);
                self.slots.push_back(Slot::Open(rpc, 0));
                let ticket = Ticket::new(rpc, self.mailbox.clone());
                let _ = self.shared.owner.send(News::Fate { id, origin, ticket });
                return;
            }
            Statement::Empty => return self.reply(pg::empty),
            Statement::Vain(word) => return self.reply(|out| pg::complete(out, word)),
            Statement::Refused(code, why) => Err((code, why)),
            Statement::Kv(head) => admit::admit(terms, self.shared.alarms.now(), &head),
        };
        let mut admission = match head {
            Ok(admission) => admission,
            Err((code, why)) => return self.reply(|out| pg::error(out, "ERROR", code, why, None)),
        };
        if self.shared.ledger.is_heavy() {
            return self.slots.push_back(Slot::Ready(encode(Answer::PushBack(self.shared.come_back), None)));
        }
        if let (Some(carry), Some(carried)) = (&self.shared.carry, &mut self.carried) {
            admission.mark = carry.mark(self.shared.alarms.now(), carried, admission.cluster);
        }
        admission.client.clone_from(&self.client);
        let rpc = self.shared.rpcs.fetch_add(1, Ordering::Relaxed);
        self.slots.push_back(Slot::Open(rpc, admission.cluster));
        let mut weight = self.shared.ledger.weight();
        weight.set(body.len());
        let query = Query { body, patience: admission.patience.clone(), weight };
        let ticket = Ticket::new(rpc, self.mailbox.clone());
        // Where the owner is no more, the ticket drops and aborts.
        let _ = self.shared.owner.send(News::Arrived(admission, query, ticket));
    }

    fn say(&mut self, write: impl FnOnce(&mut Vec<u8>)) {
        let mut out = Vec::new();
        write(&mut out);
        self.slots.push_back(Slot::Ready(out));
    }

    fn reply(&mut self, write: impl FnOnce(&mut Vec<u8>)) {
        self.say(|out| {
            write(out);
            pg::ready(out);
        });
    }

    /// A fatal error, and nothing is taken in after it. What is pending aborts, or an RPC that takes its time
    /// would hold the error back.
    fn end(&mut self, code: &str, why: &str) {
        for slot in &mut self.slots {
            if let Slot::Open(rpc, _) = slot {
                let _ = self.shared.owner.send(News::Gone { rpc: *rpc });
                *slot = Slot::Ready(encode(Answer::Abort, None));
            }
        }
        self.say(|out| pg::error(out, "FATAL", code, why, None));
        self.last = true;
    }

    /// It was never let in.
    fn turn_away(&mut self, why: &str, come_back: Option<Span>) {
        self.say(|out| refuse(out, why, come_back));
        self.last = true;
    }

    /// A fault of ours: all that is pending aborts, as far as the client still takes it.
    fn after_panic(&mut self) -> bool {
        self.end("XX000", "internal fault");
        self.collect();
        matches!(self.flush(), Ok(false))
    }

    /// Puts answers that have come in their places and moves those whose turn it is to the outbox.
    fn collect(&mut self) {
        let now = self.shared.alarms.now();
        for (rpc, answer) in self.mailbox.collect() {
            let mine = |slot: &&mut Slot| matches!(slot, Slot::Open(open, _) if *open == rpc);
            if let Some(slot) = self.slots.iter_mut().find(mine) {
                let group = if let Slot::Open(_, group) = slot { *group } else { continue };
                // In the order in which answers come: a token may show more than its answer, never less.
                let token = match (&self.shared.carry, &mut self.carried) {
                    (Some(carry), Some(carried)) => carry.answered(now, carried, group, &answer),
                    _ => None,
                };
                *slot = Slot::Ready(encode(answer, token.as_deref()));
                self.served = true;
            }
        }
        while let Some(Slot::Ready(_)) = self.slots.front() {
            if let Some(Slot::Ready(bytes)) = self.slots.pop_front() {
                self.outbox.push_back(bytes);
            }
        }
    }

    /// Writes what it can in gathered writes; true where the client must read first.
    fn flush(&mut self) -> std::io::Result<bool> {
        while !self.outbox.is_empty() {
            let rest = self.outbox.iter().take(16).enumerate();
            let slices: Vec<IoSlice> = rest
                .map(|(nth, part)| IoSlice::new(if nth == 0 { &part[self.left..] } else { part }))
                .collect();
            match self.stream.inner().write_vectored(&slices) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => self.left += n,
                Err(why) if why.kind() == ErrorKind::WouldBlock => return Ok(true),
                Err(why) if why.kind() == ErrorKind::Interrupted => {}
                Err(why) => return Err(why),
            }
            while let Some(first) = self.outbox.front().filter(|first| first.len() <= self.left) {
                self.left -= first.len();
                self.outbox.pop_front();
            }
        }
        Ok(false)
    }

    /// Ends sending and waits for the client's end, reading nothing: a query that crosses the close is left unread, and
    /// so never taken. A close over unread bytes is a reset, which takes with it what the client's system has not
    /// acknowledged; so over such bytes it waits longer.
    fn close_gently(&mut self) {
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        self.stir();
        let (began, hurry) = (self.shared.alarms.now(), self.mailbox.take_close());
        let wait = if hurry { CLOSE_WITHIN / 10 } else { CLOSE_WITHIN };
        self.idle = Some(self.shared.ledger.idle(Rank::Leaving, began, &self.mailbox, None));
        self.wake_at(began + wait);
        let (mut unread, mut since) = (usize::MAX, began);
        while !self.has_ended() {
            let now = self.shared.alarms.now();
            if now >= began + wait || self.mailbox.should_close() {
                let left = self.unacknowledged();
                if left < unread {
                    (unread, since) = (left, now);
                }
                if left == 0 || !self.would_reset() || now >= since + OWED_WITHIN {
                    return;
                }
                self.wake_at(now + ACKNOWLEDGED_AGAIN);
            }
            self.stream.wait_io();
        }
    }

    /// What the system says now of the connection, of these events and of its end.
    fn poll(&self, events: i16) -> i16 {
        let mut ask = libc::pollfd { fd: self.stream.as_raw_fd(), events, revents: 0 };
        // SAFETY: it is told of one entry, and does not wait.
        let said = unsafe { libc::poll(&mut ask, 1, 0) };
        if said > 0 {
            ask.revents
        } else {
            0
        }
    }

    /// Whether the client has ended the connection, whatever it sent before that is still unread.
    fn has_ended(&self) -> bool {
        self.poll(libc::POLLRDHUP) & (libc::POLLRDHUP | libc::POLLHUP | libc::POLLERR) != 0
    }

    /// Whether a close now would reset the connection, since bytes lie unread.
    fn would_reset(&self) -> bool {
        self.poll(libc::POLLIN) & libc::POLLIN != 0
    }

    /// Bytes sent that the client's system has not acknowledged; none where that can't be told.
    fn unacknowledged(&self) -> usize {
        let mut bytes: libc::c_int = 0;
        // SAFETY: the request writes one integer.
        let asked = unsafe { libc::ioctl(self.stream.as_raw_fd(), libc::TIOCOUTQ, &mut bytes) };
        if asked < 0 {
            0
        } else {
            usize::try_from(bytes).unwrap_or(0)
        }
    }
}

fn encode(answer: Answer, token: Option<&str>) -> Vec<u8> {
    let mut out = Vec::new();
    match answer {
        Answer::Value(value, _) => out = value,
        Answer::Fate(Fate::Ran(commit)) => {
            let commit = commit.map_or(String::new(), |ms| format!(" {ms}"));
            pg::text_row(&mut out, "fate", &format!("ran{commit}"));
        }
        Answer::Fate(Fate::Never) => pg::text_row(&mut out, "fate", "never"),
        Answer::Fate(Fate::UnderWay) => pg::text_row(&mut out, "fate", "under way"),
        Answer::Fate(Fate::NotKnown) => {
            pg::error(
                &mut out,
                "ERROR",
                "40003",
                "what became of it is not known here: it may have run",
                None,
            );
        }
        Answer::Lost(_) => {
            let why =
                "what this session saw of the group is lost, by a switch of its primary; it did not run";
            pg::error(&mut out, "ERROR", "ZG001", why, None);
        }
        Answer::PushBack(come_back) => {
            let why = "pushed back: it did not run, or may run again";
            pg::error(&mut out, "ERROR", "53300", why, millis(come_back).as_deref());
        }
        Answer::Abort => pg::error(&mut out, "ERROR", "58000", "aborted: it may have run", None),
        Answer::Refused(code, why) => pg::error(&mut out, "ERROR", code, why, None),
    }
    if let Some(token) = token {
        pg::status(&mut out, pg::SESSION, token);
    }
    pg::ready(&mut out);
    out
}

fn millis(come_back: Option<Span>) -> Option<String> {
    come_back.map(|span| (span.0 / 1_000_000).max(0).to_string())
}

fn refuse(out: &mut Vec<u8>, why: &str, come_back: Option<Span>) {
    pg::error(out, "FATAL", "53300", why, millis(come_back).as_deref());
}

/// Tells a client that was never let in why, without waiting for anything.
pub fn last_word(mut stream: &std::net::TcpStream, why: &str, come_back: Option<Span>) {
    let (mut out, mut came) = (Vec::new(), [0; 4096]);
    refuse(&mut out, why, come_back);
    // What came unread would turn the close into a reset.
    let _ = stream.set_nonblocking(true);
    let _ = stream.read(&mut came);
    let _ = stream.write(&out);
    let _ = stream.shutdown(Shutdown::Write);
}
