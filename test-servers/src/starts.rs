//! Starts with discovery down and a list that is no longer true, drawn from a seed: the faults of a day, the
//! daemon on them, clients, discovery's return in one of its ways, and the audit.

use crate::client::{Answer, Client, Kind, Record};
use crate::daemon::{Daemon, Start};
use crate::discovery::{host, Discovery, Mode};
use crate::store::{free_address, serve, Served, MEMORY_MS};
use crate::world::{unix_ms, Branch, Cold, EndpointIndex, Machine, Reach, World, BOUND_MS};
use endpoint_cache::{CacheDirectory, CachedEndpoint, CachedEndpointList, CachedReport};
use history_checker::{judge, Verdict};
use routing::rng::Mwc;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What happened to one group between the list and the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Another took over; the former primary was cut off and goes on taking writes.
    FormerGoesOn,
    /// The same, and the new primary gives no sign to this front.
    FormerGoesOnNewSilent,
    /// The same, and a replica stands where it was cut off, on the former's log.
    FormerGoesOnOneBehind,
    /// Another took over and the former primary follows it.
    Switched,
    /// The new primary is a store that the list does not know, and the former goes on.
    NewIsUnlisted,
    /// The listed primary's address belongs to a primary of another group now.
    Swapped,
    /// Nothing listens at the listed primary's address, another took over.
    NobodyThere,
    /// A replica says nothing.
    ReplicaSilent,
    /// Replicas lag by more than the bound.
    Lags,
    /// There is no primary at all.
    Headless,
}

const FAULTS: [Fault; 11] = [
    Fault::None,
    Fault::FormerGoesOn,
    Fault::FormerGoesOnNewSilent,
    Fault::FormerGoesOnOneBehind,
    Fault::Switched,
    Fault::NewIsUnlisted,
    Fault::Swapped,
    Fault::NobodyThere,
    Fault::ReplicaSilent,
    Fault::Lags,
    Fault::Headless,
];

/// How discovery comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Return {
    Plainly,
    /// Restored: a lower version.
    LowerSeq,
    /// First with an empty list.
    EmptyFirst,
    /// First with half a line.
    HalfALineFirst,
    Flapping,
}

const RETURNS: [Return; 5] =
    [Return::Plainly, Return::LowerSeq, Return::EmptyFirst, Return::HalfALineFirst, Return::Flapping];

/// Ages of the list in seconds; negative: it lies in the time to come.
const AGES: [i64; 6] = [5, 40, 600, 7_200, 172_800, -3_600];

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub faults: Vec<Fault>,
    pub age_s: i64,
    pub comes_back: Return,
    /// All stores have just started.
    pub just_started: bool,
    pub clients: usize,
    /// Fronts that start at the same time, each with a list of its own.
    pub fronts: usize,
}

impl Plan {
    pub fn draw(seed: u64) -> Plan {
        // Seeds that follow each other must not draw alike.
        let mut rng = Mwc::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let faults = (0..3).map(|_| FAULTS[rng.below(FAULTS.len())]).collect();
        let age_s = AGES[rng.below(AGES.len())];
        let comes_back = RETURNS[rng.below(RETURNS.len())];
        let just_started = rng.below(2) == 0;
        Plan { seed, faults, age_s, comes_back, just_started, clients: 10, fronts: 1 + rng.below(3) }
    }

    /// Nothing has happened but the time.
    pub fn calm(seed: u64, age_s: i64) -> Plan {
        let (faults, comes_back) = (vec![Fault::None; 3], Return::Plainly);
        Plan { seed, faults, age_s, comes_back, just_started: false, clients: 10, fronts: 1 }
    }
}

/// How long discovery stays down after the start, and how long the front is watched from then on.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    pub down: Duration,
    pub back: Duration,
}

/// What one daemon made of a plan.
#[derive(Clone, Debug, Default)]
pub struct Played {
    pub audit: Verdict,
    /// From the start of the process, in milliseconds.
    pub first_read: Option<f64>,
    pub first_write: Option<f64>,
    /// The same, of writes after discovery came back, from its return, in the groups that have a primary.
    pub groups_writing: usize,
    pub groups_able: usize,
    /// A write was served while discovery was down.
    pub served_without: bool,
    pub pushed_back: usize,
    pub log: String,
}

