//! The journal of writes at work: a thread owns it, whoever waits for a record waits without holding the
//! worker.

use crate::log;
use may::sync::mpsc::{channel, Sender};
use std::path::Path;
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use write_journal::fate::{Fate, Input, Leave, Origin, Token, Uptime};
use write_journal::journal::{Bounds, Journal, Now, Op, Reply, Sync, MOST_AT_ONCE};

/// Whether a call-out may leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Filed {
    Go,
    /// As a repeat of one that may have run.
    Join,
    /// Its id is on record already.
    Barred,
    /// It could not be recorded: it must not leave.
    Failed,
}

/// What must be on record before a call-out leaves.
#[derive(Clone)]
pub struct Filing {
    pub id: Arc<str>,
    pub input: Input,
    pub token: Option<Token>,
}

type Told = Box<dyn FnOnce(Option<Reply>) + Send>;

pub struct Writes {
    queue: Mutex<mpsc::Sender<(Op, Told)>>,
    origin: Mutex<Origin>,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn wall_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as i64
}

/// How long this machine has been up, by the kernel's own files; none where it has no such.
fn uptime() -> Option<Uptime> {
    let name = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").ok()?;
    let boot = u64::from_str_radix(name.replace('-', "").get(..16)?, 16).ok()?;
    let words = std::fs::read_to_string("/proc/uptime").ok()?;
    let seconds: f64 = words.split_whitespace().next()?.parse().ok()?;
    Some(Uptime { boot, ms: (seconds * 1e3).round() as i64 })
}

impl Writes {
    pub fn start(path: &Path, sync: Sync, bounds: Bounds, chance: u64) -> Result<Arc<Writes>, String> {
        let journal = Journal::open(path, sync, bounds, chance).map_err(|why| why.to_string())?;
        let (queue, jobs) = mpsc::channel();
        let writes = Arc::new(Writes { queue: Mutex::new(queue), origin: Mutex::new(journal.origin()) });
        let keeping = writes.clone();
        let thread = thread::Builder::new().name("writes".into());
        thread.spawn(move || keeping.keep(journal, &jobs)).map_err(|why| why.to_string())?;
        Ok(writes)
    }

    fn put(&self, op: Op, told: impl FnOnce(Option<Reply>) + Send + 'static) {
        // Where the thread is no more, the word is dropped, and whoever waits hears so by its channel.
        let _ = lock(&self.queue).send((op, Box::new(told)));
    }

    /// Records that a call-out is about to leave; the calling coroutine waits until that is kept.
    pub fn may_leave(&self, entry: &Filing) -> Filed {
        let (told, word): (Sender<Option<Reply>>, _) = channel();
        let asked = Instant::now();
        let Filing { id, input, token } = entry.clone();
        self.put(Op::Record { id: id.to_string(), input, token }, move |reply| _ = told.send(reply));
        let waited_ms = |asked: Instant| asked.elapsed().as_millis() as i64;
        match word.recv().ok().flatten() {
            Some(Reply::Leave(Leave::Go)) => Filed::Go,
            // The word itself may have come too late: others' records go to the disk before it.
            Some(Reply::Leave(Leave::Join { left_ms })) if waited_ms(asked) < left_ms => Filed::Join,
            Some(_) => Filed::Barred,
            None => Filed::Failed,
        }
    }

    /// What became of a write that was recorded. Nobody waits for it.
    pub fn ended(&self, id: &str, input: Input) {
        self.put(Op::Record { id: id.to_string(), input, token: None }, |_| ());
    }

    pub fn ask(
        &self,
        id: String,
        origin: Option<Origin>,
        alive: bool,
        told: impl FnOnce(Fate) + Send + 'static,
    ) {
        self.put(Op::Ask { id, origin, alive }, move |reply| {
            told(if let Some(Reply::Fate(fate)) = reply { fate } else { Fate::NotKnown });
        });
    }

    /// What a client is told at its start: where its writes will be on record.
    pub fn origin(&self) -> String {
        lock(&self.origin).to_string()
    }

    fn keep(&self, mut journal: Journal, jobs: &Receiver<(Op, Told)>) {
        let mut failing = false;
        while let Ok(first) = jobs.recv() {
            let (mut ops, mut told) = (vec![first.0], vec![first.1]);
            while let Some((op, tell)) = jobs.try_recv().ok().filter(|_| ops.len() < MOST_AT_ONCE) {
                ops.push(op);
                told.push(tell);
            }
            let tokened = ops.iter().any(|op| matches!(op, Op::Record { token: Some(_), .. }));
            let up = tokened.then(uptime).flatten();
            let replies = journal.apply(Now { wall_ms: wall_ms(), up }, &ops);
            *lock(&self.origin) = journal.origin();
            match &replies {
                Err(why) if !failing => {
                    log!(WARN; "the journal of writes fails, writes are pushed back: {why}");
                }
                Ok(_) if failing => log!(INFO; "the journal of writes works again"),
                _ => {}
            }
            failing = replies.is_err();
            let mut replies = replies.unwrap_or_default().into_iter();
            told.into_iter().for_each(|tell| tell(replies.next()));
        }
    }
}
