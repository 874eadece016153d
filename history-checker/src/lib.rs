//! Judges a history by itself: what each client sent and saw, what each store ran, where logs forked. It
//! knows nothing of fronts, and takes no front's word for anything.
//!
//! Times are Unix milliseconds of one clock, that of the machine on which clients and stores ran.

use std::collections::{BTreeMap, HashMap, HashSet};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Of data no older than the bound.
    Read,
    /// Non-idempotent.
    Write,
    /// A write whose repeats its group drops for a while.
    Tokened,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Value(String),
    /// It did not run, or may run again; the wait in milliseconds.
    PushedBack(Option<i64>),
    Aborted,
    /// SQLSTATE.
    Error(String),
    /// The connection ended without an answer, or none came in time.
    None,
}

/// What a session is told once where a switch lost something that it saw.
pub const LOST: &str = "ZG001";
/// What became of a write is not known.
pub const NOT_KNOWN: &str = "40003";

/// One RPC as its client saw it.
#[derive(Clone, Debug)]
pub struct Record {
    pub id: String,
    pub group: i64,
    pub kind: Kind,
    pub sent_ms: i64,
    pub answered_ms: i64,
    pub patience_ms: i64,
    pub answer: Answer,
    /// Something came behind the answer that belongs to no RPC.
    pub more: bool,
    /// Its front was killed while it was out: no answer is owed.
    pub cut: bool,
}

/// A place on a group's log: which branch, and how far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Point {
    pub branch: usize,
    pub at_ms: i64,
}

/// What an answer shows: whose it is, up to when its data is that of the true log, and the place on the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shown<'a> {
    pub id: &'a str,
    pub true_to: i64,
    pub point: Point,
}

impl Shown<'_> {
    /// `id true-to branch at`
    pub fn parse(value: &str) -> Option<Shown<'_>> {
        let mut words = value.split(' ');
        let id = words.next()?;
        let mut number = || words.next().and_then(|word| word.parse::<i64>().ok());
        let (true_to, branch, at_ms) = (number()?, number()?, number()?);
        let point = Point { branch: usize::try_from(branch).ok()?, at_ms };
        Some(Shown { id, true_to, point })
    }
}

/// A write as a store ran it.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub group: i64,
    pub point: Point,
    /// By the group's true primary of that time.
    pub by_primary: bool,
}

/// What was said of a write that was asked about.
#[derive(Clone, Debug)]
pub struct Fate {
    pub id: String,
    pub told_ms: i64,
    pub answer: Answer,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One answer, with a value made for it.
    Lost,
    /// In time.
    Late,
    /// At most once; nothing that ran is pushed back.
    Twice,
    /// No older than allowed.
    Stale,
    /// Writes run at their group's primary only.
    Astray,
    /// A session's reads show its own writes.
    OwnWrites,
    /// A session's reads show no less than those before.
    Monotonic,
    /// A session's write stands on a log that has what the session saw.
    WritesFollowReads,
    /// A lost tail is told to those that saw it, and to nobody else.
    Told,
    /// What is said of a write is so, and stays so.
    Fate,
    /// Seen by the stores themselves.
    Cold,
    Drains,
}

#[derive(Clone, Debug)]
pub struct Offence {
    pub rule: Rule,
    /// The RPC's id, or the store's name.
    pub whose: String,
    pub words: String,
}

#[derive(Clone, Debug, Default)]
pub struct History {
    /// RPCs of clients without sessions, in any order.
    pub loose: Vec<Record>,
    /// Each session's RPCs, each sent after the answer to the one before.
    pub sessions: Vec<Vec<Record>>,
    pub fates: Vec<Fate>,
    pub runs: Vec<Run>,
    /// By group, where each branch left the one before it; the first did nowhere.
    pub forks: BTreeMap<i64, Vec<i64>>,
    /// What stores have seen of their own.
    pub seen: Vec<Offence>,
    /// How old a read's data may be when it is sent.
    pub bound_ms: i64,
    /// Beside a client's patience: what a busy machine may take to wake the client's own thread.
    pub waking_ms: i64,
    /// From a client to a front; the bound counts from the sending there.
    pub on_the_way_ms: i64,
}

