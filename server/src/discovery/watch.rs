//! The watch on discovery, which is reopened whenever it ends, at the address that is configured then.

use crate::discovery::stream::{StreamError, WatchEvent, WatchStream};
use crate::endpoints::connection::{IoError, IoLimits, PeerConnection};
use crate::log;
use crate::messages::control::ControlMessage;
use crate::messages::endpoint_list::EndpointListUpdate;
use crate::runtime::cancellation::CancellationToken;
use crate::runtime::clock::Timers;
use crate::runtime::resource_limits::{DescriptorClass, ResourceLimits};
use crate::storage::endpoint_cache_writer::EndpointCacheWriter;
use may::sync::mpsc::Sender;
use recovery::discovery_incarnation::{
    IncarnationTracker, ListDecision, ReceivedList, MAX_PAUSE_WITHOUT_LIST,
};
use recovery::watch_schedule::{WatchSchedule, JITTER_RANGE, OPEN_TIMEOUT};
use routing::rng::Mwc;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use thiserror::Error;

/// The address of discovery. It can be changed at any time, which interrupts the present watch.
pub struct DiscoveryAddress(Mutex<Target>);

/// One address of discovery.
#[derive(Clone)]
struct Target {
    addr: SocketAddr,
    /// Cancelled when the address is changed.
    changed: Arc<CancellationToken>,
}

impl DiscoveryAddress {
    /// Creates a target with an address.
    pub fn new(addr: SocketAddr) -> DiscoveryAddress {
        DiscoveryAddress(Mutex::new(Target { addr, changed: Arc::default() }))
    }

    fn lock(&self) -> MutexGuard<'_, Target> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Changes the address and interrupts the present watch; returns false if the address is the same.
    pub fn set(&self, addr: SocketAddr) -> bool {
        let mut target = self.lock();
        if target.addr == addr {
            return false;
        }
        let previous = std::mem::replace(&mut *target, Target { addr, changed: Arc::default() });
        drop(target);
        previous.changed.cancel();
        true
    }
}

