//! The watch on the endpoint list of discovery. Whenever the watch ends, it is reopened at the address that is
//! configured at that time.

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

/// The size of the buffer into which a response is read, in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// The configured address of discovery. It can be changed at any time, which ends the current watch.
pub struct DiscoveryAddress(Mutex<CurrentAddress>);

/// The address of discovery until it is changed.
#[derive(Clone)]
struct CurrentAddress {
    addr: SocketAddr,
    /// Cancelled when the address is changed.
    changed: Arc<CancellationToken>,
}

impl DiscoveryAddress {
    /// Creates the address with its first value.
    pub fn new(addr: SocketAddr) -> DiscoveryAddress {
        DiscoveryAddress(Mutex::new(CurrentAddress { addr, changed: Arc::default() }))
    }

    fn lock(&self) -> MutexGuard<'_, CurrentAddress> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Changes the address and ends the current watch. Returns false, without an effect, if the address is the same.
    pub fn set(&self, addr: SocketAddr) -> bool {
        let mut current = self.lock();
        if current.addr == addr {
            return false;
        }
        let previous = std::mem::replace(&mut *current, CurrentAddress { addr, changed: Arc::default() });
        drop(current);
        previous.changed.cancel();
        true
    }
}

/// Why a watch has ended. The texts are logged as the reason.
#[derive(Debug, Error)]
enum WatchEnd {
    #[error("all descriptors for discovery are in use")]
    NoDescriptor,
    #[error("cannot connect to discovery")]
    NoConnection,
    #[error("cannot send the request to discovery: {0}")]
    RequestNotSent(IoError),
    #[error("cannot read the response of discovery: {0}")]
    Io(#[from] IoError),
    #[error("{0}")]
    Stream(#[from] StreamError),
    #[error("endpoint list cannot be parsed")]
    UnreadableList,
    #[error("complete endpoint list has no endpoints and is ignored")]
    EmptyList,
    #[error("endpoint list is older than the current one")]
    OlderList,
    #[error("discovery ended the response")]
    Complete,
}

/// The state that is kept from one watch to the next.
pub struct WatchProgress {
    /// Decides which lists are accepted.
    pub incarnation: IncarnationTracker,
    /// Decides when the watch is reopened.
    pub schedule: WatchSchedule,
    /// Whether a complete list is requested before changes are watched: the list is cached, and discovery has sent
    /// no complete one since the start.
    pub needs_complete_list: bool,
}

/// Watches the endpoint list of discovery, and passes each accepted list to the control loop and the cache.
pub struct DiscoveryWatch {
    /// The address of discovery.
    pub address: Arc<DiscoveryAddress>,
    /// The clock and timers of the process.
    pub timers: Arc<Timers>,
    /// Provides the descriptor for the connection to discovery.
    pub resources: Arc<ResourceLimits>,
    /// The channel to the control loop, for endpoint lists.
    pub control: Sender<ControlMessage>,
    /// The state that is kept from one watch to the next.
    pub progress: WatchProgress,
    /// The writer of the cached endpoint list; `None` if the list is not cached.
    pub cache: Option<Arc<EndpointCacheWriter>>,
    /// The random numbers for the jitter of the pauses between watches.
    pub rng: Mwc,
}

impl DiscoveryWatch {
    /// Opens one watch after another, for the life of the process.
    pub fn run(mut self) {
        loop {
            let version_before = self.progress.incarnation.version();
            let address = self.address.lock().clone();
            let end = self.watch_once(&address);
            let address_changed = address.changed.is_cancelled();
            if version_before != self.progress.incarnation.version() || address_changed {
                self.progress.schedule.reset_backoff();
            }
            if !address_changed {
                log!(WARN, discovery = address.addr, reason = end; "discovery watch ended");
                let _ = self.control.send(ControlMessage::DiscoveryWatchEnded);
                self.pause(&address);
            }
        }
    }

    /// Waits until the watch may be reopened. The wait ends early if the address is changed.
    fn pause(&mut self, address: &CurrentAddress) {
        let now = self.timers.now();
        let pause = match self.progress.incarnation.poll_again_at() {
            Some(at) if at > now => at - now,
            _ => {
                let jitter = self.rng.below(JITTER_RANGE);
                let max_pause = self.progress.needs_complete_list.then_some(MAX_PAUSE_WITHOUT_LIST);
                self.progress.schedule.watch_ended(jitter, max_pause)
            }
        };
        self.timers.sleep_unless_cancelled(pause, &address.changed);
    }

    /// Opens one watch and reads its events until it ends.
    fn watch_once(&mut self, address: &CurrentAddress) -> WatchEnd {
        match self.open(address).and_then(|connection| self.read_events(connection, address)) {
            Ok(()) => WatchEnd::Complete,
            Err(end) => end,
        }
    }

    /// Connects to discovery and sends the request.
    ///
    /// # Errors
    /// No descriptor is free, connecting failed, or the request was not sent.
    fn open(&mut self, address: &CurrentAddress) -> Result<PeerConnection, WatchEnd> {
        let descriptor = self.resources.acquire(DescriptorClass::Discovery).ok_or(WatchEnd::NoDescriptor)?;
        let deadline = self.timers.now() + OPEN_TIMEOUT;
        let limits = IoLimits { deadline, cancellation: &address.changed };
        let connection = PeerConnection::connect(&self.timers, &address.addr, limits, descriptor);
        let mut connection = connection.map_err(|_| WatchEnd::NoConnection)?;
        let deadline = self.progress.schedule.watch_requested(self.timers.now());
        let limits = IoLimits { deadline, cancellation: &address.changed };
        connection.schedule_wake_ups(limits);
        let request = self.request(address.addr);
        connection.write(&[request.as_bytes()], limits).map_err(WatchEnd::RequestNotSent)?;
        Ok(connection)
    }

    /// The HTTP request. If a complete list is needed, the request asks for one: the cached list may be from
    /// another incarnation of discovery, and changes since the version of that list would not apply to it.
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
    /// The connection failed, the response is invalid, or a list was not accepted.
    fn read_events(
        &mut self,
        mut connection: PeerConnection,
        address: &CurrentAddress,
    ) -> Result<(), WatchEnd> {
        connection.expect_bytes(READ_BUFFER_BYTES);
        let mut stream = WatchStream::default();
        let mut deadline = self.progress.schedule.response_due();
        loop {
            let limits = IoLimits { deadline, cancellation: &address.changed };
            connection.schedule_wake_ups(limits);
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

    /// Handles one event of the watch.
    ///
    /// # Errors
    /// A list cannot be parsed, is complete but empty, or is older than the current one.
    fn handle_event(&mut self, event: &WatchEvent) -> Result<(), WatchEnd> {
        match event {
            WatchEvent::Unchanged => {
                if let Some(cache) = self.cache.as_ref().filter(|_| !self.progress.needs_complete_list) {
                    cache.record_confirmation();
                }
                Ok(())
            }
            WatchEvent::List(text) => self.handle_list(text),
        }
    }

    /// Parses a list, and passes it to the cache and the control loop if it is accepted.
    ///
    /// # Errors
    /// The list cannot be parsed, is complete but empty, or is older than the current one.
    fn handle_list(&mut self, text: &[u8]) -> Result<(), WatchEnd> {
        let list: EndpointListUpdate = serde_json::from_slice(text).map_err(|error| {
            log!(WARN, reason = error; "endpoint list cannot be parsed");
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
            cache.record_list(list.version, list.complete, &list.endpoints);
        }
        let message = ControlMessage::EndpointList { complete: list.complete, endpoints: list.endpoints };
        let _ = self.control.send(message);
        Ok(())
    }
}