#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub asked: usize,
    pub ok: usize,
    pub offences: Vec<Offence>,
}

impl Verdict {
    /// How often a rule was broken.
    pub fn of(&self, rule: Rule) -> usize {
        self.offences.iter().filter(|offence| offence.rule == rule).count()
    }

    /// Adds another verdict.
    pub fn add(&mut self, other: Verdict) {
        self.asked += other.asked;
        self.ok += other.ok;
        self.offences.extend(other.offences);
    }

    /// Each rule that was broken, with how often.
    pub fn broken(&self) -> BTreeMap<Rule, usize> {
        let mut broken = BTreeMap::new();
        self.offences.iter().for_each(|offence| *broken.entry(offence.rule).or_default() += 1);
        broken
    }
}

/// Whether what stands at `shown` has all that was seen at `seen`: both up to there on what their branches
/// share.
pub fn includes(forks: &[i64], shown: Point, seen: Point) -> bool {
    let (low, high) = (shown.branch.min(seen.branch), shown.branch.max(seen.branch));
    let common = forks.get(low + 1..=high).into_iter().flatten().min();
    shown.at_ms >= seen.at_ms && common.is_none_or(|fork| seen.at_ms <= *fork)
}

/// What one session has seen of one group and was not told to be lost.
#[derive(Default)]
struct Saw {
    written: Vec<Point>,
    read: Vec<Point>,
    /// All of it, also what a blamed answer left behind.
    ever: Vec<Point>,
}

struct Judge<'a> {
    history: &'a History,
    runs: HashMap<&'a str, Vec<&'a Run>>,
    verdict: Verdict,
}

/// Judges a history by all rules.
pub fn judge(history: &History) -> Verdict {
    let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
    history.runs.iter().for_each(|run| runs.entry(&run.id).or_default().push(run));
    let verdict = Verdict { offences: history.seen.clone(), ..Verdict::default() };
    let mut judge = Judge { history, runs, verdict };
    let mut ids = HashSet::new();
    for record in history.loose.iter().chain(history.sessions.iter().flatten()) {
        judge.one(record);
        // A tokened write may be sent again under its id; nothing else may.
        if !ids.insert(&record.id) && record.kind != Kind::Tokened {
            judge.blame(Rule::Lost, &record.id, "is the id of two RPCs".into());
        }
    }
    for run in history.runs.iter().filter(|run| !run.by_primary) {
        judge.blame(Rule::Astray, &run.id, format!("ran on branch {}, which is dead", run.point.branch));
    }
    history.sessions.iter().for_each(|session| judge.session(session));
    history.fates.iter().for_each(|fate| judge.fate(fate));
    judge.verdict
}

