//! The ledger of descriptors and of the memory in buffers: every socket is entered before it is opened and
//! struck out when its entry drops, every buffer is weighed.

use crate::session::Mailbox;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    Clients,
    /// Clients accepted beyond the share, to wait a moment for room or to be told that there is none.
    Beyond,
    Stores,
    Discovery,
}

/// The process's own: standard streams, the listener, the event loop's, the signal pipe.
const SPARE: usize = 24;
const DISCOVERY: usize = 4;

#[derive(Default)]
struct Entries {
    taken: [usize; 4],
    /// Of the stores' share, by address.
    by_store: HashMap<SocketAddr, usize>,
    idle: BTreeMap<u64, Arc<Mailbox>>,
    /// Idle ones that were asked to go and have neither gone yet nor become busy.
    asked: BTreeSet<u64>,
    serial: u64,
}

pub struct Ledger {
    most: [usize; 4],
    most_held: usize,
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
    pub fn is_beyond(&self) -> bool {
        self.share == Share::Beyond
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
    pub fn new(descriptors: usize, memory: usize) -> Arc<Ledger> {
        let beyond = (descriptors / 16).max(16);
        let rest = descriptors.saturating_sub(SPARE + beyond + DISCOVERY).max(2);
        // An RPC that is out holds one of both kinds; held ones and idle sessions hold a client's alone.
        let stores = (rest * 2 / 5).max(1);
        let most = [rest - stores, beyond, stores, DISCOVERY];
        // A third for clients' buffers and statements; stores' answers, stacks and all else share the rest.
        Arc::new(Ledger { most, most_held: memory / 3, held: AtomicUsize::new(0), entries: Mutex::default() })
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

    /// One for a client. Where few are left those longest idle are asked to go, so that there is room for the next;
    /// where none is, it stands beyond the share.
    pub fn enter_client(self: &Arc<Ledger>) -> Option<Entry> {
        let most = self.most[Share::Clients as usize];
        let few = most / 16 + 1;
        let mut entries = self.lock();
        if entries.taken[Share::Clients as usize] + few > most && entries.asked.len() < few {
            if let Some((serial, mailbox)) = entries.idle.pop_first() {
                entries.asked.insert(serial);
                mailbox.ask_to_close();
            }
        }
        drop(entries);
        self.enter(Share::Clients).or_else(|| self.enter(Share::Beyond))
    }

    /// Whether a client that was asked to go has still to.
    pub fn frees_soon(&self) -> bool {
        !self.lock().asked.is_empty()
    }

    pub fn taken(&self, share: Share) -> usize {
        self.lock().taken[share as usize]
    }

    pub fn weight(self: &Arc<Ledger>) -> Weight {
        Weight { ledger: self.clone(), bytes: 0 }
    }

    pub fn is_heavy(&self) -> bool {
        self.held.load(Ordering::Relaxed) > self.most_held
    }

    /// A session has nothing to do; the number strikes it out again.
    pub fn idle(&self, mailbox: &Arc<Mailbox>) -> u64 {
        let mut entries = self.lock();
        entries.serial += 1;
        let serial = entries.serial;
        entries.idle.insert(serial, mailbox.clone());
        serial
    }

    pub fn busy(&self, serial: u64) {
        let mut entries = self.lock();
        entries.idle.remove(&serial);
        entries.asked.remove(&serial);
    }
}
