//! Start-up: what the front is told is read and checked, its parts are made and put to work.

use crate::admit::Terms;
use crate::clock::{duration, Alarms, Clock};
use crate::discovery::{Watch, Whereto};
use crate::launch::{Launch, When};
use crate::ledger::{Entry, Ledger};
use crate::log;
use crate::news::News;
use crate::owner::Owner;
use crate::pool::Pool;
use crate::send::Outlet;
use crate::session::{self, Shared};
use crate::shutdown::Leave;
use crate::tasks::{spawn, spawn_long_lived, STACK};
use crate::wire::BREATH;
use gingerwick::rng::Mwc;
use gingerwick::time::Span;
use may::net::TcpListener;
use may::sync::mpsc::channel;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

/// Runs until the front has left; an error is what hindered the start.
pub fn run() -> Result<(), String> {
    let clock = Clock::start();
    // Before all else: a signal that comes while the parts are made waits for its turn.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|why| format!("signals: {why}"))?;
    let mut launch = launch(When::Start)?;
    let (listen, seed, facts) = (launch.listen, launch.seed, launch.facts.clone());
    let settings = &launch.settings;

    may::config().set_workers(1).set_pool_capacity(64).set_stack_size(STACK).set_worker_pin(false);
    std::panic::set_hook(Box::new(|panic| log!("{panic}")));
    let alarms = Arc::new(Alarms::start(clock));
    let ledger = Ledger::new(launch.limits.sockets, launch.limits.memory_mb << 20);
    let (owner, news) = channel();
    let dial = Span(settings.allowed.dial_timeout_ns);
    let closed_after = Span(settings.allowed.conn_idle_ns);
    let pool = Arc::new(Pool::new(alarms.clone(), ledger.clone(), dial, closed_after));
    let listener = TcpListener::bind(listen).map_err(|why| format!("ROUTER_LISTEN: {listen}: {why}"))?;

    let terms = Terms::new(settings.classes.iter().map(|class| class.name.clone()).collect(), &facts);
    let outlet = Outlet { pool: pool.clone(), owner: owner.clone(), probe_within: dial };
    let come_back = facts.max_come_back;
    let most_held = settings.allowed.most_held;
    let decides = Owner::new(facts, seed, settings.azs.clone(), most_held, outlet, news);
    let mut seq = 0;
    if let Some(known) = launch.known.take() {
        seq = known.seq;
        let _ = owner.send(News::List { whole: true, hosts: known.hosts });
    }
    let started = |why: std::io::Error| format!("no stack for a coroutine: {why}");
    spawn_long_lived(move || decides.run()).map_err(started)?;
    let whereto = Arc::new(Whereto::new(launch.discovery));
    let watch = Watch {
        whereto: whereto.clone(),
        alarms: alarms.clone(),
        ledger: ledger.clone(),
        owner: owner.clone(),
        seq,
        rng: Mwc::new(seed),
    };
    spawn_long_lived(move || watch.run()).map_err(started)?;
    let sweeper = alarms.clone();
    spawn(move || loop {
        sweeper.pause(Span::millis(1_000));
        pool.sweep();
    });
    let leave = Arc::new(Leave::default());
    let shared = Shared {
        alarms: alarms.clone(),
        ledger,
        owner,
        terms,
        come_back,
        leave: leave.clone(),
        rpcs: AtomicU64::new(0),
        number: AtomicU64::new(1),
    };
    let closing = Arc::new(AtomicBool::new(false));
    let accepting = closing.clone();
    spawn(move || accept(listener, Arc::new(shared), &accepting));
    log!("{} serves on {listen}", launch.name);

    let mut stop_accepting = Some(move || {
        closing.store(true, Ordering::Release);
        // The listener waits for a connection: one of our own lets it see that it is over.
        let _ = std::net::TcpStream::connect_timeout(&listen, duration(Span::millis(100)));
    });
    for signal in signals.forever() {
        match (signal, stop_accepting.take()) {
            (SIGHUP, still) => {
                stop_accepting = still;
                reload(&launch, &whereto);
            }
            (_, Some(stop_accepting)) => leave.begin(&alarms, stop_accepting),
            (_, None) => {}
        }
    }
    Err("signals: no more of them can be heard".into())
}

fn launch(when: When) -> Result<Launch, String> {
    Launch::read(when, |name| std::env::var(name).ok())
}

/// SIGHUP: the file is read anew. What can't be taken from it changes nothing.
fn reload(started: &Launch, whereto: &Whereto) {
    match launch(When::Reload) {
        Ok(newer) => {
            for key in started.differs(&newer) {
                log!("reload: {key} has changed, it counts from the next start");
            }
            let turned = whereto.turn(newer.discovery);
            log!("reloaded, discovery {} {}", if turned { "is now" } else { "is still" }, newer.discovery);
        }
        Err(why) => log!("reload: {why}; all goes on as before"),
    }
}

/// So many accepted in a row are enough: in a flood the worker would serve nobody else.
const ROW: usize = 8;

fn accept(listener: TcpListener, shared: Arc<Shared>, closing: &AtomicBool) {
    let mut row = 0;
    while !closing.load(Ordering::Acquire) {
        match listener.accept() {
            Ok((stream, _)) => {
                let (entry, stays) = entry(&shared);
                let shared = shared.clone();
                spawn(move || session::run(shared, stream, entry, stays));
            }
            Err(why) => {
                log!("a connection was not accepted: {why}");
                shared.alarms.pause(Span::millis(50));
            }
        }
        row = (row + 1) % ROW;
        if row == 0 {
            shared.alarms.pause(BREATH);
        }
    }
}

/// A client's entry. Dropping the connection would lose what came with it, so where there is no place even
/// beyond the share the next waits for one who is about to go.
fn entry(shared: &Shared) -> (Entry, bool) {
    loop {
        if let Some(entry) = shared.ledger.enter_client(shared.alarms.now()) {
            return entry;
        }
        log!("clients wait to be turned away: all descriptors for that are taken");
        shared.alarms.pause(Span::millis(2));
    }
}
