//! Idle clients, and which of them is asked to close if descriptors run short.

use routing::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A client's connection that can be asked to close.
pub trait RequestClose: Send + Sync {
    /// Asks it, once.
    fn request_close(&self);
}

/// Which idle client is closed first if descriptors run short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum IdleRank {
    /// It is being closed already, and only has time to read what it was sent.
    Closing,
    /// It has not sent any request yet.
    NeverQueried,
    /// Everything that it asked for was answered.
    Idle,
}

impl IdleRank {
    /// How long it is left alone: a client that has just connected is about to ask, one that was just answered may ask again.
    fn grace(self) -> TimeDelta {
        match self {
            IdleRank::Closing => TimeDelta::ZERO,
            IdleRank::NeverQueried => TimeDelta::from_millis(100),
            IdleRank::Idle => TimeDelta::from_millis(2_000),
        }
    }
}

/// The registration of an idle client, by which it is removed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdleRegistration {
    rank: IdleRank,
    serial: u64,
}

struct IdleClient {
    since: Timestamp,
    connection: Arc<dyn RequestClose>,
    /// Its class, if clients have classes.
    class: Option<Arc<str>>,
}

/// The idle clients.
#[derive(Default)]
pub struct IdleClients {
    /// Those that are closed first in front.
    clients: BTreeMap<IdleRegistration, IdleClient>,
    /// Those that were asked to close and have neither closed yet nor become busy.
    asked: BTreeSet<u64>,
    serial: u64,
}

impl IdleClients {
    /// Registers a client that has nothing to do.
    pub fn register(
        &mut self,
        rank: IdleRank,
        since: Timestamp,
        connection: Arc<dyn RequestClose>,
        class: Option<Arc<str>>,
    ) -> IdleRegistration {
        self.serial += 1;
        let registration = IdleRegistration { rank, serial: self.serial };
        self.clients.insert(registration, IdleClient { since, connection, class });
        registration
    }

    /// The client has something to do, or is gone.
    pub fn unregister(&mut self, registration: IdleRegistration) {
        self.clients.remove(&registration);
        self.asked.remove(&registration.serial);
    }

    /// Asks one client that is being closed to close at once.
    pub fn hurry_closing(&mut self, now: Timestamp) {
        self.ask_first(now, |rank, _| rank == IdleRank::Closing);
    }

    /// Asks the client to close that loses least by it.
    pub fn reclaim(&mut self, now: Timestamp) {
        self.ask_first(now, |rank, _| rank != IdleRank::Closing);
    }

    /// Asks the client of a class to close that loses least by it.
    pub fn reclaim_of_class(&mut self, now: Timestamp, class: &str) {
        let is_of_class = |client: &IdleClient| client.class.as_deref() == Some(class);
        self.ask_first(now, |rank, client| rank != IdleRank::Closing && is_of_class(client));
    }

    /// Asks the first client to close that may be and was not asked yet.
    fn ask_first(&mut self, now: Timestamp, may_close: impl Fn(IdleRank, &IdleClient) -> bool) {
        let candidate = self.clients.iter().find(|(registration, client)| {
            may_close(registration.rank, client)
                && now - client.since >= registration.rank.grace()
                && !self.asked.contains(&registration.serial)
        });
        if let Some((registration, client)) = candidate {
            self.asked.insert(registration.serial);
            client.connection.request_close();
        }
    }

    /// How many descriptors will be free shortly, since their clients are closing or were asked to.
    pub fn closing(&self) -> usize {
        let is_closing = |registration: &&IdleRegistration| {
            registration.rank == IdleRank::Closing || self.asked.contains(&registration.serial)
        };
        self.clients.keys().filter(is_closing).count()
    }
}
