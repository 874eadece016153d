//! The accept loop: whatever can go wrong with accepting neither keeps the worker busy nor the queue standing. Once it is to
//! stop it still accepts every connection that waits in the queue: its client has connected, and what it sent is taken.

use crate::clients::connection;
use crate::clients::context::{ClientContext, NewConnection, Reception};
use crate::clients::rejection::reject_without_waiting;
use crate::endpoints::connection::BURST_PAUSE;
use crate::log;
use crate::runtime::clock::Timers;
use crate::runtime::descriptors::{accept_error, ReserveDescriptor};
use crate::runtime::resource_limits::{ClientDescriptor, Descriptor, DescriptorClass};
use crate::runtime::tasks::spawn;
use admission::accept_backoff::{AcceptBackoff, AcceptStep};
use may::io::WaitIo;
use may::net::{TcpListener, TcpStream};
use routing::time::TimeDelta;
use std::io::{Error, ErrorKind, Result};
use std::net::IpAddr;
use std::os::fd::{FromRawFd, IntoRawFd};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

const NO_DESCRIPTOR: &str = "no descriptor is free";
/// Connections accepted in a row: in a flood the worker would serve nobody else.
const MAX_ACCEPTED_IN_ROW: usize = 8;
/// How long a client waits for a descriptor to be rejected with.
const DESCRIPTOR_WAIT: TimeDelta = TimeDelta::from_millis(2);

/// Where connections come from.
pub trait AcceptQueue {
    /// Waits for the next connection; none once it is to stop and no connection waits.
    ///
    /// # Errors
    /// A connection could not be accepted.
    fn accept(&mut self) -> Result<Option<(TcpStream, IpAddr)>>;
    /// Rejects one client for lack of a descriptor; false if that failed.
    fn reject_one(&mut self) -> bool;
    /// Waits.
    fn pause(&self, time: TimeDelta);
}

/// The listener, with a descriptor in reserve.
pub struct ListenerQueue {
    /// The listener.
    pub listener: TcpListener,
    /// The descriptor in reserve.
    pub reserve: ReserveDescriptor,
    /// The timers.
    pub timers: Arc<Timers>,
    /// Set before the listener is woken to stop.
    pub stopping: Arc<AtomicBool>,
}

impl AcceptQueue for ListenerQueue {
    fn accept(&mut self) -> Result<Option<(TcpStream, IpAddr)>> {
        loop {
            // Read first: connections that come in between are in the queue.
            let stopping = self.stopping.load(Ordering::Acquire);
            match self.listener.inner().accept() {
                Ok((stream, from)) => return Ok(Some((register(stream)?, from.ip()))),
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
    }
}

/// Registers an accepted connection with the runtime.
fn register(stream: std::net::TcpStream) -> Result<TcpStream> {
    let descriptor = stream.into_raw_fd();
    // SAFETY: the descriptor is a stream's and was given up by it.
    let registered = catch_unwind(AssertUnwindSafe(|| unsafe { TcpStream::from_raw_fd(descriptor) }));
    // It panics if the system has no memory to watch another one; the connection is closed then.
    registered.map_err(|_| Error::from_raw_os_error(libc::ENOMEM))
}

/// Accepts until the queue is to stop.
pub fn run(queue: &mut impl AcceptQueue, mut take: impl FnMut(TcpStream, IpAddr)) {
    let mut backoff = AcceptBackoff::default();
    let mut accepted_in_row = 0;
    loop {
        match queue.accept() {
            Ok(None) => return,
            Ok(Some((stream, from))) => {
                backoff.accepted();
                take(stream, from);
                accepted_in_row = (accepted_in_row + 1) % MAX_ACCEPTED_IN_ROW;
                if accepted_in_row == 0 {
                    queue.pause(BURST_PAUSE);
                }
            }
            Err(error) => {
                log!(WARN, reason = error; "connection not accepted");
                recover(queue, backoff.failed(accept_error(&error)));
            }
        }
    }
}

fn recover(queue: &mut impl AcceptQueue, step: AcceptStep) {
    match step {
        AcceptStep::RetryNow => {}
        AcceptStep::Wait(wait) => queue.pause(wait),
        AcceptStep::RejectOne { wait, wait_on_failure } => {
            let rejected = queue.reject_one();
            queue.pause(if rejected { wait } else { wait_on_failure });
        }
    }
}

/// Takes an accepted connection and runs it in a coroutine of its own.
pub fn take_connection(context: &Arc<ClientContext>, stream: TcpStream, from: IpAddr) {
    if let Some((descriptor, reception)) = receive(context, &stream, from) {
        // Registered before its coroutine runs: the process must not end between the two.
        let connection = NewConnection::register(context, stream, from, descriptor);
        let context = context.clone();
        spawn(move || connection::run(context, connection, reception));
    }
}

/// How a client is received; none if it was rejected already. A client that comes while all descriptors for rejections are in
/// use is rejected at once: the rejection may be lost to one that goes on sending.
fn receive(context: &ClientContext, stream: &TcpStream, from: IpAddr) -> Option<(Descriptor, Reception)> {
    let permit = context.admission.as_ref().map(|admission| admission.arrive(from)).transpose();
    let permit = match permit {
        Ok(permit) => permit,
        Err(rejection) => {
            let retry_after = context.max_retry_after.map(|_| rejection.retry_after);
            let reason = rejection.reason.message();
            let Some(descriptor) = context.resources.acquire(DescriptorClass::RejectedClients) else {
                reject_without_waiting(stream.inner(), reason, retry_after);
                return None;
            };
            return Some((descriptor, Reception::Rejected { reason, retry_after }));
        }
    };
    let ClientDescriptor { descriptor, admitted } = acquire_descriptor(context);
    let reception = if admitted {
        Reception::Admitted(permit)
    } else {
        Reception::Rejected { reason: NO_DESCRIPTOR, retry_after: None }
    };
    Some((descriptor, reception))
}

/// Dropping the connection would lose what came with it, so if there is no descriptor even beyond the limit, the accept loop
/// waits for a client that is being closed.
fn acquire_descriptor(context: &ClientContext) -> ClientDescriptor {
    loop {
        if let Some(descriptor) = context.resources.acquire_for_client(context.timers.now()) {
            return descriptor;
        }
        log!(WARN, reason = "all descriptors for rejections in use"; "clients wait to be rejected");
        context.timers.sleep(DESCRIPTOR_WAIT);
    }
}
