//! Every decision: where each RPC goes, when it waits, and when it is given up.
//!
//! A host makes one [`Router`] an instance and hands it events in their order, each with the clock of its
//! batch, by [`Router::handle`]; what is to be done is pushed to the caller's list. Chance is from its seed.
//! The ordinary path: a read goes to the replica with the fewest of our call-outs in flight among those whose
//! told position reaches the read's bound. Where none does, the read waits for one, by the store's own hold
//! or here, before it touches the primary. `docs/design.md` says where that is departed from.

mod look;
mod state;

use crate::iface::*;
use crate::remembered::Remembered;
use crate::rng::Mwc;
use crate::time::{Moment, Span};
pub use look::StoreLook;
use state::{CallOut, Group, Rpc, Store};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    #[default]
    Held,
    Out,
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Input {
    /// Something that may let it go: its arrival, or news of its group.
    News,
    Placed(StoreIx),
    Hopeless,
    /// The call-out ended without an answer for the client.
    Returned,
    Closed,
    /// The last moment for an answer of ours.
    Overdue,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Seek,
    Send,
    GiveUp,
    Forget,
}

/// One row: in this state, on this input, go to that state and do this. `Placed` matches whatever its store.
type Row = (State, fn(Input) -> bool, State, Step);

const RPC_TABLE: &[Row] = &[
    (State::Held, |i| i == Input::News, State::Held, Step::Seek),
    (State::Held, |i| matches!(i, Input::Placed(_)), State::Out, Step::Send),
    (State::Held, |i| matches!(i, Input::Hopeless | Input::Overdue), State::Done, Step::GiveUp),
    (State::Held, |i| i == Input::Closed, State::Done, Step::Forget),
    (State::Out, |i| i == Input::Returned, State::Held, Step::Seek),
    (State::Out, |i| i == Input::Overdue, State::Done, Step::GiveUp),
    (State::Out, |i| i == Input::Closed, State::Done, Step::Forget),
];

/// What the start facts come to.
struct Charter {
    facts: Facts,
    methods: Vec<Terms>,
    /// Methods in the order in which held RPCs are tried: writes and current reads first.
    order: Vec<MethodIx>,
    ask_again: Option<Span>,
    /// From the deadline back: the answer must be in the client's hands before it.
    margin: Span,
    /// How often held RPCs, overdue probes and rests are looked at when nothing else happens.
    pulse: Span,
    /// Told positions older than this are asked for anew.
    stale_after: Span,
    /// The shortest soft deadline.
    pressing: Span,
    our_share: f64,
    first_room: f64,
}

struct Terms {
    need: Need,
    /// How long after it may have run it may be sent again, and whether its client may always come again.
    repeat_for: Span,
    harmless: bool,
    soft: Span,
    late_share: f64,
    /// May hold up a replica's apply for longer than a bound allows.
    stalls: bool,
}

/// One instance's decisions and all that it believes.
pub struct Router {
    charter: Charter,
    rng: Mwc,
    now: Moment,
    rpcs: BTreeMap<RpcId, Rpc>,
    stores: Vec<Store>,
    groups: Vec<Group>,
    sessions: Remembered,
    /// What each method's quicker answers take: small steps hold about three in ten under it.
    usual: Vec<f64>,
    ask_at: Option<Moment>,
}

const PULSE: u64 = 0;
/// What a store may hold of all fronts' call-outs before it has shown how much suits it.
const FIRST_ROOM: f64 = 16.0;
/// The parts of a store's cores over which a primary helps no reads out, and over which no room is widened.
const BUSY: f64 = 0.7;
const FULL: f64 = 0.9;

impl Charter {
    fn new(facts: &Facts) -> Charter {
        let soft = facts.methods.iter().map(|m| m.soft_deadline).min().unwrap_or(Span::millis(100));
        let bound = |m: &Method| if let Need::Bounded(bound) = m.need { Some(bound) } else { None };
        let tightest = facts.methods.iter().filter_map(bound).min();
        let mut order: Vec<MethodIx> = (0..facts.methods.len()).collect();
        let rank = |m: &Method| (m.need != Need::Write, m.need != Need::Current, m.soft_deadline);
        order.sort_by_key(|&ix| rank(&facts.methods[ix]));
        let margin = facts.tick * 2;
        let terms = |m: &Method| {
            let (repeat_for, harmless) = match m.effect {
                Effect::Idempotent => (Span(i64::MAX), true),
                Effect::Tokened { everywhere, memory } => (memory - margin, everywhere),
                Effect::NonIdempotent => (Span::ZERO, false),
            };
            let stalls = m.need == Need::Any && tightest.is_some_and(|bound| m.soft_deadline >= bound);
            let (need, soft, late_share) = (m.need, m.soft_deadline, m.late_share);
            Terms { need, repeat_for, harmless, soft, late_share, stalls }
        };
        let our_share = 1.0 / f64::from(facts.instances.max(1));
        Charter {
            facts: facts.clone(),
            methods: facts.methods.iter().map(terms).collect(),
            order,
            ask_again: facts.ask_within.map(|span| span / 2),
            margin,
            pulse: (soft / 8).max(facts.tick),
            pressing: soft,
            our_share,
            first_room: (FIRST_ROOM * our_share).min(FIRST_ROOM / 4.0),
            stale_after: tightest.unwrap_or(soft * 4) / 4,
        }
    }
}

