//! The turns in which a client connection handles messages, and their scheduler.
//! [`TurnQueue`](admission::turns::queue::TurnQueue) decides which connection is next.

use crate::messages::response::ResponseChannel;
use crate::runtime::event_loop::after_next_poll;
use admission::turns::budget::TurnBudget;
use admission::turns::queue::{TurnId, TurnQueue, TurnRequest};
use admission::turns::recent_use::RecentUse;
use routing::time::{TimeDelta, Timestamp};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// The counter of turns that had to wait.
const WAITS_COUNTER: &str = "gingerwick_client_turn_waits_total";

/// A connection that waits for a turn.
struct Waiter {
    is_granted: Arc<AtomicBool>,
    channel: Arc<ResponseChannel>,
}

impl Waiter {
    fn grant(self) {
        self.is_granted.store(true, Ordering::Release);
        self.channel.wake();
    }
}

/// The queue, and whether its next poll was requested.
#[derive(Default)]
struct State {
    queue: TurnQueue<Waiter>,
    is_poll_requested: bool,
}

/// Grants turns to all client connections.
#[derive(Default)]
pub struct TurnScheduler {
    state: Mutex<State>,
}

impl TurnScheduler {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Changes the queue, wakes the connection that is granted the next turn, and requests a poll if one is needed.
    fn update<T>(self: &Arc<Self>, change: impl FnOnce(&mut TurnQueue<Waiter>) -> (T, Option<Waiter>)) -> T {
        let mut state = self.lock();
        let (result, granted) = change(&mut state.queue);
        let requests_poll = state.queue.needs_poll() && !state.is_poll_requested;
        state.is_poll_requested |= requests_poll;
        drop(state);
        if let Some(waiter) = granted {
            waiter.grant();
        }
        if requests_poll {
            let this = self.clone();
            after_next_poll(move || this.on_poll());
        }
        result
    }

    fn on_poll(self: &Arc<Self>) {
        self.lock().is_poll_requested = false;
        self.update(|queue| ((), queue.on_poll()));
    }
}

/// Whether a connection has a turn.
enum TurnState {
    /// It has none and waits for none.
    Idle,
    /// It waits for one.
    Waiting { id: TurnId, is_granted: Arc<AtomicBool> },
    /// It has one. `id` is `None` if the turn began without a wait.
    Active { id: Option<TurnId>, budget: TurnBudget },
}

/// The turns of one connection.
pub struct ClientTurns {
    scheduler: Arc<TurnScheduler>,
    channel: Arc<ResponseChannel>,
    recent_use: RecentUse,
    state: TurnState,
}

impl ClientTurns {
    /// Creates the turns of a new connection, which is woken by `channel` when it is granted one.
    pub fn new(scheduler: Arc<TurnScheduler>, channel: Arc<ResponseChannel>, now: Timestamp) -> ClientTurns {
        ClientTurns { scheduler, channel, recent_use: RecentUse::new(now), state: TurnState::Idle }
    }

    /// Begins or continues a turn, or queues for one. Returns whether the connection has a turn now. A turn that has
    /// reached its limits ends first.
    pub fn begin(&mut self, now: Timestamp) -> bool {
        if self.budget().is_some_and(|budget| budget.is_exhausted(now)) {
            self.end(now);
        }
        match &self.state {
            TurnState::Active { .. } => return true,
            TurnState::Waiting { is_granted, .. } if !is_granted.load(Ordering::Acquire) => return false,
            TurnState::Waiting { id, .. } => self.activate(Some(*id), now),
            TurnState::Idle => self.request(now),
        }
        self.is_active()
    }

    fn activate(&mut self, id: Option<TurnId>, now: Timestamp) {
        self.state = TurnState::Active { id, budget: TurnBudget::start(now) };
    }

    fn request(&mut self, now: Timestamp) {
        let recent_use = self.recent_use.at(now);
        let is_granted = Arc::new(AtomicBool::new(false));
        let waiter = Waiter { is_granted: is_granted.clone(), channel: self.channel.clone() };
        match self.scheduler.update(|queue| (queue.request(recent_use, waiter), None)) {
            TurnRequest::Begins => self.activate(None, now),
            TurnRequest::Waits(id) => {
                metrics::counter!(WAITS_COUNTER).increment(1);
                self.state = TurnState::Waiting { id, is_granted };
            }
        }
    }

    /// Ends the turn, if the connection has one.
    pub fn end(&mut self, now: Timestamp) {
        if let TurnState::Active { id, budget } = &self.state {
            let (id, used) = (*id, budget.used_time(now));
            self.recent_use.add(now, used);
            self.state = TurnState::Idle;
            self.scheduler.update(|queue| ((), queue.end(id, used)));
        }
    }

    /// Ends the turn, or gives up the one that the connection waits for, because it reads no more.
    pub fn stop(&mut self, now: Timestamp) {
        self.end(now);
        self.cancel();
    }

    /// Gives up the turn that the connection waits for.
    fn cancel(&mut self) {
        if let TurnState::Waiting { id, .. } = self.state {
            self.state = TurnState::Idle;
            self.scheduler.update(|queue| ((), queue.cancel(id)));
        }
    }

    /// Whether the connection has a turn.
    pub fn is_active(&self) -> bool {
        matches!(self.state, TurnState::Active { .. })
    }

    /// Whether the connection waits for a turn.
    pub fn is_waiting(&self) -> bool {
        matches!(self.state, TurnState::Waiting { .. })
    }

    /// Whether the turn has reached one of its limits; false without a turn.
    pub fn is_exhausted(&self, now: Timestamp) -> bool {
        self.budget().is_some_and(|budget| budget.is_exhausted(now))
    }

    fn budget(&self) -> Option<&TurnBudget> {
        match &self.state {
            TurnState::Active { budget, .. } => Some(budget),
            _ => None,
        }
    }

    /// What the turn has used; `None` without a turn.
    pub fn budget_mut(&mut self) -> Option<&mut TurnBudget> {
        match &mut self.state {
            TurnState::Active { budget, .. } => Some(budget),
            _ => None,
        }
    }
}

impl Drop for ClientTurns {
    /// A turn must not stay granted to a connection that no longer exists.
    fn drop(&mut self) {
        if let TurnState::Active { id, .. } = self.state {
            self.scheduler.update(|queue| ((), queue.end(id, TimeDelta::ZERO)));
        }
        self.cancel();
    }
}
