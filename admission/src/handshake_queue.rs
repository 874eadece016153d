//! Connections whose clients have not identified themselves yet, if that decides whether they are admitted. The queue is
//! small, nobody is kept out of it, and a connection that is in it for too long is displaced: a client that names its user at
//! once is through before a flood of clients that never do can push it out.

use crate::client_address::ClientAddress;
use std::collections::{BTreeSet, HashMap};

/// A connection in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HandshakeId(u64);

/// What becomes of a connection that has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Enqueued {
    /// It is in the queue.
    Free(HandshakeId),
    /// It is in the queue in place of another: of the address with most connections there, the first that came.
    Displacing {
        /// The connection.
        entered: HandshakeId,
        /// The one that must be closed.
        displaced: HandshakeId,
    },
    /// So many displaced connections have not been closed yet that there is no descriptor for another.
    Full,
}

/// The queue.
pub struct HandshakeQueue {
    max_waiting: usize,
    last_id: u64,
    waiting: HashMap<HandshakeId, ClientAddress>,
    by_address: HashMap<ClientAddress, BTreeSet<HandshakeId>>,
    /// Addresses by how many connections they have here.
    by_count: BTreeSet<(usize, ClientAddress)>,
    /// Connections that were displaced and are not closed yet.
    displaced: BTreeSet<HandshakeId>,
}

/// One in so many of a server's connections may wait here, and as many may be displaced.
const SHARE_OF_CAPACITY: usize = 32;

impl HandshakeQueue {
    /// For so many connections at a time; as many may be displaced and not closed yet.
    pub fn new(max_waiting: usize) -> HandshakeQueue {
        HandshakeQueue {
            max_waiting: max_waiting.max(1),
            last_id: 0,
            waiting: HashMap::new(),
            by_address: HashMap::new(),
            by_count: BTreeSet::new(),
            displaced: BTreeSet::new(),
        }
    }

    /// For a server with so many connections: one in sixteen of them, with those that are displaced.
    pub fn for_capacity(capacity: usize) -> HandshakeQueue {
        HandshakeQueue::new((capacity / SHARE_OF_CAPACITY).max(2))
    }

    /// Whether a connection is in the queue and was not displaced.
    pub fn contains(&self, id: HandshakeId) -> bool {
        self.waiting.contains_key(&id)
    }

    /// Connections in the queue, without those that were displaced.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Descriptors that it may need at most.
    pub fn max_descriptors(&self) -> usize {
        self.max_waiting * 2
    }

    /// A connection has come.
    pub fn enqueue(&mut self, address: ClientAddress) -> Enqueued {
        let is_full = self.waiting.len() >= self.max_waiting;
        if is_full && self.displaced.len() >= self.max_waiting {
            return Enqueued::Full;
        }
        let displaced = if is_full { self.displace() } else { None };
        let entered = self.insert(address);
        match displaced {
            Some(displaced) => Enqueued::Displacing { entered, displaced },
            None => Enqueued::Free(entered),
        }
    }

    /// The first connection of the address with most of them is displaced.
    fn displace(&mut self) -> Option<HandshakeId> {
        let (_, address) = self.by_count.last()?;
        let first = *self.by_address.get(address)?.first()?;
        self.remove(first);
        self.displaced.insert(first);
        Some(first)
    }

    fn insert(&mut self, address: ClientAddress) -> HandshakeId {
        self.last_id += 1;
        let id = HandshakeId(self.last_id);
        self.waiting.insert(id, address);
        self.update(address, |ids| ids.insert(id));
        id
    }

    /// A client has identified itself, or is gone. False if its connection was displaced before that.
    pub fn leave(&mut self, id: HandshakeId) -> bool {
        self.remove(id) || !self.displaced.remove(&id)
    }

    fn remove(&mut self, id: HandshakeId) -> bool {
        let Some(address) = self.waiting.remove(&id) else { return false };
        self.update(address, |ids| ids.remove(&id));
        true
    }

    fn update(&mut self, address: ClientAddress, change: impl FnOnce(&mut BTreeSet<HandshakeId>) -> bool) {
        let ids = self.by_address.entry(address).or_default();
        self.by_count.remove(&(ids.len(), address));
        change(ids);
        if ids.is_empty() {
            self.by_address.remove(&address);
        } else {
            self.by_count.insert((ids.len(), address));
        }
    }
}