impl Router {
    pub fn new(seed: u64, facts: &Facts, now: Moment, actions: &mut Vec<Action>) -> Router {
        let charter = Charter::new(facts);
        actions.push(Action::Remind { tag: PULSE, at: now + charter.pulse });
        let ask_at = charter.ask_again.map(|_| now);
        let usual = charter.methods.iter().map(|m| m.soft.secs() / 4.0).collect();
        let (rpcs, stores, groups, sessions) = Default::default();
        let rng = Mwc::new(seed);
        let mut router = Router { charter, rng, now, rpcs, stores, groups, sessions, usual, ask_at };
        router.ask(actions);
        router
    }

    pub fn handle(&mut self, now: Moment, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::List { whole, entries } => self.list(whole, entries),
            Event::Cleared { group, clearance } => {
                self.know_group(group);
                self.groups[group].clearance = clearance;
                self.find_primary(group);
                self.retry_held(Some(group), actions);
            }
            // Many fronts asking again in step would fail together again.
            Event::ListFailed => {
                let chance = self.rng.below(16) as i64;
                self.ask_at = self.charter.ask_again.map(|span| self.now + span / 64 * (16 + chance));
            }
            Event::Arrived(new) => self.arrive(new, actions),
            Event::Streaming { rpc } | Event::Gone { rpc } => self.drive(rpc, Input::Closed, actions),
            Event::Ended(end) => {
                self.learn(end.store, end.report, false);
                let group = self.learn(end.store, end.note, true);
                self.ended(&end, actions);
                self.retry_held(group, actions);
            }
            Event::Timer { tag: PULSE } => self.beat(actions),
            Event::Timer { tag } if tag % 2 == 1 => self.drive(tag / 2, Input::News, actions),
            Event::Timer { tag } => self.drive(tag / 2 - 1, Input::Overdue, actions),
            Event::Probed { store, outcome, report, .. } => {
                let group = self.learn(store, report, false);
                if let Some(s) = self.stores.get_mut(store) {
                    s.probe_out = false;
                    match outcome {
                        Outcome::Ok => s.answered = now,
                        Outcome::Full => {} // Too many asked it at once: no word of its health.
                        _ => self.fail(store),
                    }
                }
                self.retry_held(group, actions);
                group.into_iter().for_each(|group| self.sound_out(group, false, actions));
            }
            Event::Peer { .. } => {}
        }
    }

    /// Whether what a call-out was sent for still holds as it leaves; a bound that stores check is theirs.
    pub fn confirms(&mut self, now: Moment, id: RpcId, call_out: u32, ix: StoreIx) -> bool {
        self.now = now;
        let Some(rpc) = self.rpcs.get(&id) else { return false };
        let ours = rpc.out.as_ref().is_some_and(|out| out.number == call_out)
            && rpc.repeat_by.is_none_or(|by| now < by);
        let checked = self.charter.facts.lagging != Lagging::AnswersAnyway;
        let fresh = (checked && !rpc.carries) || self.stores[ix].position >= self.needed(rpc);
        let reads = self.charter.methods[rpc.method].need != Need::Write;
        let Group { primary, .. } = self.groups[rpc.group];
        let sought = primary.is_none() && !self.charter.facts.may_probe;
        let finds_out = !reads && sought && self.groups[rpc.group].clears(ix);
        ours && self.stores[ix].open && (primary == Some(ix) || (reads && fresh) || finds_out)
    }

    // What is believed of stores.

    fn ask(&mut self, actions: &mut Vec<Action>) {
        if self.ask_at.is_some_and(|at| at <= self.now) {
            self.ask_at = self.charter.ask_again.map(|span| self.now + span);
            actions.push(Action::Watch);
        }
    }

    fn list(&mut self, whole: bool, entries: Vec<Entry>) {
        let stays = self.charter.facts.gone_stays_open;
        self.stores.iter_mut().filter(|_| whole).for_each(|store| store.open &= stays);
        // A standing watch needs no renewal; one that was lost unseen does.
        self.ask_at = self.charter.ask_again.map(|span| self.now + span * 4);
        for entry in entries {
            if self.stores.len() <= entry.store {
                self.stores.resize_with(entry.store + 1, Store::default);
            }
            self.know_group(entry.group);
            let store = &mut self.stores[entry.store];
            if !self.groups[entry.group].members.contains(&entry.store) {
                self.groups[entry.group].members.push(entry.store);
                (store.group, store.zone, store.room) = (entry.group, entry.zone, self.charter.first_room);
            }
            let kept = entry.standing == Standing::Gone && store.open && stays;
            store.open = kept || entry.standing == Standing::Open;
            // A start that was only presumed gives way to the list's word.
            store.started = store.started.filter(|_| !store.presumed);
            store.presumed = entry.presumed;
            if entry.started > store.started {
                // Each front's first call-out to a cold store comes at a time of its own.
                let owing = self.rng.below(64) as f64 / 256.0 * self.charter.pressing.secs();
                (store.started, store.sent, store.owing) = (entry.started, self.now, owing);
            }
            // The list's word on roles is weakest: it counts only until the store itself has spoken.
            let spoken = store.answered.max(store.denied).max(store.claims.unwrap_or(Moment::DAWN));
            if spoken == Moment::DAWN {
                store.claims = entry.primary.then_some(Moment::DAWN);
            }
            self.find_primary(entry.group);
        }
    }

    fn know_group(&mut self, ix: GroupIx) {
        let (held, most) = (vec![BTreeSet::new(); self.charter.methods.len()], self.groups.len().max(ix + 1));
        self.groups.resize_with(most, || Group { held: held.clone(), ..Group::default() });
    }

    /// Takes a claim for what it is worth. A position proves freshness however late it comes; a role counts
    /// from the moment that it speaks of, which for a primary is its position.
    fn learn(&mut self, ix: StoreIx, told: Told, answer: bool) -> Option<GroupIx> {
        let now = self.now;
        let store = self.stores.get_mut(ix)?;
        // What speaks of a time to come proves nothing, least of all freshness.
        let told = if told.position > Some(now + self.charter.margin) { Told::default() } else { told };
        if let Some(position) = told.position {
            store.position = store.position.max(Some(position.min(now)));
            store.told = now;
        }
        store.load = told.load.map(|load| (load, now)).or(store.load);
        match told.role {
            Some(Role::Primary) => {
                let at = told.position.unwrap_or(if answer { now } else { store.denied });
                if at > store.denied {
                    store.claims = store.claims.max(Some(at));
                }
            }
            // An answer's "replica" holds at once; a report's only from when it was made.
            Some(Role::Replica) if answer => (store.claims, store.denied) = (None, now),
            Some(Role::Replica) if told.position.unwrap_or(now) >= store.claims.unwrap_or(now) => {
                store.claims = None;
            }
            _ => {}
        }
        let group = store.group;
        self.find_primary(group);
        Some(group)
    }

    fn find_primary(&mut self, group: GroupIx) {
        let its = &self.groups[group];
        let claim = |&ix: &StoreIx| Some((self.stores[ix].claims.filter(|_| its.clears(ix))?, ix));
        self.groups[group].primary = its.members.iter().filter_map(claim).max().map(|(_, ix)| ix);
    }

    /// A store that fails gets nothing for a while, each time longer, then a single call-out to show itself:
    /// one that fails fast would else look idle and draw all. Answers from elsewhere don't shorten it.
    fn fail(&mut self, ix: StoreIx) {
        let (now, base) = (self.now, self.charter.pulse * 2);
        let Some(store) = self.stores.get_mut(ix) else { return };
        if store.rest_until <= now {
            store.failures = (store.failures + 1).min(5);
            store.rest_until = now + base * (1 << (store.failures - 1));
        }
        store.failed = now;
    }

    fn usable(&self, ix: StoreIx, method: MethodIx) -> bool {
        let store = &self.stores[ix];
        let blind = !self.charter.facts.may_probe;
        let sound = store.failures == 0 || (store.in_flight == 0 && (blind || store.answered > store.failed));
        // A write goes by the list's word on its primary: one who is none turns it away untouched.
        let claims = self.charter.methods[method].need == Need::Write && store.claims.is_some();
        let heard = blind || claims || store.answered > Moment::DAWN;
        let up = store.open && heard && store.rest_until <= self.now;
        let light = self.warmth(store).is_none_or(|part| self.is_light(self.usual[method], part));
        // Who claims to be primary and was not cleared may stand on a log of its own.
        let apart = store.claims.is_some() && !self.groups[store.group].clears(ix);
        up && sound && light && !apart
    }

    fn has_room(&self, ix: StoreIx, part: f64) -> bool {
        let store = &self.stores[ix];
        // Calls come in twos by chance: no sign of a queue at a warm store that no late answer has cut.
        let whole = self.warmth(store).is_none() && store.room >= self.charter.first_room;
        let ahead = if whole { part * self.charter.pressing.secs() / 4.0 } else { 0.0 };
        store.takes_more(part, self.cold_room(store), ahead, self.now)
    }

    /// The room of a store that has just started: a third of what may lie at one core of it meanwhile; where
    /// fronts are many a rate, what it surely has of its capacity times our work done at the mean warm store;
    /// two thirds of the multiple are left to chance, part of a core is for granted.
    fn cold_room(&self, store: &Store) -> f64 {
        let Some(part) = self.warmth(store) else { return f64::INFINITY };
        let Facts { fall_multiple: multiple, fall_window, .. } = self.charter.facts;
        let light =
            self.usual.iter().copied().filter(|usual| self.is_light(*usual, part)).fold(1e-3, f64::max);
        let beside = part * (multiple - 1.0) * fall_window.secs() * self.charter.our_share / light / 3.0;
        if beside >= 1.0 {
            return beside;
        }
        let warm = || self.stores.iter().filter(|s| s.open && self.warmth(s).is_none());
        let done = warm().map(|s| self.faded(s.done, s.done_at)).sum::<f64>() / warm().count().max(1) as f64;
        part * multiple * (done / fall_window.secs() / 3.0).max(self.charter.our_share / 2.0)
    }

    /// Work that a heavy tail may stretch is kept from a cold store where it is long.
    fn is_light(&self, usual: f64, part: f64) -> bool {
        usual <= part * self.charter.facts.fall_multiple * self.charter.facts.fall_window.secs() / 4.0
    }

    fn warmth(&self, store: &Store) -> Option<f64> {
        let Facts { cold_from, cold_for, .. } = self.charter.facts;
        let age = self.now - store.started?;
        (age < cold_for).then(|| cold_from + (1.0 - cold_from) * age.secs() / cold_for.secs().max(1e-9))
    }

    fn faded(&self, work: f64, at: Moment) -> f64 {
        work * (-(self.now - at).secs() / self.charter.facts.fall_window.secs().max(1e-9)).exp()
    }

    // What becomes of an RPC.

    fn arrive(&mut self, new: Arrival, actions: &mut Vec<Action>) {
        let Arrival { rpc: id, method, group, session, .. } = new;
        let answer_by = new.deadline - self.charter.margin;
        self.know_group(group);
        let Some(terms) = self.charter.methods.get(method) else {
            actions.push(Action::PushBack { rpc: id, come_back: None });
            return;
        };
        let mark = match terms.need {
            Need::Current => Some(self.now),
            Need::Session if self.charter.facts.marks_carried => new.last_write.map(|ago| self.now - ago),
            Need::Session => self.sessions.mark(session, self.now),
            _ => None,
        };
        let (mark, carries) = (mark.max(new.seen), new.seen.is_some());
        let worth_by = if terms.late_share > 0.0 { answer_by } else { answer_by.min(new.came + terms.soft) };
        let (arrived, repeat) = (self.now, new.repeat && terms.late_share == 0.0);
        let remembered = terms.need == Need::Write && !self.charter.facts.marks_carried;
        let writes = session.filter(|_| remembered);
        let rpc = Rpc { method, group, arrived, worth_by, answer_by, ..Rpc::default() };
        self.rpcs.insert(id, Rpc { mark, writes, carries, repeat, ..rpc });
        let moments = [(id * 2 + 1, arrived + (answer_by - arrived) / 2), (id * 2 + 2, answer_by)];
        actions.extend(moments.map(|(tag, at)| Action::Remind { tag, at }));
        self.drive(id, Input::News, actions);
        let Group { credit, members, .. } = &mut self.groups[group];
        *credit = (*credit + f64::from(u8::from(!new.repeat))).min(members.len() as f64);
        self.sound_out(group, self.charter.methods[method].need != Need::Write, actions);
    }

    /// Reads the table until nothing follows.
    fn drive(&mut self, id: RpcId, first: Input, actions: &mut Vec<Action>) {
        let mut next = Some(first);
        while let Some(input) = next {
            let Some(rpc) = self.rpcs.get_mut(&id) else { return };
            let Some(row) = RPC_TABLE.iter().find(|row| row.0 == rpc.state && row.1(input)) else { return };
            rpc.state = row.2;
            let (method, group) = (rpc.method, rpc.group);
            next = match row.3 {
                Step::Seek => self.seek(id),
                Step::Send => self.send(id, input, actions),
                Step::GiveUp => self.give_up(id, actions),
                Step::Forget => None,
            };
            match self.rpcs.get(&id).map(|rpc| rpc.state) {
                Some(State::Held) if next.is_none() => self.groups[group].held[method].insert(id),
                _ => self.groups[group].held[method].remove(&id),
            };
            if row.2 == State::Done {
                self.rpcs.remove(&id);
            }
        }
    }

    fn seek(&mut self, id: RpcId) -> Option<Input> {
        let rpc = &self.rpcs[&id];
        let terms = &self.charter.methods[rpc.method];
        // Never more than a third: a method that is not sent at all would stay slow in our books for ever.
        let fair = Span((self.usual[rpc.method] * 2e9) as i64).min(terms.soft / 3);
        let barred = rpc.repeat_by.is_some_and(|by| self.now >= by);
        // A client that has waited half of its time for nothing had better ask elsewhere.
        let half = rpc.arrived + (rpc.answer_by - rpc.arrived) / 2;
        let in_vain = self.now + fair >= rpc.worth_by || (!rpc.reached && self.now >= half);
        if barred || in_vain || rpc.call_outs >= self.charter.facts.max_call_outs {
            return Some(Input::Hopeless);
        }
        let primary = self.groups[rpc.group].primary.filter(|&ix| self.usable(ix, rpc.method));
        if terms.need == Need::Write {
            let (method, group) = (rpc.method, rpc.group);
            let taker = primary.or_else(|| self.unheard(group, method));
            return taker.filter(|&ix| self.has_room(ix, 1.0)).map(Input::Placed);
        }
        // Nobody asked a silent primary who it is now: it may have said, unheard, that it is none.
        let unsure = |ix: &StoreIx| {
            let store = &self.stores[*ix];
            !self.charter.facts.may_probe && store.failures > 0 && store.answered <= store.failed
        };
        let primary = primary.filter(|ix| !unsure(ix));
        // A retry storm must not push out first tries: newest first would favour it.
        let part = if rpc.repeat { 0.25 } else { 1.0 };
        let current = terms.need == Need::Current;
        let choice = self.qualifying(rpc, part)?;
        if let Some(ix) = self.fewest(&choice) {
            return Some(Input::Placed(ix));
        }
        // Departure: where every replica that would do is crowded, the primary helps out within its room,
        // unless it lately said that it is busy. Half of its room stays free for writes and current reads.
        let most = if current { part } else { 0.5 * part };
        let busy = |ix: StoreIx| self.stores[ix].busy(self.now - self.charter.stale_after * 4, BUSY);
        primary.filter(|&ix| self.has_room(ix, most) && (current || !busy(ix))).map(Input::Placed)
    }

    /// Departure: where nobody may be probed and no primary is known, a write finds it out. Who is none turns
    /// it away untouched; whoever said so lately is not asked.
    fn unheard(&mut self, group: GroupIx, method: MethodIx) -> Option<StoreIx> {
        let (its, lately) = (&self.groups[group], self.now - self.charter.pressing * 4);
        if self.charter.facts.may_probe || its.primary.is_some() {
            return None;
        }
        let free = |ix: &StoreIx| self.stores[*ix].in_flight == 0 && its.clears(*ix);
        let may_be = |ix: &StoreIx| self.stores[*ix].denied < lately && free(ix) && self.usable(*ix, method);
        let members: Vec<StoreIx> = its.members.iter().copied().filter(may_be).collect();
        let longest = members.iter().map(|&ix| self.stores[ix].denied).min()?;
        let those: Vec<StoreIx> =
            members.into_iter().filter(|&ix| self.stores[ix].denied == longest).collect();
        self.fewest(&those)
    }

    /// The position that a read asks for now.
    fn needed(&self, rpc: &Rpc) -> Option<Moment> {
        match self.charter.methods[rpc.method].need {
            Need::Bounded(bound) => Some(self.now - bound).max(rpc.mark),
            _ => rpc.mark,
        }
    }

    /// The replicas that will do for a read; none leaves it to the primary, `None` makes it wait.
    fn qualifying(&self, rpc: &Rpc, part: f64) -> Option<Vec<StoreIx>> {
        let (terms, group) = (&self.charter.methods[rpc.method], &self.groups[rpc.group]);
        let able = |ix: &StoreIx| group.primary != Some(*ix) && self.usable(*ix, rpc.method);
        let mut replicas: Vec<StoreIx> = group.members.iter().copied().filter(able).collect();
        let position = |ix: &StoreIx| self.stores[*ix].position;
        // Departure: a read without a bound that may take longer than others' bounds keeps to the half of the
        // replicas most behind: long reads on all would let none apply its log.
        if terms.stalls && !rpc.carries && !replicas.is_empty() {
            replicas.sort_by_key(position);
            replicas.truncate(replicas.len().div_ceil(2));
            return replicas.iter().find(|&&ix| self.has_room(ix, part)).map(|&ix| vec![ix]);
        }
        let alone = replicas.len() == 1 && rpc.refusals == 0;
        replicas.retain(|&ix| (alone || Some(ix) != rpc.shunned) && self.has_room(ix, part));
        let needed = self.needed(rpc);
        let near = |ix: &StoreIx, patience: Span| {
            let most = needed.map(|at| self.now - at + patience + self.charter.stale_after);
            position(ix).is_some_and(|at| most >= Some(self.stores[*ix].told - at))
        };
        let (fresh, half) = (|ix: &StoreIx| needed.is_none() || position(ix) >= needed, terms.soft / 2);
        let hopes = terms.need != Need::Current && self.now - rpc.arrived < half;
        match self.charter.facts.lagging {
            _ if replicas.iter().any(fresh) => replicas.retain(fresh),
            _ if rpc.carries && hopes && replicas.iter().any(|ix| near(ix, half)) => return None,
            _ if rpc.carries => replicas.clear(),
            // Its hold is worth trying only where the lag it last told of could be made up within it.
            Lagging::Holds(patience) if rpc.refusals == 0 => replicas.retain(|ix| near(ix, patience)),
            Lagging::Refuses if rpc.refusals == 0 && terms.need != Need::Current => {
                replicas = replicas.into_iter().max_by_key(position).into_iter().collect();
            }
            // Departure: where every replica is too far behind to make it up by then, the wait is left out.
            Lagging::AnswersAnyway if hopes && replicas.iter().any(|ix| near(ix, half)) => return None,
            _ => replicas.clear(),
        }
        Some(replicas)
    }

    /// The fewest of our call-outs in flight, another zone counts one more; ties by own zone, then chance.
    fn fewest(&mut self, among: &[StoreIx]) -> Option<StoreIx> {
        let (stores, Facts { zone, may_probe, .. }) = (&self.stores, &self.charter.facts);
        let away = |ix: &StoreIx| stores[*ix].zone != *zone;
        // Where nobody may be probed, only an answer tells who is who.
        let silent = |ix: &StoreIx| stores[*ix].answered == Moment::DAWN && stores[*ix].in_flight == 0;
        let known = |ix: &StoreIx| *may_probe || !silent(ix);
        let rng = &mut self.rng;
        let calls = |ix: &StoreIx| stores[*ix].in_flight + u32::from(away(ix));
        let rank = |ix: &StoreIx| (known(ix), calls(ix), away(ix), rng.below(1 << 16));
        among.iter().copied().min_by_key(rank)
    }

    fn send(&mut self, id: RpcId, input: Input, actions: &mut Vec<Action>) -> Option<Input> {
        let Input::Placed(ix) = input else { return None };
        let rpc = self.rpcs.get_mut(&id)?;
        let read = self.charter.methods[rpc.method].need != Need::Write;
        // A store does not begin what is past its time-out, so work that earns nothing is not done.
        let until = if read { rpc.worth_by } else { rpc.answer_by };
        let time_out = (until - self.now).max(Span(1));
        // The queue that any method leaves must suit the most pressing one, or the patient crowd it out.
        let usual = self.usual[rpc.method];
        let stalls = self.charter.methods[rpc.method].stalls;
        let queue = if stalls { time_out } else { Span((usual * 1e9) as i64) + self.charter.pressing / 2 };
        let timely = queue.min(time_out * 3 / 4);
        let store = &mut self.stores[ix];
        let pressed = !store.takes_more(0.5, f64::INFINITY, 0.0, self.now);
        rpc.out = Some(CallOut { number: rpc.call_outs, sent: self.now, work: usual, timely, pressed });
        rpc.call_outs += 1;
        rpc.writes.into_iter().for_each(|session| self.sessions.sent(session));
        (store.owing, store.sent) = (store.owed(store.room, self.now) + usual, self.now);
        store.in_flight += 1;
        actions.push(Action::Send { rpc: id, store: ix, time_out });
        None
    }

    /// The final answer, at once. Only where a repeat is harmless does it invite one.
    fn give_up(&mut self, id: RpcId, actions: &mut Vec<Action>) -> Option<Input> {
        let rpc = self.rpcs.get(&id)?;
        let may_have_run = rpc.repeat_by.is_some() || rpc.out.is_some();
        if self.charter.methods[rpc.method].harmless || !may_have_run {
            let left = (rpc.answer_by - self.now).max(Span::ZERO);
            let come_back = self.charter.facts.max_come_back.map(|most| left.min(most));
            actions.push(Action::PushBack { rpc: id, come_back });
        } else {
            actions.push(Action::Abort { rpc: id });
        }
        if let Some(out) = rpc.out.as_ref().filter(|_| self.charter.facts.may_withdraw) {
            actions.push(Action::Withdraw { rpc: id, call_out: out.number });
        }
        None
    }

    fn ended(&mut self, end: &End, actions: &mut Vec<Action>) {
        let End { rpc: id, store: ix, outcome, elapsed, .. } = *end;
        let (now, sent, least) = (self.now, self.now - elapsed, FIRST_ROOM / 4.0 * self.charter.our_share);
        let out = self.rpcs.get(&id).and_then(|rpc| rpc.out.as_ref());
        let (timely, pressed, work) = out.map_or((elapsed, false, 0.0), |o| (o.timely, o.pressed, o.work));
        let done = self.stores.get(ix).map_or(0.0, |store| self.faded(store.done, store.done_at));
        let done = done + if outcome == Outcome::Ok { work } else { 0.0 };
        let Some(store) = self.stores.get_mut(ix) else { return };
        (store.in_flight, store.done, store.done_at) = (store.in_flight.saturating_sub(1), done, now);
        // What a cut took comes back unasked: of many fronts each is pressed too seldom to win it back.
        let widens = (pressed || store.room < self.charter.first_room)
            && !store.busy(now - self.charter.stale_after * 4, FULL);
        let late = outcome == Outcome::TimedOut || (outcome == Outcome::Ok && elapsed >= timely);
        match outcome {
            Outcome::Ok | Outcome::Lagged => {
                (store.answered, store.failures) = (now, 0);
                store.room += if widens && !late { (1.0 / store.room).min(store.room / 4.0) } else { 0.0 };
            }
            // Slow is not silent: only a store that has answered nothing since this was sent has failed.
            Outcome::TimedOut if store.answered >= sent => {}
            Outcome::Withdrawn | Outcome::Moot => {}
            // A bad answer among good ones rests nobody; the next one in a row does.
            Outcome::Errored | Outcome::Broken if store.answered > store.failed => store.failed = now,
            _ => self.fail(ix),
        }
        // Where rooms are under one, each store answers too seldom: what one replica shows must do for all.
        let Group { members, primary, .. } = &self.groups[self.stores[ix].group];
        for &other in members.iter().filter(|_| late) {
            let alike = ![ix, other].map(Some).contains(primary) && self.stores[other].room < 1.0;
            if other == ix || alike {
                self.stores[other].crowded(sent, now, least);
            }
        }
        // What may have run binds its session's reads, though nobody waits for it any more. A position is told
        // in whole milliseconds: only the next one is sure to show the write.
        if let (false, Some(session)) = (self.charter.facts.marks_carried, end.wrote) {
            let told = end.note.position.filter(|_| outcome == Outcome::Ok).unwrap_or(now).min(now);
            let shown = (!outcome.proves_it_never_ran()).then_some(told + Span::millis(1));
            self.sessions.ended(session, shown);
        }
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        if rpc.out.as_ref().is_none_or(|out| out.number != end.call_out) {
            return;
        }
        let out = rpc.out.take();
        if outcome == Outcome::Ok {
            let usual = &mut self.usual[rpc.method];
            *usual *= if elapsed.secs() > *usual { 1.02 } else { 0.95 };
        } else {
            rpc.refusals += u32::from(outcome == Outcome::Lagged);
            rpc.shunned = Some(ix);
            rpc.reached |= !matches!(outcome, Outcome::Moot | Outcome::Unreachable);
            if !outcome.proves_it_never_ran() && rpc.repeat_by.is_none() {
                rpc.repeat_by = out.map(|out| out.sent + self.charter.methods[rpc.method].repeat_for);
            }
        }
        self.drive(id, if end.closed { Input::Closed } else { Input::Returned }, actions);
    }

    /// Tests a group's held RPCs anew, most urgent first; behind one that must wait its method's wait too.
    fn retry_held(&mut self, group: Option<GroupIx>, actions: &mut Vec<Action>) {
        let Some(group) = group else { return };
        for nth in 0..self.charter.order.len() {
            let method = self.charter.order[nth];
            // Newest first, so that under overload some are answered in time rather than all late; then
            // oldest first, for what only waiting makes possible.
            for end in [BTreeSet::last, BTreeSet::first] {
                while let Some(&next) = end(&self.groups[group].held[method]) {
                    self.drive(next, Input::News, actions);
                    if end(&self.groups[group].held[method]) == Some(&next) {
                        break;
                    }
                }
            }
        }
    }

    // What happens when nothing does.

    fn beat(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::Remind { tag: PULSE, at: self.now + self.charter.pulse });
        self.ask(actions);
        let open = self.stores.iter().filter(|store| store.open);
        self.sessions.forget(open.map(|store| store.position).min().flatten());
        for group in 0..self.groups.len() {
            self.retry_held(Some(group), actions);
            let Group { credit, held, primary, .. } = &mut self.groups[group];
            let led = primary.is_some_and(|ix| self.stores[ix].failures == 0 && self.stores[ix].open);
            let idle = held.iter().all(BTreeSet::is_empty) || (led && self.charter.first_room < 1.0);
            *credit += if *credit >= 1.0 || idle { 0.0 } else { 0.25 };
            self.sound_out(group, false, actions);
        }
    }

    /// Probes are paid for by their group's RPCs: all fronts' together follow the traffic. Where fronts
    /// are few, or no primary is known, a group with RPCs held may ask one in four beats more.
    fn sound_out(&mut self, ix: GroupIx, reads: bool, actions: &mut Vec<Action>) {
        let (now, stale, pace) = (self.now, self.charter.stale_after, self.charter.pulse * 2);
        while self.charter.facts.may_probe && self.groups[ix].credit >= 1.0 {
            let group = &self.groups[ix];
            let waiting = !group.held.iter().all(BTreeSet::is_empty);
            // What is told while nobody reads is old when somebody does.
            if !reads && !waiting {
                return;
            }
            let lost = !group.primary.is_some_and(|ix| self.stores[ix].failures == 0 && self.stores[ix].open);
            // A read waits for no word of a sound primary that has spoken.
            let speaks = |ix: StoreIx| group.primary == Some(ix) && self.stores[ix].answered > Moment::DAWN;
            let others = group.members.iter().copied().filter(|&ix| lost || !speaks(ix));
            // Another replica's word is of use only where none is known that would do.
            let fresh = |store: &Store| store.position > Some(now - stale * 4) && store.failures == 0;
            let known = !waiting && others.clone().any(|ix| self.stores[ix].open && fresh(&self.stores[ix]));
            let wanted = |ix: &StoreIx| {
                let store = &self.stores[*ix];
                let old = if waiting { stale / 2 } else { stale };
                let rested = store.failures > 0 && store.rest_until <= now;
                let due = rested || (store.told + old <= now && !known);
                let paced = store.probed + pace * (if store.failures > 1 { 2 } else { 1 }) <= now;
                store.open && due && paced && !store.probe_out
            };
            let wanted = others.filter(wanted);
            // Who was least behind when it last told is the likeliest to be fresh; who never told comes next.
            let behind = |store: &Store| store.position.map_or(stale, |at| store.told - at);
            let rank = |ix: &StoreIx| if lost { 0 } else { behind(&self.stores[*ix]).0 / stale.0.max(1) };
            let Some(store) = wanted.min_by_key(|ix| (rank(ix), self.rng.below(1 << 16))) else { return };
            (self.stores[store].probe_out, self.stores[store].probed) = (true, now);
            self.groups[ix].credit -= 1.0;
            actions.push(Action::Probe { store });
        }
    }
}

