//! Start-up: what the front is told is read and checked, its parts are made and put to work.

use crate::admit::Terms;
use crate::carry::{self, Carry};
use crate::clock::{Alarms, Clock};
use crate::descriptors::{self, Spare};
use crate::discovery::{Watch, Whereto};
use crate::door::{self, Listening};
use crate::exit::{self, Fault};
use crate::gate::Gate;
use crate::hatch::{self, Hatch};
use crate::hosts;
use crate::keeper::Keeper;
use crate::launch::{Launch, When};
use crate::ledger::{Ledger, Share};
use crate::log;
use crate::news::News;
use crate::operators::{self, Conf};
use crate::owner::{Owner, Recovers};
use crate::pool::Pool;
use crate::send::Outlet;
use crate::session::Shared;
use crate::shutdown::Leave;
use crate::tally::Tally;
use crate::tasks::{spawn, spawn_long_lived, STACK};
use crate::turns::Set;
use crate::writes::Writes;
use endpoint_cache::{Dir, Kept, KeptStore};
use may::io::WaitIo;
use may::net::TcpListener;
use may::sync::mpsc::{channel, Sender};
use operator_config::{Identity, Settings};
use recovery::lives::Lives;
use recovery::trust::Times;
use recovery::watch::Watching;
use routing::rng::Mwc;
use routing::time::Span;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use write_journal::journal::{Bounds, Sync};

