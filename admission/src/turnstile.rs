//! The turnstile: how many RPCs are worked on at once, who is next where more come, and who is turned away
//! before anything was spent on it.
//!
//! While there is room every RPC passes. Once the front is full, each class has the share of it that its
//! weight gives, and within a class each client the same; what one does not use is the others'. Whoever waits
//! longer than suits is told so at once: for a client whose RPCs have waited in a row for [`INTERVAL`], the
//! target counts, so a queue that stands is short, and one that came by chance may be worked off. That rule
//! is "controlled delay" as in Maurer, *Fail at Scale* (ACM Queue 13:8, 2015), kept for each client by itself.

use crate::class::{Class, OTHERS};
use crate::repeats::Repeats;
use crate::source::{Prefixes, Source};
use crate::spread::Spread;
use routing::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::IpAddr;
use std::sync::Arc;

/// A number that the host gives each RPC, never twice.
pub type RpcId = u64;

/// Who asks: a source, as a client of a class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Client {
    pub class: Arc<str>,
    pub source: Source,
}

impl Client {
    /// Whoever has no class.
    pub fn other(from: IpAddr, prefixes: Prefixes) -> Client {
        Client { class: OTHERS.into(), source: Source::of(from, prefixes) }
    }
}

/// How the turnstile is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turns {
    /// RPCs worked on at once: 1 to 100,000.
    pub at_once: usize,
    /// RPCs that wait their turn at most.
    pub waiting: usize,
    /// So long may an RPC wait whose client's RPCs have waited in a row.
    pub target: Span,
    /// Repeats in a hundred first tries, where they have a budget.
    pub repeats: Option<u32>,
}

/// So long may a queue stand before it is kept short.
pub const INTERVAL: Span = Span::millis(100);

/// Why an RPC is turned away; it was not worked on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    /// The budget for repeats is used up.
    Repeats,
    /// Its class has as many here as it may.
    Rpcs,
    /// All places to wait are taken, and its client has most of them.
    Crowd,
    /// Another has its place: its client had most of them.
    Displaced,
    /// It waited as long as it may.
    Waited,
}

impl Why {
    pub const ALL: [Why; 5] = [Why::Repeats, Why::Rpcs, Why::Crowd, Why::Displaced, Why::Waited];

    pub fn word(self) -> &'static str {
        match self {
            Why::Repeats => "repeats",
            Why::Rpcs => "rpcs",
            Why::Crowd => "crowd",
            Why::Displaced => "displaced",
            Why::Waited => "waited",
        }
    }
}

/// An RPC that was turned away, and when its client had better come back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shed {
    pub rpc: RpcId,
    pub class: Arc<str>,
    pub why: Why,
    pub come_back: Span,
}

/// An RPC has come.
#[derive(Clone, Debug)]
pub struct Ask {
    pub rpc: RpcId,
    pub client: Client,
    /// Its client says that it tries again.
    pub repeat: bool,
    /// When its client gives up.
    pub deadline: Moment,
}

/// What the turnstile has done. Each RPC that was asked for passes or is shed, once, unless it leaves first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It is worked on from now on; this long it has waited.
    Pass(RpcId, Span),
    Shed(Shed),
}

/// What one decision on an RPC that has come is made from.
struct Case {
    repeat: bool,
    within_budget: bool,
    class_has: usize,
    class_most: usize,
    under_way: usize,
    at_once: usize,
    waiting: usize,
    most_waiting: usize,
    /// How many of its client's wait for each part of its weight, with this one, and the most of any client.
    crowding: u64,
    most_crowding: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Pass,
    Wait,
    /// Another that waits gives its place.
    TakePlace,
    Refuse(Why),
}

type Row = (fn(&Case) -> bool, Step);

/// The first row that fits counts.
const TABLE: &[Row] = &[
    (|case| case.repeat && !case.within_budget, Step::Refuse(Why::Repeats)),
    (|case| case.class_has >= case.class_most, Step::Refuse(Why::Rpcs)),
    (|case| case.under_way < case.at_once, Step::Pass),
    (|case| case.waiting < case.most_waiting, Step::Wait),
    (|case| case.crowding < case.most_crowding, Step::TakePlace),
    (|_| true, Step::Refuse(Why::Crowd)),
];

