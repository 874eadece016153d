//! Clients of a flood that one thread drives: they send slowly, stop within a query, or read their answers slowly.

use crate::flood::kind::{FloodKind, PacedBytes};
use crate::flood::shared::{Shared, STARTUP};
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// The pause between two bytes of a query that is sent byte by byte, for all clients of its thread.
const BYTE_PAUSE: Duration = Duration::from_millis(2);
/// How long clients that have stopped within a query stay connected, before they connect again.
const STOP_TIME: Duration = Duration::from_millis(3_000);
/// Longer than any flood lasts.
const MAX_FLOOD_TIME: Duration = Duration::from_secs(60);
/// The pause between two reads of a slow reader.
const READ_PAUSE: Duration = Duration::from_millis(50);
/// The number of bytes that a slow reader reads at a time.
const SLOW_READ_BYTES: usize = 200;
/// The receive buffer of a slow reader's socket, in bytes.
const SLOW_RECEIVE_BUFFER_BYTES: usize = 4 << 10;
/// How long a client waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connected client. What it cannot send at once is lost.
struct PacedClient {
    stream: TcpStream,
    bytes: PacedBytes,
}

impl PacedClient {
    /// Connects, and sends what the client sends at once.
    fn start(
        kind: FloodKind,
        number: u64,
        target: SocketAddr,
        receive_buffer: Option<usize>,
    ) -> Option<Self> {
        let socket = Socket::new(Domain::for_address(target), Type::STREAM, None).ok()?;
        if let Some(bytes) = receive_buffer {
            socket.set_recv_buffer_size(bytes).ok()?;
        }
        socket.connect_timeout(&target.into(), CONNECT_TIMEOUT).ok()?;
        let mut stream = TcpStream::from(socket);
        stream.set_nodelay(true).ok()?;
        stream.set_nonblocking(true).ok()?;
        let bytes = kind.paced_bytes(number);
        stream.write_all(STARTUP).ok()?;
        let _ = stream.write_all(&bytes.start);
        Some(PacedClient { stream, bytes })
    }

    /// Reads up to `max_bytes`; returns false if the connection has ended.
    fn read(&mut self, max_bytes: usize) -> bool {
        let mut buffer = vec![0; max_bytes];
        match self.stream.read(&mut buffer) {
            Ok(count) => count > 0,
            Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }
}

/// Runs clients that send a part of a query at once, the rest byte by byte or not at all, and then start again on new
/// connections, or, for the kinds of [`FloodKind::SOAK`], stay connected.
pub(super) fn run_senders(shared: &Shared, kind: FloodKind, clients: usize, target: SocketAddr) {
    let mut round = 0;
    while !shared.is_over.load(Ordering::Acquire) {
        let started_at = Instant::now();
        let first = round * clients as u64;
        let start = |index| PacedClient::start(kind, first + index, target, None);
        let mut connected: Vec<PacedClient> = (0..clients as u64).filter_map(start).collect();
        let tail_bytes = connected.iter().map(|client| client.bytes.tail.len()).max().unwrap_or(0);
        for offset in 0..tail_bytes {
            if shared.is_over.load(Ordering::Acquire) {
                return;
            }
            thread::sleep(BYTE_PAUSE);
            for client in &mut connected {
                let byte = client.bytes.tail.get(offset..=offset).unwrap_or_default();
                let _ = client.stream.write_all(byte);
            }
        }
        if matches!(kind, FloodKind::HalfQueries | FloodKind::SlowTails) {
            sleep_until(shared, started_at + MAX_FLOOD_TIME);
            return;
        }
        if tail_bytes == 0 {
            sleep_until(shared, started_at + STOP_TIME);
        }
        round += 1;
    }
}

/// Runs clients that pipeline reads and read a few bytes of the answers at a time. A client whose connection ends
/// connects again.
pub(super) fn run_slow_readers(shared: &Shared, kind: FloodKind, clients: usize, target: SocketAddr) {
    let mut next_number = 0;
    let mut start = || {
        next_number += 1;
        PacedClient::start(kind, next_number, target, Some(SLOW_RECEIVE_BUFFER_BYTES))
    };
    let mut connected: Vec<Option<PacedClient>> = (0..clients).map(|_| start()).collect();
    while !shared.is_over.load(Ordering::Acquire) {
        thread::sleep(READ_PAUSE);
        for client in &mut connected {
            if !client.as_mut().is_some_and(|client| client.read(SLOW_READ_BYTES)) {
                *client = start();
            }
        }
    }
}

fn sleep_until(shared: &Shared, at: Instant) {
    while Instant::now() < at && !shared.is_over.load(Ordering::Acquire) {
        thread::sleep(READ_PAUSE);
    }
}
