//! The router's owner: one coroutine holds the decisions, the book of RPCs and the timers. All that happens
//! comes to it by channel, is handled in batches under one clock reading, and goes out as messages.

use crate::admit::{Admission, Query};
use crate::bell::Bell;
use crate::hosts::Host;
use crate::keeper::Keeper;
use crate::log;
use crate::look::{Look, RpcRow, StoreRow, MOST_CLIENTS, MOST_RPCS};
use crate::mailbox::{Answer, Seen, Ticket};
use crate::news::{self, CallOut, Heard, News};
use crate::pool::NoWire;
use crate::send::Outlet;
use crate::tally::{Ending, Tally};
use crate::turns::{Coming, Set, Turning};
use crate::writes::{Filed, Filing, Writes};
use endpoint_cache::Kept;
use host_support::book::Book;
use host_support::doors::Doors;
use may::sync::mpsc::Receiver;
use recovery::proof::Floor;
use recovery::regain::{Action as Task, Event as Regained, Failure, Identity, Member, Regain};
use recovery::store::{Store, Word};
use recovery::trust::Times;
use routing::choice::Router;
use routing::iface::{
    Action, Arrival, Effect, End, Entry, Event, Facts, MethodIx, Need, Outcome, RpcId, Standing, StoreIx,
    Told,
};
use routing::time::{Moment, Span};
use sessions::epochs::{Epoch, Epochs, Verdict};
use sessions::marks::Mark;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use write_journal::fate::{Fate, Input, Token};

/// What the book keeps of an RPC.
struct Live {
    id: Arc<str>,
    method: MethodIx,
    cluster: i64,
    /// Where it is a write, the session that it is made for.
    wrote: Option<u64>,
    /// What its session has seen, and whether the RPC is a read, which must show that much.
    mark: Option<Mark>,
    reads: bool,
    /// It may not run twice, so it is kept on record; with its token, where it has one.
    journaled: bool,
    token: Option<Token>,
    recorded: bool,
    /// It repeats one that is on record, which may have run: it goes out as long as that is dropped.
    joined: bool,
    /// A call-out of it may have run, or has.
    may_have_run: bool,
    arrived: Moment,
    resort: Moment,
    ticket: Option<Ticket>,
    query: Arc<Query>,
    out: Option<(u32, Arc<Bell>)>,
    /// The store that has it, and since when.
    at: Option<(StoreIx, Moment)>,
}

impl Live {
    /// Its client is gone; false where it had its answer already.
    fn void(&mut self, tally: &Tally, now: Moment) -> bool {
        let Some(ticket) = self.ticket.take() else { return false };
        tally.ended(self.method, Ending::Gone, now - self.arrived);
        ticket.void();
        true
    }

    /// Answers it, unless that was done already.
    fn answer(&mut self, tally: &Tally, now: Moment, answer: Answer) {
        if let Some(ticket) = self.ticket.take() {
            let how = match answer {
                Answer::Value(..) | Answer::Fate(_) => Ending::Ok,
                Answer::PushBack(_) => Ending::PushedBack,
                Answer::Abort => Ending::Aborted,
                Answer::Lost(_) | Answer::Refused(..) => Ending::Refused,
            };
            tally.ended(self.method, how, now - self.arrived);
            ticket.answer(answer);
        }
    }

    /// What must be on record before a call-out leaves.
    fn entry(&self) -> Option<Filing> {
        // A repeat of another RPC's asks each time whether it may still go.
        let input = if self.recorded && !self.joined { Input::Again } else { Input::Intend };
        self.journaled.then(|| Filing { id: self.id.clone(), input, token: self.token })
    }
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
    /// The next alarm that is set and has not rung yet.
    alarm: Option<Moment>,
    /// The router has just been made anew and does not know the list.
    anew: bool,
    /// The router that panicked had a list that discovery stood by.
    vouched: bool,
    recovers: Option<Recovers>,
    /// How much is worked on at once, where that is limited.
    turns: Option<Set>,
    state: State,
}

