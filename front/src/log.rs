//! The log: lines on standard error, each place's held to a few a second. A thread writes them, so that a
//! reader of the log who stalls never stalls the worker.

use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::{Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Lines a second from one place; more would cost the worker time when everything fails alike.
const LINES: u32 = 5;
/// Lines that wait for the writer; what comes on top is left out.
const WAITING: usize = 256;

enum Entry {
    Line(String),
    Flush(SyncSender<()>),
}

pub struct Limit(Mutex<Option<(Instant, u32)>>);

impl Limit {
    pub const fn new() -> Limit {
        Limit(Mutex::new(None))
    }

    /// How many lines were left out before this one, where this one may be written.
    pub fn pass(&self) -> Option<u32> {
        let mut state = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        match &mut *state {
            Some((since, written)) if since.elapsed() < Duration::from_secs(1) => {
                *written += 1;
                (*written <= LINES).then_some(0)
            }
            state => {
                let left_out = state.map_or(0, |(_, written)| written.saturating_sub(LINES));
                *state = Some((Instant::now(), 1));
                Some(left_out)
            }
        }
    }
}

impl Default for Limit {
    fn default() -> Limit {
        Limit::new()
    }
}

fn writer() -> &'static SyncSender<Entry> {
    static WRITER: OnceLock<SyncSender<Entry>> = OnceLock::new();
    WRITER.get_or_init(|| {
        let (lines, entries) = sync_channel(WAITING);
        thread::spawn(move || {
            for entry in entries {
                match entry {
                    Entry::Line(line) => eprintln!("gingerwick: {line}"),
                    Entry::Flush(done) => drop(done),
                }
            }
        });
        lines
    })
}

pub fn write(line: String) {
    let _ = writer().try_send(Entry::Line(line));
}

/// Waits a moment for what was logged to be written, before the process ends.
pub fn flush() {
    let (done, written) = sync_channel(0);
    if writer().try_send(Entry::Flush(done)).is_ok() {
        let _ = written.recv_timeout(Duration::from_millis(100));
    }
}

#[macro_export]
macro_rules! log {
    ($($words:tt)*) => {{
        static LIMIT: $crate::log::Limit = $crate::log::Limit::new();
        match LIMIT.pass() {
            Some(0) => $crate::log::write(format!($($words)*)),
            Some(more) => $crate::log::write(format!("{} ({more} like this left out)", format_args!($($words)*))),
            None => {}
        }
    }};
}
