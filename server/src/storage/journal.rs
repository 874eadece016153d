//! The journal of writes: a thread owns it, and coroutines that wait for a record do not hold up the worker.

use crate::log;
use crate::messages::journal_entry::{JournalEntry, JournalVerdict};
use crate::runtime::clock::wall_ms;
use may::sync::mpsc::channel;
use std::path::Path;
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Instant;
use thiserror::Error;
use write_journal::journal::{
    ClockReading, Durability, Journal, JournalError, Operation, Reply, Retention, MAX_BATCH,
};
use write_journal::record_state::{Fate, Origin, RecordEvent, SendPermission, Uptime};

/// Why the journal cannot be used.
#[derive(Debug, Error)]
pub enum OpenError {
    /// It cannot be opened.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// Its thread cannot be started.
    #[error(transparent)]
    Thread(#[from] std::io::Error),
}

type Callback = Box<dyn FnOnce(Option<Reply>) + Send>;

/// An operation, and who is told of its reply; none if the journal failed.
struct Job {
    operation: Operation,
    callback: Callback,
}

/// The journal of writes.
pub struct WriteJournal {
    jobs: Mutex<mpsc::Sender<Job>>,
    origin: Mutex<Origin>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// How long this machine has been up, by the kernel's own files; none if it has no such files.
fn uptime() -> Option<Uptime> {
    let boot_id = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").ok()?;
    let boot = u64::from_str_radix(boot_id.replace('-', "").get(..16)?, 16).ok()?;
    let uptime = std::fs::read_to_string("/proc/uptime").ok()?;
    let seconds: f64 = uptime.split_whitespace().next()?.parse().ok()?;
    Some(Uptime { boot, ms: (seconds * 1e3).round() as i64 })
}

impl WriteJournal {
    /// Opens the journal and starts its thread. `chance` names a new one.
    ///
    /// # Errors
    /// It cannot be used.
    pub fn start(
        path: &Path,
        durability: Durability,
        retention: Retention,
        chance: u64,
    ) -> Result<Arc<WriteJournal>, OpenError> {
        let journal = Journal::open(path, durability, retention, chance)?;
        let (jobs, received) = mpsc::channel();
        let origin = Mutex::new(journal.origin());
        let this = Arc::new(WriteJournal { jobs: Mutex::new(jobs), origin });
        let writer = this.clone();
        let thread = thread::Builder::new().name("write-journal".into());
        thread.spawn(move || writer.run(journal, &received))?;
        Ok(this)
    }

    fn submit(&self, operation: Operation, callback: impl FnOnce(Option<Reply>) + Send + 'static) {
        // If the thread is gone the callback is dropped, and whoever waits sees its channel close.
        let _ = lock(&self.jobs).send(Job { operation, callback: Box::new(callback) });
    }

    /// Records that an attempt is about to be sent; the calling coroutine waits until that is kept.
    pub fn record_send(&self, entry: &JournalEntry) -> JournalVerdict {
        let (reply_to, reply) = channel();
        let submitted = Instant::now();
        let JournalEntry { id, event, deduplication } = entry.clone();
        let operation = Operation::Record { id: id.to_string(), event, deduplication };
        self.submit(operation, move |reply| _ = reply_to.send(reply));
        match reply.recv().ok().flatten() {
            Some(Reply::Permission(SendPermission::Granted)) => JournalVerdict::Granted,
            // The reply itself may have come too late: others' records go to the disk before it.
            Some(Reply::Permission(SendPermission::GrantedAsDuplicate { remaining_ms }))
                if (submitted.elapsed().as_millis() as i64) < remaining_ms =>
            {
                JournalVerdict::GrantedAsDuplicate
            }
            Some(_) => JournalVerdict::IdInUse,
            None => JournalVerdict::NotRecorded,
        }
    }

    /// Records what became of a write. Nobody waits for that.
    pub fn record_end(&self, id: &str, event: RecordEvent) {
        let operation = Operation::Record { id: id.to_string(), event, deduplication: None };
        self.submit(operation, |_| ());
    }

    /// Calls back with what became of a write.
    pub fn query_fate(
        &self,
        id: String,
        origin: Option<Origin>,
        request_open: bool,
        callback: impl FnOnce(Fate) + Send + 'static,
    ) {
        let operation = Operation::QueryFate { id, origin, request_open };
        self.submit(operation, move |reply| match reply {
            Some(Reply::Fate(fate)) => callback(fate),
            _ => callback(Fate::Unknown),
        });
    }

    /// What a client is told when its connection starts: where its writes will be recorded.
    pub fn origin(&self) -> String {
        lock(&self.origin).to_string()
    }

    fn run(&self, mut journal: Journal, jobs: &Receiver<Job>) {
        let mut failing = false;
        while let Ok(first) = jobs.recv() {
            let (operations, callbacks) = batch(first, jobs);
            let needs_uptime =
                |operation: &Operation| matches!(operation, Operation::Record { deduplication: Some(_), .. });
            let uptime = operations.iter().any(needs_uptime).then(uptime).flatten();
            let replies = journal.apply(ClockReading { wall_ms: wall_ms(), uptime }, &operations);
            *lock(&self.origin) = journal.origin();
            log_transition(&replies, &mut failing);
            let mut replies = replies.unwrap_or_default().into_iter();
            for callback in callbacks {
                callback(replies.next());
            }
        }
    }
}

/// The jobs that are queued, as many as go in one batch.
fn batch(first: Job, jobs: &Receiver<Job>) -> (Vec<Operation>, Vec<Callback>) {
    let queued = std::iter::from_fn(|| jobs.try_recv().ok());
    let jobs = std::iter::once(first).chain(queued).take(MAX_BATCH);
    jobs.map(|job| (job.operation, job.callback)).unzip()
}

/// One line when the journal begins to fail, and one when it works again.
fn log_transition(replies: &Result<Vec<Reply>, JournalError>, failing: &mut bool) {
    match replies {
        Err(error) if !*failing => {
            log!(WARN, reason = error; "write journal failing, writes are rejected");
        }
        Ok(_) if *failing => log!(INFO; "write journal working again"),
        _ => {}
    }
    *failing = replies.is_err();
}
