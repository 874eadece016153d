//! Opening a connection to a peer. The coroutine waits with the server's own timers: those of the coroutine runtime would
//! delay its other work while a connection is being opened.

use crate::runtime::sockets::register_with_runtime;
use may::net::TcpStream;
use socket2::{Domain, SockAddr, SockRef, Socket, Type};
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use thiserror::Error;

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The peer's machine refused the connection, because no process listens at the address.
    #[error("connection refused")]
    Refused,
    /// The peer cannot be reached.
    #[error("peer cannot be reached")]
    Unreachable,
    /// This machine has no descriptor, port or memory for the connection. The peer is not the cause.
    #[error("no descriptor, port or memory for the connection")]
    NoResources,
    /// The deadline has passed.
    #[error("timed out")]
    TimedOut,
    /// The operation was cancelled.
    #[error("cancelled")]
    Cancelled,
}

/// A connection that is being opened.
pub struct PendingConnection {
    /// The socket, registered with the coroutine runtime.
    pub stream: TcpStream,
    addr: SockAddr,
    is_open: bool,
}

/// The state of a connect(2) call.
enum ConnectProgress {
    Open,
    Pending,
}

impl PendingConnection {
    /// Begins to open a connection.
    ///
    /// # Errors
    /// The peer or this machine refuses the connection.
    pub fn start(addr: &SocketAddr) -> Result<PendingConnection, ConnectFailure> {
        let socket = Socket::new(Domain::for_address(*addr), Type::STREAM, None).map_err(|e| classify(&e))?;
        socket.set_nonblocking(true).map_err(|e| classify(&e))?;
        let addr = SockAddr::from(*addr);
        let progress = progress_of(socket.connect(&addr))?;
        let stream = register_with_runtime(socket.into()).map_err(|e| classify(&e))?;
        Ok(PendingConnection { stream, addr, is_open: matches!(progress, ConnectProgress::Open) })
    }

    /// Whether the connection is open. If not, the caller waits for the socket and asks again.
    ///
    /// # Errors
    /// The peer or this machine refuses the connection.
    pub fn check_open(&mut self) -> Result<bool, ConnectFailure> {
        if !self.is_open {
            let progress = progress_of(SockRef::from(self.stream.inner()).connect(&self.addr))?;
            self.is_open = matches!(progress, ConnectProgress::Open);
        }
        Ok(self.is_open)
    }
}

/// The progress after a call of connect(2). An interrupted call goes on in the background.
///
/// # Errors
/// The peer or this machine refuses the connection.
fn progress_of(result: Result<(), Error>) -> Result<ConnectProgress, ConnectFailure> {
    let Err(error) = result else { return Ok(ConnectProgress::Open) };
    match error.raw_os_error() {
        Some(libc::EISCONN) => Ok(ConnectProgress::Open),
        Some(libc::EINPROGRESS | libc::EALREADY | libc::EINTR) => Ok(ConnectProgress::Pending),
        _ => Err(classify(&error)),
    }
}

/// Classifies the error of a call that opens a connection.
fn classify(error: &Error) -> ConnectFailure {
    match error.raw_os_error() {
        Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM | libc::EADDRNOTAVAIL) => {
            ConnectFailure::NoResources
        }
        _ if error.kind() == ErrorKind::ConnectionRefused => ConnectFailure::Refused,
        _ => ConnectFailure::Unreachable,
    }
}
