//! Sessions and writes through kills of fronts, moves between them, lag and a switch that loses the tail of a
//! log, drawn from a seed. What came of it is for the checker to judge.

use crate::client::{Answer, Client, Kind, Record};
use crate::daemon::{Daemon, Start};
use crate::discovery::{host, Discovery, Mode};
use crate::starts::{settings, Build};
use crate::store::{free_address, serve, Served};
use crate::world::{unix_ms, Branch, Cold, EndpointIndex, Machine, World};
use history_checker::{judge, Fate, Verdict, LOST};
use routing::rng::Mwc;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub fronts: usize,
    /// Of each group's two replicas.
    pub lags: [i64; 2],
    pub kills: usize,
    pub clients: usize,
    /// How long after the switch discovery says so.
    pub notice_ms: u64,
}

impl Plan {
    pub fn draw(seed: u64, kills: usize) -> Plan {
        let mut rng = Mwc::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let lags = [10 + rng.below(60) as i64, 150 + rng.below(550) as i64];
        let fronts = 2 + rng.below(2);
        Plan { seed, fronts, lags, kills, clients: 6, notice_ms: rng.below(300) as u64 }
    }
}

#[derive(Debug, Default)]
pub struct Played {
    pub verdict: Verdict,
    pub kills: usize,
    /// Writes of which an answer was lost or which were aborted.
    pub in_doubt: usize,
    /// Of these: told *ran* or *never*; served when they were sent again.
    pub told: usize,
    pub served_again: usize,
    /// Sessions told that a switch had lost something.
    pub losses: usize,
}

const GROUPS: [i64; 2] = [1, 2];
const KEYS: &str = "1 000102030405060708090a0b0c0d0e0f\n";

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// What clients and the one that kills share.
struct Stage {
    listen: Vec<SocketAddr>,
    /// When each front was killed.
    killed: Vec<Mutex<Vec<i64>>>,
    over: AtomicBool,
}

struct Fleet<'a> {
    plan: &'a Plan,
    build: &'a Build<'a>,
    folder: tempfile::TempDir,
    discovery: Discovery,
    world: Arc<World>,
    served: Vec<Served>,
    stage: Arc<Stage>,
}

