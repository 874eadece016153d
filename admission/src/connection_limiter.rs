//! Connection limiter: admits or rejects new connections by a table of rules, and counts the open ones by class and
//! address.

use crate::client_address::{AddressConnections, AddressPrefixes, AddressTable, ClientAddress};
use crate::client_class::{classify, validate, ClassError, ClientClass, DEFAULT_CLASS};
use crate::concurrency_limiter::ClientKey;
use crate::reason_counts::{ReasonCount, ReasonCounts};
use crate::retry_after_jitter::RetryAfterJitter;
use routing::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;

/// Why a connection was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// The address exceeds its rate of new connections.
    Rate,
    /// The address is at its maximum of connections.
    AddressLimit,
    /// The class is at its maximum of connections.
    ClassLimit,
    /// The remaining capacity is reserved for other classes, or there is none.
    Reserved,
    /// Too many connections are waiting for their clients to identify themselves.
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

    /// Error text sent to the client. Part of the wire format.
    pub fn message(self) -> &'static str {
        match self {
            RejectionReason::Rate => "connections come too fast from this address",
            RejectionReason::AddressLimit => "this address holds as many connections as it may",
            RejectionReason::ClassLimit => "clients of this class hold as many connections as they may",
            RejectionReason::Reserved => "the connections that are free are kept for others",
            RejectionReason::Handshakes => "too many connections have not said yet who they are",
        }
    }

    /// Label of the reason in metrics under their earlier names.
    pub fn label(self) -> &'static str {
        match self {
            RejectionReason::Rate => "rate",
            RejectionReason::AddressLimit => "each",
            RejectionReason::ClassLimit => "most",
            RejectionReason::Reserved => "room",
            RejectionReason::Handshakes => "lobby",
        }
    }

    /// Label of the reason in metrics under their standard names.
    pub fn standard_label(self) -> &'static str {
        match self {
            RejectionReason::Rate => "rate_limit",
            RejectionReason::AddressLimit => "address_limit",
            RejectionReason::ClassLimit => "class_limit",
            RejectionReason::Reserved => "reserved",
            RejectionReason::Handshakes => "handshake_queue_full",
        }
    }

    /// Whether closing an idle connection of the class would make room for the next client.
    pub fn reclaims_idle(self) -> bool {
        matches!(self, RejectionReason::ClassLimit | RejectionReason::Reserved)
    }
}

/// A rejected connection, and when its client may retry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why it was rejected.
    pub reason: RejectionReason,
    /// Class of the client.
    pub class: Arc<str>,
    /// Retry-After time for the client, with jitter.
    pub retry_after: TimeDelta,
}

/// An admitted connection. Must be passed to [`ConnectionLimiter::release`] exactly once, when it has ended.
#[derive(Debug, PartialEq, Eq)]
pub struct AdmittedConnection {
    /// Class of the client.
    pub class: Arc<str>,
    address: ClientAddress,
}

impl AdmittedConnection {
    /// The client that requests on this connection are attributed to.
    pub fn client(&self) -> ClientKey {
        ClientKey { class: self.class.clone(), address: self.address }
    }
}

/// Number of open connections of one class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassConnections {
    /// Name of the class.
    pub class: Arc<str>,
    /// Its open connections.
    pub connections: usize,
}

/// Number of connections of one class that were rejected for one reason.
pub type RejectionCount = ReasonCount<RejectionReason>;

/// Input of the admission decision for a new connection.
struct Arrival<'a> {
    class: &'a ClientClass,
    /// Open connections of the class.
    class_connections: usize,
    /// Open connections of the address.
    address_connections: usize,
    /// Time until the address may connect at its rate.
    wait: TimeDelta,
    /// Open connections of all classes.
    connections: usize,
    /// Connections reserved for other classes and not used by them.
    reserved_for_others: usize,
    capacity: usize,
}

/// A reason to reject a connection.
struct Rule {
    /// Whether the connection is rejected for this reason.
    applies: fn(&Arrival) -> bool,
    reason: RejectionReason,
}

/// The first rule that applies rejects the connection; if none does, the connection is admitted.
const REJECTION_RULES: &[Rule] = &[
    Rule { applies: |arrival| arrival.wait > TimeDelta::ZERO, reason: RejectionReason::Rate },
    Rule {
        applies: |arrival| {
            arrival.class.max_per_address.is_some_and(|max| arrival.address_connections >= max)
        },
        reason: RejectionReason::AddressLimit,
    },
    Rule {
        applies: |arrival| arrival.class.max_connections.is_some_and(|max| arrival.class_connections >= max),
        reason: RejectionReason::ClassLimit,
    },
    // Within its own reservation, a class is rejected only when the server is full.
    Rule {
        applies: |arrival| {
            arrival.class_connections < arrival.class.reserved && arrival.connections >= arrival.capacity
        },
        reason: RejectionReason::Reserved,
    },
    Rule {
        applies: |arrival| {
            let claimed = arrival.connections + arrival.reserved_for_others;
            arrival.class_connections >= arrival.class.reserved && claimed >= arrival.capacity
        },
        reason: RejectionReason::Reserved,
    },
];