/// How recovery is set up, where the list is kept over a restart.
pub struct Recovers {
    /// Those of the list at hand; none where its age is not known.
    pub times: Option<Times>,
    /// Stores can say who they are.
    pub who: bool,
    /// Descriptors for stores.
    pub descriptors: usize,
    pub keeper: Option<Arc<Keeper>>,
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
    regain: Option<Regain>,
    /// Those that wait their turn.
    turning: Option<Turning>,
    /// Of what was let through, that of which nothing more can come.
    left: Vec<RpcId>,
    /// What is known of the groups' logs.
    epochs: Epochs,
    writes: Option<Arc<Writes>>,
    tally: Arc<Tally>,
    /// What recovery wants done.
    tasks: Vec<Task>,
    /// The list's own words on stores that recovery has not opened yet.
    waiting: BTreeMap<StoreIx, Host>,
}

impl Owner {
    pub fn new(
        facts: Facts,
        seed: u64,
        zones: Vec<String>,
        most_held: usize,
        outlet: Outlet,
        news: Receiver<News>,
        recovers: Option<Recovers>,
    ) -> Owner {
        let state = State::new(seed, &facts, &outlet, recovers.as_ref(), None);
        let (listed, alarm, anew, vouched, turns) = (BTreeMap::new(), None, false, false, None);
        Owner {
            facts,
            seed,
            zones,
            most_held,
            outlet,
            news,
            listed,
            alarm,
            anew,
            vouched,
            recovers,
            turns,
            state,
        }
    }

    /// Serves for the life of the process. A panic of the decisions drops their state: what was open aborts
    /// by its ticket, and a router made anew starts from the list, as after a restart.
    pub fn run(mut self) {
        loop {
            let Err(_) = catch_unwind(AssertUnwindSafe(|| self.turn())) else { continue };
            log!(WARN; "the router panicked; it starts anew from the list");
            self.seed = self.seed.wrapping_add(1);
            let vouched = self.state.regain.as_ref().is_some_and(Regain::is_vouched);
            let turns = self.turns.clone();
            self.state = State::new(self.seed, &self.facts, &self.outlet, self.recovers.as_ref(), turns);
            self.vouched = vouched;
            self.anew = true;
            // The word that it had rung may have been lost with the batch.
            self.alarm = None;
            let at = self.outlet.alarms().now();
            let _ = self.outlet.owner.send(News::Tick { at });
        }
    }

    fn turn(&mut self) {
        let Ok(first) = self.news.recv() else { return };
        let now = self.outlet.alarms().now();
        if std::mem::take(&mut self.anew) {
            let hosts = self.listed.values().cloned().collect();
            if self.recovers.is_some() && !self.vouched {
                self.state.kept(hosts, Vec::new(), now);
            } else {
                self.state.list(true, hosts, &self.zones, now);
            }
        }
        self.state.fire(now);
        let mut through = Vec::new();
        if let Some(turning) = &mut self.state.turning {
            turning.tick(now, &mut through);
        }
        self.let_through(now, through);
        let mut next = Some(first);
        while let Some(news) = next {
            self.take(now, news);
            next = self.news.try_recv().ok();
        }
        self.act(now);
        while !self.state.left.is_empty() {
            self.let_through(now, Vec::new());
            self.act(now);
        }
        let due = self.state.timers.first().map(|timer| timer.0);
        let due = due.into_iter().chain(self.state.resorts.first().map(|resort| resort.0));
        let due = due.chain(self.state.turning.as_ref().and_then(Turning::due));
        let due = due.chain(self.state.regain.as_ref().and_then(|regain| regain.due(now))).min();
        // One that rings while its batch is under way is taken with a clock reading from before it: only its
        // own word says that it is over, or what falls due behind it would wait for news that may never come.
        if let Some(due) = due.filter(|due| self.alarm.is_none_or(|set| *due < set)) {
            self.alarm = Some(due);
            let owner = self.outlet.owner.clone();
            self.outlet.alarms().at(due, move || {
                let _ = owner.send(News::Tick { at: due });
            });
        }
    }

