//! A connection that the front opened: its one owner reads and writes it, each with an end in time.

use crate::bell::Bell;
use crate::clock::{duration, Alarms};
use crate::ledger::{Entry, Weight};
use crate::log;
use may::io::WaitIo;
use may::net::TcpStream;
use routing::time::{Moment, Span};
use std::io::{ErrorKind, IoSlice, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;

/// So many bytes from one peer without a wait are enough: while there is always more to read, the worker
/// would serve nobody else.
pub const BURST: usize = 256 << 10;
pub const BREATH: Span = Span::millis(1);
/// Read at once at most.
const WINDOW: usize = 64 << 10;
/// Buffers smaller than this are let be when memory runs short.
pub const LIGHT: usize = 16 << 10;

/// What may come on a connection that nobody uses.
const MOST_IDLE: usize = 4 << 10;

/// Why a read or a write did not come about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// The other side closed or broke the connection.
    Broken,
    Late,
    Rung,
}

pub struct Wire {
    stream: TcpStream,
    alarms: Arc<Alarms>,
    pub buffer: Vec<u8>,
    weight: Weight,
    /// Read since it last waited.
    burst: usize,
    entry: Entry,
    /// The store on it has told, as a primary, of the epoch that it is on. One that is primary no more closes
    /// its connections, so this holds as long as the connection does.
    pub vouched: bool,
}

impl Wire {
    pub fn connect(
        alarms: &Arc<Alarms>,
        addr: &SocketAddr,
        by: Moment,
        entry: Entry,
    ) -> std::io::Result<Wire> {
        let left = by - alarms.now();
        if left.0 <= 0 {
            return Err(ErrorKind::TimedOut.into());
        }
        let stream = TcpStream::connect_timeout(addr, duration(left))?;
        stream.set_nodelay(true)?;
        let weight = entry.weight();
        Ok(Wire {
            stream,
            alarms: alarms.clone(),
            buffer: Vec::new(),
            weight,
            burst: 0,
            entry,
            vouched: false,
        })
    }

    /// Makes `by` and `bell` heard by the reads and writes that follow.
    pub fn listen_to(&self, by: Moment, bell: &Bell) {
        let waker = self.stream.waker();
        self.alarms.at(by, move || waker.wakeup());
        bell.wakes(self.stream.waker());
    }

    /// Until the socket may go on, unless it is to stop.
    fn wait(&self, by: Moment, bell: &Bell) -> Result<(), Stop> {
        if bell.is_rung() {
            return Err(Stop::Rung);
        }
        if self.alarms.now() >= by {
            return Err(Stop::Late);
        }
        self.stream.wait_io();
        Ok(())
    }

    /// Appends to the buffer what comes next.
    pub fn read(&mut self, by: Moment, bell: &Bell) -> Result<(), Stop> {
        loop {
            let before = self.buffer.len();
            let heard = self.stream.inner().take(WINDOW as u64).read_to_end(&mut self.buffer);
            let many = self.buffer.len() - before;
            match heard {
                _ if many > 0 => {}
                Ok(_) => return Err(Stop::Broken),
                Err(why) if why.kind() == ErrorKind::WouldBlock => {
                    self.burst = 0;
                    self.wait(by, bell)?;
                    continue;
                }
                Err(_) => return Err(Stop::Broken),
            }
            self.weight.set(self.buffer.len());
            if self.buffer.len() > LIGHT && self.entry.is_full() {
                log!(WARN; "a long answer was not read to its end: the memory for buffers is used up");
                return Err(Stop::Broken);
            }
            self.burst += many;
            if self.burst >= BURST {
                self.burst = 0;
                self.alarms.pause(BREATH);
            }
            return Ok(());
        }
    }

    /// Gives away what was read; it is weighed where it goes.
    pub fn take_buffer(&mut self) -> Vec<u8> {
        self.weight.set(0);
        std::mem::take(&mut self.buffer)
    }

    /// Writes all parts. An error means that the last byte never left.
    pub fn write(&mut self, parts: &[&[u8]], by: Moment, bell: &Bell) -> Result<(), Stop> {
        let total: usize = parts.iter().map(|part| part.len()).sum();
        let mut left = 0;
        while left < total {
            let mut skip = left;
            let rest = parts.iter().map(|part| {
                let cut = skip.min(part.len());
                skip -= cut;
                IoSlice::new(&part[cut..])
            });
            let slices: Vec<IoSlice> = rest.filter(|slice| !slice.is_empty()).collect();
            match self.stream.inner().write_vectored(&slices) {
                Ok(0) => return Err(Stop::Broken),
                Ok(n) => left += n,
                Err(why) if why.kind() == ErrorKind::WouldBlock => self.wait(by, bell)?,
                Err(why) if why.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(Stop::Broken),
            }
        }
        Ok(())
    }

    /// Appends what has come to the buffer of an idle connection without waiting; false where it has ended,
    /// or more has come than can belong there.
    pub fn read_now(&mut self) -> bool {
        let mut bytes = [0; 512];
        while self.buffer.len() <= MOST_IDLE {
            match self.stream.inner().read(&mut bytes) {
                Ok(0) => return false,
                Ok(n) => self.buffer.extend_from_slice(&bytes[..n]),
                Err(why) if why.kind() == ErrorKind::WouldBlock => return true,
                Err(why) if why.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        false
    }

    /// Whether it stands, and nothing has come on it that nobody asked for.
    pub fn is_quiet(&mut self) -> bool {
        self.read_now() && self.buffer.is_empty()
    }

    /// Writes a few bytes without waiting; false where they did not leave.
    pub fn write_now(&mut self, bytes: &[u8]) -> bool {
        self.stream.inner().write(bytes).is_ok_and(|written| written == bytes.len())
    }
}
