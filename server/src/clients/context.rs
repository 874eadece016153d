//! What all client connections share, and what a connection begins with.

use crate::clients::admission_control::{AdmissionControl, ConnectionPermit};
use crate::clients::graceful_shutdown::{ConnectionGuard, GracefulShutdown};
use crate::clients::session_tokens::SessionTokens;
use crate::messages::control::ControlMessage;
use crate::messages::request::MethodTable;
use crate::messages::response::ResponseChannel;
use crate::runtime::clock::Timers;
use crate::runtime::resource_limits::{Descriptor, ResourceLimits};
use crate::storage::journal::WriteJournal;
use admission::AddressPrefixes;
use may::io::WaitIo;
use may::net::TcpStream;
use may::sync::mpsc::Sender;
use routing::time::TimeDelta;
use std::net::IpAddr;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;

/// What all connections share.
pub struct ClientContext {
    /// The timers.
    pub timers: Arc<Timers>,
    /// The limits.
    pub resources: Arc<ResourceLimits>,
    /// The control loop.
    pub control: Sender<ControlMessage>,
    /// The methods by their names.
    pub methods: MethodTable,
    /// The longest Retry-After, if one may be told.
    pub max_retry_after: Option<TimeDelta>,
    /// The shutdown.
    pub shutdown: Arc<GracefulShutdown>,
    /// Tokens, if clients may carry their sessions.
    pub session_tokens: Option<Arc<SessionTokens>>,
    /// Admission control, if clients have classes.
    pub admission: Option<Arc<AdmissionControl>>,
    /// Whom the requests of an address are counted for, if clients have no classes and requests are limited.
    pub client_prefixes: Option<AddressPrefixes>,
    /// The journal, if writes are recorded.
    pub journal: Option<Arc<WriteJournal>>,
    /// The number of the next request.
    pub next_request: AtomicU64,
    /// The number of the next connection.
    pub next_connection: AtomicU64,
}

/// An accepted connection that the shutdown waits for.
pub struct NewConnection {
    pub(super) stream: TcpStream,
    pub(super) channel: Arc<ResponseChannel>,
    pub(super) guard: ConnectionGuard,
    pub(super) from: IpAddr,
    pub(super) descriptor: Descriptor,
}

impl NewConnection {
    /// Registers a connection with the shutdown.
    pub fn register(
        context: &ClientContext,
        stream: TcpStream,
        from: IpAddr,
        descriptor: Descriptor,
    ) -> NewConnection {
        let channel = ResponseChannel::new(stream.waker());
        let guard = context.shutdown.register(&channel);
        NewConnection { stream, channel, guard, from, descriptor }
    }
}

/// How a client is received.
pub enum Reception {
    /// With its place in its class, if it has one.
    Admitted(Option<ConnectionPermit>),
    /// It is told why it is rejected.
    Rejected {
        /// Why.
        reason: &'static str,
        /// When to come back, if that may be told.
        retry_after: Option<TimeDelta>,
    },
}
