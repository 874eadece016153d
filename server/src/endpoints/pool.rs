//! The pool of connections to endpoints. The connection that was used last is reused first. A new connection is opened
//! only if none is idle.
//!
//! An endpoint may send extra bytes after an answer, or close the connection right after it. So every connection
//! that is returned after an answer is verified: the pool sends an empty query, which the endpoint answers at once
//! and without effect. The connection is reused only if exactly the answer to the empty query has arrived. Extra
//! bytes after the previous answer would precede the answer to the empty query.

use crate::endpoints::connecting::ConnectFailure;
use crate::endpoints::connection::{IoError, IoLimits, PeerConnection};
use crate::endpoints::response_parser::ResponseParser;
use crate::log;
use crate::messages::control::ConnectError;
use crate::protocol::encode;
use crate::runtime::clock::Timers;
use crate::runtime::resource_limits::{Descriptor, ResourceLimits};
use routing::time::{TimeDelta, Timestamp};
use routing::AttemptOutcome;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

/// The pool closes an idle connection after the endpoints' idle timeout divided by this. So no request is sent on a
/// connection that the endpoint is about to close.
const IDLE_TIMEOUT_DIVISOR: i64 = 2;
/// The wait for a verification is at most the connect timeout divided by this.
const VERIFICATION_CONNECT_DIVISOR: i64 = 4;
/// The wait for a verification is at most the request's remaining time divided by this, so that most of the time is
/// left for a new connection.
const VERIFICATION_REQUEST_DIVISOR: i64 = 8;

/// An idle connection.
struct IdleConnection {
    connection: PeerConnection,
    idle_since: Timestamp,
    /// Parses the answer to the empty query; `None` if the connection is verified or needs no verification.
    verification: Option<ResponseParser>,
}

/// A connection on which one query can be sent.
pub struct AcquiredConnection {
    /// The connection. Its reads and writes wake up at the limits with which it was acquired.
    pub connection: PeerConnection,
    /// The connection was idle in the pool, so the endpoint may have closed it meanwhile.
    pub is_reused: bool,
}

/// Whether an idle connection can be reused.
enum Reusability {
    /// The connection can be reused.
    Reusable,
    /// The answer to the empty query has not arrived completely.
    Verifying,
    /// The connection was closed, has been idle for too long, or has received unexpected bytes.
    Unusable,
}

impl IdleConnection {
    /// Reads the bytes that have arrived, without waiting for more, and decides whether the connection can be reused.
    fn check_reusability(&mut self, now: Timestamp, pool: &ConnectionPool) -> Reusability {
        let idle_time = now - self.idle_since;
        if idle_time >= pool.idle_timeout || self.connection.read_available().is_err() {
            return Reusability::Unusable;
        }
        let Some(verification) = &mut self.verification else {
            let has_no_data = self.connection.buffer.is_empty();
            return if has_no_data { Reusability::Reusable } else { Reusability::Unusable };
        };
        match verification.parse(&self.connection.buffer) {
            None if idle_time < pool.connect_timeout => Reusability::Verifying,
            Some(AttemptOutcome::Succeeded)
                if verification.leaves_connection_reusable(&self.connection.buffer) =>
            {
                self.connection.take_buffer();
                self.verification = None;
                Reusability::Reusable
            }
            _ => Reusability::Unusable,
        }
    }
}

/// The idle connections of each address, in the order in which they became idle.
type IdleConnections = HashMap<SocketAddr, Vec<IdleConnection>>;

/// The pool of connections to endpoints.
pub struct ConnectionPool {
    /// The clock and timers that the connections use.
    pub timers: Arc<Timers>,
    resources: Arc<ResourceLimits>,
    /// The timeout for opening a connection and starting its session.
    connect_timeout: TimeDelta,
    /// The time after which the pool closes an idle connection.
    idle_timeout: TimeDelta,
    idle: Mutex<IdleConnections>,
}

