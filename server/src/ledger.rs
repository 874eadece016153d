//! The ledger of descriptors and of the memory in buffers: every socket is entered before it is opened and
//! struck out when its entry drops, every buffer is weighed.

use crate::mailbox::Mailbox;
use routing::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    Clients,
    Stores,
    Discovery,
    /// Clients that are told why they are not let in.
    TurnedAway,
}

/// Who goes first where descriptors run short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Is being let go already, and is only given time to read what it was told.
    Leaving,
    /// Has not asked for anything yet.
    Silent,
    /// All that it asked for has been answered.
    Idle,
}

impl Rank {
    /// How long it is let be: who has just connected is about to ask, who has just been answered may ask
    /// again.
    fn grace(self) -> Span {
        match self {
            Rank::Leaving => Span::ZERO,
            Rank::Silent => Span::millis(100),
            Rank::Idle => Span::millis(2_000),
        }
    }
}

/// The process's own: standard streams, the listener, the event loop's, the signal pipe.
const SPARE: usize = 24;
const DISCOVERY: usize = 4;

struct Guest {
    since: Moment,
    mailbox: Arc<Mailbox>,
    /// Its class, where clients have such.
    class: Option<Arc<str>>,
}

#[derive(Default)]
struct Entries {
    taken: [usize; 4],
    /// Of the stores' share, by address.
    by_store: HashMap<SocketAddr, usize>,
    /// Clients with nothing to do, those who would go first in front.
    idle: BTreeMap<(Rank, u64), Guest>,
    /// Those that were asked to go and have neither gone yet nor become busy.
    asked: BTreeSet<u64>,
    serial: u64,
}

impl Entries {
    /// Asks the first of those ranks to go that has not been asked and was let be for long enough.
    fn ask(&mut self, now: Moment, whom: impl Fn(Rank, &Guest) -> bool) {
        let goes = |((rank, serial), guest): (&(Rank, u64), &Guest)| {
            let may = whom(*rank, guest) && now - guest.since >= rank.grace() && !self.asked.contains(serial);
            may.then(|| (*serial, guest.mailbox.clone()))
        };
        if let Some((serial, mailbox)) = self.idle.iter().find_map(goes) {
            self.asked.insert(serial);
            mailbox.ask_to_close();
        }
    }
}

pub struct Ledger {
    most: [usize; 4],
    /// Clients accepted beyond the share: each for one that was asked to go, or to be told that there is no
    /// room.
    beyond: usize,
    memory: usize,
    held: AtomicUsize,
    entries: Mutex<Entries>,
}

/// One descriptor's entry.
pub struct Entry {
    ledger: Arc<Ledger>,
    share: Share,
    store: Option<SocketAddr>,
}

impl Entry {
    pub fn weight(&self) -> Weight {
        self.ledger.weight()
    }

    /// Whether buffers weigh more than half of the memory.
    pub fn is_full(&self) -> bool {
        self.ledger.held.load(Ordering::Relaxed) > self.ledger.memory / 2
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let mut entries = self.ledger.lock();
        entries.taken[self.share as usize] -= 1;
        if let Some(addr) = self.store {
            let left = entries.by_store.get(&addr).map_or(0, |taken| taken - 1);
            if left == 0 {
                entries.by_store.remove(&addr);
            } else {
                entries.by_store.insert(addr, left);
            }
        }
    }
}

/// The memory of some buffers; its drop takes it off.
pub struct Weight {
    ledger: Arc<Ledger>,
    bytes: usize,
}

impl Weight {
    pub fn set(&mut self, bytes: usize) {
        self.ledger.held.fetch_add(bytes, Ordering::Relaxed);
        self.ledger.held.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
    }
}

impl Drop for Weight {
    fn drop(&mut self) {
        self.set(0);
    }
}

