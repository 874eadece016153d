//! Connection limiter: a table of rules decides whether a new connection is admitted or rejected. Open connections are
//! counted by class and address.

use crate::client_address::{AddressConnections, AddressPrefixes, AddressTable, ClientAddress};
use crate::client_class::{classify, validate, ClassError, ClientClass, DEFAULT_CLASS};
use crate::concurrency_limiter::ClientKey;
use crate::reason_counts::{ReasonCount, ReasonCounts};
use crate::retry_after_jitter::RetryAfterJitter;
use routing::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;

// Error texts that rejected clients receive. They are part of the wire format and must not change.

/// The address exceeds its rate of new connections.
const RATE_LIMIT_MESSAGE: &str = "connections come too fast from this address";
/// The address has the maximum number of connections.
const ADDRESS_LIMIT_MESSAGE: &str = "this address holds as many connections as it may";
/// The client class has the maximum number of connections.
const CLASS_LIMIT_MESSAGE: &str = "clients of this class hold as many connections as they may";
/// The server has its maximum number of connections, or the rest is reserved for other client classes.
const RESERVED_MESSAGE: &str = "the connections that are free are kept for others";
/// The handshake queue has no slot for the connection, or another connection has displaced the connection from the
/// queue.
const HANDSHAKE_QUEUE_FULL_MESSAGE: &str = "too many connections have not said yet who they are";

/// Why a connection was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// The address exceeds its rate of new connections.
    RateLimit,
    /// The address has its maximum number of connections.
    AddressLimit,
    /// The class has its maximum number of connections.
    ClassLimit,
    /// The server is at its capacity, or the rest of the capacity is reserved for other classes.
    Reserved,
    /// The connection was displaced from the handshake queue, or not added to it.
    HandshakeQueueFull,
}

impl RejectionReason {
    /// All reasons, in the order of the variants.
    pub const ALL: [RejectionReason; 5] = [
        RejectionReason::RateLimit,
        RejectionReason::AddressLimit,
        RejectionReason::ClassLimit,
        RejectionReason::Reserved,
        RejectionReason::HandshakeQueueFull,
    ];

    /// Error text that the client receives.
    pub fn message(self) -> &'static str {
        match self {
            RejectionReason::RateLimit => RATE_LIMIT_MESSAGE,
            RejectionReason::AddressLimit => ADDRESS_LIMIT_MESSAGE,
            RejectionReason::ClassLimit => CLASS_LIMIT_MESSAGE,
            RejectionReason::Reserved => RESERVED_MESSAGE,
            RejectionReason::HandshakeQueueFull => HANDSHAKE_QUEUE_FULL_MESSAGE,
        }
    }

    /// Label of the reason in metrics under their earlier names.
    pub fn label(self) -> &'static str {
        match self {
            RejectionReason::RateLimit => "rate",
            RejectionReason::AddressLimit => "each",
            RejectionReason::ClassLimit => "most",
            RejectionReason::Reserved => "room",
            RejectionReason::HandshakeQueueFull => "lobby",
        }
    }

    /// Label of the reason in metrics under their standard names.
    pub fn standard_label(self) -> &'static str {
        match self {
            RejectionReason::RateLimit => "rate_limit",
            RejectionReason::AddressLimit => "address_limit",
            RejectionReason::ClassLimit => "class_limit",
            RejectionReason::Reserved => "reserved",
            RejectionReason::HandshakeQueueFull => "handshake_queue_full",
        }
    }

    /// Whether the next client of the class could be admitted if an idle connection of the class were closed.
    pub fn reclaims_idle(self) -> bool {
        matches!(self, RejectionReason::ClassLimit | RejectionReason::Reserved)
    }
}

/// A rejected connection, and when its client may retry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why the connection was rejected.
    pub reason: RejectionReason,
    /// Class of the client.
    pub class: Arc<str>,
    /// Retry-After time for the client, with jitter.
    pub retry_after: TimeDelta,
}

/// An admitted connection. The caller must pass it to [`ConnectionLimiter::release`] when it has ended.
#[derive(Debug, PartialEq, Eq)]
pub struct AdmittedConnection {
    /// Class of the client.
    pub class: Arc<str>,
    address: ClientAddress,
}

impl AdmittedConnection {
    /// The client to which the concurrency limiter attributes the requests on this connection.
    pub fn client(&self) -> ClientKey {
        ClientKey { class: self.class.clone(), address: self.address }
    }
}

/// Number of open connections of one class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassConnections {
    /// Name of the class.
    pub class: Arc<str>,
    /// Number of open connections of the class.
    pub connections: usize,
}

/// Number of connections of one class that were rejected for one reason.
pub type RejectionCount = ReasonCount<RejectionReason>;

/// Input of the decision on a new connection.
struct AdmissionInput<'a> {
    /// Class of the client.
    class: &'a ClientClass,
    /// Open connections of the class.
    class_connections: usize,
    /// Open connections of the address.
    address_connections: usize,
    /// Time until the rate allows the next connection of the address; zero if it does now.
    wait: TimeDelta,
    /// Open connections of all classes.
    connections: usize,
    /// Connections that are reserved for other classes and that those classes do not use.
    reserved_for_others: usize,
    capacity: usize,
}

/// A rule that rejects connections.
struct RejectionRule {
    /// Whether the rule rejects the connection.
    applies: fn(&AdmissionInput) -> bool,
    reason: RejectionReason,
}

