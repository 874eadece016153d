//! Connections that the server opens to endpoints and to discovery. Every read and write has a deadline and can be
//! cancelled.

use crate::endpoints::connecting::{ConnectFailure, PendingConnection};
use crate::log;
use crate::runtime::cancellation::CancellationToken;
use crate::runtime::clock::Timers;
use crate::runtime::event_loop::wait_for_poll;
use crate::runtime::read_buffer::read_with;
use crate::runtime::resource_limits::{BufferCharge, Descriptor};
use crate::runtime::socket_errors::{classify_socket_error, SocketFailure, MEMORY_RETRY_DELAY};
use admission::memory_plan::CONNECTION_BUFFER_BYTES;
use may::io::WaitIo;
use may::net::TcpStream;
use routing::time::{TimeDelta, Timestamp};
use sessions::epochs::Epoch;
use std::io::{IoSlice, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;

/// The number of bytes that are read from one peer before the worker must poll for other events.
const MAX_BURST_BYTES: usize = 256 << 10;
/// The first size of the buffer in bytes, large enough for most answers.
const INITIAL_BUFFER_BYTES: usize = 1 << 10;
/// The step by which the buffer grows beyond its small size if the length of the message is not known, in bytes.
const BUFFER_GROWTH_BYTES: usize = 16 << 10;
/// The pause before memory for a long answer is reserved again.
const RESERVATION_RETRY_DELAY: TimeDelta = TimeDelta::from_millis(20);
/// The counter of answers that had to wait for memory.
const MEMORY_WAITS_COUNTER: &str = "gingerwick_answer_memory_waits_total";
/// The maximum number of bytes that are accepted on an idle connection. The answer to an empty query is shorter.
const MAX_IDLE_BYTES: usize = 4 << 10;
/// The size of the buffer for reads on an idle connection. It is small because the buffer is on the coroutine's stack.
const IDLE_READ_BYTES: usize = 512;

/// The longest time for which a timer of a connection is set. A timer stays in memory until it fires, also if what it was
/// set for has ended, so timers for a client's whole timeout would pile up.
const MAX_TIMER_DURATION: TimeDelta = TimeDelta::from_millis(3_000);

/// The pause before a connection is opened again for which this machine had no descriptor, port or memory.
const RESOURCE_RETRY_DELAY: TimeDelta = TimeDelta::from_millis(5);

/// Why a read or a write has failed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum IoError {
    /// The peer closed the connection, or it is broken.
    #[error("connection lost")]
    ConnectionLost,
    /// The deadline has passed.
    #[error("timed out")]
    TimedOut,
    /// The operation was cancelled.
    #[error("cancelled")]
    Cancelled,
}

impl From<IoError> for ConnectFailure {
    fn from(error: IoError) -> ConnectFailure {
        match error {
            IoError::ConnectionLost => ConnectFailure::Unreachable,
            IoError::TimedOut => ConnectFailure::TimedOut,
            IoError::Cancelled => ConnectFailure::Cancelled,
        }
    }
}

/// Why the bytes on an idle connection cannot be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum IdleReadError {
    /// The connection cannot be used any more.
    #[error("connection closed")]
    Closed,
    /// The kernel has no memory for the read, so the state of the connection is unknown.
    #[error("no memory")]
    NoMemory,
}

/// The conditions that end a read or a write before it has completed.
#[derive(Clone, Copy)]
pub struct IoLimits<'a> {
    /// When the operation times out.
    pub deadline: Timestamp,
    /// Cancels the operation.
    pub cancellation: &'a CancellationToken,
}

impl IoLimits<'_> {
    /// Checks that the operation may go on.
    ///
    /// # Errors
    /// It was cancelled, or its deadline has passed.
    fn check(&self, now: Timestamp) -> Result<(), IoError> {
        if self.cancellation.is_cancelled() {
            return Err(IoError::Cancelled);
        }
        if now >= self.deadline {
            return Err(IoError::TimedOut);
        }
        Ok(())
    }
}