/// Client classes, and how connections are assigned to clients.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassSettings {
    /// The client classes. If empty, every connection is admitted while there is capacity.
    pub classes: Vec<ClientClass>,
    /// Prefix lengths by which addresses identify a client.
    pub prefixes: AddressPrefixes,
}

/// Configuration of the connection limiter.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// The client classes.
    pub classes: Vec<ClientClass>,
    /// Prefix lengths by which addresses identify a client.
    pub prefixes: AddressPrefixes,
    /// Maximum connections of the server.
    pub capacity: usize,
}

/// Open connections by class and address, with the limits that apply to them.
pub struct ConnectionLimiter {
    limits: ConnectionLimits,
    by_class: BTreeMap<Arc<str>, usize>,
    connections: usize,
    addresses: AddressTable,
    /// Connections rejected since the start, by class and reason.
    rejections: ReasonCounts<RejectionReason>,
    jitter: RetryAfterJitter,
}

impl ConnectionLimiter {
    /// Creates a limiter whose Retry-After times are at most `max_retry_after`; `seed` is that of their jitter.
    ///
    /// # Errors
    /// Every error in the set of classes.
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
            rejections: ReasonCounts::default(),
            jitter,
        })
    }

    /// Changes the limits. Open connections are not closed and still count towards the class with their class's name,
    /// even if it is over its new limits.
    ///
    /// # Errors
    /// As [`ConnectionLimiter::new`]; the limits are then unchanged.
    pub fn set_limits(&mut self, limits: ConnectionLimits) -> Result<(), Vec<ClassError>> {
        let limits = with_default_class(limits)?;
        if self.limits.prefixes != limits.prefixes {
            // Counts by the old prefixes cannot be converted to the new ones: counting starts over.
            self.addresses = AddressTable::default();
        }
        self.limits = limits;
        Ok(())
    }

    /// Whether any class matches by user name. If not, connections can be admitted by their address alone.
    pub fn needs_user_name(&self) -> bool {
        self.limits.classes.iter().any(|class| !class.users.is_empty())
    }

    /// The address that a client's connections are counted by.
    pub fn client_address(&self, from: IpAddr) -> ClientAddress {
        ClientAddress::new(from, self.limits.prefixes)
    }

    /// Admits or rejects a new connection. `user` is the user name that the client presented, if it was asked for one.
    ///
    /// # Errors
    /// The connection is rejected.
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
        if let Some(rule) = REJECTION_RULES.iter().find(|rule| (rule.applies)(&arrival)) {
            return Err(self.reject(now, rule.reason, name, wait));
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

    /// Rejects a connection that was displaced from the handshake queue or not added to it.
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
        self.rejections.increment(class.clone(), reason);
        Rejection { reason, class, retry_after: self.jitter.next(now, wait) }
    }

    /// Releases an admitted connection that has ended.
    pub fn release(&mut self, now: Timestamp, connection: AdmittedConnection) {
        if let Some(connections) = self.by_class.get_mut(&connection.class) {
            *connections = connections.saturating_sub(1);
        }
        self.connections = self.connections.saturating_sub(1);
        self.addresses.disconnected(now, connection.address);
        self.remove_unconfigured_class(&connection.class);
    }

    /// Removes the count of a class that is no longer configured and has no connection left.
    fn remove_unconfigured_class(&mut self, class: &Arc<str>) {
        let is_configured = self.limits.classes.iter().any(|configured| configured.name == *class);
        if !is_configured && self.by_class.get(class) == Some(&0) {
            self.by_class.remove(class);
        }
    }

    /// The configured classes, including the default class.
    pub fn classes(&self) -> &[ClientClass] {
        &self.limits.classes
    }

    /// The `count` addresses with the most connections, in descending order.
    pub fn top_addresses(&self, count: usize) -> Vec<AddressConnections> {
        self.addresses.top(count)
    }

    /// Numbers of open connections by class.
    pub fn connections_by_class(&self) -> impl Iterator<Item = ClassConnections> + '_ {
        let by_class = self.by_class.iter();
        by_class
            .map(|(class, connections)| ClassConnections { class: class.clone(), connections: *connections })
    }

    /// Numbers of connections rejected since the start, by class and reason.
    pub fn rejections(&self) -> impl Iterator<Item = RejectionCount> + '_ {
        self.rejections.iter()
    }

    /// Number of addresses with remembered state.
    pub fn remembered_addresses(&self) -> usize {
        self.addresses.len()
    }
}

/// Validates the limits and adds the default class, without limits of its own, if it is not configured.
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
