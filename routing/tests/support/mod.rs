//! A router under scripted events, with the rules checked after each of them.

use routing::choice::Router;
use routing::iface::*;
use routing::time::{Moment, Span};
use std::collections::BTreeMap;

pub const TICK: Span = Span::millis(5);
pub const WRITE: MethodIx = 0;
pub const TOKENED: MethodIx = 1;
pub const CURRENT: MethodIx = 2;
pub const BOUNDED: MethodIx = 3;
pub const ANY: MethodIx = 4;
pub const LONG: MethodIx = 5;
pub const BOUND: Span = Span::millis(800);
pub const MEMORY: Span = Span::millis(3000);

pub struct Live {
    pub method: MethodIx,
    pub group: GroupIx,
    pub deadline: Moment,
    pub out: Option<(u32, StoreIx, Moment)>,
    pub call_outs: u32,
    pub ran_from: Option<Moment>,
    /// What its session has seen.
    pub seen: Option<Moment>,
}

pub struct Bench {
    pub router: Router,
    pub facts: Facts,
    pub now: Moment,
    pub live: BTreeMap<RpcId, Live>,
    pub timers: Vec<(Moment, u64)>,
    pub probes: Vec<StoreIx>,
    pub group_of: Vec<GroupIx>,
    pub open: Vec<bool>,
    /// The highest position told of each store, whether it ever claimed to be primary and was not denied by
    /// an answer since, and when it started.
    pub told: Vec<Option<Moment>>,
    pub excused: Vec<bool>,
    pub started: Vec<Option<Moment>>,
    pub sent_cold: Vec<Vec<Moment>>,
    /// By group: who may be taken for its primary.
    pub cleared: Vec<Clearance>,
    pub answers: BTreeMap<RpcId, &'static str>,
    pub sent: Vec<(RpcId, StoreIx)>,
    /// How busy the next stores probed say they are.
    pub load: Option<f64>,
    /// What the next RPCs' session has seen.
    pub seen: Option<Moment>,
    next: RpcId,
}

pub fn facts(lagging: Lagging) -> Facts {
    let ms = Span::millis;
    let method = |need, effect, soft, deadline, late_share| Method {
        need,
        effect,
        soft_deadline: ms(soft),
        deadline: ms(deadline),
        utility: 1.0,
        late_share,
    };
    let tokened = Effect::Tokened { everywhere: false, memory: MEMORY };
    Facts {
        methods: vec![
            method(Need::Write, Effect::NonIdempotent, 500, 3000, 0.5),
            method(Need::Write, tokened, 500, 5000, 0.5),
            method(Need::Current, Effect::Idempotent, 400, 1500, 0.0),
            method(Need::Bounded(BOUND), Effect::Idempotent, 600, 1500, 0.0),
            method(Need::Any, Effect::Idempotent, 500, 2000, 0.2),
            method(Need::Any, Effect::Idempotent, 3000, 6000, 0.0),
        ],
        instances: 2,
        zone: 0,
        tick: TICK,
        lagging,
        marks_carried: true,
        ask_within: Some(ms(10_000)),
        max_call_outs: 6,
        may_withdraw: true,
        may_probe: true,
        max_come_back: Some(ms(2000)),
        cold_from: 0.2,
        cold_for: ms(16_000),
        fall_multiple: 2.0,
        fall_window: ms(2000),
        gone_stays_open: false,
    }
}

impl Bench {
    /// `groups` groups of three: the first member of each is listed as its primary, and all have answered a
    /// probe that says so, with a position of now.
    pub fn ready(lagging: Lagging, groups: usize, seed: u64) -> Bench {
        Bench::one_of(2, lagging, groups, seed)
    }

    pub fn one_of(instances: u32, lagging: Lagging, groups: usize, seed: u64) -> Bench {
        Bench::of(Facts { instances, ..facts(lagging) }, groups, seed)
    }

    /// Nobody may be probed, and the list tells of no roles: nothing is known of anybody.
    pub fn blind(lagging: Lagging, groups: usize, seed: u64) -> Bench {
        Bench::of(Facts { may_probe: false, ..facts(lagging) }, groups, seed)
    }