/// Which daemon, and whether it knows of state directories.
pub struct Build<'a> {
    pub program: &'a Path,
    pub keeps: bool,
}

const GRACE_MS: i64 = 250;
/// As the operators' deployments word it, with a shorter warm-up.
const COLD: Cold = Cold { from: 0.23, for_ms: 8_000, overload_multiple: 2.5, window_ms: 2_000, work_ms: 4 };

/// Start facts' settings, to which the world's rule on cold stores belongs.
pub fn settings() -> String {
    settings_of(2)
}

fn settings_of(fronts: usize) -> String {
    let ms = |ms: i64| ms * 1_000_000;
    format!(
        r#"{{"nInstances":{fronts},"zone":0,"azs":["a"],"resolutionNs":5000000,"membershipMode":"push",
        "classes":[{{"name":"read","aimNs":{},"deadlineNs":{},"effect":"read_like"}},
            {{"name":"order","aimNs":{},"deadlineNs":{},"effect":"non_idempotent","lateValue":0.5}},
            {{"name":"deposit","aimNs":{},"deadlineNs":{},"effect":"idempotency_key","keyScope":"cell",
                "memorySpanNs":{},"lateValue":0.5}}],
        "familyInfo":{{"classRead":["recent","update","update"],"guards":"off","lagAllowedNs":[{},0,0],
            "sessionMarks":"client"}},
        "allowed":{{"maxAttempts":6,"mayCancel":true,"probes":true,"retryAfter":true,"maxRetryAfterNs":{}}},
        "report":{{"names":["x0","x1","load_share"]}},
        "rules":{{"coldFrom":{},"coldNs":{},"fallMultiple":{},"overloadForNs":{}}}}}"#,
        ms(400),
        ms(800),
        ms(400),
        ms(1_000),
        ms(400),
        ms(1_000),
        ms(MEMORY_MS),
        ms(BOUND_MS),
        ms(500),
        COLD.from,
        ms(COLD.for_ms),
        COLD.overload_multiple,
        ms(COLD.window_ms),
    )
}

/// A world after its plan: the stores that serve, what the kept list says, and what is true.
struct Stage {
    world: Arc<World>,
    served: Vec<Served>,
    /// The list as it was, by discovery's words, and as it is kept.
    listed: Vec<Value>,
    kept: Vec<CachedEndpoint>,
    now_true: Vec<Value>,
    groups: Vec<i64>,
}

fn set(plan: &Plan) -> Stage {
    let world = Arc::new(World::new(COLD, GRACE_MS));
    let mut rng = Mwc::new(plan.seed ^ 0x5eed);
    let now = unix_ms();
    let started_ms = if plan.just_started { now } else { now - 3_600_000 };
    let groups: Vec<i64> = (0..plan.faults.len() as i64).map(|group| group + 1).collect();
    for &group in &groups {
        let mut truth = world.lock();
        truth.branches.insert(group, vec![Branch { forked_ms: 0, truth: true }]);
        let first = truth.machines.len();
        for nth in 0..4 {
            let (name, upstream) = (format!("s-{group}-{nth}"), (nth > 0).then_some(first));
            let lag_ms = 10 + rng.below(60) as i64;
            truth.machines.push(Machine { started_ms, ..Machine::of(name, group, upstream, lag_ms) });
        }
    }
    let count = world.lock().machines.len();
    let served: Vec<Served> = (0..count).map(|ix| serve(&world, ix)).collect();
    // The fourth of each group joined after the list was made.
    let is_listed = |ix: usize| ix % 4 != 3;
    let dials: Vec<SocketAddr> = served.iter().map(|served| served.addr).collect();
    let mut dials_then = dials.clone();
    for (nth, fault) in plan.faults.iter().enumerate() {
        happen(&world, *fault, nth * 4, now, &mut dials_then, &mut rng);
    }
    let truth = world.lock();
    let (mut listed, mut kept, mut now_true) = (Vec::new(), Vec::new(), Vec::new());
    for (ix, machine) in truth.machines.iter().enumerate() {
        if is_listed(ix) {
            let was_primary = ix % 4 == 0;
            listed.push(host(&machine.name, &dials_then[ix], machine.group, was_primary, "SERVING", 0));
            let report = CachedReport {
                primary: was_primary,
                position_ms: Some(now - plan.age_s.abs() * 1_000 - 10),
                timeline: Some(1),
                at_ms: now - plan.age_s * 1_000,
            };
            kept.push(CachedEndpoint {
                host: machine.name.clone(),
                dial: dials_then[ix].to_string(),
                site: "a".into(),
                block: machine.group,
                health: "SERVING".into(),
                born_ms: 0.0,
                recovery: if was_primary { "off" } else { "on" }.into(),
                report: Some(report),
            });
        }
        // Discovery knows of the cut: what was left behind is no member any more.
        let cut_off = !truth.branches[&machine.group][machine.branch].truth;
        if machine.reach == Reach::Up && !cut_off {
            let born = if plan.just_started { machine.started_ms } else { 0 };
            now_true.push(host(&machine.name, &dials[ix], machine.group, machine.primary, "SERVING", born));
        }
    }
    drop(truth);
    Stage { world, served, listed, kept, now_true, groups }
}