/// Runs until the front has left; an error is what hindered the start.
pub fn run(conf: Conf) -> Result<(), Fault> {
    let clock = Clock::start();
    // Before all else: a signal that comes while the parts are made waits for its turn.
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP]);
    let mut signals = signals.map_err(|why| (exit::OS, vec![format!("signals: {why}")]))?;
    let (launch, settings) = (launch(When::Start), operators::read(conf.as_deref()));
    let (mut launch, operators) = match (launch, settings) {
        (Ok(launch), Ok(settings)) => (launch, settings),
        (launch, settings) => {
            let faults = launch.err().into_iter().chain(settings.err()).flatten();
            return Err((exit::CONFIG, faults.collect()));
        }
    };
    let keys = operators.session_keys.as_deref().map(carry::read_keys).transpose();
    let keys = keys.map_err(|why| (exit::CONFIG, vec![format!("session-keys: {why}")]))?;
    log::start(&operators::style(&operators));
    let (listen, seed, facts) = (launch.listen, launch.seed, launch.facts.clone());
    let settings = &launch.settings;
    let watching = Watching::new(settings.membership_mode == "push", settings.rules.grace());

    may::config().set_workers(1).set_pool_capacity(64).set_stack_size(STACK).set_worker_pin(false);
    std::panic::set_hook(Box::new(|panic| log!(WARN; "{panic}")));
    let alarms = Arc::new(Alarms::start(clock));
    // Without an operators' file the platform has seen to the limits, and nothing is asked of the machine.
    let ours = conf.is_some();
    let sockets = launch.limits.sockets;
    let sockets = if ours { descriptors::available(sockets) } else { sockets };
    let sockets = sockets.saturating_sub(own(&operators));
    let ledger = Ledger::new(sockets, launch.limits.memory_mb << 20, !operators.admit.is_empty());
    let gate = gate(&operators, &ledger, &alarms, facts.max_come_back)?;
    // Before anything counts.
    let socket = operators.operators_socket.as_ref().map(|path| hatch::counts().map(|counts| (path, counts)));
    let socket_fault = |why| (exit::OS, vec![format!("operators-socket: {why}")]);
    let socket = socket.transpose().map_err(socket_fault)?;
    let methods: Vec<String> = settings.classes.iter().map(|class| class.name.clone()).collect();
    let tally = Arc::new(Tally::new(&methods));
    let (owner, news) = channel();
    let dial = Span(settings.allowed.dial_timeout_ns);
    let closed_after = Span(settings.allowed.conn_idle_ns);
    let pool = Arc::new(Pool::new(alarms.clone(), ledger.clone(), dial, closed_after));
    let listener = TcpListener::bind(listen)
        .map_err(|why| (exit::OS, vec![format!("ROUTER_LISTEN: {listen}: {why}")]))?;

    let terms = Terms::new(methods.clone(), &facts);
    let writes = journal(&operators)?;
    let outlet = Outlet {
        pool: pool.clone(),
        owner: owner.clone(),
        probe_within: dial,
        writes: writes.clone(),
        tally: tally.clone(),
    };
    let come_back = facts.max_come_back;
    let most_held = settings.allowed.most_held;
    let state = operators.state_dir.as_deref().map(|dir| State::take_up(dir, clock, &operators, &mut launch));
    let keeper = state.as_ref().and_then(|state| state.keeper.clone());
    let recovers = state.as_ref().map(|state| Recovers {
        times: state.kept.as_ref().and_then(|(_, times)| *times),
        who: operators.store_identity == Identity::Postgres,
        descriptors: ledger.most(Share::Stores),
        keeper: keeper.clone(),
    });
    let decides = Owner::new(facts, seed, launch.settings.azs.clone(), most_held, outlet, news, recovers);
    let anew = state.is_some();
    let lives = match state.and_then(|state| state.kept) {
        Some((kept, _)) => {
            let seq = kept.seq;
            let _ = owner.send(News::Kept(kept));
            Lives::new(seq, true)
        }
        None => match launch.known.take() {
            Some(known) => {
                let _ = owner.send(News::List { whole: true, hosts: known.hosts });
                Lives::new(known.seq, false)
            }
            None => Lives::new(0, false),
        },
    };
    if let Some(set) = turns(&operators) {
        let _ = owner.send(News::Turns(Some(set)));
    }
    let started = |why: std::io::Error| (exit::OS, vec![format!("no stack for a coroutine: {why}")]);
    spawn_long_lived(move || decides.run()).map_err(started)?;
    let whereto = Arc::new(Whereto::new(launch.discovery));
    let watch = Watch {
        whereto: whereto.clone(),
        alarms: alarms.clone(),
        ledger: ledger.clone(),
        owner: owner.clone(),
        lives,
        watching,
        anew,
        keeper: keeper.clone(),
        rng: Mwc::new(seed),
    };
    spawn_long_lived(move || watch.run()).map_err(started)?;
    let sweeper = alarms.clone();
    spawn(move || loop {
        sweeper.pause(Span::millis(1_000));
        pool.sweep();
    });
    let leave = Leave::new(|| {
        log!(INFO; "left, nothing open");
        log::flush();
        std::process::exit(0);
    });
    let lasts = Span(operators.session_lasts.as_nanos() as i64);
    let carry = keys.map(|keys| Arc::new(Carry::new(keys, lasts, name_seed())));
    if let Some((path, counts)) = socket {
        let name = launch.name.clone();
        let (owner, ledger, gate, leave) = (owner.clone(), ledger.clone(), gate.clone(), leave.clone());
        let shown = Hatch { name, owner, ledger, gate, leave, methods };
        hatch::open(path, counts, shown).map_err(socket_fault)?;
    }
    let told = owner.clone();
    let shared = Shared {
        alarms: alarms.clone(),
        ledger,
        owner,
        terms,
        come_back,
        leave: leave.clone(),
        carry: carry.clone(),
        gate: gate.clone(),
        counts: ours.then_some(operators.admit_prefixes),
        writes,
        rpcs: AtomicU64::new(0),
        number: AtomicU64::new(1),
    };
    let closing = Arc::new(AtomicBool::new(false));
    let spare = if ours { Spare::hold() } else { Spare::default() };
    let (shared, at_door) = (Arc::new(shared), listener.waker());
    let mut doorway = Listening { listener, spare, alarms: alarms.clone(), closing: closing.clone() };
    spawn(move || {
        door::stand(&mut doorway, |stream, from| door::take(&shared, stream, from));
        drop(doorway);
        shared.leave.close();
    });
    log!(INFO; "{} serves on {listen}", launch.name);

    let mut stop_accepting = Some(move || {
        closing.store(true, Ordering::Release);
        at_door.wakeup();
    });
    for signal in signals.forever() {
        match (signal, stop_accepting.take()) {
            (SIGHUP, still) => {
                stop_accepting = still;
                let (keeper, carry, gate) = (keeper.as_deref(), carry.as_deref(), gate.as_deref());
                let reads = Reads { keeper, carry, gate, owner: &told };
                reload(&launch, &whereto, &operators, conf.as_deref(), &reads);
            }
            (_, Some(stop_accepting)) => {
                if let Some(keeper) = &keeper {
                    keeper.finish(FINISH_WITHIN);
                }
                leave.begin(&alarms, stop_accepting);
            }
            (_, None) => {}
        }
    }
    Err((exit::OS, vec!["signals: no more of them can be heard".into()]))
}