/// An RPC that is here.
#[derive(Debug)]
enum Rpc {
    /// Since when, and until when at the most whatever others do.
    Waiting(Client, Moment, Moment),
    UnderWay(Client),
}

/// Who has had a turn is remembered for so long, and so many are at most, some 150 bytes each: else who asks
/// seldom, or is told that it waited long enough, would stand behind who is always here. Who comes from so
/// many other addresses in that time can have its own turns forgotten, one in each address.
const REMEMBERED: Span = Span::millis(5_000);
pub const MOST_REMEMBERED: usize = 1 << 16;

/// One turn in virtual time, for a weight of one.
const TURN: u64 = 1_000_000;

/// What is known of a client that has RPCs here, or had a turn lately.
#[derive(Debug, Default)]
struct Flow {
    under_way: usize,
    waiting: VecDeque<RpcId>,
    /// Since when some of its RPCs have waited without a break.
    since: Moment,
    /// Its next turn in its class's virtual time, and since which change it stands there.
    tag: u64,
    joined: u64,
    /// When its first that waits has waited long enough by the target.
    head: Option<Moment>,
    /// Since when nothing of it is here.
    idle: Option<Moment>,
}

/// A class's place among the classes, and its clients'. Both are start-time fair queueing (Goyal, Vin, Cheng,
/// SIGCOMM 1996) among those with fewest RPCs under way.
#[derive(Debug)]
struct Tier {
    weight: u64,
    most: usize,
    under_way: usize,
    waiting: usize,
    tag: u64,
    flows: HashMap<Source, Flow>,
    /// How far the turns of its clients have come.
    at: u64,
    /// Clients with RPCs that wait: those with fewest under way in front, then by their turns.
    next: BTreeSet<(usize, u64, u64, Source)>,
}

impl Tier {
    fn new(class: Option<&Class>) -> Tier {
        let (flows, next) = Default::default();
        let weight = class.map_or(1, |class| u64::from(class.weight.max(1)));
        let most = class.and_then(|class| class.rpcs).unwrap_or(usize::MAX);
        Tier { weight, most, under_way: 0, waiting: 0, tag: 0, flows, at: 0, next }
    }

    /// Its part of what it may have, in millionths of a weight of one.
    fn share(&self) -> u64 {
        (self.under_way as u64).saturating_mul(TURN) / self.weight
    }

    fn crowding(&self, waiting: usize) -> u64 {
        (waiting as u64).saturating_mul(1_000) / self.weight
    }

    fn is_idle(&self) -> bool {
        self.under_way == 0 && self.waiting == 0
    }
}

pub struct Turnstile {
    turns: Turns,
    classes: Vec<Class>,
    rpcs: HashMap<RpcId, Rpc>,
    tiers: BTreeMap<Arc<str>, Tier>,
    under_way: usize,
    waiting: usize,
    /// How far the turns of the classes have come.
    at: u64,
    changes: u64,
    /// When each RPC that waits has waited long enough whatever others do.
    ends: BTreeSet<(Moment, RpcId)>,
    /// When the first that waits of each client has waited long enough by the target.
    heads: BTreeSet<(Moment, Client)>,
    /// Clients of whom nothing is here, those longest so in front.
    idle: BTreeSet<(Moment, Client)>,
    /// Clients by how much they crowd the others, those who do so most behind.
    crowds: BTreeSet<(u64, Client)>,
    repeats: Option<Repeats<Client>>,
    spread: Spread,
    /// Turned away since the start, by class and reason.
    shed: BTreeMap<(Arc<str>, Why), u64>,
}

impl Turnstile {
    /// `longest`: what clients may be told to stay away for at most.
    pub fn new(turns: Turns, classes: Vec<Class>, longest: Span, seed: u64) -> Turnstile {
        let repeats = turns.repeats.map(|percent| Repeats::new(percent, turns.at_once));
        let (rpcs, tiers, ends, heads, idle, crowds, shed) = Default::default();
        let spread = Spread::new(turns.at_once, longest, seed);
        let (under_way, waiting, at, changes) = (0, 0, 0, 0);
        Turnstile {
            turns,
            classes,
            rpcs,
            tiers,
            under_way,
            waiting,
            at,
            changes,
            ends,
            heads,
            idle,
            crowds,
            repeats,
            spread,
            shed,
        }
    }

