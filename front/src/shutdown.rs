//! Leaving: after SIGTERM connections still arrive for a while, so the front goes on accepting, lets idle
//! sessions go at once and the others once they are answered, and ends as soon as nobody is left.

use crate::clock::Alarms;
use crate::log;
use crate::mailbox::Mailbox;
use gingerwick::time::Span;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// Connections arrive for up to 0.4 s after the signal.
const ACCEPT_FOR: Span = Span::millis(500);

#[derive(Default)]
struct Members {
    sessions: BTreeMap<u64, Arc<Mailbox>>,
    serial: u64,
    closed: bool,
}

#[derive(Default)]
pub struct Leave {
    begun: AtomicBool,
    members: Mutex<Members>,
}

/// A session's membership: its drop strikes it out.
pub struct Member {
    leave: Arc<Leave>,
    serial: u64,
}

impl Drop for Member {
    fn drop(&mut self) {
        let mut members = self.leave.lock();
        members.sessions.remove(&self.serial);
        self.leave.end_if_empty(&members);
    }
}

impl Leave {
    fn lock(&self) -> MutexGuard<'_, Members> {
        self.members.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn begun(&self) -> bool {
        self.begun.load(Ordering::Acquire)
    }

    /// Sessions that are here.
    pub fn members(&self) -> usize {
        self.lock().sessions.len()
    }

    pub fn join(self: &Arc<Leave>, mailbox: &Arc<Mailbox>) -> Member {
        let mut members = self.lock();
        members.serial += 1;
        let serial = members.serial;
        members.sessions.insert(serial, mailbox.clone());
        Member { leave: self.clone(), serial }
    }

    fn ask_all(&self) {
        let all: Vec<_> = self.lock().sessions.values().cloned().collect();
        all.iter().for_each(|mailbox| mailbox.ask_to_close());
    }

    /// Called once, from the thread that waits for signals.
    pub fn begin(self: &Arc<Leave>, alarms: &Alarms, stop_accepting: impl FnOnce() + Send + 'static) {
        log!(INFO; "leaving as asked, {} sessions open", self.lock().sessions.len());
        self.begun.store(true, Ordering::Release);
        self.ask_all();
        let leave = self.clone();
        alarms.at(alarms.now() + ACCEPT_FOR, move || {
            stop_accepting();
            leave.lock().closed = true;
            leave.ask_all();
            let members = leave.lock();
            leave.end_if_empty(&members);
        });
    }

    fn end_if_empty(&self, members: &Members) {
        if members.closed && members.sessions.is_empty() {
            log!(INFO; "left, nothing open");
            log::flush();
            std::process::exit(0);
        }
    }
}
