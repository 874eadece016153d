//! The endpoint list that is used from the start until discovery provides one.

use crate::log;
use crate::messages::control::ControlMessage;
use crate::messages::endpoint_list::{cache_times, EndpointListUpdate};
use crate::runtime::clock::Clock;
use crate::storage::endpoint_cache_writer::EndpointCacheWriter;
use endpoint_cache::{CacheDirectory, CachedEndpoint, CachedEndpointList, LoadedCache};
use recovery::discovery_incarnation::IncarnationTracker;
use recovery::staleness::CacheTimes;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// The endpoint list at the start.
pub enum InitialList {
    /// No list is known.
    Unknown,
    /// The list of the bootstrap file, without an endpoint cache. It is used as if it came from discovery.
    Bootstrap(EndpointListUpdate),
    /// A list whose endpoints are verified before they are used.
    ToVerify {
        /// The list.
        list: CachedEndpointList,
        /// When the list was confirmed and saved; `None` if its age is unknown.
        times: Option<CacheTimes>,
    },
}

impl InitialList {
    /// When a cached list was confirmed and saved, if that is known.
    pub fn cache_times(&self) -> Option<CacheTimes> {
        match self {
            InitialList::ToVerify { times, .. } => *times,
            _ => None,
        }
    }

    /// The tracker that decides which lists from discovery are accepted after this one.
    pub fn incarnation(&self) -> IncarnationTracker {
        match self {
            InitialList::Unknown => IncarnationTracker::new(0, false),
            InitialList::Bootstrap(list) => IncarnationTracker::new(list.version, false),
            InitialList::ToVerify { list, .. } => IncarnationTracker::new(list.version, true),
        }
    }

    /// The message that passes the list to the control loop.
    pub fn into_message(self) -> Option<ControlMessage> {
        match self {
            InitialList::Unknown => None,
            InitialList::Bootstrap(list) => {
                Some(ControlMessage::EndpointList { complete: true, endpoints: list.endpoints })
            }
            InitialList::ToVerify { list, .. } => Some(ControlMessage::CachedList(list)),
        }
    }
}

/// The endpoint cache, as it was opened at the start.
pub struct EndpointCache {
    list: Option<CachedEndpointList>,
    /// Saves new lists; `None` if the directory cannot be written.
    pub writer: Option<Arc<EndpointCacheWriter>>,
}

impl EndpointCache {
    /// Opens the cache. Faults are logged and do not fail the start.
    pub fn open(path: &Path, clock: Clock, save_interval: Duration) -> EndpointCache {
        let (directory, loaded) = open_directory(path);
        for error in &loaded.errors {
            log!(WARN, reason = error; "cached endpoint list not used");
        }
        let list = loaded.list.map(|newest| newest.list);
        let writer = directory.and_then(|directory| {
            let writer = EndpointCacheWriter::start(clock, directory, list.as_ref(), save_interval);
            writer
                .map_err(|error| log!(WARN, reason = error; "endpoint list not cached, service goes on"))
                .ok()
        });
        EndpointCache { list, writer }
    }

    /// The list with the higher version, the cached one or the bootstrap file's. The age of the latter is unknown.
    pub fn initial_list(&mut self, bootstrap: Option<EndpointListUpdate>, clock: Clock) -> InitialList {
        let cached = self.list.take();
        let cached_version = cached.as_ref().map(|list| list.version);
        let is_later = |list: &EndpointListUpdate| cached_version.is_none_or(|cached| cached < list.version);
        let later = bootstrap.filter(|list| !list.endpoints.is_empty()).filter(is_later);
        if let Some(list) = later {
            return InitialList::ToVerify { list: without_times(&list), times: None };
        }
        let Some(list) = cached else { return InitialList::Unknown };
        let times = cache_times(&list);
        let age_s = format!("{:.0}", (clock.now() - times.confirmed).as_secs_f64());
        log!(INFO, version = list.version, age_s = age_s; "starting from the cached endpoint list");
        InitialList::ToVerify { list, times: Some(times) }
    }
}

/// Converts the bootstrap file's list to a cached list without times.
fn without_times(list: &EndpointListUpdate) -> CachedEndpointList {
    let endpoints = list.endpoints.iter().map(CachedEndpoint::from).collect();
    CachedEndpointList { version: list.version, endpoints, ..CachedEndpointList::default() }
}

/// Opens the cache directory. If another process has locked it, or it cannot be written, its list is only read.
fn open_directory(path: &Path) -> (Option<CacheDirectory>, LoadedCache) {
    match CacheDirectory::open(path) {
        Ok((directory, loaded)) => (Some(directory), loaded),
        Err(error) => {
            log!(WARN, reason = error; "endpoint list not cached, service goes on");
            (None, CacheDirectory::read(path))
        }
    }
}
