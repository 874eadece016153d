//! The operating system's limit on descriptors, and a reserve descriptor for when they run out all the same.

use crate::log;
use admission::accept_backoff::AcceptError;
use std::fs::File;
use std::io::Error;

/// Raises the process's limit on descriptors to `wanted` if possible, and returns how many the process may open,
/// `wanted` at most.
pub fn raise_descriptor_limit(wanted: usize) -> usize {
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

/// Classifies an error of accept(2).
pub fn classify_accept_error(error: &Error) -> AcceptError {
    match error.raw_os_error() {
        Some(libc::EMFILE | libc::ENFILE) => AcceptError::NoDescriptor,
        Some(libc::ENOBUFS | libc::ENOMEM) => AcceptError::NoMemory,
        Some(libc::EINTR) => AcceptError::Interrupted,
        // Network errors of a connection that has ended already, which Linux's accept(2) returns.
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

/// A descriptor in reserve. When the process has run out of descriptors, it is released to accept and reject a
/// client, which would otherwise stay in the listen queue.
#[derive(Default)]
pub struct ReserveDescriptor(Option<File>);

impl ReserveDescriptor {
    /// Reserves a descriptor.
    pub fn open() -> ReserveDescriptor {
        ReserveDescriptor(File::open("/dev/null").ok())
    }

    /// Releases the descriptor while `action` runs, and then reserves one again. That fails if another part of the
    /// process has taken the descriptor meanwhile.
    pub fn release_during<T>(&mut self, action: impl FnOnce() -> T) -> T {
        self.0 = None;
        let result = action();
        *self = ReserveDescriptor::open();
        result
    }
}