/// A connection to an endpoint or to discovery.
pub struct PeerConnection {
    stream: TcpStream,
    timers: Arc<Timers>,
    /// Bytes that were read but have not been consumed yet.
    pub buffer: Vec<u8>,
    /// The memory of the buffer beyond `unreserved_bytes`.
    charge: BufferCharge,
    /// The size up to which the buffer needs no reservation: that of the connection's small buffers, or of the answer for
    /// which the request has reserved memory.
    unreserved_bytes: usize,
    /// The size that the buffer will need, as far as it is known.
    expected_bytes: usize,
    /// Bytes read since the coroutine last waited.
    burst_bytes: usize,
    _descriptor: Descriptor,
    /// When the timer fires that was set last.
    wakes_at: Timestamp,
    /// The epoch that the endpoint has last reported on this connection as the primary; `None` if it has reported none.
    /// An endpoint closes its connections when it stops being the primary, so the epoch is valid as long as the
    /// connection is open.
    pub primary_epoch: Option<Epoch>,
}

impl PeerConnection {
    /// Connects to a peer. If this machine has no resources for the connection, tries again until the deadline.
    ///
    /// # Errors
    /// The peer refused the connection or did not accept it before the deadline, this machine has had no resources for
    /// it until then, or the operation was cancelled.
    pub fn connect(
        timers: &Arc<Timers>,
        addr: &SocketAddr,
        limits: IoLimits,
        descriptor: Descriptor,
    ) -> Result<PeerConnection, ConnectFailure> {
        let stream = loop {
            match open_stream(timers, addr, limits) {
                Err(ConnectFailure::NoResources) if timers.now() + RESOURCE_RETRY_DELAY < limits.deadline => {
                    timers.sleep_unless_cancelled(RESOURCE_RETRY_DELAY, limits.cancellation);
                }
                result => break result?,
            }
        };
        // Nagle's algorithm would delay the last part of a request.
        let _ = stream.set_nodelay(true);
        Ok(PeerConnection {
            stream,
            timers: timers.clone(),
            buffer: Vec::new(),
            charge: descriptor.buffer_charge(),
            unreserved_bytes: CONNECTION_BUFFER_BYTES,
            expected_bytes: INITIAL_BUFFER_BYTES,
            burst_bytes: 0,
            _descriptor: descriptor,
            wakes_at: Timestamp::DISTANT_PAST,
            primary_epoch: None,
        })
    }

    /// Ensures that reads and writes wake up at the deadline and on cancellation. Must be called before the first
    /// read or write with new limits.
    ///
    /// A timer that was set before and fires earlier serves as well: the wait goes on after it with another one.
    pub fn schedule_wake_ups(&mut self, limits: IoLimits) {
        let now = self.timers.now();
        if self.wakes_at > now && self.wakes_at <= limits.deadline {
            limits.cancellation.register_socket(self.stream.waker());
        } else {
            self.wakes_at = schedule_wake_ups(&self.timers, &self.stream, limits);
        }
    }

    /// Sets the size up to which the buffer needs no reservation, in bytes.
    pub fn set_unreserved_bytes(&mut self, bytes: usize) {
        self.unreserved_bytes = bytes;
    }

    /// Announces that the buffer will hold this many bytes, so that it does not grow in steps.
    pub fn expect_bytes(&mut self, bytes: usize) {
        self.expected_bytes = bytes;
    }

    /// As [`wait`], for the connection's socket.
    ///
    /// # Errors
    /// The deadline has passed, or the operation was cancelled.
    fn wait(&mut self, limits: IoLimits) -> Result<(), IoError> {
        wait(&self.timers, &self.stream, limits, &mut self.wakes_at)
    }

