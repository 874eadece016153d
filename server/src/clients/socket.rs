//! A client's socket, and the responses that are on their way out.

use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::Shutdown;
use std::os::fd::AsRawFd;

/// Bytes of one read at most.
const READ_BYTES: usize = 4096;
/// Responses that go out in one write at most.
const MAX_WRITE_SLICES: usize = 16;

/// What a read came to.
pub enum ReadOutcome {
    /// So many bytes.
    Bytes(usize),
    /// Nothing is there.
    WouldBlock,
    /// The client has ended the connection.
    Closed,
}

/// Whether all responses have left.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum FlushOutcome {
    /// They have.
    Complete,
    /// The client must read first.
    Blocked,
}

/// A client's socket.
pub struct ClientSocket {
    stream: TcpStream,
    outbox: VecDeque<Vec<u8>>,
    /// How much of the first response in the outbox was written.
    written: usize,
}

impl ClientSocket {
    /// A socket that nothing was read from yet.
    pub fn new(stream: TcpStream) -> ClientSocket {
        // Small writes must not wait for others.
        let _ = stream.set_nodelay(true);
        ClientSocket { stream, outbox: VecDeque::new(), written: 0 }
    }

    /// Wakes the coroutine that waits for this socket.
    pub fn waker(&self) -> WaitIoWaker {
        self.stream.waker()
    }

    /// Waits until something happens on the socket, or it is woken.
    pub fn wait(&self) {
        self.stream.wait_io();
    }

    /// Reads up to `max_bytes` and hands them to `take`.
    pub fn read(&self, max_bytes: usize, take: impl FnOnce(&[u8])) -> ReadOutcome {
        let mut bytes = [0; READ_BYTES];
        let max_bytes = max_bytes.min(bytes.len());
        loop {
            match self.stream.inner().read(&mut bytes[..max_bytes]) {
                Ok(0) => return ReadOutcome::Closed,
                Ok(count) => {
                    take(&bytes[..count]);
                    return ReadOutcome::Bytes(count);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadOutcome::WouldBlock,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return ReadOutcome::Closed,
            }
        }
    }

    /// Queues a response.
    pub fn push(&mut self, response: Vec<u8>) {
        self.outbox.push_back(response);
    }

    /// Responses that have not left.
    pub fn queued(&self) -> usize {
        self.outbox.len()
    }

    /// Bytes of them.
    pub fn queued_bytes(&self) -> usize {
        self.outbox.iter().map(Vec::len).sum()
    }

    /// Frees the buffers of an empty outbox.
    pub fn free_outbox(&mut self) {
        self.outbox = VecDeque::new();
    }

    /// Writes what it can.
    pub fn flush(&mut self) -> io::Result<FlushOutcome> {
        while !self.outbox.is_empty() {
            match self.stream.inner().write_vectored(&self.unwritten()) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.account_written(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(FlushOutcome::Blocked),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(FlushOutcome::Complete)
    }

    fn unwritten(&self) -> Vec<IoSlice<'_>> {
        let responses = self.outbox.iter().take(MAX_WRITE_SLICES).enumerate();
        let unwritten = responses.map(|(index, response)| {
            let skipped = if index == 0 { self.written } else { 0 };
            IoSlice::new(&response[skipped..])
        });
        unwritten.collect()
    }

    fn account_written(&mut self, count: usize) {
        self.written += count;
        while let Some(first) = self.outbox.front().filter(|first| first.len() <= self.written) {
            self.written -= first.len();
            self.outbox.pop_front();
        }
    }

    /// Ends sending.
    pub fn shutdown_write(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }

    /// What the system reports of the socket now, of these events and of its end.
    fn poll(&self, events: i16) -> i16 {
        let mut request = libc::pollfd { fd: self.stream.as_raw_fd(), events, revents: 0 };
        // SAFETY: it is given one entry, and does not wait.
        let ready = unsafe { libc::poll(&mut request, 1, 0) };
        if ready > 0 {
            request.revents
        } else {
            0
        }
    }

    /// Whether the client has ended the connection, whatever it sent before that is still unread.
    pub fn has_ended(&self) -> bool {
        self.poll(libc::POLLRDHUP) & (libc::POLLRDHUP | libc::POLLHUP | libc::POLLERR) != 0
    }

    /// Whether bytes are unread: a close would reset the connection.
    pub fn has_unread(&self) -> bool {
        self.poll(libc::POLLIN) & libc::POLLIN != 0
    }

    /// Bytes sent that the client's system has not acknowledged; none if that is not known.
    pub fn unacknowledged_bytes(&self) -> usize {
        let mut bytes: libc::c_int = 0;
        // SAFETY: the request writes one integer.
        let result = unsafe { libc::ioctl(self.stream.as_raw_fd(), libc::TIOCOUTQ, &mut bytes) };
        if result < 0 {
            0
        } else {
            usize::try_from(bytes).unwrap_or(0)
        }
    }
}
