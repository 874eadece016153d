//! How to go on after a read or a write on a non-blocking socket has failed.

use routing::time::TimeDelta;
use std::io::{Error, ErrorKind};

/// How long a read or a write waits for memory. The kernel does not report when there is some again.
pub const MEMORY_RETRY_DELAY: TimeDelta = TimeDelta::from_millis(2);

/// How to go on after a read or a write has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketFailure {
    /// Call again at once: the call was interrupted.
    Retry,
    /// Wait until the socket is ready.
    NotReady,
    /// Call again after [`MEMORY_RETRY_DELAY`]: the kernel has no memory for the call. The connection is intact.
    NoMemory,
    /// The connection is broken.
    Broken,
}

/// Classifies the error of a read or a write.
pub fn classify_socket_error(error: &Error) -> SocketFailure {
    match (error.kind(), error.raw_os_error()) {
        (ErrorKind::Interrupted, _) => SocketFailure::Retry,
        (ErrorKind::WouldBlock, _) => SocketFailure::NotReady,
        (_, Some(libc::ENOBUFS | libc::ENOMEM)) => SocketFailure::NoMemory,
        _ => SocketFailure::Broken,
    }
}