/// Lets a fault happen to the group whose stores begin at `first`: its primary, two replicas, and one that no
/// list knows.
fn happen(
    world: &World,
    fault: Fault,
    first: EndpointIndex,
    now: i64,
    dials: &mut [SocketAddr],
    rng: &mut Mwc,
) {
    let mut truth = world.lock();
    let (heir, other, unlisted) = (first + 1, first + 2, first + 3);
    let at = now - 5_000 - rng.below(3_000) as i64;
    match fault {
        Fault::None => {}
        Fault::FormerGoesOn => truth.promote(heir, true, at),
        Fault::FormerGoesOnNewSilent => {
            truth.promote(heir, true, at);
            truth.machines[heir].reach = Reach::Silent;
        }
        Fault::FormerGoesOnOneBehind => {
            truth.promote(heir, true, at);
            let behind = &mut truth.machines[other];
            (behind.branch, behind.timeline, behind.stands) = (0, 1, Some(at - 100));
        }
        Fault::Switched => truth.promote(heir, false, at),
        Fault::NewIsUnlisted => truth.promote(unlisted, true, at),
        Fault::Swapped => {
            truth.promote(heir, false, at);
            truth.machines[first].reach = Reach::Refused;
            // The address went to the primary of the next group, or of this one's own heir where it is alone.
            let next = (first + 4) % dials.len();
            dials[first] = dials[next];
        }
        Fault::NobodyThere => {
            truth.promote(heir, false, at);
            truth.machines[first].reach = Reach::Refused;
            dials[first] = free_address();
        }
        Fault::ReplicaSilent => truth.machines[other].reach = Reach::Silent,
        Fault::Lags => {
            truth.machines[heir].lag_ms = BOUND_MS * 2;
            truth.machines[other].lag_ms = BOUND_MS * 2;
        }
        Fault::Headless => {
            let stands = Some(at);
            for ix in [heir, other, unlisted] {
                (truth.machines[ix].stands, truth.machines[ix].upstream) = (stands, None);
            }
            truth.machines[first].reach = Reach::Refused;
            truth.machines[first].primary = false;
            dials[first] = free_address();
        }
    }
}

/// The version that the list has, and the one that a restored discovery begins with.
const SEQ: i64 = 1_000;

