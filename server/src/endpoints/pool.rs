//! Connections to endpoints: reused first, the one used last before the others, opened only if none is free.
//!
//! An endpoint may send more behind an answer than belongs to it, or close the connection right after. So a connection that
//! was answered is sent an empty query, which the endpoint answers at once and without effect, and is reused only once exactly
//! that answer has come: what was left over of the last answer would come before it.

use crate::endpoints::connection::{IoLimits, IoStop, PeerConnection};
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

/// An idle connection.
struct IdleConnection {
    connection: PeerConnection,
    since: Timestamp,
    /// What has come of the answer to the empty query; none once that was right.
    verification: Option<ResponseParser>,
}

/// Whether an idle connection can be reused.
enum Reusability {
    Now,
    /// Not before the answer to the empty query has come.
    Verifying,
    Never,
}

impl IdleConnection {
    /// Reads what has come, without waiting for more.
    fn check(&mut self, now: Timestamp, pool: &ConnectionPool) -> Reusability {
        let age = now - self.since;
        if age >= pool.max_idle || !self.connection.read_available() {
            return Reusability::Never;
        }
        let Some(verification) = &mut self.verification else {
            let is_quiet = self.connection.buffer.is_empty();
            return if is_quiet { Reusability::Now } else { Reusability::Never };
        };
        match verification.parse(&self.connection.buffer) {
            None if age < pool.connect_timeout => Reusability::Verifying,
            Some(AttemptOutcome::Succeeded) if verification.frees_connection(&self.connection.buffer) => {
                self.connection.take_buffer();
                self.verification = None;
                Reusability::Now
            }
            _ => Reusability::Never,
        }
    }
}

/// The connections to endpoints.
pub struct ConnectionPool {
    /// The timers that its connections use.
    pub timers: Arc<Timers>,
    resources: Arc<ResourceLimits>,
    /// The longest that connecting and starting a session may take.
    connect_timeout: TimeDelta,
    /// Well before the endpoint would close the connection.
    max_idle: TimeDelta,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// `closed_after`: after this time an endpoint closes an idle connection.
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
            max_idle: closed_after / 2,
            idle: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// An idle connection, a verified one before one whose verification is under way. That one is a round trip away, a new
    /// connection costs several, and work at the endpoint.
    pub fn reuse(&self, addr: &SocketAddr, limits: IoLimits) -> Option<PeerConnection> {
        loop {
            let mut idle = self.take(addr)?;
            if idle.verification.is_none() {
                return Some(idle.connection);
            }
            // If its verification does not come, most of the time must be left for a new connection.
            let now = self.timers.now();
            let wait = (self.connect_timeout / 4).min((limits.deadline - now) / 8);
            let limits = IoLimits { deadline: now + wait, ..limits };
            idle.connection.arm(limits);
            while idle.connection.read(limits).is_ok() {
                match idle.check(self.timers.now(), self) {
                    Reusability::Now => return Some(idle.connection),
                    Reusability::Verifying => {}
                    Reusability::Never => break,
                }
            }
        }
    }

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
    /// It was not opened within the limits.
    pub fn open(&self, addr: &SocketAddr, limits: IoLimits) -> Result<PeerConnection, ConnectError> {
        if limits.cancellation.is_cancelled() {
            return Err(AttemptOutcome::NotSent.into());
        }
        let connect_deadline = self.timers.now() + self.connect_timeout;
        let descriptor = self.descriptor(addr)?;
        // A request that runs out of its own time says nothing of the endpoint.
        let own_time = limits.deadline < connect_deadline;
        let timed_out = if own_time { AttemptOutcome::NotSent } else { AttemptOutcome::Unreachable };
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

    fn descriptor(&self, addr: &SocketAddr) -> Result<Descriptor, ConnectError> {
        let descriptor = self.resources.acquire_for_endpoint(*addr).or_else(|| {
            self.close_oldest();
            self.resources.acquire_for_endpoint(*addr)
        });
        descriptor.ok_or_else(|| {
            log!(WARN, endpoint = addr, reason = "descriptors for endpoints used up"; "no connection opened");
            AttemptOutcome::NotSent.into()
        })
    }

    /// Takes back a connection on which nothing was sent.
    pub fn give_back_unused(&self, addr: SocketAddr, connection: PeerConnection) {
        self.insert(addr, connection, None);
    }

    /// Takes back a connection whose answer has come to its end.
    pub fn give_back(&self, addr: SocketAddr, mut connection: PeerConnection) {
        let mut empty_query = Vec::new();
        encode::query(&mut empty_query, "");
        if connection.try_write(&empty_query) {
            self.insert(addr, connection, Some(ResponseParser::for_empty_query()));
        }
    }

    fn insert(&self, addr: SocketAddr, connection: PeerConnection, verification: Option<ResponseParser>) {
        let since = self.timers.now();
        let idle = IdleConnection { connection, since, verification };
        self.lock().entry(addr).or_default().push(idle);
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        let now = self.timers.now();
        self.lock().retain(|_, connections| {
            connections.retain_mut(|idle| !matches!(idle.check(now, self), Reusability::Never));
            !connections.is_empty()
        });
    }

    /// Closes all idle connections to an address: what listened there was restarted, drains or is gone.
    pub fn close_idle(&self, addr: &SocketAddr) {
        let connections = self.lock().remove(addr);
        drop(connections);
    }

    /// Closes idle connections to all addresses but these.
    pub fn retain_addresses(&self, addrs: &BTreeSet<SocketAddr>) {
        self.lock().retain(|addr, _| addrs.contains(addr));
    }

    fn close_oldest(&self) {
        let mut idle = self.lock();
        let oldest = idle.iter().filter_map(|(addr, all)| Some((all.first()?.since, *addr))).min();
        if let Some(connections) = oldest.and_then(|(_, addr)| idle.get_mut(&addr)) {
            connections.remove(0);
        }
    }
}

/// Starts the session of a new connection; `timed_out` is the outcome if that takes too long.
fn start_session(
    connection: &mut PeerConnection,
    limits: IoLimits,
    timed_out: AttemptOutcome,
) -> Result<(), ConnectError> {
    let outcome = |stop| match stop {
        IoStop::TimedOut => timed_out,
        IoStop::Cancelled => AttemptOutcome::NotSent,
        IoStop::ConnectionLost => AttemptOutcome::Unreachable,
    };
    connection.write(&[&encode::startup_message()], limits).map_err(outcome)?;
    let mut parser = ResponseParser::for_startup();
    loop {
        match parser.parse(&connection.buffer) {
            None => connection.read(limits).map_err(outcome)?,
            Some(AttemptOutcome::Succeeded) if parser.frees_connection(&connection.buffer) => return Ok(()),
            Some(AttemptOutcome::Rejected) => return Err(AttemptOutcome::Rejected.into()),
            Some(_) => return Err(AttemptOutcome::Unreachable.into()),
        }
    }
}