    fn of(facts: Facts, groups: usize, seed: u64) -> Bench {
        let now = Moment(1_000_000_000_000);
        let mut actions = Vec::new();
        let router = Router::new(seed, &facts, now, &mut actions);
        let stores = groups * 3;
        let mut bench = Bench {
            router,
            facts,
            now,
            live: BTreeMap::new(),
            timers: Vec::new(),
            probes: Vec::new(),
            group_of: (0..stores).map(|ix| ix / 3).collect(),
            open: vec![true; stores],
            told: vec![None; stores],
            excused: vec![false; stores],
            started: vec![None; stores],
            sent_cold: vec![Vec::new(); stores],
            cleared: vec![Clearance::Free; groups],
            answers: BTreeMap::new(),
            sent: Vec::new(),
            load: None,
            seen: None,
            next: 0,
        };
        bench.check(actions);
        let entries = (0..stores).map(|ix| bench.entry(ix, Standing::Open)).collect();
        bench.give(Event::List { whole: true, entries });
        let probed = if bench.facts.may_probe { stores } else { 0 };
        for ix in 0..probed {
            bench.probed(ix, Outcome::Ok, now, ix % 3 == 0);
        }
        bench
    }

    pub fn entry(&self, store: StoreIx, standing: Standing) -> Entry {
        let (group, primary) = (self.group_of[store], self.facts.may_probe && store.is_multiple_of(3));
        Entry {
            store,
            group,
            zone: store % 2,
            standing,
            primary,
            started: self.started[store],
            presumed: false,
        }
    }

    pub fn list(&mut self, store: StoreIx, standing: Standing) {
        self.open[store] = standing == Standing::Open;
        let entries = vec![self.entry(store, standing)];
        self.give(Event::List { whole: false, entries });
    }

    pub fn clear(&mut self, group: GroupIx, clearance: Clearance) {
        self.cleared[group] = clearance;
        self.give(Event::Cleared { group, clearance });
    }

    pub fn arrive(&mut self, method: MethodIx, group: GroupIx, share: f64) -> RpcId {
        let deadline = self.now + self.facts.methods[method].deadline.times(share);
        let rpc = self.next;
        self.next += 1;
        let seen = self.seen;
        let live = Live { method, group, deadline, out: None, call_outs: 0, ran_from: None, seen };
        self.live.insert(rpc, live);
        let (session, last_write) = (Some(7), None);
        self.give(Event::Arrived(Arrival {
            rpc,
            method,
            group,
            session,
            last_write,
            seen,
            came: self.now,
            deadline,
            repeat: false,
        }));
        rpc
    }

    pub fn probed(&mut self, store: StoreIx, outcome: Outcome, position: Moment, primary: bool) {
        let mut report = Told { load: self.load, ..Told::default() };
        if outcome == Outcome::Ok {
            report.position = Some(position);
            report.role = Some(if primary { Role::Primary } else { Role::Replica });
            // What speaks of a time to come proves nothing.
            if position <= self.now + TICK * 2 {
                self.told[store] = self.told[store].max(Some(position));
                self.excused[store] |= primary;
            }
        }
        self.probes.retain(|&ix| ix != store);
        self.give(Event::Probed { store, outcome, elapsed: TICK, report });
    }

    /// Ends the call-out that an RPC has out.
    pub fn end(&mut self, rpc: RpcId, outcome: Outcome, primary: Option<bool>) {
        let Some(live) = self.live.get_mut(&rpc) else { return };
        let Some((call_out, store, sent)) = live.out.take() else { return };
        if !outcome.proves_it_never_ran() {
            live.ran_from = live.ran_from.or(Some(sent));
        }
        let closed = outcome == Outcome::Ok;
        if closed {
            self.live.remove(&rpc);
            self.answers.insert(rpc, "ok");
        }
        let mut note = Told::default();
        if let Some(primary) = primary.filter(|_| matches!(outcome, Outcome::Ok | Outcome::Lagged)) {
            note.role = Some(if primary { Role::Primary } else { Role::Replica });
            self.excused[store] = primary;
        }
        let (elapsed, report) = (self.now - sent, Told::default());
        let wrote = None;
        self.give(Event::Ended(End { rpc, call_out, store, outcome, elapsed, closed, wrote, note, report }));
    }

