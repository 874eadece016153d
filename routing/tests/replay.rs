//! Replays recorded sequences of events through the routing policy and compares every action with what the policy
//! did when the recording was made: a change of names or of structure must change no decision.
//!
//! The events are drawn from a seed and react to the actions, as a host's would. `tests/data/replay.txt` holds, for
//! each run, how many actions there were and a checksum over all of them. `REPLAY_RECORD=1` writes that file anew,
//! which belongs into a commit that means to change decisions and says why.

// Each test file uses a part of the shared helpers.
#[allow(dead_code)]
mod support;

use routing::choice::Router;
use routing::iface::*;
use routing::rng::Mwc;
use routing::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

const RECORDED: &str = include_str!("data/replay.txt");
const GROUPS: usize = 4;
const STORES: usize = GROUPS * 3;
const STEPS: usize = 6_000;

/// Settings under which the same draws are played.
fn mixtures() -> Vec<(&'static str, Facts)> {
    let usual = || support::facts(Lagging::AnswersAnyway);
    vec![
        ("usual", usual()),
        ("refuses", support::facts(Lagging::Refuses)),
        ("holds", support::facts(Lagging::Holds(Span::millis(100)))),
        ("many-instances", Facts { instances: 300, ..usual() }),
        ("one-instance", Facts { instances: 1, ..usual() }),
        ("no-probes", Facts { may_probe: false, ..usual() }),
        ("no-probes-refuses", Facts { may_probe: false, ..support::facts(Lagging::Refuses) }),
        ("pushed-lists", Facts { ask_within: None, ..usual() }),
        ("marks-remembered", Facts { marks_carried: false, may_withdraw: false, ..usual() }),
        ("gone-stays-open", Facts { gone_stays_open: true, max_come_back: None, ..usual() }),
        ("few-attempts", Facts { max_call_outs: 2, instances: 30, ..usual() }),
    ]
}

/// An attempt that is out.
struct Attempt {
    rpc: RpcId,
    number: u32,
    store: StoreIx,
    sent: Moment,
}

/// A host that plays drawn events.
struct Player {
    router: Router,
    facts: Facts,
    now: Moment,
    draws: Mwc,
    next_rpc: RpcId,
    attempts: Vec<Attempt>,
    /// Attempts made, by RPC that is still open.
    open: BTreeMap<RpcId, u32>,
    timers: BTreeSet<(Moment, u64)>,
    probes: Vec<StoreIx>,
    actions: usize,
    checksum: u64,
}

impl Player {
    fn new(facts: Facts, seed: u64) -> Player {
        let now = Moment(1_000_000_000_000);
        let mut actions = Vec::new();
        let router = Router::new(seed, &facts, now, &mut actions);
        let mut player = Player {
            router,
            facts,
            now,
            draws: Mwc::new(seed ^ 0x5eed),
            next_rpc: 0,
            attempts: Vec::new(),
            open: BTreeMap::new(),
            timers: BTreeSet::new(),
            probes: Vec::new(),
            actions: 0,
            checksum: 0xcbf2_9ce4_8422_2325,
        };
        player.carry_out(actions);
        let entries = (0..STORES).map(|store| player.entry(store, Standing::Open)).collect();
        player.give(Event::List { whole: true, entries });
        player
    }

    fn draw(&mut self, end: usize) -> usize {
        self.draws.below(end)
    }

    fn entry(&mut self, store: StoreIx, standing: Standing) -> Entry {
        let started = (self.draw(8) == 0).then(|| self.now - Span::millis(self.draw(4_000) as i64));
        Entry {
            store,
            group: store / 3,
            zone: store % 2,
            standing,
            primary: store.is_multiple_of(3),
            started,
            presumed: self.draw(16) == 0,
        }
    }

    /// What a store says of itself: often right, sometimes old, in part, or of a time to come.
    fn told(&mut self, store: StoreIx) -> Told {
        let lag = [0, 5, 40, 300, 1_200, -400][self.draw(6)];
        let position = (self.draw(5) > 0).then(|| self.now - Span::millis(lag));
        let primary = store.is_multiple_of(3) != (self.draw(12) == 0);
        let role = (self.draw(4) > 0).then_some(if primary { Role::Primary } else { Role::Replica });
        let load = (self.draw(3) == 0).then(|| self.draw(100) as f64 / 100.0);
        Told { position, role, load }
    }

    fn arrive(&mut self) {
        let method = self.draw(self.facts.methods.len());
        let deadline =
            self.now + self.facts.methods[method].deadline.times(0.3 + self.draw(70) as f64 / 100.0);
        let rpc = self.next_rpc;
        self.next_rpc += 1;
        self.open.insert(rpc, 0);
        let arrival = Arrival {
            rpc,
            method,
            group: self.draw(GROUPS),
            session: (self.draw(2) == 0).then(|| self.draw(5) as u64),
            last_write: (self.draw(4) == 0).then(|| Span::millis(self.draw(400) as i64)),
            seen: (self.draw(8) == 0).then(|| self.now - Span::millis(self.draw(900) as i64)),
            came: self.now - Span::millis(self.draw(3) as i64),
            deadline,
            repeat: self.draw(6) == 0,
        };
        self.give(Event::Arrived(arrival));
    }

