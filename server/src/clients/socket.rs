//! A client's socket, and its outbox of encoded responses.

use crate::runtime::read_buffer::read_with;
use crate::runtime::socket_errors::{classify_socket_error, SocketFailure};
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use routing::time::TimeDelta;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Write};
use std::net::Shutdown;
use std::os::fd::AsRawFd;

/// The maximum number of responses in one vectored write.
const MAX_WRITE_SLICES: usize = 16;

/// The result of a read.
pub enum ReadOutcome {
    /// This many bytes were read.
    Bytes(usize),
    /// No bytes are available.
    WouldBlock,
    /// The kernel has no memory for the read; it must be repeated later.
    NoMemory,
    /// The client has closed the connection, or the connection is broken.
    Closed,
}

/// The result of writing the outbox.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum FlushOutcome {
    /// All responses were written.
    Complete,
    /// The socket's send buffer is full, because the client has not read its responses.
    Blocked,
    /// The kernel has no memory for the write; it must be repeated later.
    NoMemory,
}

/// A non-blocking socket, and the encoded responses that are to be written to it.
pub struct ClientSocket {
    stream: TcpStream,
    outbox: VecDeque<Vec<u8>>,
    /// The number of bytes of the outbox's first response that have been written.
    written: usize,
    /// The number of bytes written on the connection so far.
    total_written: u64,
}

impl ClientSocket {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> ClientSocket {
        // Nagle's algorithm would delay small responses.
        let _ = stream.set_nodelay(true);
        ClientSocket { stream, outbox: VecDeque::new(), written: 0, total_written: 0 }
    }

    /// A handle that ends the wait of a coroutine in [`ClientSocket::wait`].
    pub fn waker(&self) -> WaitIoWaker {
        self.stream.waker()
    }

    /// Suspends the calling coroutine until an event of the socket, or a wake-up.
    pub fn wait(&self) {
        self.stream.wait_io();
    }

    /// Reads up to `max_bytes` without blocking, and passes them to `consume`.
    pub fn read(&self, max_bytes: usize, mut consume: impl FnMut(&[u8])) -> ReadOutcome {
        loop {
            match read_with(self.stream.inner(), max_bytes, &mut consume) {
                Ok(0) => return ReadOutcome::Closed,
                Ok(count) => return ReadOutcome::Bytes(count),
                Err(error) => match classify_socket_error(&error) {
                    SocketFailure::Retry => {}
                    SocketFailure::NotReady => return ReadOutcome::WouldBlock,
                    SocketFailure::NoMemory => return ReadOutcome::NoMemory,
                    SocketFailure::Broken => return ReadOutcome::Closed,
                },
            }
        }
    }

    /// Appends a response to the outbox.
    pub fn push(&mut self, response: Vec<u8>) {
        self.outbox.push_back(response);
    }

    /// The number of responses in the outbox.
    pub fn queued(&self) -> usize {
        self.outbox.len()
    }

    /// The allocated size of all responses in the outbox, in bytes.
    pub fn queued_bytes(&self) -> usize {
        self.outbox.iter().map(Vec::capacity).sum()
    }

    /// Frees the memory of the outbox, which must be empty.
    pub fn free_outbox(&mut self) {
        self.outbox = VecDeque::new();
    }