/// A save on leaving may take so long at most: nobody is answered later for it.
const FINISH_WITHIN: Duration = Duration::from_millis(50);

/// The journal of writes, where one is kept. Without it nothing may be promised, so a front that can't have
/// it does not start.
fn journal(operators: &Settings) -> Result<Option<Arc<Writes>>, Fault> {
    let sync = match operators.write_journal {
        operator_config::Journal::Off => return Ok(None),
        operator_config::Journal::System => Sync::System,
        operator_config::Journal::Disk => Sync::Disk,
    };
    let fault = |why: String| (exit::CONFIG, vec![format!("write-journal: {why}")]);
    let dir = operators.state_dir.as_ref().ok_or_else(|| fault("it needs a state-dir".into()))?;
    let age_ms = operators.write_journal_keeps.as_millis() as i64;
    let bounds = Bounds { most: operators.write_journal_most, age_ms };
    Writes::start(&dir.join("writes"), sync, bounds, name_seed()).map(Some).map_err(fault)
}

/// Sessions' names must differ between starts, fronts and operators' seeds: this one is the system's own
/// chance.
fn name_seed() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::hash::RandomState::new().build_hasher().finish()
}

/// Descriptors that the front itself holds for what operators have set.
fn own(operators: &Settings) -> usize {
    let state = if operators.state_dir.is_some() { endpoint_cache::DESCRIPTORS } else { 0 };
    let journal = if operators.write_journal == operator_config::Journal::Off {
        0
    } else {
        write_journal::journal::DESCRIPTORS
    };
    let socket = if operators.operators_socket.is_some() { hatch::DESCRIPTORS } else { 0 };
    state + journal + socket
}

/// How much is worked on at once, where that is limited.
fn turns(operators: &Settings) -> Option<Set> {
    operators.turns().map(|turns| Set { turns, classes: operators.admit.clone() })
}

/// The gate, where clients have classes.
fn gate(
    operators: &Settings,
    ledger: &Arc<Ledger>,
    alarms: &Arc<Alarms>,
    longest: Option<Span>,
) -> Result<Option<Arc<Gate>>, Fault> {
    if operators.admit.is_empty() {
        return Ok(None);
    }
    // Where nothing may be told, it does not matter what.
    let longest = longest.unwrap_or(Span::ZERO);
    let (classes, prefixes) = (operators.admit.clone(), operators.admit_prefixes);
    let gate = Gate::new(classes, prefixes, longest, name_seed(), alarms.clone(), ledger.clone());
    let fault = |faults: Vec<admission::Fault>| {
        (exit::CONFIG, faults.iter().map(|why| format!("admit: {why}")).collect())
    };
    gate.map(Some).map_err(fault)
}

/// What was found of earlier lives, and who writes on.
struct State {
    kept: Option<(Kept, Option<Times>)>,
    keeper: Option<Arc<Keeper>>,
}

