//! The door: connections are accepted here, and whatever can go wrong with that neither keeps the worker busy
//! nor the queue standing.

use crate::clock::Alarms;
use crate::descriptors::{trouble, Spare};
use crate::ledger::{Entry, Share};
use crate::log;
use crate::session::{self, Reception, Shared};
use crate::tasks::spawn;
use crate::wire::BREATH;
use admission::door::{Door, Step};
use gingerwick::time::Span;
use may::net::{TcpListener, TcpStream};
use std::io::Result;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

const NO_DESCRIPTOR: &str = "no descriptor is free";
/// So many accepted in a row are enough: in a flood the worker would serve nobody else.
const ROW: usize = 8;

/// What the door stands at.
pub trait Doorway {
    /// Waits for the next connection.
    fn accept(&mut self) -> Result<(TcpStream, IpAddr)>;
    /// Tells one client that there is no descriptor; false where it could not even be taken for that.
    fn tell_one(&mut self) -> bool;
    fn pause(&self, span: Span);
}

/// The listener, with a descriptor that is held back.
pub struct Listening {
    pub listener: TcpListener,
    pub spare: Spare,
    pub alarms: Arc<Alarms>,
}

impl Doorway for Listening {
    fn accept(&mut self) -> Result<(TcpStream, IpAddr)> {
        self.listener.accept().map(|(stream, from)| (stream, from.ip()))
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

/// Accepts until it is closed.
pub fn stand(doorway: &mut impl Doorway, closing: &AtomicBool, mut take: impl FnMut(TcpStream, IpAddr)) {
    let (mut door, mut row) = (Door::default(), 0);
    while !closing.load(Ordering::Acquire) {
        match doorway.accept() {
            Ok((stream, from)) => {
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
        let shared = shared.clone();
        spawn(move || session::run(shared, stream, entry, from, reception));
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
