//! Connections to stores: reused first, the one used last before the others, opened only where none is free.
//!
//! A store may send more behind an answer than belongs to it, or close the connection right after. So an
//! answered connection is asked an empty query, which the store answers at once and without effect, and is
//! reused only once exactly that has come: what was left over of the last answer would come before it.

use crate::bell::Bell;
use crate::clock::Alarms;
use crate::ledger::Ledger;
use crate::log;
use crate::pg;
use crate::relay::Reply;
use crate::wire::{Stop, Wire};
use routing::iface::Outcome;
use routing::time::{Moment, Span};
use std::collections::{BTreeSet, HashMap};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

struct Idle {
    wire: Wire,
    since: Moment,
    /// What has come of the answer to the empty query; none once it was right.
    proof: Option<Reply>,
}

enum Use {
    Free,
    NotYet,
    Never,
}

impl Idle {
    /// Reads what has come without waiting for more.
    fn look(&mut self, now: Moment, pool: &Pool) -> Use {
        let age = now - self.since;
        if age >= pool.idle_for || !self.wire.read_now() {
            return Use::Never;
        }
        let Some(proof) = &mut self.proof else {
            return if self.wire.buffer.is_empty() { Use::Free } else { Use::Never };
        };
        match proof.read(&self.wire.buffer) {
            None if age < pool.dial => Use::NotYet,
            Some(Outcome::Ok) if proof.frees(&self.wire.buffer) => {
                (_, self.proof) = (self.wire.take_buffer(), None);
                Use::Free
            }
            _ => Use::Never,
        }
    }
}

/// Why no connection was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoWire {
    pub outcome: Outcome,
    /// The store's machine itself says that nothing listens there.
    pub refused: bool,
}

impl From<Outcome> for NoWire {
    fn from(outcome: Outcome) -> NoWire {
        NoWire { outcome, refused: false }
    }
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

    /// A connection at hand, one that is proved before one whose answer to the empty query is under way. That
    /// answer is a round trip away, a new connection costs several and work at the store.
    pub fn reuse(&self, addr: &SocketAddr, by: Moment, bell: &Bell) -> Option<Wire> {
        loop {
            let mut idle = self.take(addr)?;
            if idle.proof.is_none() {
                return Some(idle.wire);
            }
            // Where none comes, most of the time must be left for a new one.
            let now = self.alarms.now();
            let until = now + (self.dial / 4).min((by - now) / 8);
            idle.wire.listen_to(until, bell);
            while idle.wire.read(until, bell).is_ok() {
                match idle.look(self.alarms.now(), self) {
                    Use::Free => return Some(idle.wire),
                    Use::NotYet => {}
                    Use::Never => break,
                }
            }
        }
    }

    fn take(&self, addr: &SocketAddr) -> Option<Idle> {
        let (now, mut idle) = (self.alarms.now(), self.lock());
        let all = idle.get_mut(addr)?;
        let mut unproved = None;
        for nth in (0..all.len()).rev() {
            match all[nth].look(now, self) {
                Use::Free => return Some(all.remove(nth)),
                Use::NotYet => unproved = Some(nth),
                Use::Never => {
                    drop(all.remove(nth));
                    unproved = unproved.map(|later| later - 1);
                }
            }
        }
        unproved.map(|nth| all.remove(nth))
    }

    /// Opens a connection and brings its start-up through.
    pub fn open(&self, addr: &SocketAddr, by: Moment, bell: &Bell) -> Result<Wire, NoWire> {
        if bell.is_rung() {
            return Err(Outcome::Moot.into());
        }
        let dialled = self.alarms.now() + self.dial;
        let entry = self.ledger.enter_store(*addr).or_else(|| {
            self.drop_oldest();
            self.ledger.enter_store(*addr)
        });
        let entry = entry.ok_or_else(|| {
            log!(WARN; "no connection to {addr}: the descriptors for stores are used up");
            Outcome::Moot
        })?;
        // What runs out of its own time is no word on the store.
        let late = if by < dialled { Outcome::Moot } else { Outcome::Unreachable };
        let until = by.min(dialled);
        let mut wire = Wire::connect(&self.alarms, addr, until, entry).map_err(|why| match why.kind() {
            ErrorKind::TimedOut => NoWire::from(late),
            kind => NoWire { outcome: Outcome::Unreachable, refused: kind == ErrorKind::ConnectionRefused },
        })?;
        wire.listen_to(until, bell);
        let fault = |stop| match stop {
            Stop::Late => late,
            Stop::Rung => Outcome::Moot,
            Stop::Broken => Outcome::Unreachable,
        };
        wire.write(&[&pg::start_up()], until, bell).map_err(fault)?;
        let mut reply = Reply::to_start_up();
        loop {
            match reply.read(&wire.buffer) {
                None => wire.read(until, bell).map_err(fault)?,
                Some(Outcome::Ok) if reply.frees(&wire.buffer) => break,
                Some(Outcome::Full) => return Err(Outcome::Full.into()),
                Some(_) => return Err(Outcome::Unreachable.into()),
            }
        }
        wire.take_buffer();
        Ok(wire)
    }

    /// Takes back a connection on which nothing was asked.
    pub fn keep(&self, addr: SocketAddr, wire: Wire) {
        self.put(addr, wire, None);
    }

    /// Takes back a connection whose answer has come to its end.
    pub fn release(&self, addr: SocketAddr, mut wire: Wire) {
        let mut ask = Vec::new();
        pg::query(&mut ask, "");
        if wire.write_now(&ask) {
            self.put(addr, wire, Some(Reply::to_empty_query()));
        }
    }

    fn put(&self, addr: SocketAddr, wire: Wire, proof: Option<Reply>) {
        self.lock().entry(addr).or_default().push(Idle { wire, since: self.alarms.now(), proof });
    }

    /// Drops what has been idle too long.
    pub fn sweep(&self) {
        let now = self.alarms.now();
        self.lock().retain(|_, idle| {
            idle.retain_mut(|one| !matches!(one.look(now, self), Use::Never));
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
