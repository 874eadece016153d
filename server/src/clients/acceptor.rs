//! The accept loop. While accept(2) fails, the loop backs off instead of occupying the worker thread, and rejects
//! clients so that they do not stay in the listen queue. After a stop request the loop still drains the listen
//! queue, because the clients in it are connected already and may have sent a query.

use crate::clients::connection;
use crate::clients::context::{AdmissionDecision, ClientContext, NewConnection};
use crate::clients::graceful_shutdown::GracefulShutdown;
use crate::clients::rejection::reject_without_waiting;
use crate::log;
use crate::runtime::clock::Timers;
use crate::runtime::descriptors::{classify_accept_error, ReserveDescriptor};
use crate::runtime::event_loop::wait_for_poll;
use crate::runtime::resource_limits::{ClientDescriptor, Descriptor, DescriptorClass};
use crate::runtime::sockets::register_with_runtime;
use crate::runtime::tasks::spawn;
use admission::accept_backoff::{AcceptAction, AcceptBackoff};
use may::io::WaitIo;
use may::net::{TcpListener, TcpStream};
use routing::time::TimeDelta;
use std::io::{ErrorKind, Result};
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The error message for a client that is rejected because all descriptors for clients are in use.
const NO_DESCRIPTOR: &str = "no descriptor is free";
/// The maximum number of connections accepted without a pause. With more, a flood of connections would starve the
/// other coroutines of the single worker thread.
const MAX_ACCEPT_BURST: usize = 8;
/// The pause after [`MAX_ACCEPT_BURST`] connections.
const BURST_PAUSE: TimeDelta = TimeDelta::from_millis(1);
/// The pause between two attempts to acquire a descriptor while even the overflow descriptors are in use.
const DESCRIPTOR_RETRY_INTERVAL: TimeDelta = TimeDelta::from_millis(2);

/// A connection accepted from the listen queue.
pub struct AcceptedConnection {
    /// The socket, registered with the coroutine runtime.
    pub stream: TcpStream,
    /// The peer address, without the port.
    pub client_address: IpAddr,
}

/// The source of new connections for the accept loop.
pub trait AcceptQueue {
    /// Waits for the next connection; `None` once the listener is stopping and its queue is empty.
    ///
    /// # Errors
    /// accept(2) failed, or the socket could not be registered with the runtime.
    fn accept(&mut self) -> Result<Option<AcceptedConnection>>;
    /// Accepts one client and rejects it for lack of a descriptor; returns false if none could be accepted.
    fn reject_one(&mut self) -> bool;
    /// Suspends the calling coroutine for the duration `time`.
    fn pause(&self, time: TimeDelta);
    /// Whether no further connection is accepted, although there may be some in the queue.
    fn is_over(&self) -> bool;
}

/// A listening socket, with a reserve descriptor by which it can reject clients when the process is out of
/// descriptors.
pub struct ListenerQueue {
    /// The socket on which clients connect.
    pub listener: TcpListener,
    /// Released to accept and reject one client when the process is out of descriptors.
    pub reserve: ReserveDescriptor,
    /// The timers by which the accept loop pauses.
    pub timers: Arc<Timers>,
    /// Whether to stop once the queue is empty; set before the listener is woken.
    pub stopping: Arc<AtomicBool>,
    /// The shutdown, after whose close nothing more is accepted.
    pub shutdown: Arc<GracefulShutdown>,
}