    /// Waits until a failed read or write can be repeated.
    ///
    /// # Errors
    /// The connection is broken, the deadline has passed, or the operation was cancelled.
    fn wait_after(&mut self, error: &std::io::Error, limits: IoLimits) -> Result<(), IoError> {
        match classify_socket_error(error) {
            SocketFailure::Retry => Ok(()),
            SocketFailure::NotReady => self.wait(limits),
            SocketFailure::NoMemory => {
                let waker = self.stream.waker();
                self.timers.call_at(self.timers.now() + MEMORY_RETRY_DELAY, move || waker.wakeup());
                self.wait(limits)
            }
            SocketFailure::Broken => Err(IoError::ConnectionLost),
        }
    }

    /// Waits for bytes and appends them to the buffer.
    ///
    /// # Errors
    /// The connection was lost, the deadline passed or the operation was cancelled before any byte arrived, or the buffer
    /// would have to be larger than all buffers may be.
    pub fn read(&mut self, limits: IoLimits) -> Result<(), IoError> {
        self.reserve_buffer(limits)?;
        loop {
            let buffer = &mut self.buffer;
            let room = buffer.capacity() - buffer.len();
            let result = read_with(self.stream.inner(), room, |bytes| buffer.extend_from_slice(bytes));
            match result {
                Ok(0) => return Err(IoError::ConnectionLost),
                Ok(count) => {
                    self.account_read(count);
                    return Ok(());
                }
                Err(error) => {
                    self.burst_bytes = 0;
                    self.wait_after(&error, limits)?;
                }
            }
        }
    }

    /// Enlarges the buffer if it is full, and reserves the memory for that first. While memory is short, waits, and
    /// the bytes stay in the socket.
    ///
    /// # Errors
    /// There was no memory until the deadline or the cancellation, or there never will be.
    fn reserve_buffer(&mut self, limits: IoLimits) -> Result<(), IoError> {
        if self.buffer.len() < self.buffer.capacity() {
            return Ok(());
        }
        let size = self.next_buffer_size();
        if !self.charge.can_ever_be(size.saturating_sub(self.unreserved_bytes)) {
            log!(WARN, bytes = size, reason = "larger than the memory for all buffers"; "endpoint connection closed within a long answer");
            return Err(IoError::ConnectionLost);
        }
        let mut has_waited = false;
        while !self.charge.try_set_for_answer(size.saturating_sub(self.unreserved_bytes)) {
            if !has_waited {
                metrics::counter!(MEMORY_WAITS_COUNTER).increment(1);
                log!(WARN, bytes = size, reason = "memory is short"; "long answer of an endpoint waits");
            }
            has_waited = true;
            limits.check(self.timers.now())?;
            self.timers.sleep_unless_cancelled(RESERVATION_RETRY_DELAY, limits.cancellation);
        }
        self.buffer.reserve_exact(size - self.buffer.len());
        Ok(())
    }

    /// The next size of the buffer, which is full.
    fn next_buffer_size(&self) -> usize {
        match self.buffer.len() {
            length if length < self.expected_bytes => self.expected_bytes,
            length if length < CONNECTION_BUFFER_BYTES => CONNECTION_BUFFER_BYTES,
            length => length + BUFFER_GROWTH_BYTES,
        }
    }

    /// Counts bytes that were read as part of the current burst. When the burst has reached [`MAX_BURST_BYTES`], waits
    /// until the worker has polled for other events.
    fn account_read(&mut self, bytes: usize) {
        self.burst_bytes += bytes;
        if self.burst_bytes >= MAX_BURST_BYTES {
            self.burst_bytes = 0;
            wait_for_poll();
        }
    }

    /// Takes the buffer out of the connection, with the charge for its memory.
    pub fn take_buffer(&mut self) -> (Vec<u8>, BufferCharge) {
        self.unreserved_bytes = CONNECTION_BUFFER_BYTES;
        self.expected_bytes = INITIAL_BUFFER_BYTES;
        let charge = self.charge.take();
        (std::mem::take(&mut self.buffer), charge)
    }