/// Why one watch has ended. The messages are part of a log line.
#[derive(Debug, Error)]
enum WatchEnd {
    #[error("no descriptor for discovery is free")]
    NoDescriptor,
    #[error("no connection")]
    NoConnection,
    #[error("request not sent: {0}")]
    RequestNotSent(IoError),
    #[error("{0}")]
    Io(#[from] IoError),
    #[error("{0}")]
    Stream(#[from] StreamError),
    #[error("unreadable list")]
    UnreadableList,
    #[error("empty list ignored")]
    EmptyList,
    #[error("list older than the present one")]
    OlderList,
    #[error("response complete")]
    Complete,
}

/// The state of the watch that is kept from one connection to the next.
pub struct WatchProgress {
    /// Decides which lists are accepted.
    pub incarnation: IncarnationTracker,
    /// Decides when the watch is reopened.
    pub schedule: WatchSchedule,
    /// No complete list was received since the start, so one is fetched before changes are watched.
    pub needs_complete_list: bool,
}

/// The watch on discovery, with everything that it needs.
pub struct DiscoveryWatch {
    /// The address of discovery.
    pub target: Arc<DiscoveryAddress>,
    /// The timers of the process.
    pub timers: Arc<Timers>,
    /// The limits on descriptors.
    pub resources: Arc<ResourceLimits>,
    /// The channel to the control loop, for lists.
    pub control: Sender<ControlMessage>,
    /// The state that is kept from one connection to the next.
    pub progress: WatchProgress,
    /// The cached endpoint list, if one is kept.
    pub cache: Option<Arc<EndpointCacheWriter>>,
    /// The source of jitter.
    pub rng: Mwc,
}

impl DiscoveryWatch {
    /// Runs for the life of the process.
    pub fn run(mut self) {
        loop {
            let version_before = self.progress.incarnation.version();
            let target = self.target.lock().clone();
            let end = self.watch_once(&target);
            let target_changed = target.changed.is_cancelled();
            if version_before != self.progress.incarnation.version() || target_changed {
                self.progress.schedule.reset_backoff();
            }
            if !target_changed {
                log!(WARN, discovery = target.addr, reason = end; "discovery watch ended");
                let _ = self.control.send(ControlMessage::DiscoveryWatchEnded);
                self.pause(&target);
            }
        }
    }

    /// Waits before the watch is reopened, unless the address is changed.
    fn pause(&mut self, target: &Target) {
        let now = self.timers.now();
        let pause = match self.progress.incarnation.poll_again_at() {
            Some(at) if at > now => at - now,
            _ => {
                let jitter = self.rng.below(JITTER_RANGE);
                let max_pause = self.progress.needs_complete_list.then_some(MAX_PAUSE_WITHOUT_LIST);
                self.progress.schedule.watch_ended(jitter, max_pause)
            }
        };
        self.timers.sleep_unless_cancelled(pause, &target.changed);
    }

    /// Runs one watch, from the connect to its end.
    fn watch_once(&mut self, target: &Target) -> WatchEnd {
        match self.open(target).and_then(|connection| self.follow(connection, target)) {
            Ok(()) => WatchEnd::Complete,
            Err(end) => end,
        }
    }

    /// Connects to discovery and sends the request.
    ///
    /// # Errors
    /// No descriptor is free, the connect failed, or the request was not sent.
    fn open(&mut self, target: &Target) -> Result<PeerConnection, WatchEnd> {
        let descriptor = self.resources.acquire(DescriptorClass::Discovery).ok_or(WatchEnd::NoDescriptor)?;
        let deadline = self.timers.now() + OPEN_TIMEOUT;
        let connection = PeerConnection::connect(&self.timers, &target.addr, deadline, descriptor);
        let mut connection = connection.map_err(|_| WatchEnd::NoConnection)?;
        let deadline = self.progress.schedule.watch_requested(self.timers.now());
        let limits = IoLimits { deadline, cancellation: &target.changed };
        connection.arm(limits);
        let request = self.request(target.addr);
        connection.write(&[request.as_bytes()], limits).map_err(WatchEnd::RequestNotSent)?;
        Ok(connection)
    }

    /// The HTTP request. Without a complete list since the start, it asks for one: a list from before may be of another
    /// incarnation of discovery, so changes since its version would not apply.
    fn request(&self, addr: SocketAddr) -> String {
        let query = if self.progress.needs_complete_list {
            String::new()
        } else {
            format!("?watch=1&after={}", self.progress.incarnation.version())
        };
        format!("GET /discovery/hosts{query} HTTP/1.1\r\nHost: {addr}\r\nAccept: application/json\r\n\r\n")
    }

    /// Reads events until the response is complete.
    ///
    /// # Errors
    /// The connection or the response failed, or a list was not accepted.
    fn follow(&mut self, mut connection: PeerConnection, target: &Target) -> Result<(), WatchEnd> {
        let mut stream = WatchStream::default();
        let mut deadline = self.progress.schedule.response_due();
        loop {
            let limits = IoLimits { deadline, cancellation: &target.changed };
            connection.arm(limits);
            connection.read(limits)?;
            stream.feed(&connection.buffer)?;
            connection.buffer.clear();
            if stream.is_head_complete() {
                deadline = self.progress.schedule.next_event_due();
            }
            while let Some(event) = stream.next_event()? {
                deadline = self.progress.schedule.event_received(self.timers.now());
                self.handle_event(&event)?;
            }
            if stream.is_complete() {
                return Ok(());
            }
        }
    }

    /// Handles one event.
    ///
    /// # Errors
    /// A list is unreadable, empty or older than the present one.
    fn handle_event(&mut self, event: &WatchEvent) -> Result<(), WatchEnd> {
        match event {
            WatchEvent::Unchanged => {
                if let Some(cache) = self.cache.as_ref().filter(|_| !self.progress.needs_complete_list) {
                    cache.confirmed();
                }
                Ok(())
            }
            WatchEvent::List(text) => self.handle_list(text),
        }
    }

    /// Parses a list, and passes it to the cache and the control loop if it is accepted.
    ///
    /// # Errors
    /// The list is unreadable, empty or older than the present one.
    fn handle_list(&mut self, text: &[u8]) -> Result<(), WatchEnd> {
        let list: EndpointListUpdate = serde_json::from_slice(text).map_err(|error| {
            log!(WARN, reason = error; "unreadable endpoint list");
            WatchEnd::UnreadableList
        })?;
        let version_before = self.progress.incarnation.version();
        let received =
            ReceivedList { version: list.version, complete: list.complete, empty: list.endpoints.is_empty() };
        match self.progress.incarnation.decide(self.timers.now(), received) {
            ListDecision::Accept => {}
            ListDecision::Ignore if received.complete && received.empty => return Err(WatchEnd::EmptyList),
            ListDecision::Ignore => return Ok(()),
            ListDecision::AwaitConfirmation => return Err(WatchEnd::OlderList),
        }
        if self.progress.incarnation.version() < version_before {
            log!(
                INFO, version = list.version, previous = version_before;
                "endpoint list of a new discovery incarnation accepted"
            );
        }
        self.progress.needs_complete_list &= !list.complete;
        if let Some(cache) = &self.cache {
            cache.update(list.version, list.complete, &list.endpoints);
        }
        let message = ControlMessage::EndpointList { complete: list.complete, endpoints: list.endpoints };
        let _ = self.control.send(message);
        Ok(())
    }
}
