//! Regaining what was lost with the process: who is asked when, and what follows from the answers. A loop
//! over the two tables; every moment comes from the host.

use crate::group::{self, Effect as GroupEffect, Input as GroupInput};
use crate::proof::{judge, Floor, Verdict};
use crate::store::{self, Effect, Input, Standing, Store, Word};
use crate::trust::{step, Step, Times};
use routing::iface::{Clearance, GroupIx, StoreIx, Told};
use routing::time::{Moment, Span};
use std::collections::BTreeSet;

/// Between two questions to a store of a group that is not proved yet, for the first and for later ones.
const AGAIN: (Span, Span) = (Span::millis(40), Span::millis(1_000));
/// Between two questions in a group whose primary is proved, while discovery is silent or another still
/// claims it.
const WATCH: Span = Span::millis(2_000);
/// After a question that failed: the first pause and the longest, where an RPC waits for the group and where
/// none does.
const AFTER_FAILURE: [(Span, Span); 2] =
    [(Span::millis(100), Span::millis(3_000)), (Span::millis(100), Span::millis(20_000))];
/// As many questions as may be out at a time begin in so long at most: refusals come back at once.
const BEAT: Span = Span::millis(20);

/// A kept or listed store as the host numbers it.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    pub store: StoreIx,
    pub group: GroupIx,
}

/// Who a store says it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identity {
    /// The one that the list names.
    Right,
    Wrong,
    /// It can't be asked, or says nothing of it.
    Untold,
}

/// Why a question has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing listens there, says its machine.
    Refused,
    Silent,
    /// It never left, or was turned away for want of room: no word on the store.
    Unasked,
}

#[derive(Clone, Debug)]
pub enum Event {
    /// A list that discovery has not stood by since this start, and what its groups were known to have.
    Kept {
        members: Vec<Member>,
        floors: Vec<(GroupIx, Floor)>,
    },
    /// Discovery's list, whole, or entries of it that have come or are gone.
    Listed {
        whole: bool,
        members: Vec<Member>,
        gone: Vec<StoreIx>,
    },
    Answered {
        store: StoreIx,
        asked: Moment,
        identity: Identity,
        word: Word,
    },
    Failed {
        store: StoreIx,
        why: Failure,
    },
    /// What came with the answer to an RPC.
    Overheard {
        store: StoreIx,
        asked: Moment,
        told: Told,
    },
    /// An RPC of the group waits.
    Wanted {
        group: GroupIx,
    },
    Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// To be answered by one `Answered` or `Failed`.
    Ask {
        store: StoreIx,
    },
    /// The store may be used, started at this start of ours at the latest.
    Admit {
        store: StoreIx,
    },
    /// Nothing new may be sent there, whatever else the list's rules allow.
    Shut {
        store: StoreIx,
    },
    Clear {
        group: GroupIx,
        clearance: Clearance,
    },
}

#[derive(Default)]
struct Group {
    members: Vec<StoreIx>,
    floor: Floor,
    standing: group::Standing,
    wanted: bool,
    /// Rounds of questions without a proof, for the pace.
    rounds: u32,
}

pub struct Regain {
    stores: Vec<Store>,
    groups: Vec<Group>,
    /// Questions to be put, by when: those for which an RPC waits, then the others.
    due: [BTreeSet<(Moment, StoreIx)>; 2],
    out: usize,
    /// Since when, and how many questions were begun since then.
    begun: (Moment, usize),
    times: Option<Times>,
    /// The latest position told since this start.
    shown: Option<Moment>,
    /// Discovery has given a list since this start.
    vouched: bool,
    may_ask: bool,
    /// Questions at a time for which there are descriptors.
    most_out: usize,
}

impl Regain {
    /// `times`: those of the kept list. `may_ask`: whether stores may be asked at all here. `descriptors`: those
    /// there are
    /// for stores; half of them are left to RPCs.
    pub fn new(times: Option<Times>, may_ask: bool, descriptors: usize) -> Regain {
        let (stores, groups, due) = Default::default();
        let most_out = (descriptors / 2).max(1);
        let begun = Default::default();
        Regain { stores, groups, due, out: 0, begun, times, shown: None, vouched: false, may_ask, most_out }
    }

