//! What is true: groups, their logs in branches, who is primary, and what was done where.
//!
//! Positions are Unix milliseconds. A primary stands at the present; a replica stands where its upstream
//! stood so long ago as it lags, and stands still while its link is cut or its upstream is dead. A promotion
//! forks a branch: what the former primary goes on writing is on a branch that is dead.

use history_checker::{includes, Fate, History, Offence, Point, Record, Rule, Run};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as i64
}

pub type EndpointIndex = usize;

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
    pub upstream: Option<EndpointIndex>,
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
    pub fn of(name: String, group: i64, upstream: Option<EndpointIndex>, lag_ms: i64) -> Machine {
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
    pub overload_multiple: f64,
    pub window_ms: i64,
    pub work_ms: i64,
}

#[derive(Default)]
pub struct Truth {
    pub machines: Vec<Machine>,
    /// By group.
    pub branches: BTreeMap<i64, Vec<Branch>>,
    /// What ran, by the id of its RPC.
    pub runs: HashMap<String, Vec<Run>>,
    /// Offered work of the last window, by store.
    pub work: HashMap<EndpointIndex, Vec<i64>>,
    /// When a store's one core will have done all that it has taken, in microseconds of Unix time.
    busy_until: HashMap<EndpointIndex, i64>,
    /// Rules whose breaking stores see by themselves.
    pub seen: Vec<Offence>,
}

impl Truth {
    pub fn position(&self, ix: EndpointIndex, now: i64) -> i64 {
        let machine = &self.machines[ix];
        match (machine.primary, machine.stands, machine.upstream) {
            (true, _, _) => now,
            (false, Some(stands), _) => stands,
            (false, None, Some(up)) if up != ix => self.position(up, now) - machine.lag_ms,
            _ => now - machine.lag_ms,
        }
    }

    /// Where it stands on its group's log.
    pub fn point(&self, ix: EndpointIndex, now: i64) -> Point {
        Point { branch: self.machines[ix].branch, at_ms: self.position(ix, now) }
    }

    /// Where each branch of a group's log left the one before it.
    pub fn forks(&self, group: i64) -> Vec<i64> {
        self.branches.get(&group).into_iter().flatten().map(|branch| branch.forked_ms).collect()
    }

    /// The run that a store at this point still knows of, of a write whose repeats are dropped for so long.
    pub fn remembered(&self, id: &str, at: Point, memory_ms: i64) -> Option<Point> {
        let mut runs = self.runs.get(id)?.iter().map(|run| (run, self.forks(run.group)));
        let known = |(run, forks): &(&Run, Vec<i64>)| {
            at.at_ms - run.point.at_ms < memory_ms && includes(forks, at, run.point)
        };
        runs.find(known).map(|(run, _)| run.point)
    }

    /// Up to when its data is that of the true log.
    pub fn true_to(&self, ix: EndpointIndex, now: i64) -> i64 {
        let (machine, position) = (&self.machines[ix], self.position(ix, now));
        match self.branches.get(&machine.group).and_then(|all| all.get(machine.branch)) {
            Some(branch) if !branch.truth => {
                let fork = self.branches[&machine.group].iter().find(|other| other.truth);
                position.min(fork.map_or(position, |fork| fork.forked_ms))
            }
            _ => position,
        }
    }

    pub fn is_true_primary(&self, ix: EndpointIndex, group: i64) -> bool {
        let machine = &self.machines[ix];
        machine.group == group && machine.primary && self.branches[&group][machine.branch].truth
    }

    pub fn primary_of(&self, group: i64) -> Option<EndpointIndex> {
        (0..self.machines.len())
            .find(|&ix| self.branches.contains_key(&group) && self.is_true_primary(ix, group))
    }

    /// Makes a replica primary. The one before goes on, cut off, where `cut`; else it follows.
    pub fn promote(&mut self, ix: EndpointIndex, cut: bool, at: i64) {
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
    fn warmth(&self, ix: EndpointIndex, now: i64, cold: &Cold) -> Option<f64> {
        let age = now - self.machines[ix].started_ms;
        (age < cold.for_ms).then(|| cold.from + (1.0 - cold.from) * age as f64 / cold.for_ms as f64)
    }

    /// Offers one statement's work; a started store that gets too much of it falls over. One core does it in
    /// turn, and a cold one more slowly; returns how long this one takes with all before it.
    pub fn offer(&mut self, ix: EndpointIndex, now: i64, cold: &Cold) -> Duration {
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
        if offered > warmth * cold.overload_multiple * cold.window_ms as f64 {
            work.clear();
            let age = now - self.machines[ix].started_ms;
            self.see(ix, Rule::Cold, format!("was pushed over {age} ms after its start"));
        }
        wait
    }

    pub fn see(&mut self, ix: EndpointIndex, rule: Rule, words: String) {
        let whose = self.machines[ix].name.clone();
        self.seen.push(Offence { rule, whose, words });
    }
}

/// The bound of the settings that fronts here are started with.
pub const BOUND_MS: i64 = 800;

pub struct World {
    pub cold: Cold,
    /// After a drain was told, so long may statements still come.
    pub grace_ms: i64,
    /// How old a read's data may be.
    pub bound_ms: i64,
    truth: Mutex<Truth>,
}

/// Beside the client's patience: what a busy machine may take to wake the client's own thread.
const WAKING_MS: i64 = 500;
/// Answers take a moment to the front; a bound counts from the sending there.
const ON_THE_WAY_MS: i64 = 60;

impl World {
    pub fn new(cold: Cold, grace_ms: i64) -> World {
        World { cold, grace_ms, bound_ms: BOUND_MS, truth: Mutex::default() }
    }

    /// What was done here, and what clients make of it.
    pub fn history(&self, loose: Vec<Record>, sessions: Vec<Vec<Record>>, fates: Vec<Fate>) -> History {
        let truth = self.lock();
        History {
            loose,
            sessions,
            fates,
            runs: truth.runs.values().flatten().cloned().collect(),
            forks: truth.branches.keys().map(|&group| (group, truth.forks(group))).collect(),
            seen: truth.seen.clone(),
            bound_ms: self.bound_ms,
            waking_ms: WAKING_MS,
            on_the_way_ms: ON_THE_WAY_MS,
        }
    }

    pub fn lock(&self) -> MutexGuard<'_, Truth> {
        self.truth.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