impl State {
    /// Reads what is kept and takes the directory. Whatever is wrong with it costs one line, and service goes
    /// on.
    fn take_up(path: &Path, clock: Clock, operators: &Settings, launch: &mut Launch) -> State {
        let (dir, loaded) = match Dir::open(path) {
            Ok((dir, loaded)) => (Some(dir), loaded),
            Err(why) => {
                log!(WARN; "the list is not kept: {why}; service goes on");
                (None, Dir::read(path))
            }
        };
        for fault in &loaded.faults {
            log!(WARN; "not believed: {fault}");
        }
        let kept = loaded.kept.map(|(kept, _)| kept);
        let keeper = dir.and_then(|dir| {
            let keeper = Keeper::start(clock, dir, kept.as_ref(), operators.save_gap);
            keeper.map_err(|why| log!(WARN; "the list is not kept: no thread: {why}; service goes on")).ok()
        });
        // The later version wins; of the start facts' list no age is known.
        let known = launch.known.take().filter(|known| !known.hosts.is_empty());
        let kept = match (kept, known) {
            (Some(kept), known) if known.as_ref().is_none_or(|known| known.seq <= kept.seq) => {
                let times = hosts::times(&kept);
                log!(
                    INFO;
                    "starts from the list kept in {}, version {}, {:.0} s old",
                    path.display(), kept.seq, (clock.now() - times.confirmed).secs()
                );
                Some((kept, Some(times)))
            }
            (_, Some(known)) => {
                let stores = known.hosts.iter().map(KeptStore::from).collect();
                Some((Kept { seq: known.seq, stores, ..Kept::default() }, None))
            }
            _ => None,
        };
        State { kept, keeper }
    }
}

fn launch(when: When) -> Result<Launch, Vec<String>> {
    Launch::read(when, |name| std::env::var(name).ok())
}

/// What takes up newer settings while the front runs.
struct Reads<'a> {
    keeper: Option<&'a Keeper>,
    carry: Option<&'a Carry>,
    gate: Option<&'a Gate>,
    owner: &'a Sender<News>,
}

/// SIGHUP: both files are read anew. What can't be taken from one changes nothing of what it sets.
fn reload(started: &Launch, whereto: &Whereto, operators: &Settings, conf: Option<&Path>, reads: &Reads) {
    match launch(When::Reload) {
        Ok(newer) => {
            for key in started.differs(&newer) {
                log!(INFO; "reload: {key} has changed, it counts from the next start");
            }
            let turned = whereto.turn(newer.discovery);
            let how = if turned { "is now" } else { "is still" };
            log!(INFO; "reloaded, discovery {how} {}", newer.discovery);
        }
        Err(why) => log!(WARN; "reload: {}; all goes on as before", why.join("; ")),
    }
    if conf.is_none() {
        return;
    }
    match operators::read(conf) {
        Ok(newer) => {
            for keyword in operators.differs(&newer) {
                log!(INFO; "reload: {keyword} has changed, it counts from the next start");
            }
            if let Some(keeper) = reads.keeper {
                keeper.set_gap(newer.save_gap);
            }
            let taken = match reads.gate.filter(|_| !newer.admit.is_empty()) {
                Some(gate) => gate.set(newer.admit.clone(), newer.admit_prefixes).map(|()| Some(gate)),
                None => Ok(None),
            };
            match taken {
                Ok(gate) => {
                    gate.into_iter().for_each(|gate| log!(INFO; "reload: {}", gate.words()));
                    let _ = reads.owner.send(News::Turns(turns(&newer)));
                }
                Err(faults) => faults.iter().for_each(|why| {
                    log!(WARN; "reload: admit: {why}; all goes on as before");
                }),
            }
            if let (Some(carry), Some(path)) = (reads.carry, &operators.session_keys) {
                match carry::read_keys(path) {
                    Ok(keys) => carry.set_keys(keys),
                    Err(why) => log!(WARN; "reload: session-keys: {why}; all goes on as before"),
                }
            }
        }
        Err(why) => log!(WARN; "reload: {}; all goes on as before", why.join("; ")),
    }
}
