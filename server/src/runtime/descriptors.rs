//! The machine's own limit of descriptors, and one that is held in reserve for when they run out all the same.

use crate::log;
use admission::accept_backoff::AcceptError;
use std::fs::File;
use std::io::Error;

/// The descriptors that the server may count on: as many as its settings say, or fewer if the process may not open so many
/// even after its limit was raised as far as the machine allows.
pub fn available_descriptors(wanted: usize) -> usize {
    match rlimit::increase_nofile_limit(wanted as u64) {
        Ok(allowed) if allowed < wanted as u64 => {
            log!(WARN, allowed = allowed, configured = wanted; "descriptor limit of the process is lower than configured");
            allowed as usize
        }
        Ok(_) => wanted,
        Err(error) => {
            log!(WARN, reason = error, configured = wanted; "descriptor limit of the process is unknown");
            wanted
        }
    }
}

/// What hindered accept(2).
pub fn accept_error(error: &Error) -> AcceptError {
    match error.raw_os_error() {
        Some(libc::EMFILE | libc::ENFILE) => AcceptError::NoDescriptor,
        Some(libc::ENOBUFS | libc::ENOMEM) => AcceptError::NoMemory,
        Some(libc::EINTR) => AcceptError::Interrupted,
        // What accept(2) of Linux passes on of a connection that is over.
        Some(
            libc::ECONNABORTED
            | libc::EPROTO
            | libc::EPERM
            | libc::ENETDOWN
            | libc::ENOPROTOOPT
            | libc::EHOSTDOWN
            | libc::ENONET
            | libc::EHOSTUNREACH
            | libc::EOPNOTSUPP
            | libc::ENETUNREACH,
        ) => AcceptError::Aborted,
        _ => AcceptError::Other,
    }
}

/// One descriptor in reserve, so that a client that cannot be admitted is told so and not left in the accept queue.
#[derive(Default)]
pub struct ReserveDescriptor(Option<File>);

impl ReserveDescriptor {
    /// Opens one.
    pub fn open() -> ReserveDescriptor {
        ReserveDescriptor(File::open("/dev/null").ok())
    }

    /// Closes it while `action` runs, and opens it again; it may have gone to something else meanwhile.
    pub fn release_during<T>(&mut self, action: impl FnOnce() -> T) -> T {
        self.0 = None;
        let result = action();
        *self = ReserveDescriptor::open();
        result
    }
}