/// The rules in order of precedence. A connection is rejected for the reason of the first rule that applies, and
/// admitted if none does.
const REJECTION_RULES: &[RejectionRule] = &[
    RejectionRule { applies: |input| input.wait > TimeDelta::ZERO, reason: RejectionReason::RateLimit },
    RejectionRule {
        applies: |input| input.class.max_per_address.is_some_and(|max| input.address_connections >= max),
        reason: RejectionReason::AddressLimit,
    },
    RejectionRule {
        applies: |input| input.class.max_connections.is_some_and(|max| input.class_connections >= max),
        reason: RejectionReason::ClassLimit,
    },
    // A class that has not used up its reservation is rejected only if the server is at its capacity.
    RejectionRule {
        applies: |input| {
            input.class_connections < input.class.reserved && input.connections >= input.capacity
        },
        reason: RejectionReason::Reserved,
    },
    RejectionRule {
        applies: |input| {
            let unavailable = input.connections + input.reserved_for_others;
            input.class_connections >= input.class.reserved && unavailable >= input.capacity
        },
        reason: RejectionReason::Reserved,
    },
];

/// Client classes, and how addresses identify clients.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassSettings {
    /// The client classes. If empty, every connection is admitted while there is capacity.
    pub classes: Vec<ClientClass>,
    /// Prefix lengths: addresses with the same prefix count as one client.
    pub prefixes: AddressPrefixes,
}

/// Configuration of the connection limiter.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// The client classes.
    pub classes: Vec<ClientClass>,
    /// Prefix lengths: addresses with the same prefix count as one client.
    pub prefixes: AddressPrefixes,
    /// Maximum connections of the server.
    pub capacity: usize,
}

/// The connection limiter: counts of open connections by class and address, and the limits that apply to them.
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
    /// Creates a limiter whose Retry-After times are at most `max_retry_after`, with a jitter that `seed` determines.
    ///
    /// # Errors
    /// All errors in the set of classes.
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

    /// Changes the limits. Open connections are kept, even if they exceed the new limits, and count towards the new
    /// class of the same name.
    ///
    /// # Errors
    /// All errors in the set of classes. The limits are not changed in this case.
    pub fn set_limits(&mut self, limits: ConnectionLimits) -> Result<(), Vec<ClassError>> {
        let limits = with_default_class(limits)?;
        if self.limits.prefixes != limits.prefixes {
            // Counts by the previous prefix lengths cannot be converted, so counting starts again from zero.
            self.addresses = AddressTable::default();
        }
        self.limits = limits;
        Ok(())
    }

    /// Whether any class matches by user name. If none does, connections are admitted by their address alone.
    pub fn needs_user_name(&self) -> bool {
        self.limits.classes.iter().any(|class| !class.users.is_empty())
    }

    /// The address, truncated to its prefix, by which the connections of a client are counted.
    pub fn client_address(&self, from: IpAddr) -> ClientAddress {
        ClientAddress::new(from, self.limits.prefixes)
    }

    /// Admits or rejects a new connection. `user` is the user name that the client presented, which is only needed if
    /// [`ConnectionLimiter::needs_user_name`].
    ///
    /// # Errors
    /// The rejection of the connection.
    pub fn admit(
        &mut self,
        now: Timestamp,
        from: IpAddr,
        user: Option<&str>,
    ) -> Result<AdmittedConnection, Rejection> {
        self.addresses.expire(now);
        let class = &self.limits.classes[classify(&self.limits.classes, from.to_canonical(), user)];
        let address = ClientAddress::new(from, self.limits.prefixes);
        let input = self.admission_input(now, class, address);
        let (name, rate, wait) = (class.name.clone(), class.rate, input.wait);
        if let Some(rule) = REJECTION_RULES.iter().find(|rule| (rule.applies)(&input)) {
            return Err(self.reject(now, rule.reason, name, wait));
        }
        self.addresses.record_connection(now, address, rate);
        *self.by_class.entry(name.clone()).or_default() += 1;
        self.connections += 1;
        Ok(AdmittedConnection { class: name, address })
    }

    fn admission_input<'a>(
        &self,
        now: Timestamp,
        class: &'a ClientClass,
        address: ClientAddress,
    ) -> AdmissionInput<'a> {
        let connections_of = |class: &ClientClass| self.by_class.get(&class.name).copied().unwrap_or(0);
        let others = self.limits.classes.iter().filter(|other| other.name != class.name);
        let wait = class
            .rate
            .map_or(TimeDelta::ZERO, |rate| self.addresses.wait_until_conforming(now, address, rate));
        AdmissionInput {
            class,
            class_connections: connections_of(class),
            address_connections: self.addresses.connections(address),
            wait,
            connections: self.connections,
            reserved_for_others: others
                .map(|other| other.reserved.saturating_sub(connections_of(other)))
                .sum(),
            capacity: self.limits.capacity,
        }
    }

    /// Counts the rejection of a connection that was displaced from the handshake queue or not added to it.
    pub fn reject_handshake(&mut self, now: Timestamp) -> Rejection {
        self.reject(now, RejectionReason::HandshakeQueueFull, DEFAULT_CLASS.into(), TimeDelta::ZERO)
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
        self.addresses.record_disconnection(now, connection.address);
        self.remove_unconfigured_class(&connection.class);
    }

    /// Removes the count of a class if the class is no longer configured and has no connections left.
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

    /// Number of addresses in the table, with and without connections.
    pub fn remembered_addresses(&self) -> usize {
        self.addresses.len()
    }
}

/// Validates the limits. If the default class is not configured, adds it without limits.
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