impl ConnectionPool {
    /// Creates an empty pool. An endpoint closes an idle connection after `endpoint_idle_timeout`.
    pub fn new(
        timers: Arc<Timers>,
        resources: Arc<ResourceLimits>,
        connect_timeout: TimeDelta,
        endpoint_idle_timeout: TimeDelta,
    ) -> ConnectionPool {
        ConnectionPool {
            timers,
            resources,
            connect_timeout,
            idle_timeout: endpoint_idle_timeout / IDLE_TIMEOUT_DIVISOR,
            idle: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Takes a reusable idle connection out of the pool, or opens a new one.
    ///
    /// # Errors
    /// As for [`ConnectionPool::open`].
    pub fn acquire(&self, addr: &SocketAddr, limits: IoLimits) -> Result<AcquiredConnection, ConnectError> {
        let reused = self.reuse(addr, limits);
        let is_reused = reused.is_some();
        let mut connection = reused.map_or_else(|| self.open(addr, limits), Ok)?;
        connection.schedule_wake_ups(limits);
        Ok(AcquiredConnection { connection, is_reused })
    }

    /// Takes a reusable idle connection out of the pool; `None` if there is none.
    ///
    /// If all idle connections are being verified, waits for a verification. A verification takes the rest of one
    /// round trip, while a new connection takes several round trips and work at the endpoint.
    fn reuse(&self, addr: &SocketAddr, limits: IoLimits) -> Option<PeerConnection> {
        loop {
            let idle = self.take_idle(addr)?;
            if idle.verification.is_none() {
                return Some(idle.connection);
            }
            if let Some(connection) = self.await_verification(idle, limits) {
                return Some(connection);
            }
        }
    }

    /// Waits a short time for the verification of a connection. Returns `None` if the verification fails or takes
    /// longer.
    fn await_verification(&self, mut idle: IdleConnection, limits: IoLimits) -> Option<PeerConnection> {
        let now = self.timers.now();
        let max_wait = self.connect_timeout / VERIFICATION_CONNECT_DIVISOR;
        let wait = max_wait.min((limits.deadline - now) / VERIFICATION_REQUEST_DIVISOR);
        let limits = IoLimits { deadline: now + wait, ..limits };
        idle.connection.schedule_wake_ups(limits);
        while idle.connection.read(limits).is_ok() {
            match idle.check_reusability(self.timers.now(), self) {
                Reusability::Reusable => return Some(idle.connection),
                Reusability::Verifying => {}
                Reusability::Unusable => return None,
            }
        }
        None
    }

    /// Takes an idle connection out of the pool: the latest reusable one, or else one that is being verified. Closes
    /// the unusable connections that it finds.
    fn take_idle(&self, addr: &SocketAddr) -> Option<IdleConnection> {
        let now = self.timers.now();
        let mut idle = self.lock();
        let connections = idle.get_mut(addr)?;
        let mut unverified = None;
        for index in (0..connections.len()).rev() {
            match connections[index].check_reusability(now, self) {
                Reusability::Reusable => return Some(connections.remove(index)),
                Reusability::Verifying => unverified = Some(index),
                Reusability::Unusable => {
                    drop(connections.remove(index));
                    // The removal has moved the connections behind `index` one place forward.
                    unverified = unverified.map(|later| later - 1);
                }
            }
        }
        unverified.map(|index| connections.remove(index))
    }

    /// Opens a connection and starts its session.
    ///
    /// # Errors
    /// The connection was not opened. The outcome is `Unreachable` or `Rejected` if the endpoint is the cause, and
    /// `NotSent` otherwise.
    fn open(&self, addr: &SocketAddr, limits: IoLimits) -> Result<PeerConnection, ConnectError> {
        if limits.cancellation.is_cancelled() {
            return Err(AttemptOutcome::NotSent.into());
        }
        let connect_deadline = self.timers.now() + self.connect_timeout;
        let descriptor = self.acquire_descriptor(addr)?;
        // A timeout is attributed to the endpoint only if the whole connect timeout has passed, and not if the request
        // had less time left.
        let is_deadline_first = limits.deadline < connect_deadline;
        let timed_out = if is_deadline_first { AttemptOutcome::NotSent } else { AttemptOutcome::Unreachable };
        let limits = IoLimits { deadline: limits.deadline.min(connect_deadline), ..limits };
        let connection = PeerConnection::connect(&self.timers, addr, limits, descriptor);
        let mut connection = connection.map_err(|failure| match failure {
            ConnectFailure::TimedOut => ConnectError::from(timed_out),
            ConnectFailure::Cancelled | ConnectFailure::NoResources => AttemptOutcome::NotSent.into(),
            ConnectFailure::Refused => ConnectError { outcome: AttemptOutcome::Unreachable, refused: true },
            ConnectFailure::Unreachable => AttemptOutcome::Unreachable.into(),
        })?;
        connection.schedule_wake_ups(limits);
        start_session(&mut connection, limits, timed_out)?;
        connection.take_buffer();
        Ok(connection)
    }

    /// Acquires a descriptor for a new connection. If none is free, closes the connection that has been idle for the
    /// longest time.
    ///
    /// # Errors
    /// All descriptors for endpoints are in use.
    fn acquire_descriptor(&self, addr: &SocketAddr) -> Result<Descriptor, ConnectError> {
        let descriptor = self.resources.acquire_for_endpoint(*addr).or_else(|| {
            self.close_oldest();
            self.resources.acquire_for_endpoint(*addr)
        });
        descriptor.ok_or_else(|| {
            let reason = "all descriptors for endpoints are in use";
            log!(WARN, endpoint = addr, reason = reason; "connection to the endpoint not opened");
            AttemptOutcome::NotSent.into()
        })
    }

    /// Returns to the pool a connection on which no request was sent. The connection needs no verification.
    pub fn return_unused(&self, addr: SocketAddr, connection: PeerConnection) {
        self.add_idle(addr, connection, None);
    }

    /// Returns a connection to the pool after a complete answer was read from it, and starts to verify the connection.
    pub fn return_after_answer(&self, addr: SocketAddr, mut connection: PeerConnection) {
        let mut empty_query = Vec::new();
        encode::query(&mut empty_query, "");
        if connection.try_write(&empty_query) {
            self.add_idle(addr, connection, Some(ResponseParser::for_empty_query()));
        }
    }

    fn add_idle(&self, addr: SocketAddr, connection: PeerConnection, verification: Option<ResponseParser>) {
        let idle_since = self.timers.now();
        let idle = IdleConnection { connection, idle_since, verification };
        self.lock().entry(addr).or_default().push(idle);
    }

    /// Closes the idle connections that cannot be reused.
    pub fn close_expired(&self) {
        let now = self.timers.now();
        self.lock().retain(|_, connections| {
            connections
                .retain_mut(|idle| !matches!(idle.check_reusability(now, self), Reusability::Unusable));
            !connections.is_empty()
        });
    }

    /// Closes all idle connections to an address whose endpoint was restarted, is draining or was removed.
    pub fn close_idle(&self, addr: &SocketAddr) {
        let connections = self.lock().remove(addr);
        // The connections are closed after the lock was released.
        drop(connections);
    }

    /// The limits on descriptors and memory.
    pub fn resources(&self) -> &Arc<ResourceLimits> {
        &self.resources
    }

    /// Closes the idle connections to all addresses that are not in `addrs`.
    pub fn retain_addresses(&self, addrs: &BTreeSet<SocketAddr>) {
        self.lock().retain(|addr, _| addrs.contains(addr));
    }

    /// Closes the connection that has been idle for the longest time.
    fn close_oldest(&self) {
        let mut idle = self.lock();
        let oldest = idle
            .iter()
            .filter_map(|(addr, connections)| Some((connections.first()?.idle_since, *addr)))
            .min();
        if let Some(connections) = oldest.and_then(|(_, addr)| idle.get_mut(&addr)) {
            connections.remove(0);
        }
    }
}

/// Starts the session of a new connection. `timed_out` is the outcome if the deadline passes.
///
/// # Errors
/// The endpoint rejected the session, the connection was lost, the deadline passed or the attempt was cancelled.
fn start_session(
    connection: &mut PeerConnection,
    limits: IoLimits,
    timed_out: AttemptOutcome,
) -> Result<(), ConnectError> {
    let outcome = |error| match error {
        IoError::TimedOut => timed_out,
        IoError::Cancelled => AttemptOutcome::NotSent,
        IoError::ConnectionLost => AttemptOutcome::Unreachable,
    };
    connection.write(&[&encode::startup_message()], limits).map_err(outcome)?;
    let mut parser = ResponseParser::for_startup();
    loop {
        match parser.parse(&connection.buffer) {
            None => connection.read(limits).map_err(outcome)?,
            Some(AttemptOutcome::Succeeded) if parser.leaves_connection_reusable(&connection.buffer) => {
                return Ok(())
            }
            Some(AttemptOutcome::Rejected) => return Err(AttemptOutcome::Rejected.into()),
            Some(_) => return Err(AttemptOutcome::Unreachable.into()),
        }
    }
}
