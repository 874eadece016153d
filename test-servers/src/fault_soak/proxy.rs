//! A TCP proxy between an instance and an endpoint that disturbs connections at random. Requests pass at once, and when
//! they arrived at the proxy is recorded.

use crate::arrival_clock::last_arrival;
use crate::fault_soak::endpoint::ArrivalLog;
use crate::random::{choose, one_in};
use routing::rng::Mwc;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// One of this many connections is disturbed.
const DISTURBED_ONE_IN: usize = 4;
/// The size of the buffer of a direction, in bytes.
const FORWARD_BYTES: usize = 4096;
/// The size of the pieces into which answers are cut.
const PIECE_BYTES: usize = 7;
/// The pause between two pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(1);
/// The longest delay until a late connection is forwarded, in milliseconds.
const MAX_LATE_MS: usize = 1_500;
/// The longest time until a connection is reset or falls silent, in milliseconds.
const MAX_LIFE_MS: usize = 1_000;

/// What the proxy does with a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    /// It is forwarded as it is.
    None,
    /// It is forwarded after a delay.
    Late,
    /// It is accepted and never forwarded.
    Dead,
    /// Answers come in small pieces.
    Pieces,
    /// It is reset after some time.
    Reset,
    /// Answers are no longer forwarded after some time.
    Silent,
    /// It is closed after some time, by the endpoint's side.
    Close,
}

const DISTURBANCES: [Disturbance; 6] = [
    Disturbance::Late,
    Disturbance::Dead,
    Disturbance::Pieces,
    Disturbance::Reset,
    Disturbance::Silent,
    Disturbance::Close,
];

/// Starts a proxy to `target` on a free port and returns its address.
pub fn start(target: SocketAddr, seed: u64, log: Arc<ArrivalLog>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let addr = listener.local_addr().expect("a bound listener has an address");
    thread::spawn(move || {
        let mut rng = Mwc::new(seed);
        for stream in listener.incoming().flatten() {
            let disturbance = if one_in(&mut rng, DISTURBED_ONE_IN) {
                choose(&mut rng, &DISTURBANCES)
            } else {
                Disturbance::None
            };
            let life = Duration::from_millis(rng.below(MAX_LIFE_MS) as u64);
            let late = Duration::from_millis(rng.below(MAX_LATE_MS) as u64);
            let log = log.clone();
            thread::spawn(move || forward(stream, target, disturbance, life, late, &log));
        }
    });
    addr
}

/// Forwards one connection; `None` if it fails.
fn forward(
    mut router: TcpStream,
    target: SocketAddr,
    disturbance: Disturbance,
    life: Duration,
    late: Duration,
    log: &Arc<ArrivalLog>,
) -> Option<()> {
    router.set_nodelay(true).ok()?;
    if disturbance == Disturbance::Dead {
        let _ = router.read_to_end(&mut Vec::new());
        return None;
    }
    if disturbance == Disturbance::Late {
        thread::sleep(late);
    }
    let endpoint = TcpStream::connect(target).ok()?;
    endpoint.set_nodelay(true).ok()?;
    let (requests_from, requests_to) = (router.try_clone().ok()?, endpoint.try_clone().ok()?);
    let log = log.clone();
    thread::spawn(move || forward_requests(requests_from, requests_to, &log));
    forward_answers(endpoint, router, disturbance, Instant::now() + life);
    Some(())
}

/// Forwards requests until a connection ends.
fn forward_requests(mut from: TcpStream, mut to: TcpStream, log: &ArrivalLog) -> Option<()> {
    let port = to.local_addr().ok()?.port();
    let mut buffer = [0; FORWARD_BYTES];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        log.record_forwarded(port, last_arrival(&from));
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    log.forget_forwarded(port);
    to.shutdown(Shutdown::Both).ok()
}

fn forward_answers(mut from: TcpStream, mut to: TcpStream, disturbance: Disturbance, until: Instant) {
    let mut buffer = [0; FORWARD_BYTES];
    loop {
        let count = match from.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        let is_over = Instant::now() >= until;
        match disturbance {
            Disturbance::Reset if is_over => {
                let _ = socket2::SockRef::from(&to).set_linger(Some(Duration::ZERO));
                break;
            }
            Disturbance::Close if is_over => break,
            Disturbance::Silent if is_over => continue,
            Disturbance::Pieces => {
                for piece in buffer[..count].chunks(PIECE_BYTES) {
                    if to.write_all(piece).is_err() {
                        return;
                    }
                    thread::sleep(PIECE_PAUSE);
                }
            }
            _ => {
                if to.write_all(&buffer[..count]).is_err() {
                    break;
                }
            }
        }
    }
    // A connection that is to be reset must not be shut down first.
    if disturbance != Disturbance::Reset {
        let _ = to.shutdown(Shutdown::Both);
    }
    let _ = from.shutdown(Shutdown::Both);
}