impl<'a> Fleet<'a> {
    fn set(plan: &'a Plan, build: &'a Build<'a>) -> std::io::Result<Fleet<'a>> {
        let cold = Cold { from: 1.0, for_ms: 1, overload_multiple: 9.0, window_ms: 500, work_ms: 1 };
        let world = Arc::new(World::new(cold, 250));
        for group in GROUPS {
            let mut truth = world.lock();
            truth.branches.insert(group, vec![Branch { forked_ms: 0, truth: true }]);
            let first = truth.machines.len();
            for (nth, lag_ms) in [0].into_iter().chain(plan.lags).enumerate() {
                let upstream = (nth > 0).then_some(first);
                truth.machines.push(Machine::of(format!("s-{group}-{nth}"), group, upstream, lag_ms));
            }
        }
        let count = world.lock().machines.len();
        let served: Vec<Served> = (0..count).map(|ix| serve(&world, ix)).collect();
        let folder = tempfile::tempdir()?;
        std::fs::write(folder.path().join("keys"), KEYS)?;
        let stage = Stage {
            listen: (0..plan.fronts).map(|_| free_address()).collect(),
            killed: (0..plan.fronts).map(|_| Mutex::default()).collect(),
            over: AtomicBool::new(false),
        };
        let discovery = Discovery::start(Mode::Up, 1, Vec::new());
        let fleet = Fleet { plan, build, folder, discovery, world, served, stage: Arc::new(stage) };
        fleet.list(2);
        Ok(fleet)
    }

    fn list(&self, seq: i64) {
        let truth = self.world.lock();
        let entry = |ix: EndpointIndex| {
            let machine = &truth.machines[ix];
            host(&machine.name, &self.served[ix].addr, machine.group, machine.primary, "SERVING", 0)
        };
        self.discovery.tell(seq, (0..truth.machines.len()).map(entry).collect());
    }

    fn start(&self, nth: usize) -> std::io::Result<Daemon> {
        let folder = self.folder.path().join(format!("front-{nth}"));
        let state = folder.join("state");
        std::fs::create_dir_all(&state)?;
        let facts = format!(r#"{{"seed":"{:x}{nth}","settings":{}}}"#, self.plan.seed, settings());
        let keys = self.folder.path().join("keys");
        let conf =
            format!("session-keys {}\nstate-dir {}\nwrite-journal system\n", keys.display(), state.display());
        let start = Start {
            program: self.build.program,
            facts: &facts,
            conf: self.build.keeps.then_some(conf.as_str()),
            folder: Path::new(&folder),
            listen: self.stage.listen[nth],
            discovery: self.discovery.addr,
        };
        Daemon::start(&start)
    }
}

/// Plays a plan against a build; one that does not keep is started without an operators' file.
pub fn play(plan: &Plan, build: &Build) -> std::io::Result<Played> {
    let fleet = Fleet::set(plan, build)?;
    let mut rng = Mwc::new(plan.seed ^ 0x5eed);
    let mut daemons: Vec<Option<Daemon>> =
        (0..plan.fronts).map(|nth| fleet.start(nth).map(Some)).collect::<Result<_, _>>()?;
    let clients: Vec<_> = (0..plan.clients)
        .map(|nth| {
            let seed = plan.seed.wrapping_mul(31).wrapping_add(nth as u64);
            let session = Session::new(seed, nth, build.keeps, fleet.stage.clone());
            thread::spawn(move || session.live())
        })
        .collect();
    for kill in 0..plan.kills {
        thread::sleep(Duration::from_millis(120 + rng.below(200) as u64));
        if kill == plan.kills / 2 {
            // The second store takes over, and lacks what the first had beyond it.
            let mut truth = fleet.world.lock();
            let heir = 1 + rng.below(2) * 3;
            let fork = truth.position(heir, unix_ms());
            truth.promote(heir, false, fork);
            drop(truth);
            thread::sleep(Duration::from_millis(plan.notice_ms));
            fleet.list(3);
        }
        let nth = rng.below(plan.fronts);
        lock(&fleet.stage.killed[nth]).push(unix_ms());
        daemons[nth].take().map(Daemon::kill);
        daemons[nth] = Some(fleet.start(nth)?);
    }
    thread::sleep(Duration::from_millis(600));
    fleet.stage.over.store(true, Ordering::Release);
    let mut played = Played { kills: plan.kills, ..Played::default() };
    let (mut sessions, mut fates) = (Vec::new(), Vec::new());
    for client in clients {
        let Ok(session) = client.join() else { return Err(std::io::Error::other("a client panicked")) };
        played.in_doubt += session.in_doubt;
        played.served_again += session.served_again;
        let is_lost = |record: &&Record| record.answer == Answer::Error(LOST.into());
        played.losses += session.records.iter().filter(is_lost).count();
        played.told += session.fates.iter().filter(|fate| matches!(fate.answer, Answer::Value(_))).count();
        sessions.push(session.records);
        fates.extend(session.fates);
    }
    drop(daemons);
    played.verdict = judge(&fleet.world.history(Vec::new(), sessions, fates));
    Ok(played)
}

/// One client with one session, which it takes along from front to front.
struct Session {
    stage: Arc<Stage>,
    keeps: bool,
    nth: usize,
    rng: Mwc,
    serial: usize,
    token: Option<String>,
    records: Vec<Record>,
    fates: Vec<Fate>,
    in_doubt: usize,
    served_again: usize,
}

/// A connection, the front that it goes to and when it was opened.
struct Line {
    client: Client,
    front: usize,
    opened_ms: i64,
}

impl Session {
    fn new(seed: u64, nth: usize, keeps: bool, stage: Arc<Stage>) -> Session {
        let (rng, token) = (Mwc::new(seed), None);
        let (serial, in_doubt, served_again) = (0, 0, 0);
        let (records, fates) = (Vec::new(), Vec::new());
        Session { stage, keeps, nth, rng, serial, token, records, fates, in_doubt, served_again }
    }

    fn live(mut self) -> Session {
        let mut line: Option<Line> = None;
        while !self.stage.over.load(Ordering::Acquire) {
            if self.rng.below(4) == 0 {
                line = None;
            }
            let front = self.rng.below(self.stage.listen.len());
            let Some(mut at) = line.take().or_else(|| self.open(front)) else { continue };
            self.serial += 1;
            let id = format!("{:x}.{:x}", self.nth, self.serial);
            let kind = [Kind::Read, Kind::Read, Kind::Read, Kind::Write, Kind::Tokened][self.rng.below(5)];
            let group = GROUPS[self.rng.below(GROUPS.len())];
            let answer = self.ask(&mut at, &id, group, kind);
            let doubt = matches!(answer, Answer::None | Answer::Aborted) && kind != Kind::Read;
            let (front, origin) = (at.front, at.client.origin.clone());
            line = (answer != Answer::None).then_some(at);
            if doubt {
                self.in_doubt += 1;
                line = None;
                self.find_out(front, &id, group, kind, origin);
            }
            thread::sleep(Duration::from_millis(2 + self.rng.below(10) as u64));
        }
        self
    }

    fn open(&mut self, front: usize) -> Option<Line> {
        let opened_ms = unix_ms();
        let word = self.keeps.then(|| self.token.as_deref().unwrap_or("new"));
        let client = Client::with_session(&self.stage.listen[front], "backend", word).ok();
        let client = client.filter(|client| client.refused.is_none());
        if client.is_none() {
            thread::sleep(Duration::from_millis(3));
        }
        client.map(|client| Line { client, front, opened_ms })
    }

    fn ask(&mut self, line: &mut Line, id: &str, group: i64, kind: Kind) -> Answer {
        let mut record = line.client.ask(id, group, kind, if kind == Kind::Read { 400 } else { 700 });
        record.cut = lock(&self.stage.killed[line.front]).iter().any(|&at| at >= line.opened_ms);
        self.token = line.client.token.clone().or(self.token.take());
        let answer = record.answer.clone();
        self.records.push(record);
        answer
    }

    /// What became of a write: its client asks, or sends it again where repeats are dropped, sometimes too
    /// late for that; always where it sent it first.
    fn find_out(&mut self, front: usize, id: &str, group: i64, kind: Kind, origin: Option<String>) {
        thread::sleep(Duration::from_millis([0, 0, 40, 1_700][self.rng.below(4)]));
        let mut tries = 0..400;
        let Some(mut line) = tries.find_map(|_| self.open(front)) else { return };
        if kind == Kind::Tokened && self.rng.below(3) > 0 {
            let answer = self.ask(&mut line, id, group, kind);
            self.served_again += usize::from(matches!(answer, Answer::Value(_)));
        }
        if let Some(origin) = origin {
            let answer = line.client.fate(id, &origin);
            self.fates.push(Fate { id: id.to_string(), told_ms: unix_ms(), answer });
        }
    }
}
