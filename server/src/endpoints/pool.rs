//! The pool of connections to endpoints. The connection that was used last is reused first; a new one is opened
//! only if none is idle.
//!
//! An endpoint may send extra bytes after an answer, or close the connection right after it. So an empty query,
//! which the endpoint answers at once and without effect, is sent on every returned connection. The connection is
//! reused only once exactly that answer has arrived: extra bytes of the answer before would precede it.

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
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

/// An endpoint closes an idle connection after a known time; the pool does so after this fraction of it, so that a
/// request is not sent on a connection that is being closed.
const IDLE_TIMEOUT_DIVISOR: i64 = 2;
/// The wait for a verification is at most this fraction of the connect timeout.
const VERIFICATION_CONNECT_DIVISOR: i64 = 4;
/// The wait for a verification is at most this fraction of the request's remaining time, so that most of it is left
/// for a new connection.
const VERIFICATION_REQUEST_DIVISOR: i64 = 8;

/// An idle connection.
struct IdleConnection {
    connection: PeerConnection,
    since: Timestamp,
    /// The parser of the answer to the empty query; `None` once the connection is verified.
    verification: Option<ResponseParser>,
}

/// Whether an idle connection can be reused.
enum Reusability {
    /// It can be reused.
    Now,
    /// The answer to the empty query is incomplete.
    Verifying,
    /// It was closed, has expired, or has received unexpected bytes.
    Never,
}

impl IdleConnection {
    /// Reads the bytes that have arrived, without waiting for more, and decides whether the connection can be reused.
    fn check(&mut self, now: Timestamp, pool: &ConnectionPool) -> Reusability {
        let age = now - self.since;
        if age >= pool.max_idle || !self.connection.read_available() {
            return Reusability::Never;
        }
        let Some(verification) = &mut self.verification else {
            let is_clean = self.connection.buffer.is_empty();
            return if is_clean { Reusability::Now } else { Reusability::Never };
        };
        match verification.parse(&self.connection.buffer) {
            None if age < pool.connect_timeout => Reusability::Verifying,
            Some(AttemptOutcome::Succeeded)
                if verification.leaves_connection_reusable(&self.connection.buffer) =>
            {
                self.connection.take_buffer();
                self.verification = None;
                Reusability::Now
            }
            _ => Reusability::Never,
        }
    }
}

/// Idle connections by address. Those of one address are in the order in which they became idle.
type IdleConnections = HashMap<SocketAddr, Vec<IdleConnection>>;

/// The pool of connections to endpoints.
pub struct ConnectionPool {
    /// The timers that the connections use.
    pub timers: Arc<Timers>,
    resources: Arc<ResourceLimits>,
    /// The timeout of connecting and starting a session.
    connect_timeout: TimeDelta,
    /// The age at which an idle connection is closed.
    max_idle: TimeDelta,
    idle: Mutex<IdleConnections>,
}

