//! The router's owner: one coroutine holds the decisions, the book of RPCs and the timers. All that happens
//! comes to it by channel, is handled in batches under one clock reading, and goes out as messages.

use crate::admit::{Admission, Query};
use crate::bell::Bell;
use crate::clock::Alarms;
use crate::hosts::Host;
use crate::log;
use crate::mailbox::{Answer, Ticket};
use crate::news::{self, CallOut, News};
use crate::send::Outlet;
use gingerwick::choice::Router;
use gingerwick::iface::{Action, Arrival, End, Entry, Event, Facts, Outcome, RpcId, Standing, Told};
use gingerwick::time::{Moment, Span};
use hosting::book::Book;
use hosting::doors::Doors;
use may::sync::mpsc::Receiver;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;

/// What the book keeps of an RPC.
struct Live {
    id: Arc<str>,
    resort: Moment,
    ticket: Option<Ticket>,
    query: Arc<Query>,
    out: Option<(u32, Arc<Bell>)>,
}

pub struct Owner {
    facts: Facts,
    seed: u64,
    zones: Vec<String>,
    most_held: usize,
    outlet: Outlet,
    news: Receiver<News>,
    /// The list as it was last told, by host: what a router made anew begins with.
    listed: BTreeMap<String, Host>,
    alarm: Option<Moment>,
    /// The router has just been made anew and does not know the list.
    anew: bool,
    state: State,
}

/// What is lost with a router that panicked.
struct State {
    router: Router,
    book: Book<Live>,
    /// Of the RPCs in the book.
    ids: HashSet<Arc<str>>,
    stores: Doors<String>,
    dials: Vec<Option<SocketAddr>>,
    started: Vec<Option<Moment>>,
    groups: Doors<i64>,
    timers: BTreeSet<(Moment, u64)>,
    /// The last resort of each RPC: past its own last moment, before its client's.
    resorts: BTreeSet<(Moment, RpcId)>,
    actions: Vec<Action>,
}

impl Owner {
    pub fn new(
        facts: Facts,
        seed: u64,
        zones: Vec<String>,
        most_held: usize,
        outlet: Outlet,
        news: Receiver<News>,
    ) -> Owner {
        let state = State::new(seed, &facts, outlet.alarms());
        let listed = BTreeMap::new();
        Owner { facts, seed, zones, most_held, outlet, news, listed, alarm: None, anew: false, state }
    }

    /// Serves for the life of the process. A panic of the decisions drops their state: what was open aborts
    /// by its ticket, and a router made anew starts from the list, as after a restart.
    pub fn run(mut self) {
        loop {
            let Err(_) = catch_unwind(AssertUnwindSafe(|| self.turn())) else { continue };
            log!("the router panicked; it starts anew from the list");
            self.seed = self.seed.wrapping_add(1);
            self.state = State::new(self.seed, &self.facts, self.outlet.alarms());
            self.anew = true;
            let _ = self.outlet.owner.send(News::Tick);
        }
    }

    fn turn(&mut self) {
        let Ok(first) = self.news.recv() else { return };
        let now = self.outlet.alarms().now();
        if std::mem::take(&mut self.anew) {
            self.state.list(true, self.listed.values().cloned().collect(), &self.zones, now);
        }
        self.state.fire(now);
        let mut next = Some(first);
        while let Some(news) = next {
            self.take(now, news);
            next = self.news.try_recv().ok();
        }
        self.act(now);
        let due = self.state.timers.first().map(|timer| timer.0);
        let due = due.into_iter().chain(self.state.resorts.first().map(|resort| resort.0)).min();
        if let Some(due) = due.filter(|due| self.alarm.is_none_or(|set| *due < set || set <= now)) {
            self.alarm = Some(due);
            let owner = self.outlet.owner.clone();
            self.outlet.alarms().at(due, move || {
                let _ = owner.send(News::Tick);
            });
        }
    }