/// Plays a plan against a build. Each call makes a world of its own, so that two builds can be set side by
/// side.
pub fn play(plan: &Plan, build: &Build, times: Times) -> std::io::Result<Played> {
    let folder = tempfile::tempdir()?;
    let stage = set(plan);
    let discovery = Discovery::start(Mode::Down, SEQ, stage.now_true.clone());
    let list = serde_json::json!({ "seq": SEQ, "whole": true, "hosts": stage.listed });
    let began = Instant::now();
    let (mut daemons, mut listens) = (Vec::new(), Vec::new());
    for nth in 0..plan.fronts {
        let facts = format!(
            r#"{{"seed":"{:x}{nth}","limits":{{"sockets":512,"memory_mb":64}},"known":{list},"settings":{}}}"#,
            plan.seed & 0xffff_ffff,
            settings_of(plan.fronts.max(2))
        );
        let folder = folder.path().join(format!("front-{nth}"));
        let state = folder.join("state");
        std::fs::create_dir_all(&state)?;
        let conf = format!("state-dir {}\nstore-identity postgres\n", state.display());
        if build.keeps {
            let at = unix_ms() - plan.age_s * 1_000;
            let endpoints = stage.kept.clone();
            let mut list =
                CachedEndpointList { generation: 0, version: SEQ, confirmed_ms: at, saved_ms: at, endpoints };
            let (mut directory, _) = CacheDirectory::open(&state).map_err(std::io::Error::other)?;
            directory.save(&mut list).map_err(std::io::Error::other)?;
        }
        let listen = free_address();
        let start = Start {
            program: build.program,
            facts: &facts,
            conf: build.keeps.then_some(conf.as_str()),
            folder: &folder,
            listen,
            discovery: discovery.addr,
        };
        daemons.push(Daemon::start(&start)?);
        listens.push(listen);
    }
    let (over, records) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let clients: Vec<_> = (0..plan.clients)
        .map(|nth| {
            let (over, records, groups) = (over.clone(), records.clone(), stage.groups.clone());
            let seed = plan.seed.wrapping_mul(31).wrapping_add(nth as u64);
            let listen = listens[nth % listens.len()];
            thread::spawn(move || converse(&listen, began, nth, seed, &groups, &over, &records))
        })
        .collect();
    thread::sleep(times.down);
    retry_after(plan, &discovery, &stage);
    let returned = unix_ms();
    thread::sleep(times.back);
    over.store(true, Ordering::Release);
    let firsts: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let log = daemons.into_iter().map(Daemon::kill).collect();
    let records: Vec<Record> =
        std::mem::take(&mut *records.lock().unwrap_or_else(|poisoned| poisoned.into_inner()));
    let first = |nth: usize| firsts.iter().filter_map(|first| first[nth]).min_by(f64::total_cmp);
    let able: Vec<i64> = {
        let truth = stage.world.lock();
        let able =
            |group: &i64| truth.primary_of(*group).is_some_and(|ix| truth.machines[ix].reach == Reach::Up);
        stage.groups.iter().copied().filter(able).collect()
    };
    let writes = |group: &&i64| {
        let late = |record: &&Record| record.sent_ms > returned && record.group == **group;
        let ok = |record: &Record| record.kind == Kind::Write && matches!(record.answer, Answer::Value(_));
        records.iter().filter(late).any(ok)
    };
    let played = Played {
        audit: judge(&stage.world.history(records.clone(), Vec::new(), Vec::new())),
        first_read: first(0),
        first_write: first(1),
        groups_writing: able.iter().filter(writes).count(),
        groups_able: able.len(),
        served_without: first(1).is_some_and(|ms| ms < times.down.as_secs_f64() * 1e3),
        pushed_back: records.iter().filter(|r| matches!(r.answer, Answer::PushedBack(_))).count(),
        log,
    };
    drop(stage.served);
    Ok(played)
}