impl Judge<'_> {
    fn blame(&mut self, rule: Rule, whose: &str, words: String) {
        self.verdict.offences.push(Offence { rule, whose: whose.to_string(), words });
    }

    fn ran(&self, id: &str) -> usize {
        self.runs.get(id).map_or(0, Vec::len)
    }

    /// How many of its runs are on the log that goes on.
    fn stay(&self, id: &str) -> usize {
        let stays = |run: &&&Run| {
            let forks = self.history.forks.get(&run.group).map_or(&[][..], Vec::as_slice);
            let newest = Point { branch: forks.len().saturating_sub(1), at_ms: i64::MAX };
            includes(forks, newest, run.point)
        };
        self.runs.get(id).into_iter().flatten().filter(stays).count()
    }

    /// What holds of an RPC by itself.
    fn one(&mut self, record: &Record) {
        let Record { id, kind, sent_ms, answered_ms, patience_ms, answer, .. } = record;
        let (runs, took) = (self.ran(id), answered_ms - sent_ms);
        self.verdict.asked += 1;
        if record.more || (*answer == Answer::None && !record.cut) {
            self.blame(Rule::Lost, id, format!("has no answer, or more than one ({answer:?})"));
        }
        if took > patience_ms + self.history.waking_ms && !record.cut {
            self.blame(Rule::Late, id, format!("was answered after {took} ms, wanted within {patience_ms}"));
        }
        // The group's memory of a token goes with the tail that a switch loses, as the first run does.
        let stay = if *kind == Kind::Tokened { self.stay(id) } else { runs };
        if stay > 1 {
            self.blame(Rule::Twice, id, format!("ran {stay} times"));
        }
        // That a tokened one is pushed back says nothing of the try before, and trying again is harmless.
        if runs > 0 && matches!(answer, Answer::PushedBack(_)) && *kind == Kind::Write {
            self.blame(Rule::Twice, id, "ran and was pushed back".into());
        }
        let Answer::Value(value) = answer else { return };
        self.verdict.ok += 1;
        let shown = Shown::parse(value).filter(|shown| shown.id == id);
        if shown.is_none() || (*kind != Kind::Read && runs == 0) {
            self.blame(Rule::Lost, id, format!("got a value that was not made for it: {value}"));
        }
        let oldest = sent_ms - self.history.bound_ms - self.history.on_the_way_ms;
        if let Some(shown) = shown.filter(|shown| *kind == Kind::Read && shown.true_to < oldest) {
            let age = sent_ms - shown.true_to;
            self.blame(Rule::Stale, id, format!("got data {age} ms old"));
        }
    }

    /// What holds of a session from one RPC to the next.
    fn session(&mut self, records: &[Record]) {
        let history = self.history;
        let mut groups: BTreeMap<i64, Saw> = BTreeMap::new();
        for record in records {
            let forks = history.forks.get(&record.group).map_or(&[][..], Vec::as_slice);
            let saw = groups.entry(record.group).or_default();
            let has_all = |all: &[Point], shown: Point| all.iter().all(|seen| includes(forks, shown, *seen));
            match &record.answer {
                Answer::Value(value) => {
                    let Some(Shown { point, .. }) = Shown::parse(value) else { continue };
                    let (own, read) = (has_all(&saw.written, point), has_all(&saw.read, point));
                    let is_read = record.kind == Kind::Read;
                    // Blamed once, a session goes on from what it was shown.
                    if !(own && read) {
                        *saw = Saw { ever: std::mem::take(&mut saw.ever), ..Saw::default() };
                    }
                    saw.ever.push(point);
                    if is_read { &mut saw.read } else { &mut saw.written }.push(point);
                    let words = format!("stands at {point:?}");
                    match (is_read, own, read) {
                        (_, true, true) => {}
                        (false, ..) => self.blame(Rule::WritesFollowReads, &record.id, words),
                        (true, false, _) => self.blame(Rule::OwnWrites, &record.id, words),
                        (true, true, false) => self.blame(Rule::Monotonic, &record.id, words),
                    }
                }
                Answer::Error(code) if code == LOST => {
                    let newest = Point { branch: forks.len().saturating_sub(1), at_ms: i64::MAX };
                    let lost = saw.ever.iter().any(|seen| !includes(forks, newest, *seen));
                    groups.remove(&record.group);
                    if !lost {
                        self.blame(Rule::Told, &record.id, "was told of a loss that is none".into());
                    }
                    if self.ran(&record.id) > 0 {
                        self.blame(Rule::Twice, &record.id, "ran although a loss was told instead".into());
                    }
                }
                _ => {}
            }
        }
    }

    fn fate(&mut self, Fate { id, told_ms, answer }: &Fate) {
        let runs: Vec<Point> =
            self.runs.get(id.as_str()).into_iter().flatten().map(|run| run.point).collect();
        let wrong = match answer {
            Answer::Value(word) if word == "never" => !runs.is_empty(),
            Answer::Value(word) if word == "under way" => false,
            Answer::Value(word) => {
                let commit = word.strip_prefix("ran").map(str::trim);
                let is_so = |run: &Point, commit: &str| commit.is_empty() || commit.parse() == Ok(run.at_ms);
                let so = |run: &Point| run.at_ms <= *told_ms && commit.is_some_and(|word| is_so(run, word));
                !runs.iter().any(so)
            }
            Answer::Error(code) => code != NOT_KNOWN,
            // No answer, or that it can't be told now: nothing was said of the write.
            _ => false,
        };
        if wrong {
            self.blame(Rule::Fate, id, format!("told {answer:?}, ran {runs:?}"));
        }
    }
}