    fn take(&mut self, now: Moment, news: News) {
        let state = &mut self.state;
        match news {
            News::Arrived(admission, query, ticket) => {
                if state.book.len() >= self.most_held {
                    return ticket.answer(Answer::PushBack(self.facts.max_come_back));
                }
                state.arrive(now, admission, query, ticket, self.facts.tick);
            }
            News::Gone { rpc } => {
                if let Some(ticket) = state.book.get_mut(rpc).and_then(|live| live.ticket.take()) {
                    ticket.void();
                    state.tell(now, Event::Gone { rpc });
                    state.close(rpc);
                }
            }
            News::Confirm { rpc, call_out, store, reply } => {
                let holds = state.book.is_open(rpc) && state.router.confirms(now, rpc, call_out, store);
                let _ = reply.send(holds);
            }
            News::Ended(end) => state.ended(now, end),
            News::Probed { store, outcome, elapsed, report } => {
                state.tell(now, Event::Probed { store, outcome, elapsed, report });
            }
            News::List { whole, hosts } => {
                if whole {
                    self.listed.clear();
                }
                for host in &hosts {
                    self.listed.insert(host.host.clone(), host.clone());
                }
                for addr in state.list(whole, hosts, &self.zones, now) {
                    self.outlet.pool.forget(&addr);
                }
                let dials: BTreeSet<SocketAddr> = state.dials.iter().flatten().copied().collect();
                self.outlet.pool.keep_only(&dials);
            }
            News::ListFailed => state.tell(now, Event::ListFailed),
            News::Tick => {}
        }
    }

    /// Carries out what the decisions asked for, in their order.
    fn act(&mut self, now: Moment) {
        let state = &mut self.state;
        let mut ends = Vec::new();
        for action in std::mem::take(&mut state.actions) {
            match action {
                Action::Send { rpc, store, time_out } => {
                    let number = state.book.sent(rpc);
                    let bell = Arc::new(Bell::default());
                    let Some(live) = state.book.get_mut(rpc) else { continue };
                    live.out = Some((number, bell.clone()));
                    let query = live.query.clone();
                    let Some(addr) = state.dials[store] else {
                        ends.push(news::End::moot(rpc, number, store, now));
                        continue;
                    };
                    let by = now + time_out;
                    self.outlet.send(CallOut { rpc, number, store, addr, sent: now, by, query, bell });
                }
                Action::PushBack { rpc, come_back } => state.answer(rpc, Answer::PushBack(come_back)),
                Action::Abort { rpc } => state.answer(rpc, Answer::Abort),
                Action::Withdraw { rpc, call_out } => {
                    if let Some((number, bell)) = state.book.get(rpc).and_then(|live| live.out.as_ref()) {
                        if *number == call_out {
                            bell.ring();
                        }
                    }
                }
                Action::Remind { tag, at } => {
                    state.timers.insert((at, tag));
                }
                Action::Probe { store } => match state.dials[store] {
                    Some(addr) => self.outlet.probe(store, addr),
                    None => {
                        let (outcome, report) = (Outcome::Unreachable, Told::default());
                        state.tell(now, Event::Probed { store, outcome, elapsed: Span::ZERO, report });
                    }
                },
                // The watch is kept up by itself.
                Action::Watch | Action::FetchList => {}
                Action::Remark(words) => log!("the router remarks: {words}"),
            }
        }
        for end in ends {
            state.ended(now, end);
        }
        if !state.actions.is_empty() {
            self.act(now);
        }
    }
}

impl State {
    fn new(seed: u64, facts: &Facts, alarms: &Alarms) -> State {
        let mut actions = Vec::new();
        let router = Router::new(seed, facts, alarms.now(), &mut actions);
        State {
            router,
            book: Book::default(),
            ids: HashSet::new(),
            stores: Doors::default(),
            dials: Vec::new(),
            started: Vec::new(),
            groups: Doors::default(),
            timers: BTreeSet::new(),
            resorts: BTreeSet::new(),
            actions,
        }
    }

    fn tell(&mut self, now: Moment, event: Event) {
        self.router.handle(now, event, &mut self.actions);
    }