    /// Lets time pass, firing the timers that fall due.
    pub fn pass(&mut self, span: Span) {
        let until = self.now + span;
        while let Some(&(at, tag)) = self.timers.iter().min().filter(|due| due.0 <= until) {
            self.timers.retain(|&timer| timer != (at, tag));
            self.now = self.now.max(at);
            self.give(Event::Timer { tag });
        }
        self.now = until;
        self.overdue();
    }

    pub fn give(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        self.check(actions);
        self.overdue();
    }

    /// No RPC is lost: its answer stands at least a tick before its deadline.
    fn overdue(&self) {
        for (rpc, live) in &self.live {
            assert!(self.now + TICK <= live.deadline, "rpc {rpc} has no answer a tick before its deadline");
        }
    }

    fn check(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Remind { tag, at } => self.timers.push((at, tag)),
                Action::Probe { store } => {
                    assert!(self.facts.may_probe, "probed where it is not allowed");
                    self.probes.push(store);
                }
                Action::Send { rpc, store, time_out } => self.check_send(rpc, store, time_out),
                Action::PushBack { rpc, .. } => {
                    let live = self.live.remove(&rpc).expect("one final answer, to a live RPC");
                    let ran = live.ran_from.is_some() || live.out.is_some();
                    let safe = self.facts.methods[live.method].effect == Effect::Idempotent;
                    assert!(safe || !ran, "pushed back though it may have run");
                    self.answers.insert(rpc, "pushed back");
                }
                Action::Abort { rpc } => {
                    self.live.remove(&rpc).expect("one final answer, to a live RPC");
                    self.answers.insert(rpc, "aborted");
                }
                _ => {}
            }
        }
    }

    fn check_send(&mut self, rpc: RpcId, store: StoreIx, time_out: Span) {
        let live = self.live.get_mut(&rpc).expect("sent only while it is owed an answer");
        let method = &self.facts.methods[live.method];
        assert!(live.out.is_none(), "two call-outs out at once");
        assert!(live.call_outs < self.facts.max_call_outs, "too many call-outs");
        assert_eq!(self.group_of[store], live.group, "sent outside its group");
        let writes = method.need == Need::Write;
        match self.cleared[live.group] {
            Clearance::Barred => assert!(!writes, "a write to a group without a cleared primary"),
            Clearance::Only(one) => {
                assert!(!writes || store == one, "a write to another than the cleared one")
            }
            Clearance::Free => {}
        }
        assert!(self.open[store], "sent to a store that drains or is gone");
        assert!(time_out > Span::ZERO && self.now + time_out < live.deadline, "no time, or too much");
        match (live.ran_from, method.effect) {
            (Some(_), Effect::NonIdempotent) => panic!("a non-idempotent RPC went out again"),
            (Some(ran), Effect::Tokened { .. }) => assert!(self.now < ran + MEMORY, "past its memory"),
            _ => {}
        }
        if self.facts.lagging == Lagging::AnswersAnyway && !self.excused[store] {
            let needed = match method.need {
                Need::Bounded(bound) => Some(self.now - bound),
                Need::Current => Some(live.deadline - method.deadline),
                _ => None,
            };
            assert!(needed.is_none() || self.told[store] >= needed, "no proof that it is fresh enough");
        }
        if !writes && !self.excused[store] {
            assert!(live.seen.is_none() || self.told[store] >= live.seen, "less than its session has seen");
        }
        if self.started[store].is_some_and(|at| self.now - at < self.facts.fall_window) {
            self.sent_cold[store].push(self.now);
        }
        live.out = Some((live.call_outs, store, self.now));
        live.call_outs += 1;
        self.sent.push((rpc, store));
    }
}