    fn take(&mut self, now: Moment, news: News) {
        let state = &mut self.state;
        match news {
            News::Arrived(admission, query, ticket) => {
                let coming = Coming { admission, query, ticket, came: now };
                let mut through = Vec::new();
                match &mut state.turning {
                    Some(turning) => turning.arrive(now, coming, &mut through),
                    None => through.push(coming),
                }
                self.let_through(now, through);
            }
            News::Gone { rpc } => {
                let mut through = Vec::new();
                let waited =
                    state.turning.as_mut().is_some_and(|turning| turning.gone(now, rpc, &mut through));
                if waited {
                    self.let_through(now, through);
                } else if state.book.get_mut(rpc).is_some_and(|live| live.void(&state.tally, now)) {
                    state.tell(now, Event::Gone { rpc });
                    state.close(rpc);
                }
            }
            News::Confirm { rpc, call_out, store, reply } => {
                let holds = state.book.is_open(rpc) && state.router.confirms(now, rpc, call_out, store);
                let _ = reply.send(holds && state.follows(now, rpc));
            }
            News::Epoch { rpc, epoch } => {
                if let Some(live) = state.book.get(rpc) {
                    state.epochs.learn(live.cluster, epoch);
                }
            }
            News::Ended(end) => {
                let (store, asked, note) = (end.store, end.sent, end.note);
                state.ended(now, end, self.facts.max_come_back);
                self.overhear(now, store, asked, note);
            }
            News::Probed { store, outcome, elapsed, report } => {
                if tracing::enabled!(tracing::Level::DEBUG) {
                    let (store, took_us) = (state.stores.name(store), elapsed.0 / 1_000);
                    let behind_us = report.position.map_or(-1, |at| (now - at).0 / 1_000);
                    let load = report.load.unwrap_or(-1.0);
                    tracing::debug!(%store, ?outcome, took_us, behind_us, load, "probe ended");
                }
                state.tally.probed(outcome);
                state.tell(now, Event::Probed { store, outcome, elapsed, report });
                self.overhear(now, store, now - elapsed, report);
            }
            News::Kept(kept) => {
                let floors = floors(&kept);
                let hosts: Vec<Host> = kept.stores.iter().map(Host::from).collect();
                self.listed = hosts.iter().map(|host| (host.host.clone(), host.clone())).collect();
                state.kept(hosts, floors, now);
            }
            News::Asked { store, asked, answer } => self.asked(now, store, asked, answer),
            News::List { whole, hosts } => {
                state.hear_list(whole, &hosts, now);
                self.work_off(now);
                let state = &mut self.state;
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
            News::Fate { id, origin, ticket } => {
                let alive = state.ids.contains(id.as_str());
                match &state.writes {
                    Some(writes) => writes.ask(id, origin, alive, |fate| ticket.answer(Answer::Fate(fate))),
                    None => ticket.answer(Answer::Fate(Fate::NotKnown)),
                }
            }
            News::ListFailed => state.tell(now, Event::ListFailed),
            News::Turns(set) => {
                let mut through = Vec::new();
                self.turns.clone_from(&set);
                match (state.turning.take(), set) {
                    (Some(mut turning), Some(set)) => {
                        turning.set(now, set, &mut through);
                        state.turning = Some(turning);
                    }
                    (None, Some(set)) => {
                        state.turning = Some(Turning::new(set, self.facts.max_come_back, self.seed));
                    }
                    (Some(turning), None) => through = turning.end(),
                    (None, None) => {}
                }
                self.let_through(now, through);
            }
            // Whoever asked may have gone.
            News::Look { reply } => _ = reply.send(state.look(now)),
            News::Tick { at } => {
                self.alarm = self.alarm.filter(|set| *set != at);
                state.recover(now, Regained::Tick);
            }
        }
        self.work_off(now);
    }

    /// Puts before the decisions what may be worked on from now on, and what that makes room for.
    fn let_through(&mut self, now: Moment, mut through: Vec<Coming>) {
        loop {
            for coming in through.drain(..) {
                if self.state.book.len() >= self.most_held {
                    self.state.left.push(coming.ticket.rpc);
                    coming.ticket.answer(Answer::PushBack(self.facts.max_come_back));
                } else {
                    self.state.arrive(now, coming, &self.facts);
                }
            }
            let left = std::mem::take(&mut self.state.left);
            let Some(turning) = self.state.turning.as_mut().filter(|_| !left.is_empty()) else { return };
            left.into_iter().for_each(|rpc| turning.leave(now, rpc, &mut through));
        }
    }

    fn asked(&mut self, now: Moment, store: StoreIx, asked: Moment, answer: Result<Heard, NoWire>) {
        let state = &mut self.state;
        let who = self.recovers.as_ref().is_some_and(|recovers| recovers.who);
        let failed = |why| Regained::Failed { store, why };
        let (event, outcome, told) = match answer {
            Ok(Heard { outcome: Outcome::Ok, told, name }) => {
                let (identity, timeline) = identify(who, name.as_deref(), state.stores.name(store));
                let word = Word::of(told, timeline);
                (Regained::Answered { store, asked, identity, word }, Outcome::Ok, told)
            }
            // Its own word that it has no room, is starting or does not know the question: it runs, and said
            // nothing.
            Ok(Heard { outcome, .. }) => (failed(Failure::Silent), outcome, Told::default()),
            Err(NoWire { refused: true, outcome }) => (failed(Failure::Refused), outcome, Told::default()),
            Err(NoWire { outcome: outcome @ (Outcome::Moot | Outcome::Full), .. }) => {
                (failed(Failure::Unasked), outcome, Told::default())
            }
            Err(NoWire { outcome, .. }) => (failed(Failure::Silent), outcome, Told::default()),
        };
        state.recover(now, event);
        self.work_off(now);
        let state = &mut self.state;
        // An answer that another store gave is no probe of this one.
        let heard = state.regain.as_ref().and_then(|regain| regain.store(store)).is_some_and(Store::is_heard);
        if heard && outcome == Outcome::Ok {
            let elapsed = now - asked;
            state.tell(now, Event::Probed { store, outcome, elapsed, report: told });
            self.note(store);
        }
    }

    /// What came with an answer to the decisions is recovery's too.
    fn overhear(&mut self, now: Moment, store: StoreIx, asked: Moment, told: Told) {
        if told.role.is_some() && self.state.regain.is_some() {
            self.state.recover(now, Regained::Overheard { store, asked, told });
            self.note(store);
        }
    }

    fn note(&self, store: StoreIx) {
        let keeper = self.recovers.as_ref().and_then(|recovers| recovers.keeper.as_ref());
        let word = self.state.regain.as_ref().and_then(|regain| regain.store(store)).map(|store| store.word);
        if let (Some(keeper), Some(word)) = (keeper, word) {
            keeper.heard(self.state.stores.name(store), word);
        }
    }

    /// Does what recovery wants done, in its order.
    fn work_off(&mut self, now: Moment) {
        let who = self.recovers.as_ref().is_some_and(|recovers| recovers.who);
        for task in std::mem::take(&mut self.state.tasks) {
            let state = &mut self.state;
            match task {
                Task::Ask { store } => match state.dials[store] {
                    Some(addr) => self.outlet.ask(store, addr, who),
                    None => state.recover(now, Regained::Failed { store, why: Failure::Silent }),
                },
                Task::Admit { store } => {
                    if let Some(host) = state.waiting.remove(&store) {
                        // It may have started only just now: nobody has seen it before.
                        let entry =
                            Entry { started: Some(now), presumed: true, ..state.entry(&host, &self.zones) };
                        let entries = vec![Entry { primary: false, ..entry }];
                        state.tell(now, Event::List { whole: false, entries });
                    }
                }
                Task::Shut { store } => {
                    let name = state.stores.name(store);
                    if let Some(host) = self.listed.get(name) {
                        let entry = Entry { standing: Standing::Draining, ..state.entry(host, &self.zones) };
                        state.waiting.insert(store, host.clone());
                        state.tell(now, Event::List { whole: false, entries: vec![entry] });
                        state.dials[store].into_iter().for_each(|addr| self.outlet.pool.forget(&addr));
                    }
                }
                Task::Clear { group, clearance } => state.tell(now, Event::Cleared { group, clearance }),
            }
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
                    state.trace(rpc, "call-out", now);
                    let Some(live) = state.book.get_mut(rpc) else { continue };
                    (live.out, live.at) = (Some((number, bell.clone())), Some((store, now)));
                    let (query, entry) = (live.query.clone(), live.entry());
                    let follows = !live.reads && live.mark.is_some_and(|mark| mark.epoch > 0);
                    let Some(addr) = state.dials[store] else {
                        ends.push(news::End::moot(rpc, number, store, now));
                        continue;
                    };
                    let by = now + time_out;
                    self.outlet.send(CallOut {
                        rpc,
                        number,
                        store,
                        addr,
                        sent: now,
                        by,
                        query,
                        bell,
                        entry,
                        follows,
                    });
                }
                Action::PushBack { rpc, come_back } => {
                    // A repeat of what may have run in an earlier RPC: that it didn't is no longer known.
                    let doubtful = state.book.get(rpc).is_some_and(|live| live.joined);
                    let (what, answer) = match doubtful {
                        true => ("aborted", Answer::Abort),
                        false => ("pushed back", Answer::PushBack(come_back)),
                    };
                    state.trace(rpc, what, now);
                    state.answer(now, rpc, answer);
                }
                Action::Abort { rpc } => {
                    state.trace(rpc, "aborted", now);
                    state.answer(now, rpc, Answer::Abort);
                }
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
                Action::Remark(words) => log!(INFO; "the router remarks: {words}"),
            }
        }
        for end in ends {
            state.ended(now, end, self.facts.max_come_back);
        }
        if !state.actions.is_empty() {
            self.act(now);
        }
    }
}

