//! The context that all client connections share, and the initial state of a connection.

use crate::clients::admission_control::{AdmissionControl, ConnectionPermit};
use crate::clients::graceful_shutdown::{ConnectionGuard, GracefulShutdown};
use crate::clients::session_tokens::SessionTokens;
use crate::clients::turn::TurnScheduler;
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

/// The services and settings that all client connections share.
pub struct ClientContext {
    /// The timers for wake-ups and pauses.
    pub timers: Arc<Timers>,
    /// The limits on descriptors and on the memory of buffers.
    pub resources: Arc<ResourceLimits>,
    /// Sends requests and disconnects to the control loop.
    pub control: Sender<ControlMessage>,
    /// The methods that requests may name.
    pub methods: MethodTable,
    /// The maximum Retry-After; `None` if rejections carry no Retry-After.
    pub max_retry_after: Option<TimeDelta>,
    /// The graceful shutdown, with which each connection is registered.
    pub shutdown: Arc<GracefulShutdown>,
    /// Opens and issues session tokens; `None` if no session keys are configured.
    pub session_tokens: Option<Arc<SessionTokens>>,
    /// Admits and rejects connections; `None` if no client classes are configured.
    pub admission: Option<Arc<AdmissionControl>>,
    /// The lengths of the address prefixes by which clients are distinguished, so that requests of clients without
    /// a class can be attributed; `None` without an operators' file.
    pub client_prefixes: Option<AddressPrefixes>,
    /// The write journal, whose origin clients receive; `None` if writes are not recorded.
    pub journal: Option<Arc<WriteJournal>>,
    /// The process-internal id of the next request.
    pub next_request: AtomicU64,
    /// Divides the worker among the connections.
    pub turns: Arc<TurnScheduler>,
    /// The id of the next connection, which BackendKeyData carries as the process id.
    pub next_connection: AtomicU64,
}

/// An accepted connection, registered with the graceful shutdown.
pub struct NewConnection {
    pub(super) stream: TcpStream,
    pub(super) channel: Arc<ResponseChannel>,
    pub(super) guard: ConnectionGuard,
    pub(super) client_address: IpAddr,
    pub(super) descriptor: Descriptor,
}

impl NewConnection {
    /// Registers a connection with the graceful shutdown, which waits for it.
    pub fn register(
        context: &ClientContext,
        stream: TcpStream,
        client_address: IpAddr,
        descriptor: Descriptor,
    ) -> NewConnection {
        let channel = ResponseChannel::new(stream.waker(), client_address);
        let guard = context.shutdown.register(&channel);
        NewConnection { stream, channel, guard, client_address, descriptor }
    }
}

/// Whether a new connection is served or rejected.
pub enum AdmissionDecision {
    /// The connection is served. The permit is `None` if admission control is not in use.
    Admitted(Option<ConnectionPermit>),
    /// The client is sent an error, and the connection is closed.
    Rejected {
        /// The message of the error.
        reason: &'static str,
        /// The Retry-After, if one may be sent.
        retry_after: Option<TimeDelta>,
    },
}