    /// Takes other settings. Nobody who is here is turned away by it.
    pub fn set(&mut self, now: Moment, turns: Turns, classes: Vec<Class>, done: &mut Vec<Turn>) {
        if turns.repeats != self.turns.repeats || turns.at_once != self.turns.at_once {
            self.repeats = turns.repeats.map(|percent| Repeats::new(percent, turns.at_once));
        }
        (self.turns, self.classes) = (turns, classes);
        let set = |name: &Arc<str>| self.classes.iter().any(|class| class.name == *name);
        self.tiers.retain(|name, tier| !tier.is_idle() || set(name));
        for (name, tier) in &mut self.tiers {
            let fresh = Tier::new(self.classes.iter().find(|class| class.name == *name));
            (tier.weight, tier.most) = (fresh.weight, fresh.most);
        }
        let crowds = std::mem::take(&mut self.crowds);
        let anew = crowds.into_iter().map(|(_, client)| (self.crowding_of(&client), client)).collect();
        self.crowds = anew;
        self.pass_next(now, done);
    }

    pub fn turns(&self) -> Turns {
        self.turns
    }

    fn tier(&mut self, class: &Arc<str>) -> &mut Tier {
        let classes = &self.classes;
        let fresh = || Tier::new(classes.iter().find(|known| known.name == *class));
        self.tiers.entry(class.clone()).or_insert_with(fresh)
    }

    fn flow(&self, client: &Client) -> Option<&Flow> {
        self.tiers.get(&client.class)?.flows.get(&client.source)
    }

    fn crowding_of(&self, client: &Client) -> u64 {
        let waiting = self.flow(client).map_or(0, |flow| flow.waiting.len());
        self.tiers.get(&client.class).map_or(0, |tier| tier.crowding(waiting))
    }

    /// An RPC has come.
    pub fn arrive(&mut self, now: Moment, ask: Ask, done: &mut Vec<Turn>) {
        self.tick(now, done);
        let Ask { rpc, client, repeat, deadline } = ask;
        let budget = self.repeats.as_ref().is_none_or(|repeats| repeats.allow(now, &client));
        let most_crowding = self.crowds.last().map_or(0, |(crowding, _)| *crowding);
        let (under_way, waiting, turns) = (self.under_way, self.waiting, self.turns);
        let tier = self.tier(&client.class);
        let flow_waits = tier.flows.get(&client.source).map_or(0, |flow| flow.waiting.len());
        let case = Case {
            repeat,
            within_budget: budget,
            class_has: tier.under_way + tier.waiting,
            class_most: tier.most,
            under_way,
            at_once: turns.at_once,
            waiting,
            most_waiting: turns.waiting,
            crowding: tier.crowding(flow_waits + 1),
            most_crowding,
        };
        let step = TABLE.iter().find(|row| row.0(&case)).map_or(Step::Pass, |row| row.1);
        if let Step::Refuse(why) = step {
            return self.refuse(now, rpc, client.class, why, done);
        }
        if let Some(repeats) = &mut self.repeats {
            repeats.taken(now, &client, repeat);
        }
        if step == Step::TakePlace {
            self.displace(now, done);
        }
        if step == Step::Pass {
            self.begin(now, &client);
            self.rpcs.insert(rpc, Rpc::UnderWay(client));
            return done.push(Turn::Pass(rpc, Span::ZERO));
        }
        // No more than a quarter of what its client waits: what follows takes its time as well.
        let until = now + INTERVAL.min((deadline - now) / 4);
        self.ends.insert((until, rpc));
        self.rpcs.insert(rpc, Rpc::Waiting(client.clone(), now, until));
        self.change(now, &client, |flow| {
            if flow.waiting.is_empty() {
                flow.since = now;
            }
            flow.waiting.push_back(rpc);
        });
    }

    /// The newest of those of the client who has most waiting gives its place.
    fn displace(&mut self, now: Moment, done: &mut Vec<Turn>) {
        let Some((_, client)) = self.crowds.last().cloned() else { return };
        let newest = self.flow(&client).and_then(|flow| flow.waiting.back().copied());
        if let Some(rpc) = newest {
            self.take_out(now, rpc);
            self.refuse(now, rpc, client.class, Why::Displaced, done);
        }
    }

