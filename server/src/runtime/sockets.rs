//! TCP sockets that coroutines can wait for.

use may::net::TcpStream;
use std::io::{Error, Result};
use std::os::fd::{FromRawFd, IntoRawFd};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Registers a socket with the coroutine runtime, so that a coroutine can wait for its events.
///
/// # Errors
/// The kernel has no memory to add the socket to epoll.
pub fn register_with_runtime(stream: std::net::TcpStream) -> Result<TcpStream> {
    let descriptor = stream.into_raw_fd();
    // SAFETY: `into_raw_fd` has transferred ownership of the descriptor, so nothing else closes it.
    let registered = catch_unwind(AssertUnwindSafe(|| unsafe { TcpStream::from_raw_fd(descriptor) }));
    // `from_raw_fd` panics if the kernel has no memory to add the socket to epoll; the unwinding closes the socket.
    registered.map_err(|_| Error::from_raw_os_error(libc::ENOMEM))
}