    fn end_attempt(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let nth = self.draw(self.attempts.len());
        let Attempt { rpc, number, store, sent } = self.attempts.remove(nth);
        let confirmed = self.router.confirms(self.now, rpc, number, store);
        self.record(&format!("confirms {rpc} {number} {store} {confirmed}"));
        let outcomes = [
            Outcome::Errored,
            Outcome::Full,
            Outcome::TimedOut,
            Outcome::Unreachable,
            Outcome::Broken,
            Outcome::Withdrawn,
            Outcome::Moot,
            Outcome::Lagged,
        ];
        let outcome = if self.draw(4) > 0 { Outcome::Ok } else { outcomes[self.draw(outcomes.len())] };
        let closed = outcome == Outcome::Ok || !self.open.contains_key(&rpc);
        if closed {
            self.open.remove(&rpc);
        }
        let (note, report) = (self.told(store), self.told(store));
        let wrote = (self.draw(3) == 0).then(|| self.draw(5) as u64);
        let elapsed = self.now - sent;
        let end = End { rpc, call_out: number, store, outcome, elapsed, closed, wrote, note, report };
        self.give(Event::Ended(end));
    }

    fn end_probe(&mut self) {
        let Some(store) = self.probes.pop() else { return };
        let outcome = [Outcome::Ok, Outcome::Ok, Outcome::Ok, Outcome::Full, Outcome::TimedOut][self.draw(5)];
        let report = if outcome == Outcome::Ok { self.told(store) } else { Told::default() };
        self.give(Event::Probed { store, outcome, elapsed: support::TICK, report });
    }

    fn change_list(&mut self) {
        let store = self.draw(STORES);
        let standing = [Standing::Open, Standing::Open, Standing::Draining, Standing::Gone][self.draw(4)];
        let entries = vec![self.entry(store, standing)];
        self.give(Event::List { whole: false, entries });
    }

    fn clear(&mut self) {
        let group = self.draw(GROUPS);
        let only = Clearance::Only(group * 3 + self.draw(3));
        let clearance = [Clearance::Free, Clearance::Free, Clearance::Barred, only][self.draw(4)];
        self.give(Event::Cleared { group, clearance });
    }

    fn leave(&mut self) {
        let open: Vec<RpcId> = self.open.keys().copied().collect();
        if let Some(&rpc) = open.get(self.draw(open.len().max(1))) {
            self.open.remove(&rpc);
            self.give(Event::Gone { rpc });
        }
    }

    fn pass(&mut self, span: Span) {
        let until = self.now + span;
        while let Some(&due) = self.timers.first().filter(|due| due.0 <= until) {
            self.timers.remove(&due);
            self.now = self.now.max(due.0);
            self.give(Event::Timer { tag: due.1 });
        }
        self.now = until;
    }

    fn step(&mut self) {
        match self.draw(24) {
            0..=7 => self.arrive(),
            8..=14 => self.end_attempt(),
            15..=17 => self.end_probe(),
            18 => self.leave(),
            19 if self.draw(4) == 0 => self.change_list(),
            19 if self.draw(4) == 0 => self.clear(),
            19 if self.draw(4) == 0 => self.give(Event::ListFailed),
            _ => {
                let span = Span::millis([0, 1, 4, 20, 90][self.draw(5)]);
                self.pass(span);
            }
        }
    }

    fn give(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            let line = match action {
                Action::Send { rpc, store, time_out } => {
                    let made = self.open.entry(rpc).or_default();
                    self.attempts.push(Attempt { rpc, number: *made, store, sent: self.now });
                    *made += 1;
                    format!("send {rpc} {store} {}", time_out.0)
                }
                Action::PushBack { rpc, come_back } => {
                    self.open.remove(&rpc);
                    format!("reject {rpc} {}", come_back.map_or(-1, |span| span.0))
                }
                Action::Abort { rpc } => {
                    self.open.remove(&rpc);
                    format!("abort {rpc}")
                }
                Action::Withdraw { rpc, call_out } => format!("withdraw {rpc} {call_out}"),
                Action::Remind { tag, at } => {
                    self.timers.insert((at, tag));
                    format!("remind {tag} {}", at.0)
                }
                Action::Probe { store } => {
                    self.probes.push(store);
                    format!("probe {store}")
                }
                Action::Watch => "watch".to_string(),
                Action::FetchList => "fetch".to_string(),
                Action::Remark(_) => "remark".to_string(),
            };
            self.record(&line);
        }
    }

    /// Adds a line to the checksum (FNV-1a).
    fn record(&mut self, line: &str) {
        self.actions += 1;
        for byte in line.bytes().chain([b'\n']) {
            self.checksum = (self.checksum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

fn play() -> String {
    let mut text = String::new();
    for (name, facts) in mixtures() {
        for seed in 1..=6 {
            let mut player = Player::new(facts.clone(), seed);
            for _ in 0..STEPS {
                player.step();
            }
            let Player { actions, checksum, .. } = player;
            writeln!(text, "{name} {seed} {actions} {checksum:016x}").expect("a string takes all");
        }
    }
    text
}

#[test]
fn every_action_is_as_it_was_recorded() {
    let played = play();
    if std::env::var_os("REPLAY_RECORD").is_some() {
        std::fs::write("tests/data/replay.txt", &played).expect("a writable file");
        return;
    }
    for (played, recorded) in played.lines().zip(RECORDED.lines()) {
        assert_eq!(played, recorded, "run, seed, actions, checksum");
    }
    assert_eq!(played.lines().count(), RECORDED.lines().count());
}