/// Answers a second with discovery up and a new version of the list every 100 ms, clients asking one after
/// the other.
pub fn rate(program: &Path, keeps: bool, clients: usize, lasting: Duration) -> std::io::Result<f64> {
    let (plan, folder) = (Plan::calm(1, 5), tempfile::tempdir()?);
    let stage = set(&plan);
    let discovery = Discovery::start(Mode::Up, SEQ, stage.now_true.clone());
    let facts =
        format!(r#"{{"seed":"1","limits":{{"sockets":512,"memory_mb":64}},"settings":{}}}"#, settings());
    let state = folder.path().join("state");
    std::fs::create_dir(&state)?;
    let conf = format!("state-dir {}\nstore-identity postgres\nsave-gap 100ms\n", state.display());
    let listen = free_address();
    let start = Start {
        program,
        facts: &facts,
        conf: keeps.then_some(conf.as_str()),
        folder: folder.path(),
        listen,
        discovery: discovery.addr,
    };
    let daemon = Daemon::start(&start)?;
    let (warm, over) = (Instant::now() + Duration::from_millis(1_500), Arc::new(AtomicBool::new(false)));
    let asking: Vec<_> = (0..clients)
        .map(|nth| {
            let (over, groups) = (over.clone(), stage.groups.clone());
            thread::spawn(move || {
                let (mut ok, mut serial) = (0usize, 0usize);
                while !over.load(Ordering::Acquire) {
                    let Ok(mut client) = Client::open(&listen) else { continue };
                    while !over.load(Ordering::Acquire) {
                        serial += 1;
                        let id = format!("{nth:04x}{serial:012x}");
                        let record = client.ask(&id, groups[serial % groups.len()], Kind::Read, 400);
                        match record.answer {
                            Answer::Value(_) => ok += usize::from(Instant::now() > warm),
                            Answer::None => break,
                            _ => thread::sleep(Duration::from_millis(2)),
                        }
                    }
                }
                ok
            })
        })
        .collect();
    let mut seq = SEQ;
    while Instant::now() < warm + lasting {
        thread::sleep(Duration::from_millis(100));
        seq += 1;
        discovery.tell(seq, stage.now_true.clone());
    }
    over.store(true, Ordering::Release);
    let ok: usize = asking.into_iter().filter_map(|asking| asking.join().ok()).sum();
    daemon.kill();
    Ok(ok as f64 / lasting.as_secs_f64())
}

fn retry_after(plan: &Plan, discovery: &Discovery, stage: &Stage) {
    let first = |mode: Mode| {
        discovery.turn(mode);
        thread::sleep(Duration::from_millis(400));
    };
    discovery.tell(SEQ + 5, stage.now_true.clone());
    match plan.comes_back {
        Return::Plainly => {}
        Return::LowerSeq => discovery.tell(3, stage.now_true.clone()),
        Return::EmptyFirst => first(Mode::Empty),
        Return::HalfALineFirst => first(Mode::HalfALine),
        Return::Flapping => return discovery.turn(Mode::Flapping(Duration::from_millis(1_000))),
    }
    discovery.turn(Mode::Up);
}

/// One client's day; when its first read and its first write were served, in milliseconds from the start.
fn converse(
    listen: &SocketAddr,
    began: Instant,
    nth: usize,
    seed: u64,
    groups: &[i64],
    over: &AtomicBool,
    records: &Mutex<Vec<Record>>,
) -> [Option<f64>; 2] {
    let (mut rng, mut firsts, mut serial) = (Mwc::new(seed), [None, None], 0);
    while !over.load(Ordering::Acquire) {
        let Ok(mut client) = Client::open(listen) else {
            thread::sleep(Duration::from_millis(2));
            continue;
        };
        while !over.load(Ordering::Acquire) {
            serial += 1;
            let kind = if rng.below(3) == 0 { Kind::Write } else { Kind::Read };
            let group = groups[rng.below(groups.len())];
            let id = format!("{nth:04x}{serial:012x}");
            let patience = if kind == Kind::Read { 400 } else { 600 };
            if rng.below(40) == 0 {
                // Many at once, as when a page is opened: enough to push a started store over that is
                // believed warm.
                let ids: Vec<String> = (0..32).map(|nth| format!("{id}b{nth}")).collect();
                let burst = client.burst(&ids, group, Kind::Read, 400);
                records.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).extend(burst);
            }
            let record = client.ask(&id, group, kind, patience);
            let broken = record.answer == Answer::None;
            if matches!(record.answer, Answer::Value(_)) {
                let first = &mut firsts[usize::from(kind == Kind::Write)];
                first.get_or_insert(began.elapsed().as_secs_f64() * 1e3);
            }
            let pause = match &record.answer {
                Answer::PushedBack(wait) => wait.unwrap_or(20).clamp(5, 60),
                _ => 4 + rng.below(8) as i64,
            };
            records.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(record);
            if broken {
                break;
            }
            thread::sleep(Duration::from_millis(pause as u64));
        }
    }
    firsts
}