    fn fire(&mut self, now: Moment) {
        while let Some(&(at, tag)) = self.timers.first().filter(|timer| timer.0 <= now) {
            self.timers.remove(&(at, tag));
            self.tell(now, Event::Timer { tag });
        }
        while let Some(&(at, rpc)) = self.resorts.first().filter(|resort| resort.0 <= now) {
            self.resorts.remove(&(at, rpc));
            // What the timers above made of it stands in the actions still; only an overlooked one is left.
            let answered = |action: &Action| match action {
                Action::PushBack { rpc: r, .. } | Action::Abort { rpc: r } => *r == rpc,
                _ => false,
            };
            if self.book.is_open(rpc) && !self.actions.iter().any(answered) {
                log!("RPC {rpc} was still open at its last resort, aborted");
                self.answer(rpc, Answer::Abort);
                self.tell(now, Event::Gone { rpc });
            }
        }
    }

    fn arrive(&mut self, now: Moment, new: Admission, query: Query, ticket: Ticket, tick: Span) {
        let Some(group) = self.groups.find(&new.cluster) else {
            return ticket.answer(Answer::Refused("42704", "cluster names no listed group"));
        };
        let rpc = ticket.rpc;
        let Admission { id, method, session, last_write, deadline, repeat, .. } = new;
        // A store would take the second for a copy of the first.
        if !self.ids.insert(id.clone()) {
            return ticket.answer(Answer::Refused("42710", "id is that of an open query"));
        }
        let resort = deadline - tick;
        self.book.enter(rpc, Live { id, resort, ticket: Some(ticket), query: Arc::new(query), out: None });
        self.resorts.insert((resort, rpc));
        let arrival = Arrival { rpc, method, group, session, last_write, deadline, repeat };
        self.tell(now, Event::Arrived(arrival));
    }

    fn ended(&mut self, now: Moment, end: news::End) {
        let news::End { rpc, number, store, sent, outcome, note, report, value } = end;
        let Some(live) = self.book.get_mut(rpc) else { return };
        if outcome == Outcome::Ok {
            if let Some(ticket) = live.ticket.take() {
                ticket.answer(Answer::Value(value));
            }
        }
        let closed = live.ticket.is_none();
        let elapsed = now - sent;
        let event = End { rpc, call_out: number, store, outcome, elapsed, closed, note, report };
        self.tell(now, Event::Ended(event));
        let page = self.book.returned(rpc, closed);
        self.strike(rpc, page);
    }

    fn answer(&mut self, rpc: RpcId, answer: Answer) {
        if let Some(ticket) = self.book.get_mut(rpc).and_then(|live| live.ticket.take()) {
            ticket.answer(answer);
        }
        self.close(rpc);
    }

    fn close(&mut self, rpc: RpcId) {
        let page = self.book.close(rpc);
        self.strike(rpc, page);
    }

    /// Nothing more can come of an RPC: what was kept of it is given back.
    fn strike(&mut self, rpc: RpcId, page: Option<Live>) {
        if let Some(live) = page {
            self.ids.remove(&live.id);
            self.resorts.remove(&(live.resort, rpc));
        }
    }

    /// Tells the list; returns the addresses to which connections made before are of no more use.
    fn list(&mut self, whole: bool, hosts: Vec<Host>, zones: &[String], now: Moment) -> Vec<SocketAddr> {
        let (mut entries, mut stale) = (Vec::with_capacity(hosts.len()), Vec::new());
        for host in hosts {
            let store = self.stores.enter(host.host.clone());
            if self.dials.len() <= store {
                self.dials.resize(store + 1, None);
                self.started.resize(store + 1, None);
            }
            self.dials[store] = host.dial();
            if host.standing() != Standing::Open || self.started[store] != host.started() {
                stale.extend(host.dial());
            }
            self.started[store] = host.started();
            entries.push(Entry {
                store,
                group: self.groups.enter(host.block),
                zone: zones.iter().position(|zone| *zone == host.site).unwrap_or(zones.len()),
                standing: host.standing(),
                primary: host.is_primary(),
                started: host.started(),
            });
        }
        self.tell(now, Event::List { whole, entries });
        stale
    }
}
