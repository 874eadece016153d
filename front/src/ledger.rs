//! The ledger of descriptors: every socket is entered before it is opened and struck out when its entry drops.

use crate::session::Mailbox;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    Clients,
    Stores,
    Discovery,
}

/// The process's own: standard streams, the listener, the event loop's, the signal pipe, and room for a
/// connection that is accepted only to be told that there is none.
const SPARE: usize = 32;
const DISCOVERY: usize = 4;

struct Entries {
    taken: [usize; 3],
    idle: BTreeMap<u64, Arc<Mailbox>>,
    serial: u64,
}

pub struct Ledger {
    most: [usize; 3],
    entries: Mutex<Entries>,
}

/// One descriptor's entry.
pub struct Entry {
    ledger: Arc<Ledger>,
    share: Share,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.ledger.lock().taken[self.share as usize] -= 1;
    }
}

impl Ledger {
    pub fn new(descriptors: usize) -> Arc<Ledger> {
        let rest = descriptors.saturating_sub(SPARE + DISCOVERY).max(2);
        // Each RPC out holds one of both kinds, but those held here and idle sessions hold a client's alone.
        let stores = (rest * 2 / 5).max(1);
        let entries = Entries { taken: [0; 3], idle: BTreeMap::new(), serial: 0 };
        Arc::new(Ledger { most: [rest - stores, stores, DISCOVERY], entries: Mutex::new(entries) })
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
        Some(Entry { ledger: self.clone(), share })
    }

    pub fn taken(&self, share: Share) -> usize {
        self.lock().taken[share as usize]
    }

    /// Few enough are left that the client longest idle had better go.
    pub fn short_of_clients(&self) -> bool {
        self.lock().taken[Share::Clients as usize] + self.most[0] / 16 >= self.most[0]
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
        self.lock().idle.remove(&serial);
    }

    /// Asks the session longest idle to close.
    pub fn close_longest_idle(&self) {
        let first = self.lock().idle.pop_first();
        if let Some((_, mailbox)) = first {
            mailbox.ask_to_close();
        }
    }
}
