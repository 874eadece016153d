//! The decisions on connections: a table of reasons to reject one, and which connections are held by whom.

use crate::client_address::{AddressPrefixes, AddressTable, ClientAddress};
use crate::client_class::{classify, validate, ClassError, ClientClass, DEFAULT_CLASS};
use crate::concurrency_limiter::ClientKey;
use crate::retry_after_jitter::RetryAfterJitter;
use routing::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;

/// Why a connection is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// Connections come faster from its address than they may.
    Rate,
    /// Its address holds as many connections as it may.
    AddressLimit,
    /// Its class holds as many connections as it may.
    ClassLimit,
    /// The connections that are free are reserved for other classes.
    Reserved,
    /// Too many connections have not identified their clients yet.
    Handshakes,
}

impl RejectionReason {
    /// All reasons.
    pub const ALL: [RejectionReason; 5] = [
        RejectionReason::Rate,
        RejectionReason::AddressLimit,
        RejectionReason::ClassLimit,
        RejectionReason::Reserved,
        RejectionReason::Handshakes,
    ];

    /// What the client is told. Part of the wire.
    pub fn message(self) -> &'static str {
        match self {
            RejectionReason::Rate => "connections come too fast from this address",
            RejectionReason::AddressLimit => "this address holds as many connections as it may",
            RejectionReason::ClassLimit => "clients of this class hold as many connections as they may",
            RejectionReason::Reserved => "the connections that are free are kept for others",
            RejectionReason::Handshakes => "too many connections have not said yet who they are",
        }
    }

    /// Its label in metrics under their earlier names.
    pub fn label(self) -> &'static str {
        match self {
            RejectionReason::Rate => "rate",
            RejectionReason::AddressLimit => "each",
            RejectionReason::ClassLimit => "most",
            RejectionReason::Reserved => "room",
            RejectionReason::Handshakes => "lobby",
        }
    }

    /// Its label in metrics under their standard names.
    pub fn standard_label(self) -> &'static str {
        match self {
            RejectionReason::Rate => "rate_limit",
            RejectionReason::AddressLimit => "address_limit",
            RejectionReason::ClassLimit => "class_limit",
            RejectionReason::Reserved => "reserved",
            RejectionReason::Handshakes => "handshake_queue_full",
        }
    }

    /// Whether an idle connection of the class should be closed for the next client.
    pub fn reclaims_idle(self) -> bool {
        matches!(self, RejectionReason::ClassLimit | RejectionReason::Reserved)
    }
}

/// A connection is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub reason: RejectionReason,
    /// The class of its client.
    pub class: Arc<str>,
    /// When to come back; clients that are rejected at one time are told times that lie apart.
    pub retry_after: TimeDelta,
}

/// A connection that was admitted. It is given back by [`ConnectionLimiter::release`], once.
#[derive(Debug, PartialEq, Eq)]
pub struct AdmittedConnection {
    /// The class of its client.
    pub class: Arc<str>,
    address: ClientAddress,
}

impl AdmittedConnection {
    /// Whom its requests are counted for.
    pub fn client(&self) -> ClientKey {
        ClientKey { class: self.class.clone(), address: self.address }
    }
}

/// What one decision is made from.
struct Arrival<'a> {
    class: &'a ClientClass,
    /// Connections of the class.
    class_connections: usize,
    /// Connections of the address.
    address_connections: usize,
    /// Until its address may connect by its rate.
    wait: TimeDelta,
    connections: usize,
    /// Reserved for other classes and not used by them.
    reserved_for_others: usize,
    capacity: usize,
}

type Row = (RejectionReason, fn(&Arrival) -> bool);

/// The first row that fits rejects the connection; if none does, it is admitted.
const TABLE: &[Row] = &[
    (RejectionReason::Rate, |arrival| arrival.wait > TimeDelta::ZERO),
    (RejectionReason::AddressLimit, |arrival| {
        arrival.class.max_per_address.is_some_and(|most| arrival.address_connections >= most)
    }),
    (RejectionReason::ClassLimit, |arrival| {
        arrival.class.max_connections.is_some_and(|most| arrival.class_connections >= most)
    }),
    // What is reserved for a class it may have as long as any is free.
    (RejectionReason::Reserved, |arrival| {
        arrival.class_connections < arrival.class.reserved && arrival.connections >= arrival.capacity
    }),
    (RejectionReason::Reserved, |arrival| {
        let claimed = arrival.connections + arrival.reserved_for_others;
        arrival.class_connections >= arrival.class.reserved && claimed >= arrival.capacity
    }),
];

/// How a connection limiter is set.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// The classes of clients.
    pub classes: Vec<ClientClass>,
    /// How much of an address identifies a client.
    pub prefixes: AddressPrefixes,
    /// Connections in all.
    pub capacity: usize,
}

/// The connections that are held, and by whom.
pub struct ConnectionLimiter {
    limits: ConnectionLimits,
    by_class: BTreeMap<Arc<str>, usize>,
    connections: usize,
    addresses: AddressTable,
    /// By class and reason, since the start.
    rejections: BTreeMap<(Arc<str>, RejectionReason), u64>,
    jitter: RetryAfterJitter,
}

impl ConnectionLimiter {
    /// For a server that may tell clients to stay away for `max_retry_after` at most.
    ///
    /// # Errors
    /// All that is wrong with the classes among themselves.
    pub fn new(
        limits: ConnectionLimits,
        max_retry_after: TimeDelta,
        seed: u64,
    ) -> Result<ConnectionLimiter, Vec<ClassError>> {
        let limits = with_default_class(limits)?;
        let jitter = RetryAfterJitter::new(limits.capacity, max_retry_after, seed);
        Ok(ConnectionLimiter {
            limits,
            by_class: BTreeMap::new(),
            connections: 0,
            addresses: AddressTable::default(),
            rejections: BTreeMap::new(),
            jitter,
        })
    }

