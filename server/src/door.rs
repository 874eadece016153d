//! The door: connections are accepted here, and whatever can go wrong with that neither keeps the worker busy
//! nor the queue standing. Once it is to close it still takes in all who wait in the queue: on this machine
//! they have been accepted, and what they have asked is taken.

use crate::clock::Alarms;
use crate::descriptors::{trouble, Spare};
use crate::ledger::{Entry, Share};
use crate::log;
use crate::session::{self, Reception, Seat, Shared};
use crate::tasks::spawn;
use crate::wire::BREATH;
use admission::door::{Door, Step};
use may::io::WaitIo;
use may::net::{TcpListener, TcpStream};
use routing::time::Span;
use std::io::{Error, ErrorKind, Result};
use std::net::IpAddr;
use std::os::fd::{FromRawFd, IntoRawFd};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

const NO_DESCRIPTOR: &str = "no descriptor is free";
/// So many accepted in a row are enough: in a flood the worker would serve nobody else.
const ROW: usize = 8;

/// What the door stands at.
pub trait Doorway {
    /// Waits for the next connection; none once it is closed and nobody is in its queue.
    fn accept(&mut self) -> Result<Option<(TcpStream, IpAddr)>>;
    /// Tells one client that there is no descriptor; false where it could not even be taken for that.
    fn tell_one(&mut self) -> bool;
    fn pause(&self, span: Span);
}

/// The listener, with a descriptor that is held back.
pub struct Listening {
    pub listener: TcpListener,
    pub spare: Spare,
    pub alarms: Arc<Alarms>,
    /// Set before the listener's waker is called.
    pub closing: Arc<AtomicBool>,
}

impl Doorway for Listening {
    fn accept(&mut self) -> Result<Option<(TcpStream, IpAddr)>> {
        loop {
            // Read first: who comes in between is in the queue.
            let closing = self.closing.load(Ordering::Acquire);
            match self.listener.inner().accept() {
                Ok((stream, from)) => return Ok(Some((registered(stream)?, from.ip()))),
                Err(why) if why.kind() == ErrorKind::WouldBlock && closing => return Ok(None),
                Err(why) if why.kind() == ErrorKind::WouldBlock => _ = self.listener.wait_io(),
                Err(why) => return Err(why),
            }
        }
    }

    fn tell_one(&mut self) -> bool {
        let listener = &self.listener;
        self.spare.lend(|| {
            let taken = listener.inner().accept();
            taken.map(|(stream, _)| session::last_word(&stream, NO_DESCRIPTOR, None)).is_ok()
        })
    }

    fn pause(&self, span: Span) {
        self.alarms.pause(span);
    }
}

/// Makes the runtime know an accepted connection.
fn registered(stream: std::net::TcpStream) -> Result<TcpStream> {
    let descriptor = stream.into_raw_fd();
    // SAFETY: the descriptor is a stream's and was given up by it.
    let made = catch_unwind(AssertUnwindSafe(|| unsafe { TcpStream::from_raw_fd(descriptor) }));
    // It panics where the system has no memory to watch another; the connection is closed then.
    made.map_err(|_| Error::from_raw_os_error(libc::ENOMEM))
}

/// Accepts until it is closed.
pub fn stand(doorway: &mut impl Doorway, mut take: impl FnMut(TcpStream, IpAddr)) {
    let (mut door, mut row) = (Door::default(), 0);
    loop {
        match doorway.accept() {
            Ok(None) => return,
            Ok(Some((stream, from))) => {
                door.opened();
                take(stream, from);
                row = (row + 1) % ROW;
                if row == 0 {
                    doorway.pause(BREATH);
                }
            }
            Err(why) => {
                log!(WARN; "a connection was not accepted: {why}");
                match door.jammed(trouble(&why)) {
                    Step::Again => {}
                    Step::Wait(span) => doorway.pause(span),
                    Step::Tell { told, not } => {
                        let span = if doorway.tell_one() { told } else { not };
                        doorway.pause(span);
                    }
                }
            }
        }
    }
}

/// Receives a client and runs its session.
pub fn take(shared: &Arc<Shared>, stream: TcpStream, from: IpAddr) {
    if let Some((entry, reception)) = receive(shared, &stream, from) {
        // Before the coroutine has its turn: the front must not end between the two.
        let (shared, seat) = (shared.clone(), Seat::take(&shared.leave, stream));
        spawn(move || session::run(shared, seat, entry, from, reception));
    }
}

/// How a client is received; none where it was told already. Whoever comes while all that can be held for
/// being told why is taken gets a last word at once: it may be lost to one that goes on sending.
fn receive(shared: &Shared, stream: &TcpStream, from: IpAddr) -> Option<(Entry, Reception)> {
    let passage = match shared.gate.as_ref().map(|gate| gate.arrive(from)).transpose() {
        Ok(passage) => passage,
        Err(refusal) => {
            let come_back = shared.come_back.map(|_| refusal.come_back);
            let words = refusal.why.words();
            let Some(entry) = shared.ledger.enter(Share::TurnedAway) else {
                session::last_word(stream.inner(), words, come_back);
                return None;
            };
            return Some((entry, Reception::Goes(words, come_back)));
        }
    };
    let (entry, stays) = entry(shared);
    let goes = Reception::Goes(NO_DESCRIPTOR, None);
    Some((entry, if stays { Reception::Stays(passage) } else { goes }))
}

/// A client's entry. Dropping the connection would lose what came with it, so where there is no place even
/// beyond the share the next waits for one who is about to go.
fn entry(shared: &Shared) -> (Entry, bool) {
    loop {
        if let Some(entry) = shared.ledger.enter_client(shared.alarms.now()) {
            return entry;
        }
        log!(WARN; "clients wait to be turned away: all descriptors for that are taken");
        shared.alarms.pause(Span::millis(2));
    }
}
