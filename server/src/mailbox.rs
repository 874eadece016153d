//! A session's mailbox, where its answers are left, and the ticket by which each RPC gets one answer.

use crate::log;
use may::io::WaitIoWaker;
use routing::iface::RpcId;
use routing::time::Span;
use sessions::marks::Mark;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use write_journal::fate::Fate;

/// What an answer shows its session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    pub mark: Option<Mark>,
    /// It also shows that what the session saw before is lost, which the next RPC is told.
    pub lost: bool,
}

/// What a client gets for an RPC.
#[derive(Debug, PartialEq, Eq)]
pub enum Answer {
    /// RowDescription, DataRow and CommandComplete as the store gave them.
    Value(Vec<u8>, Seen),
    /// What its session saw of the group is lost: it did not run.
    Lost(Mark),
    /// What became of a write.
    Fate(Fate),
    PushBack(Option<Span>),
    Abort,
    Refused(&'static str, &'static str),
}

/// Where answers for a session are left; the only part of it that others hold.
pub struct Mailbox {
    answers: Mutex<Vec<(RpcId, Answer)>>,
    close: AtomicBool,
    waker: WaitIoWaker,
}

impl Mailbox {
    pub fn new(waker: WaitIoWaker) -> Arc<Mailbox> {
        Arc::new(Mailbox { answers: Mutex::default(), close: AtomicBool::new(false), waker })
    }

    /// The answers that have come since it was last asked.
    pub fn collect(&self) -> Vec<(RpcId, Answer)> {
        std::mem::take(&mut *self.answers.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }

    fn post(&self, rpc: RpcId, answer: Answer) {
        self.answers.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push((rpc, answer));
        self.waker.wakeup();
    }

    pub fn should_close(&self) -> bool {
        self.close.load(Ordering::Acquire)
    }

    /// Whether it was asked to close since this was last asked.
    pub fn take_close(&self) -> bool {
        self.close.swap(false, Ordering::AcqRel)
    }

    pub fn ask_to_close(&self) {
        self.close.store(true, Ordering::Release);
        self.wake();
    }

    /// Has its session look again.
    pub fn wake(&self) {
        self.waker.wakeup();
    }
}

/// The duty to answer an RPC. Dropped unanswered, by a panic or a lost channel, it aborts.
pub struct Ticket {
    pub rpc: RpcId,
    mailbox: Option<Arc<Mailbox>>,
}

impl Ticket {
    pub fn new(rpc: RpcId, mailbox: Arc<Mailbox>) -> Ticket {
        Ticket { rpc, mailbox: Some(mailbox) }
    }

    pub fn answer(mut self, answer: Answer) {
        if let Some(mailbox) = self.mailbox.take() {
            mailbox.post(self.rpc, answer);
        }
    }

    /// Its client is gone: nothing is owed.
    pub fn void(mut self) {
        self.mailbox = None;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if let Some(mailbox) = self.mailbox.take() {
            log!(WARN, rpc = self.rpc; "RPC {} was dropped unanswered, aborted", self.rpc);
            mailbox.post(self.rpc, Answer::Abort);
        }
    }
}
