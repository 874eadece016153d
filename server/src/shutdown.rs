//! Leaving: after SIGTERM connections still arrive for a while, so the front goes on accepting, lets idle
//! sessions go at once and the others once they are answered. Then it closes: whoever has arrived by then is a
//! member, nothing more is taken, and the front ends as soon as nobody is left.

use crate::clock::Alarms;
use crate::log;
use crate::mailbox::Mailbox;
use routing::time::Span;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// Connections arrive for up to 0.4 s after the signal.
const ACCEPT_FOR: Span = Span::millis(500);

#[derive(Default)]
struct Members {
    sessions: BTreeMap<u64, Arc<Mailbox>>,
    serial: u64,
}

pub struct Leave {
    begun: AtomicBool,
    closed: AtomicBool,
    members: Mutex<Members>,
    /// What is done once the front is closed and nobody is left.
    end: Box<dyn Fn() + Send + Sync>,
}

/// A session's membership: its drop strikes it out.
pub struct Member {
    leave: Arc<Leave>,
    serial: u64,
    /// It was here before the leaving began.
    early: bool,
}

impl Member {
    /// Whether it had better go, once nothing of it is open: at the beginning those who have had what they
    /// came for, `answered` an empty query at least or `served` an RPC, at the close everybody. Who arrives
    /// while the front leaves may ask for one thing; who had only just arrived may so too.
    pub fn should_go(&self, answered: bool, served: bool) -> bool {
        self.leave.is_closed() || (self.leave.begun() && (served || (answered && self.early)))
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        let mut members = self.leave.lock();
        members.sessions.remove(&self.serial);
        self.leave.end_if_empty(members);
    }
}

impl Leave {
    pub fn new(end: impl Fn() + Send + Sync + 'static) -> Arc<Leave> {
        let (begun, closed, members) = Default::default();
        Arc::new(Leave { begun, closed, members, end: Box::new(end) })
    }

    fn lock(&self) -> MutexGuard<'_, Members> {
        self.members.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn begun(&self) -> bool {
        self.begun.load(Ordering::Acquire)
    }

    /// Nothing more is taken.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Sessions that are here.
    pub fn members(&self) -> usize {
        self.lock().sessions.len()
    }

    /// Called by whoever accepts, before anything else can run: one that has been accepted is waited for.
    pub fn join(self: &Arc<Leave>, mailbox: &Arc<Mailbox>) -> Member {
        let mut members = self.lock();
        members.serial += 1;
        let serial = members.serial;
        members.sessions.insert(serial, mailbox.clone());
        Member { leave: self.clone(), serial, early: !self.begun() }
    }

    /// Called once, from the thread that waits for signals.
    pub fn begin(self: &Arc<Leave>, alarms: &Alarms, stop_accepting: impl FnOnce() + Send + 'static) {
        log!(INFO; "leaving as asked, {} sessions open", self.lock().sessions.len());
        let members = self.lock();
        self.begun.store(true, Ordering::Release);
        members.sessions.values().for_each(|mailbox| mailbox.wake());
        drop(members);
        alarms.at(alarms.now() + ACCEPT_FOR, stop_accepting);
    }

    /// Called once, by whoever accepted, when nothing waits to be accepted any more: nobody joins after this.
    pub fn close(&self) {
        let members = self.lock();
        self.closed.store(true, Ordering::Release);
        members.sessions.values().for_each(|mailbox| mailbox.wake());
        self.end_if_empty(members);
    }

    fn end_if_empty(&self, members: MutexGuard<'_, Members>) {
        let over = members.sessions.is_empty() && self.is_closed();
        drop(members);
        if over {
            (self.end)();
        }
    }
}
