//! Handshake queue: holds connections whose class depends on the user name until the client has sent its user name.
//!
//! The queue is small. When it is full, a new connection displaces an old one. A client that sends its user name
//! promptly leaves the queue before a flood of clients that never send theirs can displace it.

use crate::client_address::ClientAddress;
use std::collections::{BTreeSet, HashMap};

/// Identifier of a connection in the queue. Identifiers ascend in the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HandshakeId(u64);

/// Result of adding a connection to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnqueueResult {
    /// The connection was added.
    Added(HandshakeId),
    /// The connection was added and displaced the oldest connection of the address with the most connections in the
    /// queue.
    AddedByDisplacing {
        /// The added connection.
        added: HandshakeId,
        /// The displaced connection, which the caller must close.
        displaced: HandshakeId,
    },
    /// The connection was not added: the queue is full, and too many displaced connections are still open.
    Rejected,
}

/// The handshake queue of a server.
pub struct HandshakeQueue {
    /// Maximum number of connections in the queue, and of displaced connections that are still open.
    max_waiting: usize,
    last_id: u64,
    waiting: HashMap<HandshakeId, ClientAddress>,
    by_address: HashMap<ClientAddress, BTreeSet<HandshakeId>>,
    /// Addresses, ordered by their number of connections in the queue.
    by_count: BTreeSet<(usize, ClientAddress)>,
    /// Displaced connections that are not closed yet.
    displaced: BTreeSet<HandshakeId>,
}

/// The queue holds at most the server's capacity divided by this number, and as many displaced connections may still be
/// open.
const CAPACITY_DIVISOR: usize = 32;
/// Maximum number of connections in the queue of a server with a small capacity.
const MIN_MAX_WAITING: usize = 2;

impl HandshakeQueue {
    /// Creates a queue of at most `max_waiting` connections. As many displaced connections may still be open.
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

    /// Creates the queue of a server with a capacity of `capacity` connections. With displaced connections, it uses at
    /// most a sixteenth of the capacity, unless the capacity is small.
    pub fn for_capacity(capacity: usize) -> HandshakeQueue {
        HandshakeQueue::new((capacity / CAPACITY_DIVISOR).max(MIN_MAX_WAITING))
    }

    /// Whether a connection is in the queue and has not been displaced.
    pub fn contains(&self, id: HandshakeId) -> bool {
        self.waiting.contains_key(&id)
    }

    /// Number of connections in the queue, excluding displaced ones.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the queue holds no connection, apart from displaced ones.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Maximum number of file descriptors used by the queue, including displaced connections.
    pub fn max_descriptors(&self) -> usize {
        self.max_waiting * 2
    }

    /// Adds a connection. If the queue is full, the new connection displaces another one.
    pub fn enqueue(&mut self, address: ClientAddress) -> EnqueueResult {
        let is_full = self.waiting.len() >= self.max_waiting;
        if is_full && self.displaced.len() >= self.max_waiting {
            return EnqueueResult::Rejected;
        }
        let displaced = if is_full { self.displace() } else { None };
        let added = self.insert(address);
        match displaced {
            Some(displaced) => EnqueueResult::AddedByDisplacing { added, displaced },
            None => EnqueueResult::Added(added),
        }
    }

    /// Displaces the oldest connection of the address with the most connections.
    fn displace(&mut self) -> Option<HandshakeId> {
        let (_, address) = self.by_count.last()?;
        let oldest = *self.by_address.get(address)?.first()?;
        self.remove_waiting(oldest);
        self.displaced.insert(oldest);
        Some(oldest)
    }

    fn insert(&mut self, address: ClientAddress) -> HandshakeId {
        self.last_id += 1;
        let id = HandshakeId(self.last_id);
        self.waiting.insert(id, address);
        self.update_address(address, |ids| ids.insert(id));
        id
    }

    /// Removes a connection that has been admitted or closed. Returns false if the connection was displaced before. The
    /// caller must call this for displaced connections as well, when they are closed.
    pub fn remove(&mut self, id: HandshakeId) -> bool {
        self.remove_waiting(id) || !self.displaced.remove(&id)
    }

    fn remove_waiting(&mut self, id: HandshakeId) -> bool {
        let Some(address) = self.waiting.remove(&id) else { return false };
        self.update_address(address, |ids| ids.remove(&id));
        true
    }

    /// Changes the connections of an address, and updates the index by number of connections.
    fn update_address(
        &mut self,
        address: ClientAddress,
        change: impl FnOnce(&mut BTreeSet<HandshakeId>) -> bool,
    ) {
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