impl Group {
    fn clears(&self, ix: StoreIx) -> bool {
        match self.clearance {
            Clearance::Free => true,
            Clearance::Barred => false,
            Clearance::Only(one) => one == ix,
        }
    }
}

impl Store {
    /// Whether a part of its room, or of `most`, lets it take another call-out of ours.
    fn takes_more(&self, part: f64, most: f64, ahead: f64, now: Moment) -> bool {
        let room = self.room.min(most) * part;
        f64::from(self.in_flight) < room.max(1.0) && (room >= 1.0 || self.owed(room, now) <= ahead)
    }

    /// Whether it has said since then that more of its cores than this are in use.
    fn busy(&self, since: Moment, most: f64) -> bool {
        self.load.is_some_and(|(load, at)| at > since && load > most)
    }

    /// What is left of our work here where `room` of it is done a second.
    fn owed(&self, room: f64, now: Moment) -> f64 {
        (self.owing - room * (now - self.sent).secs()).max(0.0)
    }

    /// Answers that come late mean a queue: less is put there, once for what was sent before the last time.
    fn crowded(&mut self, sent: Moment, now: Moment, least: f64) {
        if self.room_cut < sent {
            (self.room, self.room_cut) = ((self.room * 0.8).max(least), now);
        }
    }
}
