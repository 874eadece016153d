//! Retry budgets: limit retries by clients to a fraction of their first attempts, for each client and for the whole
//! server, so that a retry storm cannot sustain itself.

use routing::time::{TimeDelta, Timestamp};
use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// Maximum number of remembered client budgets, at about 100 bytes each. A client that uses more addresses than this
/// can have an exhausted budget evicted, and then has the initial budget of one retry again.
pub const MAX_REMEMBERED: usize = 1 << 16;

/// Cost of one retry in the fixed-point unit of budgets, a thousandth of a retry.
const RETRY_COST: i64 = 1_000;
/// A client may always retry once per interval of this length. Otherwise a client that sends few requests could never
/// retry.
const FREE_RETRY_INTERVAL: TimeDelta = TimeDelta::from_millis(10_000);
/// Maximum retries that a client can accumulate: enough to retry all requests of one failed page load.
const MAX_ACCUMULATED_RETRIES: i64 = 10;
/// Maximum concurrency limit, in requests, that budgets are calculated with.
const MAX_CONCURRENCY: usize = 1 << 20;
/// Maximum number of budgets that are evicted per admitted request. A request adds at most one, so eviction keeps up.
const MAX_EVICTIONS_PER_REQUEST: usize = 2;

#[derive(Clone, Copy, Debug)]
struct Budget {
    /// Remaining budget at the time `as_of`, in thousandths of a retry.
    remaining: i64,
    as_of: Timestamp,
}

impl Budget {
    /// The remaining budget at `now` if one retry is added per `interval`, up to a total of `max_retries`. A client may
    /// have accumulated more retries by first attempts; these are kept.
    fn remaining_at(&self, now: Timestamp, interval: TimeDelta, max_retries: i64) -> i64 {
        let elapsed = (now - self.as_of).0.max(0);
        let added = elapsed / (interval.0 / RETRY_COST).max(1);
        self.remaining.saturating_add(added).min(max_retries * RETRY_COST).max(self.remaining)
    }
}

/// The retry budgets of a server and of each of its clients, identified by `C`.
pub struct RetryBudgets<C> {
    /// Allowed retries as a percentage of first attempts.
    percent: i64,
    /// The server's concurrency limit in requests: the maximum of accumulated retries, and the number of retries per
    /// [`FREE_RETRY_INTERVAL`] that are allowed in addition to the percentage.
    concurrency: i64,
    server: Budget,
    clients: HashMap<C, Budget>,
    /// Clients with a budget, ordered by the time of their last admitted request.
    by_last_use: BTreeSet<(Timestamp, C)>,
}

impl<C: Clone + Ord + Hash> RetryBudgets<C> {
    /// Creates budgets of `percent` retries per hundred first attempts, for a server with a limit of `concurrency`
    /// requests in flight.
    pub fn new(percent: u32, concurrency: usize) -> RetryBudgets<C> {
        let concurrency = concurrency.clamp(1, MAX_CONCURRENCY) as i64;
        RetryBudgets {
            percent: i64::from(percent.min(100)),
            concurrency,
            server: Budget { remaining: concurrency * RETRY_COST, as_of: Timestamp::DISTANT_PAST },
            clients: HashMap::new(),
            by_last_use: BTreeSet::new(),
        }
    }

    fn server_remaining(&self, now: Timestamp) -> i64 {
        let interval = TimeDelta(FREE_RETRY_INTERVAL.0 / self.concurrency);
        self.server.remaining_at(now, interval, self.concurrency)
    }

    fn client_remaining(&self, now: Timestamp, client: &C) -> i64 {
        self.clients.get(client).map_or(RETRY_COST, |budget| budget.remaining_at(now, FREE_RETRY_INTERVAL, 1))
    }

    /// Whether a retry of a client is within the budgets of both the client and the server.
    pub fn allows_retry(&self, now: Timestamp, client: &C) -> bool {
        self.server_remaining(now) >= RETRY_COST && self.client_remaining(now, client) >= RETRY_COST
    }

    /// Records an admitted request: a first attempt adds the allowed percentage of a retry to the budgets of the client
    /// and the server, and a retry consumes one retry from both.
    pub fn record_admitted(&mut self, now: Timestamp, client: &C, is_retry: bool) {
        let change = if is_retry { -RETRY_COST } else { self.percent * RETRY_COST / 100 };
        let apply_change = |remaining: i64, max_retries: i64| {
            remaining + change.min((max_retries * RETRY_COST - remaining).max(0))
        };
        self.server =
            Budget { remaining: apply_change(self.server_remaining(now), self.concurrency), as_of: now };
        let remaining = apply_change(self.client_remaining(now, client), MAX_ACCUMULATED_RETRIES);
        if let Some(previous) = self.clients.insert(client.clone(), Budget { remaining, as_of: now }) {
            self.by_last_use.remove(&(previous.as_of, client.clone()));
        }
        self.by_last_use.insert((now, client.clone()));
        self.expire(now);
    }

    /// Evicts budgets that have not been used for [`FREE_RETRY_INTERVAL`], after which a client may retry anyway, and
    /// the least recently used budgets if more than [`MAX_REMEMBERED`] remain.
    fn expire(&mut self, now: Timestamp) {
        for _ in 0..MAX_EVICTIONS_PER_REQUEST {
            let Some((as_of, client)) = self.by_last_use.first().cloned() else { return };
            if now - as_of < FREE_RETRY_INTERVAL && self.clients.len() <= MAX_REMEMBERED {
                return;
            }
            self.by_last_use.pop_first();
            self.clients.remove(&client);
        }
    }

    /// Number of clients whose budget is remembered.
    pub fn client_count(&self) -> usize {
        self.clients.len()
    }
}
