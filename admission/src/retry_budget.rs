//! Retry budgets: limit clients' retries to a fraction of first attempts, per client and for the whole server, so that
//! a retry storm cannot sustain itself.

use routing::time::{TimeDelta, Timestamp};
use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// Maximum number of remembered client budgets, about 100 bytes each. A client that appears under this many addresses
/// can have an exhausted budget evicted, which then starts over with a single retry.
pub const MAX_REMEMBERED: usize = 1 << 16;

/// Cost of one retry, in the fixed-point unit of budgets (thousandths of a retry).
const RETRY: i64 = 1_000;
/// A client may always retry once per interval of this length: otherwise a client that sends few requests could never
/// retry.
const FREE_RETRY_INTERVAL: TimeDelta = TimeDelta::from_millis(10_000);
/// Retries that a client can accumulate: enough to retry every request of a failed page.
const MAX_SAVED_RETRIES: i64 = 10;
/// Upper bound on the server's concurrency limit in this calculation, in requests.
const MAX_CONCURRENCY: usize = 1 << 20;
/// Budgets that are checked for expiry per admitted request: more than are added, so that expiry keeps up.
const EXPIRED_PER_REQUEST: usize = 2;

#[derive(Clone, Copy, Debug)]
struct Budget {
    /// Remaining budget in units of [`RETRY`] at the time `as_of`.
    left: i64,
    as_of: Timestamp,
}

impl Budget {
    /// The remaining budget at `now` if one retry is added per `interval`, up to a total of `max_retries`.
    fn left(&self, now: Timestamp, interval: TimeDelta, max_retries: i64) -> i64 {
        let elapsed = (now - self.as_of).0.max(0);
        let added = elapsed / (interval.0 / RETRY).max(1);
        self.left.saturating_add(added).min(max_retries * RETRY).max(self.left)
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
    by_age: BTreeSet<(Timestamp, C)>,
}

impl<C: Clone + Ord + Hash> RetryBudgets<C> {
    /// Creates budgets of `percent` retries per hundred first attempts, for a server with a limit of `concurrency`
    /// requests in flight.
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

    /// Whether a retry of a client is within the budgets of both the client and the server.
    pub fn allows_retry(&self, now: Timestamp, client: &C) -> bool {
        self.server_left(now) >= RETRY && self.client_left(now, client) >= RETRY
    }

    /// Records an admitted request: a first attempt adds its percentage to both budgets, a retry consumes from both.
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

    /// Evicts budgets that have recovered to the initial one and, beyond [`MAX_REMEMBERED`], the oldest.
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

    /// Number of remembered client budgets.
    pub fn remembered(&self) -> usize {
        self.clients.len()
    }
}