    /// Changes the limits. Connections that are held stay, and go on counting for the class of that name; a limit below
    /// what is held only admits no more.
    ///
    /// # Errors
    /// As [`ConnectionLimiter::new`]; nothing changes then.
    pub fn set_limits(&mut self, limits: ConnectionLimits) -> Result<(), Vec<ClassError>> {
        let limits = with_default_class(limits)?;
        if self.limits.prefixes != limits.prefixes {
            // Addresses are grouped otherwise now: what they hold is counted anew from here on.
            self.addresses = AddressTable::default();
        }
        self.limits = limits;
        Ok(())
    }

    /// Whether the user that a client names can matter: otherwise it is admitted by its address alone.
    pub fn needs_user(&self) -> bool {
        self.limits.classes.iter().any(|class| !class.users.is_empty())
    }

    /// The address by which a client is counted.
    pub fn client_address(&self, from: IpAddr) -> ClientAddress {
        ClientAddress::new(from, self.limits.prefixes)
    }

    /// A connection has come, of a client that names `user` if it was asked.
    ///
    /// # Errors
    /// It is rejected.
    pub fn admit(
        &mut self,
        now: Timestamp,
        from: IpAddr,
        user: Option<&str>,
    ) -> Result<AdmittedConnection, Rejection> {
        self.addresses.expire(now);
        let class = &self.limits.classes[classify(&self.limits.classes, from.to_canonical(), user)];
        let address = ClientAddress::new(from, self.limits.prefixes);
        let arrival = self.arrival(now, class, address);
        let (name, rate, wait) = (class.name.clone(), class.rate, arrival.wait);
        if let Some((reason, _)) = TABLE.iter().find(|(_, rejects)| rejects(&arrival)) {
            return Err(self.reject(now, *reason, name, wait));
        }
        self.addresses.connected(now, address, rate);
        *self.by_class.entry(name.clone()).or_default() += 1;
        self.connections += 1;
        Ok(AdmittedConnection { class: name, address })
    }

    fn arrival<'a>(&self, now: Timestamp, class: &'a ClientClass, address: ClientAddress) -> Arrival<'a> {
        let held = |class: &ClientClass| self.by_class.get(&class.name).copied().unwrap_or(0);
        let others = self.limits.classes.iter().filter(|other| other.name != class.name);
        let wait = class.rate.map_or(TimeDelta::ZERO, |rate| self.addresses.wait(now, address, rate));
        Arrival {
            class,
            class_connections: held(class),
            address_connections: self.addresses.connections(address),
            wait,
            connections: self.connections,
            reserved_for_others: others.map(|other| other.reserved.saturating_sub(held(other))).sum(),
            capacity: self.limits.capacity,
        }
    }

    /// A connection whose client is not known yet was displaced, or found no place to wait.
    pub fn reject_handshake(&mut self, now: Timestamp) -> Rejection {
        self.reject(now, RejectionReason::Handshakes, DEFAULT_CLASS.into(), TimeDelta::ZERO)
    }

    fn reject(
        &mut self,
        now: Timestamp,
        reason: RejectionReason,
        class: Arc<str>,
        wait: TimeDelta,
    ) -> Rejection {
        *self.rejections.entry((class.clone(), reason)).or_default() += 1;
        Rejection { reason, class, retry_after: self.jitter.next(now, wait) }
    }

    /// A connection has ended.
    pub fn release(&mut self, now: Timestamp, connection: AdmittedConnection) {
        if let Some(connections) = self.by_class.get_mut(&connection.class) {
            *connections = connections.saturating_sub(1);
        }
        self.connections = self.connections.saturating_sub(1);
        self.addresses.disconnected(now, connection.address);
        self.forget_unset_class(&connection.class);
    }

    /// A class that is not set any more is forgotten with its last connection.
    fn forget_unset_class(&mut self, class: &Arc<str>) {
        let is_set = self.limits.classes.iter().any(|set| set.name == *class);
        if !is_set && self.by_class.get(class) == Some(&0) {
            self.by_class.remove(class);
        }
    }

    /// The classes, with the default class.
    pub fn classes(&self) -> &[ClientClass] {
        &self.limits.classes
    }

    /// The addresses with most connections, `count` at most, and how many those are.
    pub fn top_addresses(&self, count: usize) -> Vec<(ClientAddress, usize)> {
        self.addresses.top(count)
    }

    /// Connections held, by class.
    pub fn connections_by_class(&self) -> impl Iterator<Item = (&str, usize)> {
        self.by_class.iter().map(|(name, connections)| (&**name, *connections))
    }

    /// Connections rejected since the start, by class and reason.
    pub fn rejections(&self) -> impl Iterator<Item = (&str, RejectionReason, u64)> {
        self.rejections.iter().map(|((name, reason), count)| (&**name, *reason, *count))
    }

    /// Addresses of which anything is remembered.
    pub fn remembered_addresses(&self) -> usize {
        self.addresses.len()
    }
}

/// The limits with the default class, which has no limits of its own if none is set.
fn with_default_class(mut limits: ConnectionLimits) -> Result<ConnectionLimits, Vec<ClassError>> {
    let errors = validate(&limits.classes, limits.capacity);
    if !errors.is_empty() {
        return Err(errors);
    }
    if limits.classes.iter().all(|class| &*class.name != DEFAULT_CLASS) {
        limits.classes.push(ClientClass::named(DEFAULT_CLASS));
    }
    Ok(limits)
}
