//! The writer of the cached endpoint list. Callers record changes in memory without waiting for the disk. A separate
//! thread saves the list to disk at the times that [`SaveSchedule`] determines.

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

/// How long the thread waits if there is nothing to save. A change ends the wait early.
const IDLE_WAIT: Duration = Duration::from_secs(3600);

/// One endpoint of the list.
struct Entry {
    endpoint: Arc<CachedEndpoint>,
    /// The latest report that was worth saving; `None` if there was none since the start.
    report: Option<RoleReport>,
}

/// The list in memory, and when it is saved.
struct State {
    version: i64,
    /// When discovery last confirmed the list, in Unix milliseconds.
    confirmed_ms: i64,
    /// The entries of the list by endpoint name.
    entries: BTreeMap<String, Entry>,
    schedule: SaveSchedule,
    stopping: bool,
}

/// Records changes of the endpoint list, and saves the list on its own thread.
pub struct EndpointCacheWriter {
    clock: Clock,
    state: Mutex<State>,
    /// Wakes the thread after a change of the state.
    changed: Condvar,
    /// Notified when the thread has ended.
    stopped: Condvar,
}

impl EndpointCacheWriter {
    /// Starts the thread with the list that is already cached, so that this list is kept as long as discovery sends no
    /// other.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(
        clock: Clock,
        directory: CacheDirectory,
        cached: Option<&CachedEndpointList>,
        min_interval: Duration,
    ) -> std::io::Result<Arc<EndpointCacheWriter>> {
        let entry = |endpoint: &CachedEndpoint| {
            (endpoint.name.clone(), Entry { endpoint: Arc::new(endpoint.clone()), report: None })
        };
        let state = State {
            version: cached.map_or(0, |list| list.version),
            confirmed_ms: cached.map_or(0, |list| list.confirmed_ms),
            entries: cached.into_iter().flat_map(|list| list.endpoints.iter().map(entry)).collect(),
            schedule: SaveSchedule::new(to_time_delta(min_interval)),
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
        self.lock().schedule.set_min_interval(to_time_delta(min_interval));
    }

    /// Records a list from discovery. If the list is not `complete`, `endpoints` contains only the endpoints that
    /// have changed. A complete list without endpoints is ignored, because the next start could not use it.
    pub fn record_list(&self, version: i64, complete: bool, endpoints: &[ListedEndpoint]) {
        if complete && endpoints.is_empty() {
            return;
        }
        let mut state = self.lock();
        state.version = version;
        state.confirmed_ms = unix_time_ms();
        let mut replaced = if complete { std::mem::take(&mut state.entries) } else { BTreeMap::new() };
        for listed in endpoints {
            let previous = replaced.remove(&listed.name).or_else(|| state.entries.remove(&listed.name));
            if listed.health != ListedHealth::Deleted {
                state.entries.insert(listed.name.clone(), Entry::new(listed, previous));
            }
        }
        state.schedule.record_change(self.clock.now());
        drop(state);
        self.changed.notify_one();
    }

    /// Records that discovery has confirmed the current list.
    pub fn record_confirmation(&self) {
        let mut state = self.lock();
        if !state.entries.is_empty() {
            state.confirmed_ms = unix_time_ms();
            state.schedule.record_confirmation();
            drop(state);
            self.changed.notify_one();
        }
    }

    /// Records a listed endpoint's report, if it is worth saving.
    pub fn record_report(&self, endpoint: &str, report: RoleReport) {
        let mut state = self.lock();
        let Some(entry) = state.entries.get_mut(endpoint) else { return };
        if !is_worth_saving(entry.report, report) {
            return;
        }
        entry.set_report(report);
        state.schedule.record_change(self.clock.now());
        drop(state);
        self.changed.notify_one();
    }

    /// Saves the list whenever a save is due, until the writer is stopped.
    fn run(&self, mut directory: CacheDirectory) {
        let mut is_failing = false;
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
            let snapshot = state.snapshot();
            drop(state);
            let mut list = snapshot.into_list();
            let saved = directory.save(&mut list);
            log_state_change(&saved, &mut is_failing);
            state = self.lock();
            state.schedule.save_ended(self.clock.now(), saved.is_ok());
            if state.stopping {
                return self.stopped.notify_all();
            }
        }
    }

    /// Stops the thread after it has saved pending changes. Waits for the save for at most `timeout`.
    pub fn stop(&self, timeout: Duration) {
        let mut state = self.lock();
        state.stopping = true;
        self.changed.notify_all();
        if state.schedule.next_save_due().is_some() {
            drop(self.stopped.wait_timeout(state, timeout));
        }
    }
}

impl Entry {
    /// Creates the entry of a listed endpoint. The saved report of the previous entry is kept if the address is the
    /// same.
    fn new(listed: &ListedEndpoint, previous: Option<Entry>) -> Entry {
        let report = previous.as_ref().and_then(|entry| entry.report);
        let at_same_address = previous.filter(|entry| entry.endpoint.address == listed.address);
        let cached_report = at_same_address.and_then(|entry| entry.endpoint.report);
        let endpoint = CachedEndpoint { report: cached_report, ..CachedEndpoint::from(listed) };
        Entry { endpoint: Arc::new(endpoint), report }
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

/// A snapshot of the list for one save. It shares the endpoints with the list in memory instead of copying them, so
/// the lock is held only briefly.
struct ListSnapshot {
    version: i64,
    confirmed_ms: i64,
    endpoints: Vec<Arc<CachedEndpoint>>,
}

impl State {
    fn snapshot(&self) -> ListSnapshot {
        ListSnapshot {
            version: self.version,
            confirmed_ms: self.confirmed_ms,
            endpoints: self.entries.values().map(|entry| entry.endpoint.clone()).collect(),
        }
    }
}

impl ListSnapshot {
    /// Converts the snapshot to the format in which it is saved. The save sets the generation.
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

fn to_time_delta(duration: Duration) -> TimeDelta {
    TimeDelta(duration.as_nanos() as i64)
}

/// Logs one line when saving begins to fail, and one when it succeeds again.
fn log_state_change(saved: &Result<usize, CacheError>, is_failing: &mut bool) {
    match saved {
        Err(error) if !*is_failing => {
            log!(WARN, reason = error; "endpoint list not cached; routing continues");
        }
        Ok(bytes) if *is_failing => log!(INFO, bytes = bytes; "endpoint list cached again"),
        _ => {}
    }
    *is_failing = saved.is_err();
}