    /// Writes all parts in order. Waits while the socket's send buffer is full.
    ///
    /// # Errors
    /// The connection was lost, the deadline passed or the operation was cancelled before the last byte was sent.
    pub fn write(&mut self, parts: &[&[u8]], limits: IoLimits) -> Result<(), IoError> {
        let total: usize = parts.iter().map(|part| part.len()).sum();
        let mut written = 0;
        while written < total {
            match self.stream.inner().write_vectored(&unwritten(parts, written)) {
                Ok(0) => return Err(IoError::ConnectionLost),
                Ok(bytes) => written += bytes,
                Err(error) => self.wait_after(&error, limits)?,
            }
        }
        Ok(())
    }

    /// Appends the bytes that have arrived on an idle connection to the buffer, without waiting for more.
    ///
    /// # Errors
    /// The peer has closed the connection, the buffer exceeds `MAX_IDLE_BYTES`, or the kernel has no memory.
    pub fn read_available(&mut self) -> Result<(), IdleReadError> {
        let mut bytes = [0; IDLE_READ_BYTES];
        while self.buffer.len() <= MAX_IDLE_BYTES {
            match self.stream.inner().read(&mut bytes) {
                Ok(0) => return Err(IdleReadError::Closed),
                Ok(count) => self.buffer.extend_from_slice(&bytes[..count]),
                Err(error) => match classify_socket_error(&error) {
                    SocketFailure::Retry => {}
                    SocketFailure::NotReady => return Ok(()),
                    SocketFailure::NoMemory => return Err(IdleReadError::NoMemory),
                    SocketFailure::Broken => return Err(IdleReadError::Closed),
                },
            }
        }
        Err(IdleReadError::Closed)
    }

    /// Checks that the connection is open and has received no bytes.
    ///
    /// # Errors
    /// As for [`PeerConnection::read_available`], and `Closed` if bytes have arrived.
    pub fn check_open_without_data(&mut self) -> Result<(), IdleReadError> {
        self.read_available()?;
        if self.buffer.is_empty() {
            Ok(())
        } else {
            Err(IdleReadError::Closed)
        }
    }

    /// Writes bytes without waiting. Returns false if the socket did not accept all of them.
    pub fn try_write(&mut self, bytes: &[u8]) -> bool {
        self.stream.inner().write(bytes).is_ok_and(|written| written == bytes.len())
    }
}

/// Opens a connection.
///
/// # Errors
/// As for [`PeerConnection::connect`].
fn open_stream(timers: &Timers, addr: &SocketAddr, limits: IoLimits) -> Result<TcpStream, ConnectFailure> {
    let mut pending = PendingConnection::start(addr)?;
    let mut wakes_at = schedule_wake_ups(timers, &pending.stream, limits);
    while !pending.check_open()? {
        wait(timers, &pending.stream, limits, &mut wakes_at)?;
    }
    Ok(pending.stream)
}

/// Ensures that a wait for a socket ends at the deadline and on cancellation. Returns when the timer fires: at the
/// deadline, but after [`MAX_TIMER_DURATION`] at the latest.
fn schedule_wake_ups(timers: &Timers, stream: &TcpStream, limits: IoLimits) -> Timestamp {
    let waker = stream.waker();
    let wakes_at = limits.deadline.min(timers.now() + MAX_TIMER_DURATION);
    timers.call_at(wakes_at, move || waker.wakeup());
    limits.cancellation.register_socket(stream.waker());
    wakes_at
}

/// Waits until the socket is ready, the deadline has passed or the operation is cancelled. `wakes_at` is when the timer
/// fires that was set last.
///
/// # Errors
/// The deadline has passed, or the operation was cancelled.
fn wait(
    timers: &Timers,
    stream: &TcpStream,
    limits: IoLimits,
    wakes_at: &mut Timestamp,
) -> Result<(), IoError> {
    let now = timers.now();
    limits.check(now)?;
    if now >= *wakes_at {
        *wakes_at = schedule_wake_ups(timers, stream, limits);
    }
    stream.wait_io();
    Ok(())
}

/// The slices of `parts` that follow the first `written` bytes.
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