    /// Writes as much of the outbox as the socket accepts without blocking.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn flush(&mut self) -> io::Result<FlushOutcome> {
        while !self.outbox.is_empty() {
            match self.stream.inner().write_vectored(&self.unwritten()) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.remove_written(count),
                Err(error) => match classify_socket_error(&error) {
                    SocketFailure::Retry => {}
                    SocketFailure::NotReady => return Ok(FlushOutcome::Blocked),
                    SocketFailure::NoMemory => return Ok(FlushOutcome::NoMemory),
                    SocketFailure::Broken => return Err(error),
                },
            }
        }
        Ok(FlushOutcome::Complete)
    }

    /// The unwritten bytes of the first responses in the outbox.
    fn unwritten(&self) -> Vec<IoSlice<'_>> {
        let responses = self.outbox.iter().take(MAX_WRITE_SLICES).enumerate();
        let unwritten = responses.map(|(index, response)| {
            let skipped = if index == 0 { self.written } else { 0 };
            IoSlice::new(&response[skipped..])
        });
        unwritten.collect()
    }

    /// Records that `count` bytes were written, and removes the responses that are complete.
    fn remove_written(&mut self, count: usize) {
        self.written += count;
        self.total_written += count as u64;
        while let Some(first) = self.outbox.front().filter(|first| first.len() <= self.written) {
            self.written -= first.len();
            self.outbox.pop_front();
        }
    }

    /// Shuts down the sending side of the connection.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn shutdown_write(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }

    /// Polls the socket without blocking; returns those of `events` that have occurred, and errors and hang-ups. A poll
    /// that a signal interrupts is repeated.
    ///
    /// # Errors
    /// The kernel refuses the poll.
    fn poll(&self, events: i16) -> io::Result<i16> {
        let mut request = libc::pollfd { fd: self.stream.as_raw_fd(), events, revents: 0 };
        loop {
            // SAFETY: the pointer is valid for the one entry that is passed; the timeout is zero.
            let ready = unsafe { libc::poll(&raw mut request, 1, 0) };
            let error = io::Error::last_os_error();
            match ready {
                0 => return Ok(0),
                1.. => return Ok(request.revents),
                _ if error.kind() == ErrorKind::Interrupted => {}
                _ => return Err(error),
            }
        }
    }

    /// Whether the client has closed its side of the connection, even if bytes that it sent before are unread.
    pub fn is_closed_by_client(&self) -> bool {
        let closed = libc::POLLRDHUP | libc::POLLHUP | libc::POLLERR;
        self.poll(libc::POLLRDHUP).is_ok_and(|events| events & closed != 0)
    }

    /// Whether there are unread bytes, with which closing the socket would reset the connection. If that is unknown,
    /// there may be some.
    pub fn has_unread(&self) -> bool {
        self.poll(libc::POLLIN).map_or(true, |events| events & libc::POLLIN != 0)
    }

    /// The number of unread bytes; `None` if unknown.
    pub fn unread_bytes(&self) -> Option<usize> {
        let mut bytes: libc::c_int = 0;
        // SAFETY: the pointer is valid for the integer that FIONREAD writes.
        let result = unsafe { libc::ioctl(self.stream.as_raw_fd(), libc::FIONREAD, &raw mut bytes) };
        usize::try_from(bytes).ok().filter(|_| result == 0)
    }

    /// How long ago the last bytes arrived from the client, in steps of the kernel's clock; zero if unknown.
    pub fn time_since_last_data(&self) -> TimeDelta {
        // SAFETY: zeroes are a valid `tcp_info`, and the pointers are valid for it and its length.
        let (result, info) = unsafe {
            let mut info: libc::tcp_info = std::mem::zeroed();
            let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
            let pointer = (&raw mut info).cast();
            let socket = self.stream.as_raw_fd();
            let result =
                libc::getsockopt(socket, libc::IPPROTO_TCP, libc::TCP_INFO, pointer, &raw mut length);
            (result, info)
        };
        if result < 0 {
            TimeDelta::ZERO
        } else {
            TimeDelta::from_millis(info.tcpi_last_data_recv.into())
        }
    }

    /// The number of bytes that the client's TCP stack has acknowledged so far.
    pub fn acknowledged_bytes(&self) -> u64 {
        self.total_written.saturating_sub(self.unacknowledged_bytes() as u64)
    }

    /// The number of bytes in the socket's send queue that the client's TCP stack has not acknowledged; 0 if unknown.
    pub fn unacknowledged_bytes(&self) -> usize {
        let mut bytes: libc::c_int = 0;
        // SAFETY: `TIOCOUTQ` writes one integer through the pointer.
        let result = unsafe { libc::ioctl(self.stream.as_raw_fd(), libc::TIOCOUTQ, &mut bytes) };
        if result < 0 {
            0
        } else {
            usize::try_from(bytes).unwrap_or(0)
        }
    }
}
