//! The registry of idle clients, which selects a client to close when descriptors run short.

use routing::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How long a client is not asked to close after it has connected, because its first query will probably arrive soon.
const NEW_CLIENT_GRACE: TimeDelta = TimeDelta::from_millis(100);
/// How long a client is not asked to close after its last response, because it may soon send another query.
const IDLE_CLIENT_GRACE: TimeDelta = TimeDelta::from_millis(2_000);
/// How long a client is not asked to close after it has begun a message, because the rest may only be slow.
const PARTIAL_MESSAGE_GRACE: TimeDelta = TimeDelta::from_millis(500);

/// A connection that can be asked to close.
pub trait RequestClose: Send + Sync {
    /// Asks the connection to close as soon as it is idle.
    fn request_close(&self);
}

/// The state of an idle client. When descriptors run short, clients are closed in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum IdleRank {
    /// The connection is being closed gracefully: the client has time to read its last responses.
    Closing,
    /// The client has begun a message and has no query in progress. Nothing that was taken is lost with it.
    PartialMessage,
    /// The client has not sent a query yet.
    NeverQueried,
    /// All queries of the client have been answered.
    Idle,
}

impl IdleRank {
    /// How long a client is not asked to close after it has become idle.
    fn grace(self) -> TimeDelta {
        match self {
            IdleRank::Closing => TimeDelta::ZERO,
            IdleRank::PartialMessage => PARTIAL_MESSAGE_GRACE,
            IdleRank::NeverQueried => NEW_CLIENT_GRACE,
            IdleRank::Idle => IDLE_CLIENT_GRACE,
        }
    }
}

/// The key of an idle client in the registry. The keys are ordered as the clients are asked to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdleRegistration {
    rank: IdleRank,
    serial: u64,
}

/// An idle client in the registry.
struct IdleClient {
    idle_since: Timestamp,
    connection: Arc<dyn RequestClose>,
    /// The name of the client's class; `None` if no classes are configured.
    class: Option<Arc<str>>,
}

/// The registry of idle clients.
#[derive(Default)]
pub struct IdleClients {
    /// The idle clients, in the order in which they are closed.
    clients: BTreeMap<IdleRegistration, IdleClient>,
    /// The serial numbers of the clients that were asked to close and are still registered.
    close_requested: BTreeSet<u64>,
    /// The serial number of the client that was registered last.
    last_serial: u64,
}

impl IdleClients {
    /// Registers a client that has become idle.
    pub fn register(
        &mut self,
        rank: IdleRank,
        idle_since: Timestamp,
        connection: Arc<dyn RequestClose>,
        class: Option<Arc<str>>,
    ) -> IdleRegistration {
        self.last_serial += 1;
        let registration = IdleRegistration { rank, serial: self.last_serial };
        self.clients.insert(registration, IdleClient { idle_since, connection, class });
        registration
    }

    /// Removes a client that is busy again or has disconnected.
    pub fn unregister(&mut self, registration: IdleRegistration) {
        self.clients.remove(&registration);
        self.close_requested.remove(&registration.serial);
    }

    /// Asks one client that is being closed gracefully to finish sooner.
    pub fn expedite_closing(&mut self, now: Timestamp) {
        self.request_first_close(now, |rank, _| rank == IdleRank::Closing);
    }

    /// Of the clients that are not being closed already, asks the first one to close.
    pub fn reclaim(&mut self, now: Timestamp) {
        self.request_first_close(now, |rank, _| rank != IdleRank::Closing);
    }

    /// Of the clients of a class that are not being closed already, asks the first one to close.
    pub fn reclaim_of_class(&mut self, now: Timestamp, class: &str) {
        let is_of_class = |client: &IdleClient| client.class.as_deref() == Some(class);
        self.request_first_close(now, |rank, client| rank != IdleRank::Closing && is_of_class(client));
    }

    /// Finds the first client that satisfies `may_close`, whose grace period has ended, and that has not been asked
    /// yet. Asks that client to close.
    fn request_first_close(&mut self, now: Timestamp, may_close: impl Fn(IdleRank, &IdleClient) -> bool) {
        let candidate = self.clients.iter().find(|(registration, client)| {
            may_close(registration.rank, client)
                && now - client.idle_since >= registration.rank.grace()
                && !self.close_requested.contains(&registration.serial)
        });
        if let Some((registration, client)) = candidate {
            self.close_requested.insert(registration.serial);
            client.connection.request_close();
        }
    }

    /// The number of clients that are being closed or were asked to close, whose descriptors will soon be free.
    pub fn closing(&self) -> usize {
        let is_closing = |registration: &&IdleRegistration| {
            registration.rank == IdleRank::Closing || self.close_requested.contains(&registration.serial)
        };
        self.clients.keys().filter(is_closing).count()
    }
}
