//! The thread that owns the write journal. A coroutine that waits for the journal is suspended, so it does not block
//! the worker thread on which all coroutines run.

use crate::log;
use crate::messages::journal_entry::{JournalEntry, JournalVerdict};
use crate::runtime::clock::unix_time_ms;
use crate::storage::reopened_journal::{JournalLocation, ReopenedJournal};
use may::sync::mpsc::channel;
use std::path::Path;
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Instant;
use thiserror::Error;
use write_journal::journal::{
    ClockReading, Durability, JournalError, Operation, Reply, Retention, MAX_BATCH_OPERATIONS,
};
use write_journal::record_state::{Fate, Origin, RecordEvent, SendPermission, Uptime};

/// The kernel's file with a UUID that identifies the current boot.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";
/// The kernel's file whose first field is the uptime in seconds.
const UPTIME_PATH: &str = "/proc/uptime";
/// The number of hexadecimal digits of the boot id that are used. This many digits fill a `u64`.
const BOOT_ID_DIGITS: usize = 16;
const MILLIS_PER_SECOND: f64 = 1e3;

/// Why the journal could not be opened or its thread could not be started.
#[derive(Debug, Error)]
pub enum JournalStartError {
    /// The journal's files cannot be opened.
    #[error("the journal cannot be opened: {0}")]
    Journal(#[from] JournalError),
    /// The journal's thread cannot be started.
    #[error("the thread of the journal cannot be started: {0}")]
    Thread(#[from] std::io::Error),
}

/// Called with the reply to an operation, or with `None` if the journal has failed to apply the operation.
type Callback = Box<dyn FnOnce(Option<Reply>) + Send>;

/// An operation for the journal's thread.
struct Job {
    operation: Operation,
    callback: Callback,
}

/// The handle by which coroutines use the write journal.
pub struct WriteJournal {
    jobs: Mutex<mpsc::Sender<Job>>,
    /// The journal's current origin, as of the last batch of operations.
    origin: Mutex<Origin>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// The time since the machine was booted; `None` on systems without Linux's `/proc` files.
fn uptime() -> Option<Uptime> {
    let uuid = std::fs::read_to_string(BOOT_ID_PATH).ok()?;
    let boot_id = u64::from_str_radix(uuid.replace('-', "").get(..BOOT_ID_DIGITS)?, 16).ok()?;
    let uptime = std::fs::read_to_string(UPTIME_PATH).ok()?;
    let seconds: f64 = uptime.split_whitespace().next()?.parse().ok()?;
    Some(Uptime { boot_id, ms: (seconds * MILLIS_PER_SECOND).round() as i64 })
}

impl WriteJournal {
    /// Opens the journal and starts its thread. If the journal does not exist, it is created with the id `random_id`.
    ///
    /// # Errors
    /// The journal cannot be opened, or its thread cannot be started.
    pub fn start(
        path: &Path,
        durability: Durability,
        retention: Retention,
        random_id: u64,
    ) -> Result<Arc<WriteJournal>, JournalStartError> {
        let location = JournalLocation { path: path.to_path_buf(), durability, retention, random_id };
        let journal = ReopenedJournal::open(location)?;
        let (jobs, received) = mpsc::channel();
        let origin = Mutex::new(journal.origin());
        let this = Arc::new(WriteJournal { jobs: Mutex::new(jobs), origin });
        let writer = this.clone();
        let thread = thread::Builder::new().name("write-journal".into());
        thread.spawn(move || writer.run(journal, &received))?;
        Ok(this)
    }

    /// Queues an operation for the journal's thread.
    fn submit(&self, operation: Operation, callback: impl FnOnce(Option<Reply>) + Send + 'static) {
        // If the thread has ended, the callback is dropped. Dropping the callback closes the channel on which the
        // caller waits.
        let _ = lock(&self.jobs).send(Job { operation, callback: Box::new(callback) });
    }

    /// Records that an attempt is about to be sent. Suspends the calling coroutine until the journal has replied.
    pub fn record_send(&self, entry: &JournalEntry) -> JournalVerdict {
        let (reply_to, reply) = channel();
        let submitted = Instant::now();
        let JournalEntry { id, event, deduplication } = entry.clone();
        let operation = Operation::Record { id: id.to_string(), event, deduplication };
        self.submit(operation, move |reply| _ = reply_to.send(reply));
        match reply.recv().ok().flatten() {
            Some(Reply::Permission(SendPermission::Granted)) => JournalVerdict::Granted,
            // The journal may have written other records first, so the deduplication window may have ended before the
            // reply arrives.
            Some(Reply::Permission(SendPermission::GrantedAsDuplicate { remaining_ms }))
                if (submitted.elapsed().as_millis() as i64) < remaining_ms =>
            {
                JournalVerdict::GrantedAsDuplicate
            }
            // The id is recorded for another write, or the deduplication window has ended.
            Some(_) => JournalVerdict::IdInUse,
            None => JournalVerdict::NotRecorded,
        }
    }

    /// Records the outcome of a write, without waiting until it is recorded.
    pub fn record_outcome(&self, id: &str, event: RecordEvent) {
        let operation = Operation::Record { id: id.to_string(), event, deduplication: None };
        self.submit(operation, |_| ());
    }

    /// Queries the fate of a write, and passes the fate to `callback` on the journal's thread. `request_open`
    /// states whether a request with the id is open.
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

    /// The journal's current origin: the journal's name and next serial. A client receives the origin when its
    /// session starts, so that it can state which journal has recorded its writes.
    pub fn origin(&self) -> String {
        lock(&self.origin).to_string()
    }

    /// Applies the queued operations in batches, for the life of the process.
    fn run(&self, mut journal: ReopenedJournal, jobs: &Receiver<Job>) {
        let mut is_failing = false;
        while let Ok(first) = jobs.recv() {
            let Batch { operations, callbacks } = collect_batch(first, jobs);
            let needs_uptime =
                |operation: &Operation| matches!(operation, Operation::Record { deduplication: Some(_), .. });
            let uptime = operations.iter().any(needs_uptime).then(uptime).flatten();
            let replies = journal.apply(ClockReading { wall_ms: unix_time_ms(), uptime }, &operations);
            *lock(&self.origin) = journal.origin();
            log_state_change(&replies, &mut is_failing);
            let mut replies = replies.unwrap_or_default().into_iter();
            for callback in callbacks {
                callback(replies.next());
            }
        }
    }
}

/// Jobs that are applied together. The callbacks are in the order of their operations.
struct Batch {
    operations: Vec<Operation>,
    callbacks: Vec<Callback>,
}

/// Collects `first` and the queued jobs, at most [`MAX_BATCH_OPERATIONS`] in total.
fn collect_batch(first: Job, jobs: &Receiver<Job>) -> Batch {
    let queued = std::iter::from_fn(|| jobs.try_recv().ok());
    let jobs = std::iter::once(first).chain(queued).take(MAX_BATCH_OPERATIONS);
    let (operations, callbacks) = jobs.map(|job| (job.operation, job.callback)).unzip();
    Batch { operations, callbacks }
}

/// Logs one line when the journal begins to fail, and one when it works again.
fn log_state_change(replies: &Result<Vec<Reply>, JournalError>, is_failing: &mut bool) {
    match replies {
        Err(error) if !*is_failing => {
            log!(WARN, reason = error; "write journal has failed; writes are rejected until it works again");
        }
        Ok(_) if *is_failing => log!(INFO; "write journal works again; writes are accepted"),
        _ => {}
    }
    *is_failing = replies.is_err();
}