impl ConnectionPool {
    /// Creates an empty pool; `closed_after` is the time after which an endpoint closes an idle connection.
    pub fn new(
        timers: Arc<Timers>,
        resources: Arc<ResourceLimits>,
        connect_timeout: TimeDelta,
        closed_after: TimeDelta,
    ) -> ConnectionPool {
        ConnectionPool {
            timers,
            resources,
            connect_timeout,
            max_idle: closed_after / IDLE_TIMEOUT_DIVISOR,
            idle: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Takes an idle connection out of the pool, preferably a verified one.
    ///
    /// If all are being verified, waits for one of them: the verification takes the rest of a round trip, a new
    /// connection several round trips, and work at the endpoint.
    pub fn reuse(&self, addr: &SocketAddr, limits: IoLimits) -> Option<PeerConnection> {
        loop {
            let idle = self.take(addr)?;
            if idle.verification.is_none() {
                return Some(idle.connection);
            }
            if let Some(connection) = self.await_verification(idle, limits) {
                return Some(connection);
            }
        }
    }

    /// Waits a short time for the verification of a connection; `None` if it failed or timed out.
    fn await_verification(&self, mut idle: IdleConnection, limits: IoLimits) -> Option<PeerConnection> {
        let now = self.timers.now();
        let max_wait = self.connect_timeout / VERIFICATION_CONNECT_DIVISOR;
        let wait = max_wait.min((limits.deadline - now) / VERIFICATION_REQUEST_DIVISOR);
        let limits = IoLimits { deadline: now + wait, ..limits };
        idle.connection.arm(limits);
        while idle.connection.read(limits).is_ok() {
            match idle.check(self.timers.now(), self) {
                Reusability::Now => return Some(idle.connection),
                Reusability::Verifying => {}
                Reusability::Never => return None,
            }
        }
        None
    }

    /// Takes an idle connection out of the pool, a verified one if possible, and closes those that cannot be reused.
    fn take(&self, addr: &SocketAddr) -> Option<IdleConnection> {
        let now = self.timers.now();
        let mut idle = self.lock();
        let connections = idle.get_mut(addr)?;
        let mut unverified = None;
        for index in (0..connections.len()).rev() {
            match connections[index].check(now, self) {
                Reusability::Now => return Some(connections.remove(index)),
                Reusability::Verifying => unverified = Some(index),
                Reusability::Never => {
                    drop(connections.remove(index));
                    unverified = unverified.map(|later| later - 1);
                }
            }
        }
        unverified.map(|index| connections.remove(index))
    }

    /// Opens a connection and starts its session.
    ///
    /// # Errors
    /// The connection was not opened within the limits; the outcome tells whether the endpoint is at fault.
    pub fn open(&self, addr: &SocketAddr, limits: IoLimits) -> Result<PeerConnection, ConnectError> {
        if limits.cancellation.is_cancelled() {
            return Err(AttemptOutcome::NotSent.into());
        }
        let connect_deadline = self.timers.now() + self.connect_timeout;
        let descriptor = self.acquire_descriptor(addr)?;
        // A timeout counts against the endpoint only if the whole connect timeout has passed, not if the request
        // had less time left.
        let is_deadline_first = limits.deadline < connect_deadline;
        let timed_out = if is_deadline_first { AttemptOutcome::NotSent } else { AttemptOutcome::Unreachable };
        let limits = IoLimits { deadline: limits.deadline.min(connect_deadline), ..limits };
        let connection = PeerConnection::connect(&self.timers, addr, limits.deadline, descriptor);
        let mut connection = connection.map_err(|error| match error.kind() {
            ErrorKind::TimedOut => ConnectError::from(timed_out),
            kind => {
                let refused = kind == ErrorKind::ConnectionRefused;
                ConnectError { outcome: AttemptOutcome::Unreachable, refused }
            }
        })?;
        connection.arm(limits);
        start_session(&mut connection, limits, timed_out)?;
        connection.take_buffer();
        Ok(connection)
    }

    /// Acquires a descriptor for a new connection, if need be by closing the oldest idle one.
    ///
    /// # Errors
    /// All descriptors for endpoints are in use.
    fn acquire_descriptor(&self, addr: &SocketAddr) -> Result<Descriptor, ConnectError> {
        let descriptor = self.resources.acquire_for_endpoint(*addr).or_else(|| {
            self.close_oldest();
            self.resources.acquire_for_endpoint(*addr)
        });
        descriptor.ok_or_else(|| {
            log!(WARN, endpoint = addr, reason = "descriptors for endpoints used up"; "no connection opened");
            AttemptOutcome::NotSent.into()
        })
    }

    /// Returns a connection to the pool on which no request was sent.
    pub fn return_unused(&self, addr: SocketAddr, connection: PeerConnection) {
        self.insert(addr, connection, None);
    }

    /// Returns a connection to the pool whose answer was read completely, and starts its verification.
    pub fn return_after_answer(&self, addr: SocketAddr, mut connection: PeerConnection) {
        let mut empty_query = Vec::new();
        encode::query(&mut empty_query, "");
        if connection.try_write(&empty_query) {
            self.insert(addr, connection, Some(ResponseParser::for_empty_query()));
        }
    }

    /// Adds an idle connection to the pool.
    fn insert(&self, addr: SocketAddr, connection: PeerConnection, verification: Option<ResponseParser>) {
        let since = self.timers.now();
        let idle = IdleConnection { connection, since, verification };
        self.lock().entry(addr).or_default().push(idle);
    }

    /// Closes the idle connections that have expired or cannot be reused for another reason.
    pub fn close_expired(&self) {
        let now = self.timers.now();
        self.lock().retain(|_, connections| {
            connections.retain_mut(|idle| !matches!(idle.check(now, self), Reusability::Never));
            !connections.is_empty()
        });
    }

    /// Closes all idle connections to an address, because its endpoint was restarted, is draining or was removed.
    pub fn close_idle(&self, addr: &SocketAddr) {
        let connections = self.lock().remove(addr);
        drop(connections);
    }

    /// Closes the idle connections to all other addresses.
    pub fn retain_addresses(&self, addrs: &BTreeSet<SocketAddr>) {
        self.lock().retain(|addr, _| addrs.contains(addr));
    }

    /// Closes the connection that has been idle for the longest time.
    fn close_oldest(&self) {
        let mut idle = self.lock();
        let oldest = idle.iter().filter_map(|(addr, all)| Some((all.first()?.since, *addr))).min();
        if let Some(connections) = oldest.and_then(|(_, addr)| idle.get_mut(&addr)) {
            connections.remove(0);
        }
    }
}

/// Starts the session of a new connection; `timed_out` is the outcome if the deadline passes.
///
/// # Errors
/// The endpoint rejected the session, or the connection was lost, timed out or cancelled.
fn start_session(
    connection: &mut PeerConnection,
    limits: IoLimits,
    timed_out: AttemptOutcome,
) -> Result<(), ConnectError> {
    let outcome = |stop| match stop {
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
