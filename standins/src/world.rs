//! What is true: groups, their logs in branches, who is primary, and what was done where.
//!
//! Positions are Unix milliseconds. A primary stands at the present; a replica stands where its upstream
//! stood so long ago as it lags, and stands still while its link is cut or its upstream is dead. A promotion
//! forks a branch: what the former primary goes on writing is on a branch that is dead.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as i64
}

pub type StoreIx = usize;

/// How a store can be reached from the front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    Up,
    /// Connections come up and nothing is ever said on them.
    Silent,
    /// Nothing listens there.
    Refused,
}

#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub group: i64,
    pub primary: bool,
    pub timeline: u32,
    /// The branch of its group's log that it stands on.
    pub branch: usize,
    pub upstream: Option<StoreIx>,
    pub lag_ms: i64,
    /// Where it stands while nothing reaches it any more.
    pub stands: Option<i64>,
    pub reach: Reach,
    pub draining_since: Option<i64>,
    pub started_ms: i64,
    /// It can say who it is.
    pub says_who: bool,
}

impl Machine {
    /// A store that nothing ails: a primary, or a replica of `upstream` that lags so much. It started long
    /// ago.
    pub fn of(name: String, group: i64, upstream: Option<StoreIx>, lag_ms: i64) -> Machine {
        Machine {
            name,
            group,
            primary: upstream.is_none(),
            timeline: 1,
            branch: 0,
            upstream,
            lag_ms,
            stands: None,
            reach: Reach::Up,
            draining_since: None,
            started_ms: 0,
            says_who: true,
        }
    }
}

/// One line of a group's log.
#[derive(Clone, Copy, Debug)]
pub struct Branch {
    /// Where it left the branch before it; what lies there before that is common to both.
    pub forked_ms: i64,
    pub truth: bool,
}

/// How started stores warm up and what makes them fall over: the rule that fronts are told in their settings.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    pub from: f64,
    pub for_ms: i64,
    pub fall_multiple: f64,
    pub window_ms: i64,
    pub work_ms: i64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Writes that another than the true primary ran.
    pub astray: usize,
    /// Started stores pushed over.
    pub fallen: usize,
    /// Statements taken more than the grace after a drain was told.
    pub drained: usize,
}

#[derive(Clone, Debug)]
pub struct Run {
    pub store: StoreIx,
    pub at_ms: i64,
}

#[derive(Default)]
pub struct Truth {
    pub machines: Vec<Machine>,
    /// By group.
    pub branches: BTreeMap<i64, Vec<Branch>>,
    /// What ran, by the id of its RPC.
    pub runs: HashMap<String, Vec<Run>>,
    /// Offered work of the last window, by store.
    pub work: HashMap<StoreIx, Vec<i64>>,
    /// When a store's one core will have done all that it has taken, in microseconds of Unix time.
    busy_until: HashMap<StoreIx, i64>,
    pub counts: Counts,
    /// Words on each broken rule, a few of them.
    pub offences: Vec<String>,
}

impl Truth {
    pub fn position(&self, ix: StoreIx, now: i64) -> i64 {
        let machine = &self.machines[ix];
        match (machine.primary, machine.stands, machine.upstream) {
            (true, _, _) => now,
            (false, Some(stands), _) => stands,
            (false, None, Some(up)) if up != ix => self.position(up, now) - machine.lag_ms,
            _ => now - machine.lag_ms,
        }
    }

    /// Up to when its data is that of the true log.
    pub fn true_to(&self, ix: StoreIx, now: i64) -> i64 {
        let (machine, position) = (&self.machines[ix], self.position(ix, now));
        match self.branches.get(&machine.group).and_then(|all| all.get(machine.branch)) {
            Some(branch) if !branch.truth => {
                let fork = self.branches[&machine.group].iter().find(|other| other.truth);
                position.min(fork.map_or(position, |fork| fork.forked_ms))
            }
            _ => position,
        }
    }

    pub fn is_true_primary(&self, ix: StoreIx, group: i64) -> bool {
        let machine = &self.machines[ix];
        machine.group == group && machine.primary && self.branches[&group][machine.branch].truth
    }

    pub fn primary_of(&self, group: i64) -> Option<StoreIx> {
        (0..self.machines.len())
            .find(|&ix| self.branches.contains_key(&group) && self.is_true_primary(ix, group))
    }

    /// Makes a replica primary. The one before goes on, cut off, where `cut`; else it follows.
    pub fn promote(&mut self, ix: StoreIx, cut: bool, at: i64) {
        let group = self.machines[ix].group;
        let before = self.primary_of(group);
        let branches = self.branches.entry(group).or_default();
        branches.iter_mut().for_each(|branch| branch.truth = false);
        branches.push(Branch { forked_ms: at, truth: true });
        let (branch, timeline) = (branches.len() - 1, branches.len() as u32);
        for (nth, machine) in self.machines.iter_mut().enumerate().filter(|(_, m)| m.group == group) {
            if Some(nth) == before && cut {
                continue;
            }
            (machine.branch, machine.timeline, machine.stands) = (branch, timeline, None);
            (machine.primary, machine.upstream) = (nth == ix, (nth != ix).then_some(ix));
        }
    }

    /// What a started store can do by now, of all that it can.
    fn warmth(&self, ix: StoreIx, now: i64, cold: &Cold) -> Option<f64> {
        let age = now - self.machines[ix].started_ms;
        (age < cold.for_ms).then(|| cold.from + (1.0 - cold.from) * age as f64 / cold.for_ms as f64)
    }

    /// Offers one statement's work; a started store that gets too much of it falls over. One core does it in
    /// turn, and a cold one more slowly; returns how long this one takes with all before it.
    pub fn offer(&mut self, ix: StoreIx, now: i64, cold: &Cold) -> Duration {
        let warmth = self.warmth(ix, now, cold);
        let takes = (cold.work_ms as f64 * 1e3 / warmth.unwrap_or(1.0)) as i64;
        let until = self.busy_until.entry(ix).or_default();
        *until = (*until).max(now * 1_000) + takes;
        let wait = Duration::from_micros((*until - now * 1_000).max(0) as u64);
        let work = self.work.entry(ix).or_default();
        work.retain(|at| now - at < cold.window_ms);
        work.push(now);
        let Some(warmth) = warmth else { return wait };
        let offered = work.len() as f64 * cold.work_ms as f64;
        if offered > warmth * cold.fall_multiple * cold.window_ms as f64 {
            self.counts.fallen += 1;
            work.clear();
            let name = self.machines[ix].name.clone();
            self.say(format!(
                "{name} was pushed over {} ms after its start",
                now - self.machines[ix].started_ms
            ));
        }
        wait
    }

    pub fn say(&mut self, words: String) {
        if self.offences.len() < 20 {
            self.offences.push(words);
        }
    }
}

pub struct World {
    pub cold: Cold,
    /// After a drain was told, so long may statements still come.
    pub grace_ms: i64,
    truth: Mutex<Truth>,
}

impl World {
    pub fn new(cold: Cold, grace_ms: i64) -> World {
        World { cold, grace_ms, truth: Mutex::default() }
    }

    pub fn lock(&self) -> MutexGuard<'_, Truth> {
        self.truth.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