impl State {
    fn new(
        seed: u64,
        facts: &Facts,
        outlet: &Outlet,
        recovers: Option<&Recovers>,
        turns: Option<Set>,
    ) -> State {
        let regain = |how: &Recovers| Regain::new(how.times, facts.may_probe, how.descriptors);
        let mut actions = Vec::new();
        let router = Router::new(seed, facts, outlet.alarms().now(), &mut actions);
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
            regain: recovers.map(regain),
            turning: turns.map(|set| Turning::new(set, facts.max_come_back, seed)),
            left: Vec::new(),
            epochs: Epochs::default(),
            writes: outlet.writes.clone(),
            tally: outlet.tally.clone(),
            tasks: Vec::new(),
            waiting: BTreeMap::new(),
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
                log!(WARN, rpc = rpc; "RPC {rpc} was still open at its last resort, aborted");
                self.answer(now, rpc, Answer::Abort);
                self.tell(now, Event::Gone { rpc });
            }
        }
    }

    fn recover(&mut self, now: Moment, event: Regained) {
        if let Some(regain) = &mut self.regain {
            regain.handle(now, event, &mut self.tasks);
        }
    }

    /// Takes up a list from before this start: its stores get their numbers, and recovery decides from when
    /// on the decisions may know of them.
    fn kept(&mut self, hosts: Vec<Host>, floors: Vec<(i64, Floor)>, now: Moment) {
        let mut members = Vec::with_capacity(hosts.len());
        for host in hosts {
            let member = self.number(&host);
            members.push(member);
            self.waiting.insert(member.store, host);
        }
        let floors = floors.into_iter().map(|(block, floor)| (self.groups.enter(block), floor)).collect();
        self.recover(now, Regained::Kept { members, floors });
    }

    /// What discovery's list means to recovery, before the decisions are told of it.
    fn hear_list(&mut self, whole: bool, hosts: &[Host], now: Moment) {
        if self.regain.is_none() || (whole && hosts.is_empty()) {
            return;
        }
        let (mut members, mut gone) = (Vec::with_capacity(hosts.len()), Vec::new());
        for host in hosts {
            let member = self.number(host);
            if host.standing() == Standing::Gone {
                gone.push(member.store);
            } else {
                members.push(member);
                self.waiting.remove(&member.store);
            }
        }
        self.recover(now, Regained::Listed { whole, members, gone });
    }

    /// A store's number, and where it is.
    fn number(&mut self, host: &Host) -> Member {
        let store = self.stores.enter(host.host.clone());
        if self.dials.len() <= store {
            self.dials.resize(store + 1, None);
            self.started.resize(store + 1, None);
        }
        self.dials[store] = host.dial();
        Member { store, group: self.groups.enter(host.block) }
    }

    /// The list's word on a store.
    fn entry(&mut self, host: &Host, zones: &[String]) -> Entry {
        Entry {
            store: self.stores.enter(host.host.clone()),
            group: self.groups.enter(host.block),
            zone: zones.iter().position(|zone| *zone == host.site).unwrap_or(zones.len()),
            standing: host.standing(),
            primary: host.is_primary(),
            started: host.started(),
            presumed: false,
        }
    }

    fn arrive(&mut self, now: Moment, coming: Coming, facts: &Facts) {
        // Until it is in the book nothing else would tell that nothing more comes of it.
        let rpc = coming.ticket.rpc;
        if self.enter(now, coming, facts).is_none() {
            self.left.push(rpc);
        }
    }

    fn enter(&mut self, now: Moment, coming: Coming, facts: &Facts) -> Option<()> {
        let Coming { admission: new, query, ticket, came } = coming;
        let refuse = |ticket: Ticket, answer| {
            ticket.answer(answer);
            None
        };
        let (tick, come_back) = (facts.tick, facts.max_come_back);
        let effect = facts.methods.get(new.method).map(|method| method.effect);
        let journaled = self.writes.is_some() && effect != Some(Effect::Idempotent);
        let token = effect.and_then(|effect| token(effect, new.cluster, tick));
        let reads = facts.methods.get(new.method).is_some_and(|method| method.need != Need::Write);
        if self.groups.is_empty() {
            // No list has come yet: which groups there are is not known.
            return refuse(ticket, Answer::PushBack(come_back));
        }
        let Some(group) = self.groups.find(&new.cluster) else {
            return refuse(ticket, Answer::Refused("42704", "cluster names no listed group"));
        };
        let rpc = ticket.rpc;
        let Admission { id, method, cluster, session, last_write, mark, deadline, repeat, .. } = new;
        let seen = match mark.map(|mark| self.epochs.judge(cluster, mark)) {
            Some(Verdict::Lost) => return refuse(ticket, Answer::Lost(self.epochs.anew(cluster))),
            Some(Verdict::Stands(position) | Verdict::Ahead(position)) => Some(position),
            None => None,
        };
        // A store would take the second for a copy of the first.
        if !self.ids.insert(id.clone()) {
            return refuse(ticket, Answer::Refused("42710", "id is that of an open query"));
        }
        let resort = deadline - tick;
        self.book.enter(
            rpc,
            Live {
                id,
                method,
                cluster,
                wrote: session.filter(|_| !reads),
                mark,
                reads,
                journaled,
                token,
                recorded: false,
                joined: false,
                may_have_run: false,
                arrived: came,
                resort,
                ticket: Some(ticket),
                query: Arc::new(query),
                out: None,
                at: None,
            },
        );
        self.resorts.insert((resort, rpc));
        self.recover(now, Regained::Wanted { group });
        let arrival = Arrival { rpc, method, group, session, last_write, seen, came, deadline, repeat };
        self.tell(now, Event::Arrived(arrival));
        Some(())
    }

    /// What stands where, the oldest RPCs first.
    fn look(&self, now: Moment) -> Look {
        let row = |(rpc, live): (RpcId, &Live)| RpcRow {
            id: live.id.clone(),
            method: live.method,
            group: live.cluster,
            came: live.arrived,
            call_outs: live.out.as_ref().map_or(0, |(number, _)| number + 1),
            out: live.at.map(|(store, since)| (self.stores.name(store).clone(), since)),
            closed: !self.book.is_open(rpc),
        };
        let mut rpcs: Vec<RpcRow> = self.book.iter().map(row).collect();
        rpcs.sort_by(|a, b| (a.came, &a.id).cmp(&(b.came, &b.id)));
        rpcs.truncate(MOST_RPCS);
        let store = |ix: StoreIx| StoreRow {
            name: self.stores.name(ix).clone(),
            addr: self.dials[ix],
            look: self.router.look(now, ix),
        };
        Look {
            now,
            open: self.book.len(),
            rpcs,
            stores: (0..self.dials.len()).map(store).collect(),
            groups: self.groups.len(),
            turns: self.turning.as_ref().map(|turning| turning.look(MOST_CLIENTS)),
        }
    }

    fn ended(&mut self, now: Moment, end: news::End, come_back: Option<Span>) {
        let news::End { rpc, number, store, sent, outcome, note, report, epoch, value, word } = end;
        let Some(live) = self.book.get_mut(rpc) else { return };
        live.at = None;
        live.joined |= word == Some(Filed::Join);
        // Where one before may have run, this answer may be that to a repeat, and its position no commit's.
        let first = !live.joined && !live.may_have_run;
        live.recorded |= matches!(word, Some(Filed::Go | Filed::Join));
        live.may_have_run |= live.joined || !outcome.proves_it_never_ran();
        if let (Some(writes), true, Outcome::Ok) = (&self.writes, live.recorded, outcome) {
            let commit = note.position.filter(|_| first).map(|at| at.0 / 1_000_000);
            writes.ended(&live.id, Input::Ran(commit));
        }
        if word == Some(Filed::Barred) {
            let why = "id is that of a write on record: ask for its fate";
            live.answer(&self.tally, now, Answer::Refused("42710", why));
        }
        if outcome == Outcome::Ok {
            if let Some(epoch) = epoch {
                self.epochs.learn(live.cluster, epoch);
            }
            if live.ticket.is_some() {
                let answer = shown(&self.epochs, live, value, &note, epoch, now, come_back);
                live.answer(&self.tally, now, answer);
            }
        }
        let closed = live.ticket.is_none();
        let elapsed = now - sent;
        self.tally.called_out(outcome, elapsed);
        if tracing::enabled!(tracing::Level::DEBUG) {
            let group = live.cluster;
            let (store, took_us) = (self.stores.name(store), elapsed.0 / 1_000);
            let id = &live.id;
            tracing::debug!(rpc, %id, call_out = number, %store, group, ?outcome, took_us, "call-out ended");
        }
        let wrote = live.wrote;
        let event = End { rpc, call_out: number, store, outcome, elapsed, closed, wrote, note, report };
        self.tell(now, Event::Ended(event));
        let page = self.book.returned(rpc, closed);
        self.strike(rpc, page);
    }

    /// Whether what an RPC's session has seen still lies on the log, by all that was heard up to this moment;
    /// where not, its client is told.
    fn follows(&mut self, now: Moment, rpc: RpcId) -> bool {
        let Some(live) = self.book.get_mut(rpc) else { return false };
        let lost = live.mark.is_some_and(|mark| self.epochs.judge(live.cluster, mark) == Verdict::Lost);
        if lost {
            let anew = self.epochs.anew(live.cluster);
            live.answer(&self.tally, now, Answer::Lost(anew));
        }
        !lost
    }

    /// One line for each decision on an RPC, by which it is followed through the front.
    fn trace(&self, rpc: RpcId, what: &str, now: Moment) {
        if tracing::enabled!(tracing::Level::DEBUG) {
            let Some(live) = self.book.get(rpc) else { return };
            let (group, held_us) = (live.cluster, (now - live.arrived).0 / 1_000);
            tracing::debug!(rpc, id = %live.id, group, reads = live.reads, held_us, "decided: {what}");
        }
    }

    fn answer(&mut self, now: Moment, rpc: RpcId, answer: Answer) {
        if let Some(live) = self.book.get_mut(rpc) {
            live.answer(&self.tally, now, answer);
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
            if let (Some(writes), true, false) = (&self.writes, live.recorded, live.may_have_run) {
                writes.ended(&live.id, Input::ProvedNever);
            }
            self.resorts.remove(&(live.resort, rpc));
            if self.turning.is_some() {
                self.left.push(rpc);
            }
        }
    }

    /// Tells the list; returns the addresses to which connections made before are of no more use.
    fn list(&mut self, whole: bool, hosts: Vec<Host>, zones: &[String], now: Moment) -> Vec<SocketAddr> {
        let (mut entries, mut stale) = (Vec::with_capacity(hosts.len()), Vec::new());
        for host in hosts {
            let store = self.number(&host).store;
            if host.standing() != Standing::Open || self.started[store] != host.started() {
                stale.extend(host.dial());
            }
            self.started[store] = host.started();
            entries.push(self.entry(&host, zones));
        }
        self.tell(now, Event::List { whole, entries });
        stale
    }
}