    /// An RPC has come to its end, or its client is gone.
    pub fn leave(&mut self, now: Moment, rpc: RpcId, done: &mut Vec<Turn>) {
        match self.rpcs.get(&rpc) {
            None => return,
            Some(Rpc::Waiting(..)) => self.take_out(now, rpc),
            Some(Rpc::UnderWay(client)) => {
                let client = client.clone();
                self.rpcs.remove(&rpc);
                self.under_way -= 1;
                self.tier(&client.class).under_way -= 1;
                self.change(now, &client, |flow| flow.under_way -= 1);
            }
        }
        self.tick(now, done);
        self.pass_next(now, done);
    }

    /// Turns away whoever has waited long enough.
    pub fn tick(&mut self, now: Moment, done: &mut Vec<Turn>) {
        while let Some(rpc) = self.over(now) {
            let Some(Rpc::Waiting(client, ..)) = self.rpcs.get(&rpc) else { return };
            let class = client.class.clone();
            self.take_out(now, rpc);
            self.refuse(now, rpc, class, Why::Waited, done);
        }
    }

    fn over(&self, now: Moment) -> Option<RpcId> {
        let by_end = self.ends.first().filter(|(at, _)| *at <= now).map(|(_, rpc)| *rpc);
        by_end.or_else(|| {
            let (_, client) = self.heads.first().filter(|(at, _)| *at <= now)?;
            self.flow(client)?.waiting.front().copied()
        })
    }

    /// When [`Turnstile::tick`] is due next.
    pub fn due(&self) -> Option<Moment> {
        let ends = self.ends.first().map(|(at, _)| *at);
        ends.into_iter().chain(self.heads.first().map(|(at, _)| *at)).min()
    }

    fn pass_next(&mut self, now: Moment, done: &mut Vec<Turn>) {
        while self.under_way < self.turns.at_once {
            let waits = self.tiers.iter().filter(|(_, tier)| tier.waiting > 0);
            let Some((class, tier)) = waits.min_by_key(|(_, tier)| (tier.share(), tier.tag)) else { return };
            let Some((_, turn, _, source)) = tier.next.first() else { return };
            let client = Client { class: class.clone(), source: *source };
            let Some(rpc) = self.flow(&client).and_then(|flow| flow.waiting.front().copied()) else { return };
            let waited = match self.rpcs.get(&rpc) {
                Some(Rpc::Waiting(_, came, _)) => now - *came,
                _ => Span::ZERO,
            };
            // Its turn is over, and the next comes by the weight.
            let (tag, turn) = (tier.tag, *turn);
            self.at = self.at.max(tag);
            self.begin(now, &client);
            let tier = self.tier(&client.class);
            (tier.tag, tier.at) = (tag + TURN / tier.weight, tier.at.max(turn));
            self.change(now, &client, |flow| flow.tag += TURN);
            self.take_out(now, rpc);
            self.rpcs.insert(rpc, Rpc::UnderWay(client));
            done.push(Turn::Pass(rpc, waited));
        }
    }

    fn begin(&mut self, now: Moment, client: &Client) {
        self.under_way += 1;
        self.tier(&client.class).under_way += 1;
        self.change(now, client, |flow| flow.under_way += 1);
    }

    /// Takes one that waits out of all that it stands in.
    fn take_out(&mut self, now: Moment, rpc: RpcId) {
        let Some(Rpc::Waiting(client, _, until)) = self.rpcs.remove(&rpc) else { return };
        self.ends.remove(&(until, rpc));
        self.change(now, &client, |flow| {
            if flow.waiting.front() == Some(&rpc) {
                flow.waiting.pop_front();
            } else {
                flow.waiting.retain(|other| *other != rpc);
            }
        });
    }

