//! The endpoint list that a start begins with, until discovery gives one.

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

/// The list that a start begins with.
pub enum InitialList {
    /// There is none.
    Unknown,
    /// The bootstrap file's; used as if discovery had given it, since no list is cached over a restart.
    Bootstrap(EndpointListUpdate),
    /// One whose endpoints are verified before they are used.
    ToVerify {
        /// The list.
        list: CachedEndpointList,
        /// Its times; none if its age is not known.
        times: Option<CacheTimes>,
    },
}

impl InitialList {
    /// The times of a cached list, if they are known.
    pub fn cache_times(&self) -> Option<CacheTimes> {
        match self {
            InitialList::ToVerify { times, .. } => *times,
            _ => None,
        }
    }

    /// Which lists of discovery are accepted after it.
    pub fn incarnation(&self) -> IncarnationTracker {
        match self {
            InitialList::Unknown => IncarnationTracker::new(0, false),
            InitialList::Bootstrap(list) => IncarnationTracker::new(list.version, false),
            InitialList::ToVerify { list, .. } => IncarnationTracker::new(list.version, true),
        }
    }

    /// How the control loop is told of it.
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

/// The cache of the endpoint list, as a start finds it.
pub struct EndpointCache {
    list: Option<CachedEndpointList>,
    /// Saves lists from now on; none if the directory cannot be written.
    pub writer: Option<Arc<EndpointCacheWriter>>,
}

impl EndpointCache {
    /// Opens the cache. Whatever is wrong with it costs a line of the log, and the start goes on.
    pub fn open(path: &Path, clock: Clock, save_interval: Duration) -> EndpointCache {
        let (directory, loaded) = open_directory(path);
        for error in &loaded.errors {
            log!(WARN, reason = error; "cached endpoint list not used");
        }
        let list = loaded.list.map(|(list, _)| list);
        let writer = directory.and_then(|directory| {
            let writer = EndpointCacheWriter::start(clock, directory, list.as_ref(), save_interval);
            writer
                .map_err(|error| log!(WARN, reason = error; "endpoint list not cached, service goes on"))
                .ok()
        });
        EndpointCache { list, writer }
    }

    /// The later one of the cached list and the bootstrap file's, whose age is not known.
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

/// The bootstrap file's list in the form of a cached one.
fn without_times(list: &EndpointListUpdate) -> CachedEndpointList {
    let endpoints = list.endpoints.iter().map(CachedEndpoint::from).collect();
    CachedEndpointList { version: list.version, endpoints, ..CachedEndpointList::default() }
}

/// The directory is only read if another process has it, or it cannot be written.
fn open_directory(path: &Path) -> (Option<CacheDirectory>, LoadedCache) {
    match CacheDirectory::open(path) {
        Ok((directory, loaded)) => (Some(directory), loaded),
        Err(error) => {
            log!(WARN, reason = error; "endpoint list not cached, service goes on");
            (None, CacheDirectory::read(path))
        }
    }
}