impl AcceptQueue for ListenerQueue {
    fn accept(&mut self) -> Result<Option<AcceptedConnection>> {
        loop {
            // Read before accept(2), so that a connection that arrives in between is still accepted.
            let stopping = self.stopping.load(Ordering::Acquire);
            match self.listener.inner().accept() {
                Ok((stream, address)) => {
                    let stream = register_with_runtime(stream)?;
                    return Ok(Some(AcceptedConnection { stream, client_address: address.ip() }));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock && stopping => return Ok(None),
                Err(error) if error.kind() == ErrorKind::WouldBlock => _ = self.listener.wait_io(),
                Err(error) => return Err(error),
            }
        }
    }

    fn reject_one(&mut self) -> bool {
        let listener = &self.listener;
        self.reserve.release_during(|| {
            let accepted = listener.inner().accept();
            accepted.map(|(stream, _)| reject_without_waiting(&stream, NO_DESCRIPTOR, None)).is_ok()
        })
    }

    fn pause(&self, time: TimeDelta) {
        self.timers.sleep(time);
        wait_for_poll();
    }

    fn is_over(&self) -> bool {
        self.shutdown.is_closed()
    }
}

/// Accepts connections and passes them to `on_accepted`, until the queue has stopped and is empty, or is over: clients that
/// keep connecting must not keep the listener open.
pub fn run(queue: &mut impl AcceptQueue, mut on_accepted: impl FnMut(AcceptedConnection)) {
    let mut backoff = AcceptBackoff::default();
    let mut burst = 0;
    while !queue.is_over() {
        match queue.accept() {
            Ok(None) => return,
            Ok(Some(accepted)) => {
                backoff.accepted();
                on_accepted(accepted);
                burst = (burst + 1) % MAX_ACCEPT_BURST;
                if burst == 0 {
                    queue.pause(BURST_PAUSE);
                }
            }
            Err(error) => {
                log!(WARN, reason = error; "client connection not accepted");
                back_off(queue, backoff.failed(classify_accept_error(&error)));
            }
        }
    }
}

/// Performs the step that the backoff has chosen after a failed accept(2).
fn back_off(queue: &mut impl AcceptQueue, step: AcceptAction) {
    match step {
        AcceptAction::RetryNow => {}
        AcceptAction::Wait(wait) => queue.pause(wait),
        AcceptAction::RejectOne { wait, wait_on_failure } => {
            let rejected = queue.reject_one();
            queue.pause(if rejected { wait } else { wait_on_failure });
        }
    }
}

/// Admits or rejects a connection, and spawns the coroutine that serves it or sends it the rejection.
pub fn spawn_connection(context: &Arc<ClientContext>, accepted: AcceptedConnection) {
    if let Some(DecidedConnection { descriptor, decision }) = decide_admission(context, &accepted) {
        // Registered before the coroutine is spawned, so that the process cannot exit in between.
        let connection =
            NewConnection::register(context, accepted.stream, accepted.client_address, descriptor);
        let context = context.clone();
        spawn(move || connection::run(context, connection, decision));
    }
}

/// A connection's admission decision, and the descriptor that accounts for its socket.
struct DecidedConnection {
    descriptor: Descriptor,
    decision: AdmissionDecision,
}

/// Decides whether a connection is admitted, and acquires its descriptor; `None` if the client was already sent its
/// rejection.
///
/// If all descriptors for rejected clients are in use, the rejection is sent without a coroutine. If the client is
/// still sending at that moment, the close resets the connection, and the client may lose the error message.
fn decide_admission(context: &ClientContext, accepted: &AcceptedConnection) -> Option<DecidedConnection> {
    let admission = context.admission.as_ref();
    let permit = admission.map(|admission| admission.admit_or_enqueue(accepted.client_address)).transpose();
    let permit = match permit {
        Ok(permit) => permit,
        Err(rejection) => {
            let retry_after = context.max_retry_after.map(|_| rejection.retry_after);
            let reason = rejection.reason.message();
            let Some(descriptor) = context.resources.acquire(DescriptorClass::RejectedClients) else {
                reject_without_waiting(accepted.stream.inner(), reason, retry_after);
                return None;
            };
            let decision = AdmissionDecision::Rejected { reason, retry_after };
            return Some(DecidedConnection { descriptor, decision });
        }
    };
    let ClientDescriptor { descriptor, admitted } = acquire_descriptor(context);
    let decision = if admitted {
        AdmissionDecision::Admitted(permit)
    } else {
        let in_use = context.resources.in_use(DescriptorClass::Clients);
        log!(WARN, in_use = in_use, limit = context.resources.limit(DescriptorClass::Clients); "client rejected, too many are connected");
        AdmissionDecision::Rejected { reason: NO_DESCRIPTOR, retry_after: None }
    };
    Some(DecidedConnection { descriptor, decision })
}

/// Acquires a descriptor for a client, and waits for one while even the overflow descriptors are in use.
///
/// Closing the connection instead would discard a query that the client may already have sent.
fn acquire_descriptor(context: &ClientContext) -> ClientDescriptor {
    loop {
        if let Some(descriptor) = context.resources.acquire_for_client(context.timers.now()) {
            return descriptor;
        }
        log!(WARN, reason = "all descriptors for clients are in use, including the overflow"; "accept loop waits for a descriptor");
        context.timers.sleep(DESCRIPTOR_RETRY_INTERVAL);
    }
}