    /// Changes what is known of a client, and all orders that it stands in with it.
    fn change(&mut self, now: Moment, client: &Client, how: impl FnOnce(&mut Flow)) {
        let (source, target) = (client.source, self.turns.target);
        self.changes += 1;
        let (changes, floor) = (self.changes, self.at);
        let tier = self.tier(&client.class);
        let flow = tier.flows.entry(source).or_default();
        let (before, key) = (flow.waiting.len(), (flow.under_way, flow.tag, flow.joined, source));
        how(flow);
        let after = flow.waiting.len();
        if before == 0 && after > 0 {
            // Nobody saves up turns while nothing of it waits.
            flow.tag = flow.tag.max(tier.at);
        }
        if (flow.under_way, flow.tag) != (key.0, key.1) || before == 0 {
            flow.joined = changes;
        }
        let place = (flow.under_way, flow.tag, flow.joined, source);
        let (head, first, since) = (flow.head.take(), flow.waiting.front().copied(), flow.since);
        if before > 0 {
            tier.next.remove(&key);
        }
        if after > 0 {
            tier.next.insert(place);
        }
        if tier.waiting == 0 && after > 0 {
            tier.tag = tier.tag.max(floor);
        }
        let was_idle = flow.idle.take();
        flow.idle = (flow.under_way == 0 && after == 0).then_some(now);
        let is_idle = flow.idle;
        tier.waiting = tier.waiting + after - before;
        let crowding = (tier.crowding(before), tier.crowding(after));
        self.waiting = self.waiting + after - before;
        if before > 0 {
            self.crowds.remove(&(crowding.0, client.clone()));
        }
        if after > 0 {
            self.crowds.insert((crowding.1, client.clone()));
        }
        if let Some(since) = was_idle {
            self.idle.remove(&(since, client.clone()));
        }
        if let Some(since) = is_idle {
            self.idle.insert((since, client.clone()));
        }
        if let Some(at) = head {
            self.heads.remove(&(at, client.clone()));
        }
        if let Some(Rpc::Waiting(_, came, _)) = first.and_then(|rpc| self.rpcs.get(&rpc)) {
            let at = (*came + target).max(since + INTERVAL);
            self.heads.insert((at, client.clone()));
            if let Some(flow) = self.tier(&client.class).flows.get_mut(&source) {
                flow.head = Some(at);
            }
        }
        self.forget(now);
    }

    fn forget(&mut self, now: Moment) {
        while let Some((since, _)) = self.idle.first() {
            if now - *since < REMEMBERED && self.idle.len() <= MOST_REMEMBERED {
                return;
            }
            let Some((_, client)) = self.idle.pop_first() else { return };
            let Some(tier) = self.tiers.get_mut(&client.class) else { continue };
            tier.flows.remove(&client.source);
            // A table that a flood has grown shrinks again.
            if tier.flows.capacity() > 1_024 && tier.flows.len() < tier.flows.capacity() / 4 {
                tier.flows.shrink_to(tier.flows.len() * 2);
            }
        }
    }

    fn refuse(&mut self, now: Moment, rpc: RpcId, class: Arc<str>, why: Why, done: &mut Vec<Turn>) {
        *self.shed.entry((class.clone(), why)).or_default() += 1;
        let come_back = self.spread.next(now, Span::ZERO);
        done.push(Turn::Shed(Shed { rpc, class, why, come_back }));
    }

    /// Under way and waiting, by class, where there are any.
    pub fn classes(&self) -> impl Iterator<Item = (&str, usize, usize)> {
        let here = self.tiers.iter().filter(|(_, tier)| !tier.is_idle());
        here.map(|(name, tier)| (&**name, tier.under_way, tier.waiting))
    }

    /// Clients with most here, at the most so many: how many of theirs are under way and wait.
    pub fn top(&self, most: usize) -> Vec<(Client, usize, usize)> {
        let of = |(class, tier): (&Arc<str>, &Tier)| {
            let class = class.clone();
            let here = tier.flows.iter().filter(|(_, flow)| flow.idle.is_none());
            let flows = here.map(move |(source, flow)| {
                let client = Client { class: class.clone(), source: *source };
                (client, flow.under_way, flow.waiting.len())
            });
            flows.collect::<Vec<_>>()
        };
        let mut all: Vec<_> = self.tiers.iter().flat_map(of).collect();
        all.sort_by(|a, b| (b.1 + b.2, &a.0).cmp(&(a.1 + a.2, &b.0)));
        all.truncate(most);
        all
    }

    /// Clients of whom anything is remembered.
    pub fn remembered(&self) -> usize {
        self.tiers.values().map(|tier| tier.flows.len()).sum()
    }

    /// Turned away since the start, by class and reason.
    pub fn shed(&self) -> impl Iterator<Item = (&str, Why, u64)> {
        self.shed.iter().map(|((name, why), many)| (&**name, *why, *many))
    }
}
