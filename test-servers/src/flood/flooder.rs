//! The clients of a flood.

use crate::flood::kind::FloodKind;
use crate::flood::paced;
use crate::flood::shared::{Shared, STARTUP};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The stack size of a client's threads, of which a flood may have a thousand.
const STACK_BYTES: usize = 128 << 10;
/// The buffer in which answers are discarded.
const READ_BYTES: usize = 64 << 10;
/// The pause between two comments of a client of [`FloodKind::HugeHeads`].
const HUGE_HEAD_PAUSE: Duration = Duration::from_millis(200);
/// How long a client waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a client waits to send before it looks whether the flood is over.
const WRITE_TIMEOUT: Duration = Duration::from_millis(50);

/// A flood in progress. It ends when it is dropped.
pub struct Flood {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Flood {
    /// Starts a flood of `clients` clients against the instance that listens on `target`.
    pub fn start(kind: FloodKind, clients: usize, target: SocketAddr) -> Flood {
        let mut flood = Flood { shared: Arc::default(), threads: Vec::new() };
        flood.add(kind, clients, target);
        flood
    }

    /// Adds clients of a kind.
    fn add(&mut self, kind: FloodKind, clients: usize, target: SocketAddr) {
        match kind {
            FloodKind::MemoryMix => {
                let kinds = FloodKind::MEMORY_HOLDERS;
                kinds.into_iter().for_each(|part| self.add(part, clients / kinds.len(), target));
            }
            FloodKind::Connects => (0..clients).for_each(|_| self.start_connecting(target)),
            FloodKind::HugeHeads => self.start_huge_heads(clients, target),
            FloodKind::HalfQueries
            | FloodKind::SlowTails
            | FloodKind::SlowSmallTails
            | FloodKind::PartialHugeQueries => {
                self.spawn(move |shared| paced::run_senders(shared, kind, clients, target));
            }
            FloodKind::SlowReaders => {
                self.spawn(move |shared| paced::run_slow_readers(shared, kind, clients, target));
            }
            FloodKind::NeverRead => (0..clients).for_each(|_| self.start_sending(kind, target, false)),
            kind => (0..clients).for_each(|_| self.start_sending(kind, target, true)),
        }
    }

    /// The bytes of answers that the clients have received.
    pub fn received_bytes(&self) -> u64 {
        self.shared.received.load(Ordering::Relaxed)
    }

    fn spawn(&mut self, run: impl FnOnce(&Shared) + Send + 'static) {
        let shared = self.shared.clone();
        let thread = thread::Builder::new().stack_size(STACK_BYTES).spawn(move || run(&shared));
        self.threads.push(thread.expect("a thread can be started"));
    }

    /// Starts a client that sends without pause and, if `reads`, reads the answers. It connects again when its
    /// connection ends.
    fn start_sending(&mut self, kind: FloodKind, target: SocketAddr, reads: bool) {
        self.spawn(move |shared| {
            while !shared.is_over.load(Ordering::Acquire) {
                let Some(stream) = connect(target) else { return };
                if reads {
                    send_and_read(shared, kind, &stream);
                } else {
                    send_chunks(shared, kind, &stream);
                }
            }
        });
    }

    /// Starts a client that connects and closes without pause.
    fn start_connecting(&mut self, target: SocketAddr) {
        self.spawn(move |shared| {
            while !shared.is_over.load(Ordering::Acquire) {
                drop(connect(target));
            }
        });
    }

    /// Starts clients that send a comment of very many fields now and then.
    fn start_huge_heads(&mut self, clients: usize, target: SocketAddr) {
        let head: Arc<[u8]> = FloodKind::HugeHeads.chunk(0).into();
        for _ in 0..clients {
            let head = head.clone();
            self.spawn(move |shared| {
                while !shared.is_over.load(Ordering::Acquire) {
                    let Some(stream) = connect(target) else { continue };
                    let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
                    while send_all(shared, &stream, &head) {
                        thread::sleep(HUGE_HEAD_PAUSE);
                    }
                }
            });
        }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.shared.is_over.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn connect(target: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT).ok()?;
    let _ = stream.set_nodelay(true);
    stream.write_all(STARTUP).ok()?;
    Some(stream)
}

/// Sends until the flood is over or the connection ends, while another thread reads the answers.
fn send_and_read(shared: &Shared, kind: FloodKind, stream: &TcpStream) {
    thread::scope(|scope| {
        let reader = thread::Builder::new().stack_size(STACK_BYTES);
        reader.spawn_scoped(scope, || discard_answers(shared, stream)).expect("a thread can be started");
        send_chunks(shared, kind, stream);
        let _ = stream.shutdown(Shutdown::Both);
    });
}

fn send_chunks(shared: &Shared, kind: FloodKind, stream: &TcpStream) {
    let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
    let chunks: Vec<Vec<u8>> = (0..kind.prepared_chunks()).map(|number| kind.chunk(number)).collect();
    for number in 0.. {
        let chunk = match chunks.get(number % chunks.len().max(1)) {
            Some(chunk) => chunk,
            None => &kind.chunk(shared.chunks.fetch_add(1, Ordering::Relaxed)),
        };
        let piece_bytes = kind.bytes_per_write().unwrap_or(chunk.len());
        if !chunk.chunks(piece_bytes).all(|piece| send_all(shared, stream, piece)) {
            return;
        }
    }
}

/// Sends bytes; returns false if the flood is over or the connection has ended.
fn send_all(shared: &Shared, mut stream: &TcpStream, mut bytes: &[u8]) -> bool {
    while !bytes.is_empty() {
        if shared.is_over.load(Ordering::Acquire) {
            return false;
        }
        match stream.write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(_) => return false,
        }
    }
    true
}

/// Reads until the connection ends or is shut down.
fn discard_answers(shared: &Shared, mut stream: &TcpStream) {
    let mut buffer = vec![0; READ_BYTES];
    while let Ok(count) = stream.read(&mut buffer) {
        if count == 0 {
            // The writer may be blocked by a peer that has closed its side only.
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
        shared.received.fetch_add(count as u64, Ordering::Relaxed);
    }
}
