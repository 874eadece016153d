//! The writer of the cached endpoint list. Changes are recorded in memory without blocking; a separate thread saves
//! them to disk at the times that [`SaveSchedule`] sets.

use crate::log;
use crate::messages::endpoint_list::{ListedEndpoint, ListedHealth};
use crate::runtime::clock::{to_duration, unix_time_ms, Clock, NANOS_PER_MILLI};
use endpoint_cache::{CacheDirectory, CacheError, CachedEndpoint, CachedEndpointList, CachedReport};
use recovery::endpoint_state::RoleReport;
use recovery::save_schedule::{is_worth_saving, SaveSchedule};
use routing::time::TimeDelta;
use routing::Role;
use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// The thread's wait if nothing is to be saved; a change wakes it earlier.
const IDLE_WAIT: Duration = Duration::from_secs(3600);

/// One endpoint of the list.
struct Row {
    endpoint: Arc<CachedEndpoint>,
    /// The latest report that was worth saving.
    report: Option<RoleReport>,
}

/// The list in memory.
struct State {
    version: i64,
    /// When discovery last confirmed the list, in Unix milliseconds.
    confirmed_ms: i64,
    /// The endpoints by name.
    rows: BTreeMap<String, Row>,
    schedule: SaveSchedule,
    stopping: bool,
}

/// Records changes of the endpoint list, and saves it on a thread of its own.
pub struct EndpointCacheWriter {
    clock: Clock,
    state: Mutex<State>,
    changed: Condvar,
    stopped: Condvar,
}

impl EndpointCacheWriter {
    /// Starts the thread, with the list that is cached already, so that it is kept if discovery is not available.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(
        clock: Clock,
        directory: CacheDirectory,
        cached: Option<&CachedEndpointList>,
        min_interval: Duration,
    ) -> std::io::Result<Arc<EndpointCacheWriter>> {
        let row = |endpoint: &CachedEndpoint| {
            (endpoint.name.clone(), Row { endpoint: Arc::new(endpoint.clone()), report: None })
        };
        let state = State {
            version: cached.map_or(0, |list| list.version),
            confirmed_ms: cached.map_or(0, |list| list.confirmed_ms),
            rows: cached.into_iter().flat_map(|list| list.endpoints.iter().map(row)).collect(),
            schedule: SaveSchedule::new(to_delta(min_interval)),
            stopping: false,
        };
        let writer = Arc::new(EndpointCacheWriter {
            clock,
            state: Mutex::new(state),
            changed: Condvar::new(),
            stopped: Condvar::new(),
        });
        let this = writer.clone();
        thread::Builder::new().name("endpoint-cache".into()).spawn(move || this.run(directory))?;
        Ok(writer)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Sets the minimum interval between two saves.
    pub fn set_min_interval(&self, min_interval: Duration) {
        self.lock().schedule.set_min_interval(to_delta(min_interval));
    }

    /// Records a list from discovery, or changes to it. A complete list without endpoints is ignored: the next
    /// start would have nothing to use.
    pub fn update(&self, version: i64, complete: bool, endpoints: &[ListedEndpoint]) {
        if complete && endpoints.is_empty() {
            return;
        }
        let mut state = self.lock();
        state.version = version;
        state.confirmed_ms = unix_time_ms();
        let mut replaced = if complete { std::mem::take(&mut state.rows) } else { BTreeMap::new() };
        for listed in endpoints {
            let known = replaced.remove(&listed.name).or_else(|| state.rows.remove(&listed.name));
            if listed.health != ListedHealth::Deleted {
                state.rows.insert(listed.name.clone(), Row::new(listed, known));
            }
        }
        state.schedule.record_change(self.clock.now());
        drop(state);
        self.changed.notify_one();
    }

    /// Records that discovery has confirmed the present list.
    pub fn confirmed(&self) {
        let mut state = self.lock();
        if !state.rows.is_empty() {
            state.confirmed_ms = unix_time_ms();
            state.schedule.record_confirmation();
            drop(state);
            self.changed.notify_one();
        }
    }

    /// Records an endpoint's report, if it is worth saving.
    pub fn reported(&self, endpoint: &str, report: RoleReport) {
        let mut state = self.lock();
        let Some(row) = state.rows.get_mut(endpoint) else { return };
        if !is_worth_saving(row.report, report) {
            return;
        }
        row.set_report(report);
        state.schedule.record_change(self.clock.now());
        drop(state);
        self.changed.notify_one();
    }

    /// Saves the list whenever a save is due, until the writer is stopped.
    fn run(&self, mut directory: CacheDirectory) {
        let mut failing = false;
        let mut state = self.lock();
        loop {
            let now = self.clock.now();
            let due = state.schedule.next_save_due();
            let save_now = due.is_some_and(|due| due <= now || state.stopping);
            if !save_now && state.stopping {
                return self.stopped.notify_all();
            }
            if !save_now {
                let wait = due.map_or(IDLE_WAIT, |due| to_duration(due - now));
                let waited = self.changed.wait_timeout(state, wait);
                state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
                continue;
            }
            state.schedule.save_started(now);
            let pending = state.pending_save();
            drop(state);
            let mut list = pending.into_list();
            let saved = directory.save(&mut list);
            log_transition(&saved, &mut failing);
            state = self.lock();
            state.schedule.save_ended(self.clock.now(), saved.is_ok());
            if state.stopping {
                return self.stopped.notify_all();
            }
        }
    }

    /// Stops the thread after a last save of pending changes, and waits for that for `timeout` at most.
    pub fn stop(&self, timeout: Duration) {
        let mut state = self.lock();
        state.stopping = true;
        self.changed.notify_all();
        if state.schedule.next_save_due().is_some() {
            drop(self.stopped.wait_timeout(state, timeout));
        }
    }
}

