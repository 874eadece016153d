//! The signals that the process has received and not handled yet.
//!
//! A signal's handler sets a flag and then wakes the main thread by a byte on a socket. The wake-up may fail, so the
//! main thread also looks at the flags at a fixed interval.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use std::io::{self, Read};
use std::os::fd::AsRawFd;
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The longest time in milliseconds that a signal waits to be handled if its wake-up has failed.
const CHECK_INTERVAL_MS: libc::c_int = 50;
/// The number of wake-ups that are removed from the socket at once.
const MAX_WAKE_UPS: usize = 64;

/// What a signal asks the process to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// SIGHUP: read the configuration again.
    Reload,
    /// SIGTERM or SIGINT: shut down gracefully.
    ShutDown,
}

/// The pending signals of the process.
pub struct PendingSignals {
    reload: Arc<AtomicBool>,
    shut_down: Arc<AtomicBool>,
    /// Receives one byte for each signal whose wake-up succeeds.
    wake_ups: UnixStream,
}

impl PendingSignals {
    /// Registers the handlers of SIGHUP, SIGTERM and SIGINT.
    ///
    /// # Errors
    /// The operating system refuses a handler or the socket.
    pub fn register() -> io::Result<PendingSignals> {
        let (wake_ups, sender) = UnixStream::pair()?;
        wake_ups.set_nonblocking(true)?;
        let signals = PendingSignals { reload: Arc::default(), shut_down: Arc::default(), wake_ups };
        for (signal, pending) in
            [(SIGHUP, &signals.reload), (SIGTERM, &signals.shut_down), (SIGINT, &signals.shut_down)]
        {
            // Handlers run in the order of their registration: the flag is set before the main thread is woken.
            flag::register(signal, pending.clone())?;
            pipe::register(signal, sender.try_clone()?)?;
        }
        Ok(signals)
    }

    /// Waits for signals. A reload comes before a shutdown that is pending at the same time.
    pub fn wait(&mut self) -> Vec<SignalRequest> {
        loop {
            self.wait_for_wake_up();
            let requests = self.take();
            if !requests.is_empty() {
                return requests;
            }
        }
    }

    /// Waits for a wake-up, but at most for the check interval. A failure is no different from a wake-up.
    fn wait_for_wake_up(&mut self) {
        let mut request = libc::pollfd { fd: self.wake_ups.as_raw_fd(), events: libc::POLLIN, revents: 0 };
        // SAFETY: the pointer is valid for the one entry that is passed.
        unsafe { libc::poll(&raw mut request, 1, CHECK_INTERVAL_MS) };
        let _ = self.wake_ups.read(&mut [0; MAX_WAKE_UPS]);
    }

    /// Takes the requests of the signals that have arrived.
    fn take(&self) -> Vec<SignalRequest> {
        let pending = [(&self.reload, SignalRequest::Reload), (&self.shut_down, SignalRequest::ShutDown)];
        let pending = pending.into_iter().filter(|(flag, _)| flag.swap(false, Ordering::AcqRel));
        pending.map(|(_, request)| request).collect()
    }
}