fn token(effect: Effect, group: i64, tick: Span) -> Option<Token> {
    let ms = |span: Span| span.0 / 1_000_000;
    match effect {
        Effect::Tokened { everywhere, memory } => {
            Some(Token::new((!everywhere).then_some(group), ms(memory), ms(tick)))
        }
        _ => None,
    }
}

/// What a client gets for a good answer. A read whose session has seen more than this store's log shows is
/// not given it: what the store that really answered says of itself goes before all that was believed of it.
fn shown(
    epochs: &Epochs,
    live: &Live,
    value: Vec<u8>,
    note: &Told,
    epoch: Option<Epoch>,
    now: Moment,
    come_back: Option<Span>,
) -> Answer {
    let lost = live.mark.is_some_and(|mark| epochs.judge(live.cluster, mark) == Verdict::Lost);
    let shows = live.mark.is_none_or(|mark| epochs.shows(live.cluster, mark, epoch, note.position));
    if live.reads && lost {
        return Answer::Lost(epochs.anew(live.cluster));
    }
    if live.reads && !shows {
        return Answer::PushBack(come_back);
    }
    // What a store does not say it may have seen up to this moment.
    let (epoch, position) = (epoch.map_or(0, |epoch| epoch.number), note.position.unwrap_or(now));
    Answer::Value(value, Seen { mark: Some(Mark { epoch, position }), lost })
}

/// What a store says of itself, its name and its timeline, beside the name that the list gives it.
fn identify(who: bool, said: Option<&str>, name: &str) -> (Identity, Option<u32>) {
    let Some(said) = said.filter(|_| who) else { return (Identity::Untold, None) };
    match said.rsplit_once(',') {
        Some((its, timeline)) if its == name => (Identity::Right, timeline.parse().ok()),
        _ => (Identity::Wrong, None),
    }
}

/// The least that a group's true primary must have, by what its members said before this start.
fn floors(kept: &Kept) -> Vec<(i64, Floor)> {
    let mut floors: BTreeMap<i64, Floor> = BTreeMap::new();
    for store in &kept.stores {
        let floor = floors.entry(store.block).or_default();
        let Some(said) = store.said else { continue };
        let position = said.position_ms.map(|ms| Moment(ms.saturating_mul(1_000_000)));
        if said.timeline > floor.timeline {
            (floor.timeline, floor.position) = (said.timeline, position);
        } else if said.timeline == floor.timeline {
            floor.position = floor.position.max(position);
        }
    }
    floors.into_iter().collect()
}