impl Ledger {
    /// `turns_away`: some are set aside for clients that are told why they are not let in.
    pub fn new(descriptors: usize, memory: usize, turns_away: bool) -> Arc<Ledger> {
        let beyond = (descriptors / 16).max(16);
        let turned_away = if turns_away { beyond } else { 0 };
        let rest = descriptors.saturating_sub(SPARE + beyond + turned_away + DISCOVERY).max(2);
        // An RPC that is out holds one of both kinds; held ones and idle sessions hold a client's alone.
        let stores = (rest * 2 / 5).max(1);
        let most = [rest - stores, stores, DISCOVERY, turned_away];
        let (held, entries) = Default::default();
        Arc::new(Ledger { most, beyond, memory, held, entries })
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Enters a descriptor, or says that its share is used up.
    pub fn enter(self: &Arc<Ledger>, share: Share) -> Option<Entry> {
        let mut entries = self.lock();
        let taken = &mut entries.taken[share as usize];
        if *taken >= self.most[share as usize] {
            return None;
        }
        *taken += 1;
        Some(Entry { ledger: self.clone(), share, store: None })
    }

    /// One for a connection to a store. A single store, silent perhaps, gets half of the share at most.
    pub fn enter_store(self: &Arc<Ledger>, addr: SocketAddr) -> Option<Entry> {
        let most = self.most[Share::Stores as usize].div_ceil(2);
        if self.lock().by_store.get(&addr).is_some_and(|taken| *taken >= most) {
            return None;
        }
        let mut entry = self.enter(Share::Stores)?;
        entry.store = Some(addr);
        *self.lock().by_store.entry(addr).or_default() += 1;
        Some(entry)
    }

    /// One for a client, and whether it may stay. Where few are left, those who have least to lose are asked
    /// to go, one for each that comes; where nobody is, it is let in beyond the share to be told so.
    pub fn enter_client(self: &Arc<Ledger>, now: Moment) -> Option<(Entry, bool)> {
        let most = self.most[Share::Clients as usize];
        let mut entries = self.lock();
        let taken = entries.taken[Share::Clients as usize];
        if taken + most / 16 < most {
            entries.taken[Share::Clients as usize] += 1;
            return Some((Entry { ledger: self.clone(), share: Share::Clients, store: None }, true));
        }
        // Who is being let go is told to hurry; that alone makes no room, its place is given away already.
        entries.ask(now, |rank, _| rank == Rank::Leaving);
        if taken >= most + self.beyond {
            return None;
        }
        entries.ask(now, |rank, _| rank != Rank::Leaving);
        let goes = |key: &&(Rank, u64)| key.0 == Rank::Leaving || entries.asked.contains(&key.1);
        let stays = taken < most + entries.idle.keys().filter(goes).count();
        entries.taken[Share::Clients as usize] += 1;
        Some((Entry { ledger: self.clone(), share: Share::Clients, store: None }, stays))
    }

    /// Asks one client of a class that has nothing to do to go.
    pub fn ask_one_of(&self, now: Moment, class: &str) {
        let mut entries = self.lock();
        entries.ask(now, |rank, guest| rank != Rank::Leaving && guest.class.as_deref() == Some(class));
    }

    pub fn most(&self, share: Share) -> usize {
        self.most[share as usize]
    }

    pub fn taken(&self, share: Share) -> usize {
        self.lock().taken[share as usize]
    }

    pub fn weight(self: &Arc<Ledger>) -> Weight {
        Weight { ledger: self.clone(), bytes: 0 }
    }

    /// Whether buffers weigh more than a third of the memory: stacks and all else share the rest.
    pub fn is_heavy(&self) -> bool {
        self.weighs() > self.heavy_from()
    }

    /// Bytes in buffers.
    pub fn weighs(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Over so many bytes buffers are too heavy.
    pub fn heavy_from(&self) -> usize {
        self.memory / 3
    }

    /// A session has nothing to do; what is returned strikes it out again.
    pub fn idle(
        &self,
        rank: Rank,
        since: Moment,
        mailbox: &Arc<Mailbox>,
        class: Option<Arc<str>>,
    ) -> (Rank, u64) {
        let mut entries = self.lock();
        entries.serial += 1;
        let key = (rank, entries.serial);
        entries.idle.insert(key, Guest { since, mailbox: mailbox.clone(), class });
        key
    }

    pub fn busy(&self, key: (Rank, u64)) {
        let mut entries = self.lock();
        entries.idle.remove(&key);
        entries.asked.remove(&key.1);
    }
}
