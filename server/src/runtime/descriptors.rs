//! The operating system's limit on descriptors, the errors of accept(2), and a reserve descriptor for the case that
//! the process runs out of descriptors.

use crate::log;
use admission::accept_backoff::AcceptError;
use std::fs::File;
use std::io::Error;

/// Raises the process's limit on descriptors to `wanted` if possible. Returns how many descriptors the process may
/// open, but at most `wanted`; if that cannot be determined, returns `wanted`.
pub fn raise_descriptor_limit(wanted: usize) -> usize {
    match rlimit::increase_nofile_limit(wanted as u64) {
        Ok(allowed) if allowed < wanted as u64 => {
            log!(WARN, allowed = allowed, configured = wanted; "descriptor limit of the process is lower than configured");
            allowed as usize
        }
        Ok(_) => wanted,
        Err(error) => {
            log!(WARN, reason = error, configured = wanted; "descriptor limit of the process cannot be read or raised");
            wanted
        }
    }
}

/// Classifies an error of accept(2) by its errno.
pub fn classify_accept_error(error: &Error) -> AcceptError {
    match error.raw_os_error() {
        Some(libc::EMFILE | libc::ENFILE) => AcceptError::NoDescriptor,
        Some(libc::ENOBUFS | libc::ENOMEM) => AcceptError::NoMemory,
        Some(libc::EINTR) => AcceptError::Interrupted,
        // Linux's accept(2) also returns pending network errors of the new connection, which has then ended already.
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

/// A descriptor that is kept in reserve; the default value holds none. When the process is out of descriptors, the
/// reserve is released to accept and reject a client, which would otherwise stay in the listen queue.
#[derive(Default)]
pub struct ReserveDescriptor(Option<File>);

impl ReserveDescriptor {
    /// Reserves a descriptor, if one is free.
    pub fn open() -> ReserveDescriptor {
        ReserveDescriptor(File::open("/dev/null").ok())
    }

    /// Releases the descriptor while `action` runs, and then reserves one again. If the process has used the
    /// descriptor for something else in the meantime, there is no reserve until a later call.
    pub fn release_during<T>(&mut self, action: impl FnOnce() -> T) -> T {
        self.0 = None;
        let result = action();
        *self = ReserveDescriptor::open();
        result
    }
}
