//! A budget for clients' retries, so that a retry storm cannot feed itself: a fraction of the first attempts, for each client
//! and for the whole server.

use routing::time::{TimeDelta, Timestamp};
use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// Clients whose budget is remembered at most, some 100 bytes each. A client that comes as so many others can have one
/// forgotten that has used its budget up; that one then starts with a single retry.
pub const MAX_REMEMBERED: usize = 1 << 16;

/// One retry, in the unit in which budgets are counted.
const RETRY: i64 = 1_000;
/// A client's first retry is always within its budget, and so is one in each of these: a client that sends few requests
/// could otherwise never retry.
const FREE_RETRY_INTERVAL: TimeDelta = TimeDelta::from_millis(10_000);
/// Retries that a client can save up: those of a page that failed as a whole.
const MAX_SAVED_RETRIES: i64 = 10;
/// Requests that the server can work on at once, at most.
const MAX_CONCURRENCY: usize = 1 << 20;
/// Budgets that are checked for expiry at a time: more than are added.
const EXPIRED_PER_REQUEST: usize = 2;

#[derive(Clone, Copy, Debug)]
struct Budget {
    left: i64,
    /// When that was counted.
    as_of: Timestamp,
}

impl Budget {
    /// What is left by now, if one retry is added per interval, up to so many.
    fn left(&self, now: Timestamp, interval: TimeDelta, max_retries: i64) -> i64 {
        let elapsed = (now - self.as_of).0.max(0);
        let added = elapsed / (interval.0 / RETRY).max(1);
        self.left.saturating_add(added).min(max_retries * RETRY).max(self.left)
    }
}

/// The budgets of a server and of each of its clients.
pub struct RetryBudgets<C> {
    percent: i64,
    /// Requests that the server can work on at once: so many retries may come at once after a quiet time, and as many per
    /// [`FREE_RETRY_INTERVAL`] beside the fraction of the first attempts.
    concurrency: i64,
    server: Budget,
    clients: HashMap<C, Budget>,
    by_age: BTreeSet<(Timestamp, C)>,
}

impl<C: Clone + Ord + Hash> RetryBudgets<C> {
    /// So many retries per hundred first attempts, for a server that works on so many requests at once.
    pub fn new(percent: u32, concurrency: usize) -> RetryBudgets<C> {
        let concurrency = concurrency.clamp(1, MAX_CONCURRENCY) as i64;
        RetryBudgets {
            percent: i64::from(percent.min(100)),
            concurrency,
            server: Budget { left: concurrency * RETRY, as_of: Timestamp::DISTANT_PAST },
            clients: HashMap::new(),
            by_age: BTreeSet::new(),
        }
    }

    fn server_left(&self, now: Timestamp) -> i64 {
        let interval = TimeDelta(FREE_RETRY_INTERVAL.0 / self.concurrency);
        self.server.left(now, interval, self.concurrency)
    }

    fn client_left(&self, now: Timestamp, client: &C) -> i64 {
        self.clients.get(client).map_or(RETRY, |budget| budget.left(now, FREE_RETRY_INTERVAL, 1))
    }

    /// Whether another retry of a client is within both budgets.
    pub fn allows_retry(&self, now: Timestamp, client: &C) -> bool {
        self.server_left(now) >= RETRY && self.client_left(now, client) >= RETRY
    }

    /// A request was admitted: a first attempt adds its fraction to both budgets, a retry uses one up.
    pub fn admitted(&mut self, now: Timestamp, client: &C, is_retry: bool) {
        let change = if is_retry { -RETRY } else { self.percent * RETRY / 100 };
        let add = |left: i64, max_retries: i64| left + change.min((max_retries * RETRY - left).max(0));
        self.server = Budget { left: add(self.server_left(now), self.concurrency), as_of: now };
        let left = add(self.client_left(now, client), MAX_SAVED_RETRIES);
        if let Some(before) = self.clients.insert(client.clone(), Budget { left, as_of: now }) {
            self.by_age.remove(&(before.as_of, client.clone()));
        }
        self.by_age.insert((now, client.clone()));
        self.expire(now);
    }

    /// Forgets budgets that say no more than an unknown client's, and beyond the limit the oldest.
    fn expire(&mut self, now: Timestamp) {
        for _ in 0..EXPIRED_PER_REQUEST {
            let Some((as_of, client)) = self.by_age.first().cloned() else { return };
            if now - as_of < FREE_RETRY_INTERVAL && self.clients.len() <= MAX_REMEMBERED {
                return;
            }
            self.by_age.pop_first();
            self.clients.remove(&client);
        }
    }

    /// Clients whose budget is remembered.
    pub fn remembered(&self) -> usize {
        self.clients.len()
    }
}
