//! The endpoint list that is used until discovery sends one.

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

/// The endpoint list with which the server starts.
pub enum InitialList {
    /// Neither the cache nor the bootstrap file has a list.
    Unknown,
    /// The list of the bootstrap file, if there is no endpoint cache. It is used as if discovery had sent it.
    Bootstrap(EndpointListUpdate),
    /// A list, cached or from the bootstrap file, whose endpoints must be verified before they are used.
    ToVerify {
        /// The list to verify.
        list: CachedEndpointList,
        /// When discovery last confirmed the list, and when it was saved; `None` if its age is unknown.
        times: Option<CacheTimes>,
    },
}

impl InitialList {
    /// When discovery last confirmed the list, and when it was saved; `None` if the times are unknown or there is
    /// no list to verify.
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

/// The endpoint cache after it was opened at the start.
pub struct EndpointCache {
    list: Option<CachedEndpointList>,
    /// Saves new lists; `None` if the directory cannot be written, another process has locked the directory, or the
    /// writer's thread cannot be started.
    pub writer: Option<Arc<EndpointCacheWriter>>,
}

impl EndpointCache {
    /// Opens the cache. Errors are logged and do not fail the start, because the cache is optional.
    pub fn open(path: &Path, clock: Clock, save_interval: Duration) -> EndpointCache {
        let (directory, loaded) = open_directory(path);
        for error in &loaded.errors {
            log!(WARN, reason = error; "invalid file of the cached endpoint list ignored");
        }
        let list = loaded.list.map(|newest| newest.list);
        let writer = directory.and_then(|directory| {
            let writer = EndpointCacheWriter::start(clock, directory, list.as_ref(), save_interval);
            writer
                .map_err(|error| log!(WARN, reason = error; "endpoint list not cached, continuing without the cache"))
                .ok()
        });
        EndpointCache { list, writer }
    }

    /// Returns the cached list or the list of the bootstrap file, whichever has the higher version; if the versions
    /// are equal, the cached list. An empty list of the bootstrap file is ignored. The age of the bootstrap file's
    /// list is unknown.
    pub fn initial_list(&mut self, bootstrap: Option<EndpointListUpdate>, clock: Clock) -> InitialList {
        let cached = self.list.take();
        let cached_version = cached.as_ref().map(|list| list.version);
        let is_newer = |list: &EndpointListUpdate| cached_version.is_none_or(|cached| cached < list.version);
        let newer = bootstrap.filter(|list| !list.endpoints.is_empty()).filter(is_newer);
        if let Some(list) = newer {
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

/// Opens the cache directory for writing and loads its list. If another process has locked the directory, or it
/// cannot be written, only the list is returned.
fn open_directory(path: &Path) -> (Option<CacheDirectory>, LoadedCache) {
    match CacheDirectory::open(path) {
        Ok((directory, loaded)) => (Some(directory), loaded),
        Err(error) => {
            log!(WARN, reason = error; "endpoint list not cached, continuing without the cache");
            (None, CacheDirectory::read(path))
        }
    }
}
