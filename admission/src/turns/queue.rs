//! The queue of connections that wait for a turn.
//!
//! Between two polls for I/O events, turns may use only a limited time of the worker in total. So everything else that
//! is ready, such as the control loop, endpoints, discovery and the listener, runs at least that often. Light clients
//! are served before heavy ones, and each kind in the order of arrival. Every second poll is followed by the turn of a
//! heavy client first, so that many light ones do not block it.

use routing::time::TimeDelta;
use std::collections::BTreeMap;

/// The time that turns may use between two polls. The turn that reaches it is not interrupted.
const MAX_TIME_BETWEEN_POLLS: TimeDelta = TimeDelta::from_millis(1);
/// Once turns have used this time, a poll must be requested.
const POLL_REQUEST_TIME: TimeDelta = TimeDelta::from_micros(500);

/// How much of the worker a client uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientLoad {
    /// Little: its turns come first.
    Light,
    /// More than its allowance.
    Heavy,
}

/// The identity of a turn that a connection waits for or was granted.
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

/// The queue. `W` is what is needed to tell a connection that its turn was granted.
#[derive(Debug)]
pub struct TurnQueue<W> {
    light: BTreeMap<TurnId, W>,
    heavy: BTreeMap<TurnId, W>,
    last_id: u64,
    /// The time that turns have used since the last poll.
    used: TimeDelta,
    /// The turn that was granted and has not ended.
    granted: Option<TurnId>,
    /// Whether the last poll was followed by the turn of a heavy client first.
    heavy_first: bool,
}

impl<W> Default for TurnQueue<W> {
    fn default() -> TurnQueue<W> {
        TurnQueue {
            light: BTreeMap::new(),
            heavy: BTreeMap::new(),
            last_id: 0,
            used: TimeDelta::ZERO,
            granted: None,
            heavy_first: false,
        }
    }
}

impl<W> TurnQueue<W> {
    /// Requests a turn. If it has to wait, `waiter` is returned when it is granted.
    pub fn request(&mut self, load: ClientLoad, waiter: W) -> TurnRequest {
        let is_first = self.light.is_empty() && (load == ClientLoad::Light || self.heavy.is_empty());
        if is_first && self.used < MAX_TIME_BETWEEN_POLLS {
            return TurnRequest::Begins;
        }
        self.last_id += 1;
        let id = TurnId(self.last_id);
        match load {
            ClientLoad::Light => self.light.insert(id, waiter),
            ClientLoad::Heavy => self.heavy.insert(id, waiter),
        };
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
        if self.light.remove(&id).or_else(|| self.heavy.remove(&id)).is_some() {
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
        self.heavy_first = !self.heavy_first;
        if self.heavy_first {
            if let Some((id, waiter)) = self.heavy.pop_first() {
                self.granted = Some(id);
                return Some(waiter);
            }
        }
        self.grant_next()
    }

    fn grant_next(&mut self) -> Option<W> {
        if self.granted.is_some() || self.used >= MAX_TIME_BETWEEN_POLLS {
            return None;
        }
        let (id, waiter) = self.light.pop_first().or_else(|| self.heavy.pop_first())?;
        self.granted = Some(id);
        Some(waiter)
    }

    /// Whether [`TurnQueue::on_poll`] must be called after the next poll.
    pub fn needs_poll(&self) -> bool {
        let is_waiting = !self.light.is_empty() || !self.heavy.is_empty();
        self.used >= POLL_REQUEST_TIME || (is_waiting && self.granted.is_none())
    }

    /// The turn that was granted and has not ended.
    pub fn granted(&self) -> Option<TurnId> {
        self.granted
    }

    /// The number of connections that wait for a turn.
    pub fn waiting(&self) -> usize {
        self.light.len() + self.heavy.len()
    }
}
