//! Connections to stores: reused first, the one used last before the others, opened only where none is free.

use crate::clock::Alarms;
use crate::ledger::Ledger;
use crate::log;
use crate::pg;
use crate::wire::{Bell, Stop, Wire};
use gingerwick::iface::Outcome;
use gingerwick::time::{Moment, Span};
use std::collections::{BTreeSet, HashMap};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

struct Idle {
    wire: Wire,
    since: Moment,
}

pub struct Pool {
    pub alarms: Arc<Alarms>,
    ledger: Arc<Ledger>,
    /// The longest that connecting and starting up may take.
    dial: Span,
    /// Well before the store would close it.
    idle_for: Span,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    pub fn new(alarms: Arc<Alarms>, ledger: Arc<Ledger>, dial: Span, closed_after: Span) -> Pool {
        Pool { alarms, ledger, dial, idle_for: closed_after / 2, idle: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn reuse(&self, addr: &SocketAddr) -> Option<Wire> {
        let now = self.alarms.now();
        loop {
            let Idle { wire, since } = self.lock().get_mut(addr)?.pop()?;
            if now - since < self.idle_for && wire.is_quiet() {
                return Some(wire);
            }
        }
    }

    /// Opens a connection and brings its start-up through.
    pub fn open(&self, addr: &SocketAddr, by: Moment, bell: &Bell) -> Result<Wire, Outcome> {
        let dialled = self.alarms.now() + self.dial;
        let entry = self.ledger.enter_store(*addr).or_else(|| {
            self.drop_oldest();
            self.ledger.enter_store(*addr)
        });
        let entry = entry.ok_or_else(|| {
            log!("no connection to {addr}: the descriptors for stores are used up");
            Outcome::Moot
        })?;
        // What runs out of its own time is no word on the store.
        let late = if by < dialled { Outcome::Moot } else { Outcome::Unreachable };
        let until = by.min(dialled);
        let mut wire = Wire::connect(&self.alarms, addr, until, entry).map_err(|why| match why.kind() {
            ErrorKind::TimedOut => late,
            _ => Outcome::Unreachable,
        })?;
        wire.listen_to(until, bell);
        let fault = |stop| match stop {
            Stop::Late => late,
            Stop::Rung => Outcome::Moot,
            Stop::Broken => Outcome::Unreachable,
        };
        wire.write(&[&pg::start_up()], until, bell).map_err(fault)?;
        let mut at = 0;
        loop {
            match pg::frame(&wire.buffer, at, pg::MOST_VALUE) {
                Ok(None) => wire.read(until, bell).map_err(fault)?,
                Ok(Some(frame)) => {
                    let body = &wire.buffer[frame.body.clone()];
                    match frame.tag {
                        b'Z' => break,
                        b'E' if pg::field(body, b'C') == Some("53300") => return Err(Outcome::Full),
                        b'E' => return Err(Outcome::Unreachable),
                        b'R' if body != [0; 4] => return Err(Outcome::Unreachable),
                        _ => {}
                    }
                    at = frame.body.end;
                }
                Err(_) => return Err(Outcome::Unreachable),
            }
        }
        wire.buffer.clear();
        Ok(wire)
    }

    /// Takes back a connection on which all that was asked has been answered.
    pub fn keep(&self, addr: SocketAddr, mut wire: Wire) {
        wire.buffer = Vec::new();
        self.lock().entry(addr).or_default().push(Idle { wire, since: self.alarms.now() });
    }

    /// Drops what has been idle too long.
    pub fn sweep(&self) {
        let now = self.alarms.now();
        self.lock().retain(|_, idle| {
            idle.retain(|one| now - one.since < self.idle_for && one.wire.is_quiet());
            !idle.is_empty()
        });
    }

    /// Drops all to an address: what listened there has started anew, drains or is gone.
    pub fn forget(&self, addr: &SocketAddr) {
        let idle = self.lock().remove(addr);
        drop(idle);
    }

    /// Drops all to addresses that are no store's now.
    pub fn keep_only(&self, addrs: &BTreeSet<SocketAddr>) {
        self.lock().retain(|addr, _| addrs.contains(addr));
    }

    fn drop_oldest(&self) {
        let mut idle = self.lock();
        let oldest = idle.iter().filter_map(|(addr, all)| Some((all.first()?.since, *addr))).min();
        if let Some(all) = oldest.and_then(|(_, addr)| idle.get_mut(&addr)) {
            all.remove(0);
        }
    }
}
