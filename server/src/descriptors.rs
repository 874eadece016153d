//! The machine's own limit of descriptors, and one that is held back for when they run out all the same.

use crate::log;
use admission::door::Trouble;
use std::fs::File;
use std::io::Error;

/// How many descriptors the front may go by: as many as its settings say, or fewer where the process may not open so
/// many even after its limit was raised as far as the machine lets it.
pub fn available(wanted: usize) -> usize {
    match rlimit::increase_nofile_limit(wanted as u64) {
        Ok(may) if may < wanted as u64 => {
            log!(WARN; "the process may open {may} descriptors, the settings say {wanted}: it goes by {may}");
            may as usize
        }
        Ok(_) => wanted,
        Err(why) => {
            log!(WARN; "the limit of descriptors is not known: {why}; it goes by the settings");
            wanted
        }
    }
}

/// What hindered accept(2), in the terms of whoever decides what to do about it.
pub fn trouble(why: &Error) -> Trouble {
    match why.raw_os_error() {
        Some(libc::EMFILE | libc::ENFILE) => Trouble::Descriptors,
        Some(libc::ENOBUFS | libc::ENOMEM) => Trouble::Memory,
        Some(libc::EINTR) => Trouble::Interrupted,
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
        ) => Trouble::Over,
        _ => Trouble::Other,
    }
}

/// One descriptor that is held back, so that who can't be taken is told so and not left in the queue.
#[derive(Default)]
pub struct Spare(Option<File>);

impl Spare {
    pub fn hold() -> Spare {
        Spare(File::open("/dev/null").ok())
    }

    /// Gives it up while something is done, and takes it back; it may have gone to somebody else meanwhile.
    pub fn lend<T>(&mut self, with: impl FnOnce() -> T) -> T {
        self.0 = None;
        let done = with();
        *self = Spare::hold();
        done
    }
}