impl Row {
    /// Creates the row of a listed endpoint. The saved report of a known row is kept if the address is the same.
    fn new(listed: &ListedEndpoint, known: Option<Row>) -> Row {
        let report = known.as_ref().and_then(|row| row.report);
        let at_same_address = known.filter(|row| row.endpoint.address == listed.address);
        let cached_report = at_same_address.and_then(|row| row.endpoint.report);
        let endpoint = CachedEndpoint { report: cached_report, ..CachedEndpoint::from(listed) };
        Row { endpoint: Arc::new(endpoint), report }
    }

    /// Replaces the report that is saved with the endpoint.
    fn set_report(&mut self, report: RoleReport) {
        let cached = CachedReport {
            primary: report.role == Some(Role::Primary),
            position_ms: report.position.map(|position| position.0 / NANOS_PER_MILLI),
            timeline: report.timeline,
            received_ms: unix_time_ms(),
        };
        let endpoint = CachedEndpoint { report: Some(cached), ..CachedEndpoint::clone(&self.endpoint) };
        self.endpoint = Arc::new(endpoint);
        self.report = Some(report);
    }
}

/// A snapshot of the list for one save. It shares the endpoints, so the lock is held only briefly.
struct PendingSave {
    version: i64,
    confirmed_ms: i64,
    endpoints: Vec<Arc<CachedEndpoint>>,
}

impl State {
    /// Takes a snapshot of the list.
    fn pending_save(&self) -> PendingSave {
        PendingSave {
            version: self.version,
            confirmed_ms: self.confirmed_ms,
            endpoints: self.rows.values().map(|row| row.endpoint.clone()).collect(),
        }
    }
}

impl PendingSave {
    /// Copies the snapshot to the form in which it is saved.
    fn into_list(self) -> CachedEndpointList {
        CachedEndpointList {
            generation: 0,
            version: self.version,
            confirmed_ms: self.confirmed_ms,
            saved_ms: unix_time_ms(),
            endpoints: self.endpoints.iter().map(|endpoint| CachedEndpoint::clone(endpoint)).collect(),
        }
    }
}

fn to_delta(duration: Duration) -> TimeDelta {
    TimeDelta(duration.as_nanos() as i64)
}

/// Logs one line when saving begins to fail, and one when it succeeds again.
fn log_transition(saved: &Result<usize, CacheError>, failing: &mut bool) {
    match saved {
        Err(error) if !*failing => log!(WARN, reason = error; "endpoint list not cached, service goes on"),
        Ok(bytes) if *failing => log!(INFO, bytes = bytes; "endpoint list cached again"),
        _ => {}
    }
    *failing = saved.is_err();
}