    pub fn step(&self, now: Moment) -> &'static Step {
        step(self.times, now, self.shown)
    }

    pub fn is_vouched(&self) -> bool {
        self.vouched
    }

    /// Nothing is left to do: the ordinary rules hold everywhere. Only discovery's word ends it.
    pub fn is_over(&self) -> bool {
        self.vouched && self.groups.iter().all(|group| group.standing == group::Standing::Settled)
    }

    pub fn standing(&self, group: GroupIx) -> Option<group::Standing> {
        self.groups.get(group).map(|group| group.standing)
    }

    pub fn store(&self, ix: StoreIx) -> Option<&Store> {
        self.stores.get(ix)
    }

    /// When it wants a `Tick` next.
    pub fn due(&self, now: Moment) -> Option<Moment> {
        let wave = self.wave(now);
        let first = self.due.iter().filter_map(|due| due.first()).map(|first| first.0).min();
        let (since, begun) = self.begun;
        let beat = if begun < wave { Moment::DAWN } else { since + BEAT };
        first.filter(|_| self.out < wave).map(|first| first.max(beat))
    }

    fn wave(&self, now: Moment) -> usize {
        self.step(now).wave.min(self.most_out)
    }

    pub fn handle(&mut self, now: Moment, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Kept { members, floors } => {
                members.into_iter().for_each(|member| self.enter(now, member, actions));
                for (group, floor) in floors {
                    self.know_group(group, actions);
                    self.groups[group].floor = floor;
                }
            }
            Event::Listed { whole, members, gone } => self.listed(now, whole, members, gone, actions),
            Event::Answered { store, asked, identity, word } => {
                self.answered(now, store, asked, identity, word, actions);
            }
            Event::Failed { store, why } => self.failed(now, store, why, actions),
            Event::Overheard { store, asked, told } => {
                let Some(known) = self.stores.get_mut(store).filter(|known| known.is_heard()) else { return };
                if told.role.is_some() {
                    let word = Word { timeline: known.word.timeline, ..Word::of(told, None) };
                    known.hear(word, asked, now);
                    let group = known.group;
                    self.judge(now, group, actions);
                }
            }
            Event::Wanted { group } => self.wanted(now, group),
            Event::Tick => {}
        }
        self.ask(now, actions);
    }

    fn know_group(&mut self, ix: GroupIx, actions: &mut Vec<Action>) {
        while self.groups.len() <= ix {
            let group = self.groups.len();
            self.groups.push(Group::default());
            actions.push(Action::Clear { group, clearance: Clearance::Barred });
        }
    }

    fn enter(&mut self, now: Moment, member: Member, actions: &mut Vec<Action>) {
        let Member { store: ix, group } = member;
        self.know_group(group, actions);
        if self.stores.len() <= ix {
            self.stores.resize_with(ix + 1, Store::default);
        }
        if !self.groups[group].members.contains(&ix) {
            let before = self.stores[ix].group;
            self.groups[before].members.retain(|&member| member != ix);
            self.groups[group].members.push(ix);
            // One that changes its group is another store, whatever its name.
            let out = self.stores[ix].out;
            self.stores[ix] = Store { group, out, ..Store::default() };
            self.plan(ix, now);
        }
    }

    fn listed(
        &mut self,
        now: Moment,
        whole: bool,
        members: Vec<Member>,
        gone: Vec<StoreIx>,
        actions: &mut Vec<Action>,
    ) {
        // Changes stand on a whole list: alone they vouch for nothing.
        self.vouched |= whole;
        let mut gone: BTreeSet<StoreIx> = gone.into_iter().collect();
        if whole {
            let listed: BTreeSet<StoreIx> = members.iter().map(|member| member.store).collect();
            let known = self.groups.iter().flat_map(|group| group.members.iter().copied());
            gone.extend(known.filter(|ix| !listed.contains(ix)));
        }
        for member in members.iter().filter(|member| !gone.contains(&member.store)) {
            self.enter(now, *member, actions);
            let store = &mut self.stores[member.store];
            if store.standing == Standing::Gone {
                self.input(member.store, Input::Listed, actions);
                self.plan(member.store, now);
            }
            // Discovery itself names it: the module's own rule, to probe it before use, is enough.
            self.stores[member.store].admitted = true;
        }
        for ix in gone {
            self.input(ix, Input::Left, actions);
        }
        (0..self.groups.len()).for_each(|group| self.judge(now, group, actions));
    }

    fn answered(
        &mut self,
        now: Moment,
        ix: StoreIx,
        asked: Moment,
        identity: Identity,
        word: Word,
        actions: &mut Vec<Action>,
    ) {
        let named = self.step(now).named || self.vouched;
        if !self.came_back(ix) {
            return;
        }
        let store = &mut self.stores[ix];
        (store.tried, store.ended, store.failures) = (true, now, 0);
        let input = match identity {
            Identity::Right => Input::Answered,
            Identity::Wrong => Input::Another,
            Identity::Untold if named => Input::Answered,
            Identity::Untold => Input::Anyone,
        };
        if identity != Identity::Wrong {
            self.shown = self.shown.max(word.position);
            store.hear(word, asked, now);
        }
        self.input(ix, input, actions);
        let group = self.stores[ix].group;
        self.judge(now, group, actions);
        self.replan(ix, now);
    }

    fn failed(&mut self, now: Moment, ix: StoreIx, why: Failure, actions: &mut Vec<Action>) {
        if !self.came_back(ix) {
            return;
        }
        let store = &mut self.stores[ix];
        if why != Failure::Unasked {
            (store.tried, store.ended) = (true, now);
        }
        store.failures = store.failures.saturating_add(1);
        match why {
            Failure::Refused => self.input(ix, Input::Refusal, actions),
            Failure::Silent => self.input(ix, Input::NoWord, actions),
            Failure::Unasked => {}
        }
        let group = self.stores[ix].group;
        self.judge(now, group, actions);
        self.replan(ix, now);
    }

    /// A question has come to its end; false where none was out.
    fn came_back(&mut self, ix: StoreIx) -> bool {
        let out = self.stores.get_mut(ix).is_some_and(|store| std::mem::take(&mut store.out));
        self.out -= usize::from(out);
        out
    }

    fn wanted(&mut self, now: Moment, group: GroupIx) {
        let Some(known) = self.groups.get_mut(group) else { return };
        let proved = matches!(known.standing, group::Standing::Confirmed(_) | group::Standing::Settled);
        if proved || std::mem::replace(&mut known.wanted, true) {
            return;
        }
        for ix in known.members.clone() {
            if let Some(due) = self.unplan(ix) {
                // Who has not been asked yet is so at once.
                let first = self.stores[ix].standing == Standing::Unheard;
                self.plan(ix, if first { due.min(now) } else { due });
            }
        }
    }

    fn input(&mut self, ix: StoreIx, input: Input, actions: &mut Vec<Action>) {
        let Some(store) = self.stores.get_mut(ix) else { return };
        let Some((next, effect)) = store::next(store.standing, input) else { return };
        store.standing = next;
        match effect {
            Effect::Nothing => {}
            Effect::Admit if store.admitted => {}
            Effect::Admit => {
                store.admitted = true;
                actions.push(Action::Admit { store: ix });
            }
            Effect::Shut => {
                store.admitted = false;
                actions.push(Action::Shut { store: ix });
            }
        }
        if next == Standing::Gone {
            self.unplan(ix);
        }
    }

    fn judge(&mut self, now: Moment, ix: GroupIx, actions: &mut Vec<Action>) {
        let step = self.step(now);
        let Group { members, floor, .. } = &self.groups[ix];
        // Discovery's word is later than all that was kept.
        let floor = if self.vouched { Floor { position: None, ..*floor } } else { *floor };
        let verdict = judge(members, &self.stores, floor, step, self.vouched, now);
        let claims = members.iter().filter(|&&ix| self.stores[ix].claims_it()).count();
        self.settle(ix, GroupInput::Judged(verdict), actions);
        if self.vouched && !self.may_ask {
            self.settle(ix, GroupInput::Mute, actions);
        } else if self.vouched && claims == 1 && matches!(verdict, Verdict::Proven(_)) {
            self.settle(ix, GroupInput::Quiet, actions);
        }
    }

    fn settle(&mut self, ix: GroupIx, input: GroupInput, actions: &mut Vec<Action>) {
        let group = &mut self.groups[ix];
        let (next, effect) = group::next(group.standing, input);
        group.standing = next;
        group.wanted &= !matches!(next, group::Standing::Confirmed(_) | group::Standing::Settled);
        if effect == GroupEffect::Tell {
            actions.push(Action::Clear { group: ix, clearance: group::clearance(next) });
        }
        if next == group::Standing::Settled {
            for ix in group.members.clone() {
                self.unplan(ix);
            }
        }
    }

    /// When a store that has just been asked is asked again.
    fn replan(&mut self, ix: StoreIx, now: Moment) {
        let store = &self.stores[ix];
        let group = &mut self.groups[store.group];
        if group.standing == group::Standing::Settled || store.standing == Standing::Gone {
            return;
        }
        let doubled = |(first, longest): (Span, Span), times: u32| {
            Span(first.0.saturating_mul(1 << times.min(16))).min(longest)
        };
        let pause = match group.standing {
            _ if store.failures > 0 => doubled(AFTER_FAILURE[usize::from(!group.wanted)], store.failures - 1),
            group::Standing::Confirmed(_) => WATCH,
            _ => {
                group.rounds = group.rounds.saturating_add(1);
                let rounds = group.rounds / group.members.len().max(1) as u32;
                doubled(AGAIN, rounds.saturating_sub(4))
            }
        };
        self.plan(ix, now + pause);
    }

    fn plan(&mut self, ix: StoreIx, at: Moment) {
        self.unplan(ix);
        let store = &mut self.stores[ix];
        store.due = Some(at);
        self.due[usize::from(!self.groups[store.group].wanted)].insert((at, ix));
    }

    fn unplan(&mut self, ix: StoreIx) -> Option<Moment> {
        let due = self.stores[ix].due.take()?;
        self.due.iter_mut().for_each(|all| {
            all.remove(&(due, ix));
        });
        Some(due)
    }

    /// Puts the questions that are due, as many at a time as the step of age allows.
    fn ask(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if !self.may_ask {
            return self.due.iter_mut().for_each(BTreeSet::clear);
        }
        let wave = self.wave(now);
        if now >= self.begun.0 + BEAT {
            self.begun = (now, 0);
        }
        while self.out < wave && self.begun.1 < wave {
            let ready = self.due.iter().filter_map(|due| due.first()).find(|first| first.0 <= now);
            let Some(&(_, ix)) = ready else { return };
            self.unplan(ix);
            let store = &mut self.stores[ix];
            if !std::mem::replace(&mut store.out, true) {
                self.out += 1;
                self.begun.1 += 1;
                actions.push(Action::Ask { store: ix });
            }
        }
    }
}
