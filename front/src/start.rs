//! Start-up: what the front is told is read and checked, its parts are made and put to work.

use crate::admit::Terms;
use crate::clock::{duration, Alarms, Clock};
use crate::discovery::{Hosts, Watch};
use crate::ledger::{Entry, Ledger};
use crate::log;
use crate::owner::{News, Owner};
use crate::pool::Pool;
use crate::send::{spawn, spawn_long_lived, Outlet, STACK};
use crate::session::{self, Shared};
use crate::shutdown::Leave;
use gingerwick::rng::Mwc;
use gingerwick::time::Span;
use hosting::facts::{self, BootInfo};
use may::net::TcpListener;
use may::sync::mpsc::channel;
use serde::Deserialize;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

/// What ROUTER_CONFIG holds.
#[derive(Deserialize)]
struct Launch {
    #[serde(default)]
    name: String,
    #[serde(default)]
    listen: String,
    #[serde(default)]
    discovery: String,
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<Hosts>,
    settings: BootInfo,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

fn launch() -> Result<Launch, String> {
    let path = std::env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG: not set")?;
    let text = std::fs::read(&path).map_err(|why| format!("ROUTER_CONFIG: {path}: {why}"))?;
    let read: Result<Launch, _> =
        serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(&text));
    let mut launch = read.map_err(|why| format!("ROUTER_CONFIG: {why}"))?;
    let over = [
        ("ROUTER_NAME", &mut launch.name),
        ("ROUTER_LISTEN", &mut launch.listen),
        ("ROUTER_DISCOVERY", &mut launch.discovery),
    ];
    for (variable, field) in over {
        if let Ok(value) = std::env::var(variable) {
            *field = value;
        }
    }
    Ok(launch)
}

fn address(key: &str, word: &str) -> Result<SocketAddr, String> {
    word.parse().map_err(|_| format!("{key}: {word:?} is no address with a port"))
}

/// Runs until the front has left; an error is what hindered the start.
pub fn run() -> Result<(), String> {
    let clock = Clock::start();
    let launch = launch()?;
    let listen = address("ROUTER_LISTEN", &launch.listen)?;
    let discovery = address("ROUTER_DISCOVERY", &launch.discovery)?;
    let seed = u64::from_str_radix(&launch.seed, 16).map_err(|_| "ROUTER_CONFIG: seed: not hex digits")?;
    let settings = launch.settings;
    let facts = facts::facts(&settings).map_err(|why| format!("ROUTER_CONFIG: settings.{why}"))?;

    may::config().set_workers(1).set_pool_capacity(64).set_stack_size(STACK).set_worker_pin(false);
    std::panic::set_hook(Box::new(|panic| log!("{panic}")));
    let alarms = Arc::new(Alarms::start(clock));
    let ledger = Ledger::new(launch.limits.sockets, launch.limits.memory_mb << 20);
    let (owner, news) = channel();
    let dial = Span(settings.allowed.dial_timeout_ns);
    let closed_after = Span(settings.allowed.conn_idle_ns);
    let pool = Arc::new(Pool::new(alarms.clone(), ledger.clone(), dial, closed_after));
    let listener = TcpListener::bind(listen).map_err(|why| format!("ROUTER_LISTEN: {listen}: {why}"))?;

    let terms = Terms::new(settings.classes.into_iter().map(|class| class.name).collect(), &facts);
    let outlet = Outlet { pool: pool.clone(), owner: owner.clone(), probe_within: dial };
    let most_held = settings.allowed.most_held;
    let decides = Owner::new(facts, seed, settings.azs, most_held, outlet, news);
    let mut seq = 0;
    if let Some(known) = launch.known {
        seq = known.seq;
        let _ = owner.send(News::List { whole: true, hosts: known.hosts });
    }
    let started = |why: std::io::Error| format!("no stack for a coroutine: {why}");
    spawn_long_lived(move || decides.run()).map_err(started)?;
    let watch = Watch {
        addr: discovery,
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
        leave: leave.clone(),
        rpcs: AtomicU64::new(0),
        number: AtomicU64::new(1),
    };
    let closing = Arc::new(AtomicBool::new(false));
    let accepting = closing.clone();
    spawn(move || accept(listener, Arc::new(shared), &accepting));
    log!("{} serves on {listen}", launch.name);

    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(|why| format!("signals: {why}"))?;
    if signals.forever().next().is_some() {
        leave.begin(&alarms, move || {
            closing.store(true, Ordering::Release);
            // The listener waits for a connection: one of our own lets it see that it is over.
            let _ = std::net::TcpStream::connect_timeout(&listen, duration(Span::millis(100)));
        });
    }
    loop {
        std::thread::park();
    }
}

fn accept(listener: TcpListener, shared: Arc<Shared>, closing: &AtomicBool) {
    while !closing.load(Ordering::Acquire) {
        match listener.accept() {
            Ok((stream, _)) => {
                let entry = entry(&shared);
                let shared = shared.clone();
                spawn(move || session::run(shared, stream, entry));
            }
            Err(why) => {
                log!("a connection was not accepted: {why}");
                shared.alarms.pause(Span::millis(50));
            }
        }
    }
}

/// A client's entry. Dropping the connection would lose what came with it, so where there is no place even
/// beyond the share the next waits for one who is about to go.
fn entry(shared: &Shared) -> Entry {
    loop {
        if let Some(entry) = shared.ledger.enter_client() {
            return entry;
        }
        log!("clients wait to be turned away: all descriptors for that are taken");
        shared.alarms.pause(Span::millis(2));
    }
}
