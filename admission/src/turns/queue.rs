//! The queue of connections that wait for a turn.
//!
//! Between two polls for I/O events, turns may use only a limited time of the worker in total. So everything else that
//! is ready, such as the control loop, endpoints, discovery and the listener, runs at least that often. Of the clients
//! that wait, the one that has used least of the worker lately is next. After every second poll it is the one that has
//! waited longest, so that many clients with little use do not block the others.

use routing::time::TimeDelta;
use std::collections::{BTreeMap, BTreeSet};

/// The time that turns may use between two polls. The turn that reaches it is not interrupted.
const MAX_TIME_BETWEEN_POLLS: TimeDelta = TimeDelta::from_millis(1);
/// Once turns have used this time, a poll must be requested.
const POLL_REQUEST_TIME: TimeDelta = TimeDelta::from_micros(500);

/// The identity of a turn that a connection waits for or was granted. Later requests have greater ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TurnId(u64);

/// The answer to a request for a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnRequest {
    /// The turn begins at once.
    Begins,
    /// The connection has to wait until its turn is granted.
    Waits(TurnId),
}

/// A connection that waits for a turn.
#[derive(Debug)]
struct Waiting<W> {
    recent_use: TimeDelta,
    waiter: W,
}

/// The queue. `W` is what is needed to tell a connection that its turn was granted.
#[derive(Debug)]
pub struct TurnQueue<W> {
    /// In the order of the requests.
    waiting: BTreeMap<TurnId, Waiting<W>>,
    /// In the order of recent use, and of the requests among equals.
    by_use: BTreeSet<(TimeDelta, TurnId)>,
    last_id: u64,
    /// The time that turns have used since the last poll.
    used: TimeDelta,
    /// The turn that was granted and has not ended.
    granted: Option<TurnId>,
    /// Whether the last poll was followed by the turn that had waited longest.
    oldest_first: bool,
}

impl<W> Default for TurnQueue<W> {
    fn default() -> TurnQueue<W> {
        TurnQueue {
            waiting: BTreeMap::new(),
            by_use: BTreeSet::new(),
            last_id: 0,
            used: TimeDelta::ZERO,
            granted: None,
            oldest_first: false,
        }
    }
}

impl<W> TurnQueue<W> {
    /// Requests a turn for a client that has used the time `recent_use`. If it has to wait, `waiter` is returned when it
    /// is granted.
    pub fn request(&mut self, recent_use: TimeDelta, waiter: W) -> TurnRequest {
        let least_use = self.by_use.first().map(|(used, _)| *used);
        let is_first = least_use.is_none_or(|least_use| recent_use < least_use);
        if is_first && self.used < MAX_TIME_BETWEEN_POLLS {
            return TurnRequest::Begins;
        }
        self.last_id += 1;
        let id = TurnId(self.last_id);
        self.waiting.insert(id, Waiting { recent_use, waiter });
        self.by_use.insert((recent_use, id));
        TurnRequest::Waits(id)
    }

    /// Ends a turn that has used the time `used`; `id` is that of a turn that was granted, and `None` for one that began
    /// at once. Returns the connection that is granted the next turn.
    pub fn end(&mut self, id: Option<TurnId>, used: TimeDelta) -> Option<W> {
        self.used += used;
        if id.is_some() && self.granted == id {
            self.granted = None;
        }
        self.grant_next()
    }

    /// Withdraws a turn that has not begun, waiting or granted. Returns the connection that is granted the next turn.
    pub fn cancel(&mut self, id: TurnId) -> Option<W> {
        if self.remove(id).is_some() {
            return None;
        }
        self.end(Some(id), TimeDelta::ZERO)
    }

    /// Begins a new period between two polls. Returns the connection that is granted the next turn.
    pub fn on_poll(&mut self) -> Option<W> {
        self.used = TimeDelta::ZERO;
        if self.granted.is_some() {
            return None;
        }
        self.oldest_first = !self.oldest_first;
        if self.oldest_first {
            let oldest = self.waiting.first_key_value().map(|(id, _)| *id)?;
            return self.grant(oldest);
        }
        self.grant_next()
    }

    fn grant_next(&mut self) -> Option<W> {
        if self.granted.is_some() || self.used >= MAX_TIME_BETWEEN_POLLS {
            return None;
        }
        let (_, least) = *self.by_use.first()?;
        self.grant(least)
    }

    fn grant(&mut self, id: TurnId) -> Option<W> {
        let waiter = self.remove(id)?;
        self.granted = Some(id);
        Some(waiter)
    }

    fn remove(&mut self, id: TurnId) -> Option<W> {
        let Waiting { recent_use, waiter } = self.waiting.remove(&id)?;
        self.by_use.remove(&(recent_use, id));
        Some(waiter)
    }

    /// Whether [`TurnQueue::on_poll`] must be called after the next poll.
    pub fn needs_poll(&self) -> bool {
        let is_waiting = !self.waiting.is_empty();
        self.used >= POLL_REQUEST_TIME || (is_waiting && self.granted.is_none())
    }

    /// The turn that was granted and has not ended.
    pub fn granted(&self) -> Option<TurnId> {
        self.granted
    }

    /// The number of connections that wait for a turn.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
