//! The registry of idle clients, which selects the one to close when descriptors run short.

use routing::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How long a client is not asked to close after it has connected, because it is about to send its first
/// query.
const NEW_CLIENT_GRACE: TimeDelta = TimeDelta::from_millis(100);
/// How long a client is not asked to close after its last response, because it may send another query soon.
const IDLE_CLIENT_GRACE: TimeDelta = TimeDelta::from_millis(2_000);

/// A connection that can be close_requested to close.
pub trait RequestClose: Send + Sync {
    /// Requests the close of the connection.
    fn request_close(&self);
}

/// The state of an idle client. Clients are closed in the order of the variants when descriptors run short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum IdleRank {
    /// The connection is being closed, and the client has time to read its last responses.
    Closing,
    /// The client has not sent a query yet.
    NeverQueried,
    /// All queries of the client were answered.
    Idle,
}

impl IdleRank {
    /// The time for which a client is not asked to close after it has become idle.
    fn grace(self) -> TimeDelta {
        match self {
            IdleRank::Closing => TimeDelta::ZERO,
            IdleRank::NeverQueried => NEW_CLIENT_GRACE,
            IdleRank::Idle => IDLE_CLIENT_GRACE,
        }
    }
}

/// The registration of an idle client, needed to remove it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdleRegistration {
    rank: IdleRank,
    serial: u64,
}

/// An idle client.
struct IdleClient {
    since: Timestamp,
    connection: Arc<dyn RequestClose>,
    /// The client class, if classes are configured.
    class: Option<Arc<str>>,
}

/// The registry of idle clients.
#[derive(Default)]
pub struct IdleClients {
    /// The idle clients, in the order in which they are closed.
    clients: BTreeMap<IdleRegistration, IdleClient>,
    /// The serial numbers of clients that were asked to close, and have neither closed nor become busy since.
    close_requested: BTreeSet<u64>,
    /// The serial number that was assigned last.
    last_serial: u64,
}

impl IdleClients {
    /// Registers a client that has become idle.
    pub fn register(
        &mut self,
        rank: IdleRank,
        since: Timestamp,
        connection: Arc<dyn RequestClose>,
        class: Option<Arc<str>>,
    ) -> IdleRegistration {
        self.last_serial += 1;
        let registration = IdleRegistration { rank, serial: self.last_serial };
        self.clients.insert(registration, IdleClient { since, connection, class });
        registration
    }

    /// Removes a client that is busy again or has disconnected.
    pub fn unregister(&mut self, registration: IdleRegistration) {
        self.clients.remove(&registration);
        self.close_requested.remove(&registration.serial);
    }

    /// Shortens the close of one client that is being closed.
    pub fn expedite_closing(&mut self, now: Timestamp) {
        self.request_first_close(now, |rank, _| rank == IdleRank::Closing);
    }

    /// Asks the first idle client to close.
    pub fn reclaim(&mut self, now: Timestamp) {
        self.request_first_close(now, |rank, _| rank != IdleRank::Closing);
    }

    /// Asks the first idle client of a class to close.
    pub fn reclaim_of_class(&mut self, now: Timestamp, class: &str) {
        let is_of_class = |client: &IdleClient| client.class.as_deref() == Some(class);
        self.request_first_close(now, |rank, client| rank != IdleRank::Closing && is_of_class(client));
    }

    /// Asks the first client to close that `may_close` allows, whose grace period has ended and that was not
    /// close_requested yet.
    fn request_first_close(&mut self, now: Timestamp, may_close: impl Fn(IdleRank, &IdleClient) -> bool) {
        let candidate = self.clients.iter().find(|(registration, client)| {
            may_close(registration.rank, client)
                && now - client.since >= registration.rank.grace()
                && !self.close_requested.contains(&registration.serial)
        });
        if let Some((registration, client)) = candidate {
            self.close_requested.insert(registration.serial);
            client.connection.request_close();
        }
    }

    /// The number of clients that are closing or were close_requested to close, whose descriptors will soon be free.
    pub fn closing(&self) -> usize {
        let is_closing = |registration: &&IdleRegistration| {
            registration.rank == IdleRank::Closing || self.close_requested.contains(&registration.serial)
        };
        self.clients.keys().filter(is_closing).count()
    }
}
