//! A connection that the server opened: its one owner reads and writes it, each with a deadline.

use crate::log;
use crate::runtime::cancellation::CancellationToken;
use crate::runtime::clock::{to_duration, Timers};
use crate::runtime::resource_limits::{BufferCharge, Descriptor};
use may::io::WaitIo;
use may::net::TcpStream;
use routing::time::{TimeDelta, Timestamp};
use std::io::{ErrorKind, IoSlice, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;

/// Bytes from one peer without a wait: while there is always more to read, the worker would serve nobody else.
pub const MAX_BURST_BYTES: usize = 256 << 10;
/// The pause behind so many bytes.
pub const BURST_PAUSE: TimeDelta = TimeDelta::from_millis(1);
/// Bytes of one read at most.
const READ_BYTES: u64 = 64 << 10;
/// Smaller buffers are left alone when memory runs short.
pub const SMALL_BUFFER_BYTES: usize = 16 << 10;
/// Bytes that may come on an idle connection.
const MAX_IDLE_BYTES: usize = 4 << 10;

/// Why a read or a write did not succeed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum IoStop {
    /// The peer closed or broke the connection.
    #[error("connection lost")]
    ConnectionLost,
    /// The deadline has passed.
    #[error("timed out")]
    TimedOut,
    /// The work was cancelled.
    #[error("cancelled")]
    Cancelled,
}

/// When the work on a connection ends, whatever comes.
#[derive(Clone, Copy)]
pub struct IoLimits<'a> {
    /// The deadline.
    pub deadline: Timestamp,
    /// Cancels it.
    pub cancellation: &'a CancellationToken,
}

/// A connection to an endpoint or to discovery.
pub struct PeerConnection {
    stream: TcpStream,
    timers: Arc<Timers>,
    /// What was read and not used yet.
    pub buffer: Vec<u8>,
    charge: BufferCharge,
    /// Bytes read since it last waited.
    burst_bytes: usize,
    descriptor: Descriptor,
    /// The endpoint has reported, as a primary, the epoch that it is in. One that is no longer primary closes its
    /// connections, so this holds as long as the connection does.
    pub epoch_confirmed: bool,
}

impl PeerConnection {
    /// Connects by a deadline.
    ///
    /// # Errors
    /// The peer does not answer or refuses.
    pub fn connect(
        timers: &Arc<Timers>,
        addr: &SocketAddr,
        deadline: Timestamp,
        descriptor: Descriptor,
    ) -> std::io::Result<PeerConnection> {
        let remaining = deadline - timers.now();
        if remaining <= TimeDelta::ZERO {
            return Err(ErrorKind::TimedOut.into());
        }
        let stream = TcpStream::connect_timeout(addr, to_duration(remaining))?;
        stream.set_nodelay(true)?;
        Ok(PeerConnection {
            stream,
            timers: timers.clone(),
            buffer: Vec::new(),
            charge: descriptor.buffer_charge(),
            burst_bytes: 0,
            descriptor,
            epoch_confirmed: false,
        })
    }

    /// Makes the reads and writes that follow wake up at these limits.
    pub fn arm(&self, limits: IoLimits) {
        let waker = self.stream.waker();
        self.timers.call_at(limits.deadline, move || waker.wakeup());
        limits.cancellation.wake_socket(self.stream.waker());
    }

    /// Waits until the socket may go on, unless it is to stop.
    fn wait(&self, limits: IoLimits) -> Result<(), IoStop> {
        if limits.cancellation.is_cancelled() {
            return Err(IoStop::Cancelled);
        }
        if self.timers.now() >= limits.deadline {
            return Err(IoStop::TimedOut);
        }
        self.stream.wait_io();
        Ok(())
    }

    /// Appends what comes next to the buffer.
    ///
    /// # Errors
    /// Nothing more comes within the limits.
    pub fn read(&mut self, limits: IoLimits) -> Result<(), IoStop> {
        loop {
            let length_before = self.buffer.len();
            let result = self.stream.inner().take(READ_BYTES).read_to_end(&mut self.buffer);
            let bytes = self.buffer.len() - length_before;
            if bytes > 0 {
                return self.account_read(bytes);
            }
            match result {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.burst_bytes = 0;
                    self.wait(limits)?;
                }
                Ok(_) | Err(_) => return Err(IoStop::ConnectionLost),
            }
        }
    }

    fn account_read(&mut self, bytes: usize) -> Result<(), IoStop> {
        self.charge.set(self.buffer.len());
        if self.buffer.len() > SMALL_BUFFER_BYTES && self.descriptor.is_memory_critical() {
            log!(WARN, buffered = self.buffer.len(), reason = "buffer memory used up"; "long answer cut off");
            return Err(IoStop::ConnectionLost);
        }
        self.burst_bytes += bytes;
        if self.burst_bytes >= MAX_BURST_BYTES {
            self.burst_bytes = 0;
            self.timers.sleep(BURST_PAUSE);
        }
        Ok(())
    }

    /// Gives the buffer away; it is charged where it goes.
    pub fn take_buffer(&mut self) -> Vec<u8> {
        self.charge.set(0);
        std::mem::take(&mut self.buffer)
    }

    /// Writes all parts.
    ///
    /// # Errors
    /// The last byte was not sent.
    pub fn write(&mut self, parts: &[&[u8]], limits: IoLimits) -> Result<(), IoStop> {
        let total: usize = parts.iter().map(|part| part.len()).sum();
        let mut written = 0;
        while written < total {
            match self.stream.inner().write_vectored(&unwritten(parts, written)) {
                Ok(0) => return Err(IoStop::ConnectionLost),
                Ok(bytes) => written += bytes,
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.wait(limits)?,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(IoStop::ConnectionLost),
            }
        }
        Ok(())
    }

    /// Appends what has come on an idle connection to the buffer without waiting; false if the connection has ended, or more
    /// has come than can belong there.
    pub fn read_available(&mut self) -> bool {
        let mut bytes = [0; 512];
        while self.buffer.len() <= MAX_IDLE_BYTES {
            match self.stream.inner().read(&mut bytes) {
                Ok(0) => return false,
                Ok(count) => self.buffer.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        false
    }

    /// Whether the connection stands, and nothing has come on it unasked.
    pub fn is_quiet(&mut self) -> bool {
        self.read_available() && self.buffer.is_empty()
    }

    /// Writes a few bytes without waiting; false if they were not sent.
    pub fn try_write(&mut self, bytes: &[u8]) -> bool {
        self.stream.inner().write(bytes).is_ok_and(|written| written == bytes.len())
    }
}

/// The rest of some parts, behind so many bytes.
fn unwritten<'a>(parts: &[&'a [u8]], mut written: usize) -> Vec<IoSlice<'a>> {
    let mut slices = Vec::with_capacity(parts.len());
    for part in parts {
        let skipped = written.min(part.len());
        written -= skipped;
        if skipped < part.len() {
            slices.push(IoSlice::new(&part[skipped..]));
        }
    }
    slices
}
