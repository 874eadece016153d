//! The log: events of `tracing`, each place's held to a few a second, as text or JSON lines on standard
//! error. A thread writes them, so that a reader of the log who stalls never stalls the worker.

use std::fmt;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, sync_channel, Sender, SyncSender};
use std::sync::{Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields, MakeWriter};
use tracing_subscriber::registry::LookupSpan;

/// Lines a second from one place; more would cost the worker time when everything fails alike.
const LINES: u32 = 5;

/// How the log is written, from the operators' file.
#[derive(Clone, Debug)]
pub struct Style {
    pub json: bool,
    pub level: Level,
    /// Bytes that wait for the writer at most; what comes on top is left out.
    pub waiting: usize,
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

enum Entry {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// The way to the thread that writes, and how many bytes are on it.
struct Queue {
    lines: Mutex<Sender<Entry>>,
    waiting: &'static AtomicUsize,
    most: usize,
}

static QUEUE: OnceLock<Queue> = OnceLock::new();
static WAITING: AtomicUsize = AtomicUsize::new(0);

impl Queue {
    fn start(most: usize) -> Queue {
        let (lines, entries) = channel();
        thread::spawn(move || {
            for entry in entries {
                match entry {
                    Entry::Line(line) => {
                        let _ = std::io::stderr().write_all(&line);
                        WAITING.fetch_sub(line.len(), Ordering::AcqRel);
                    }
                    Entry::Flush(done) => drop(done),
                }
            }
        });
        Queue { lines: Mutex::new(lines), waiting: &WAITING, most }
    }

    fn put(&self, line: Vec<u8>) {
        let bytes = line.len();
        if self.waiting.fetch_add(bytes, Ordering::AcqRel) + bytes > self.most {
            self.waiting.fetch_sub(bytes, Ordering::AcqRel);
            return;
        }
        self.send(Entry::Line(line));
    }

    fn send(&self, entry: Entry) {
        let _ = self.lines.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).send(entry);
    }
}

/// Gathers one event's bytes and hands them to the queue when it is dropped.
pub struct Line(Vec<u8>);

impl Write for Line {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        if let Some(queue) = QUEUE.get().filter(|_| !self.0.is_empty()) {
            queue.put(std::mem::take(&mut self.0));
        }
    }
}

struct Lines;

impl MakeWriter<'_> for Lines {
    type Writer = Line;

    fn make_writer(&self) -> Line {
        Line(Vec::new())
    }
}

/// `routing: words (3 like this left out) rpc=7 store=s-1`
struct Text;

#[derive(Default)]
struct Words {
    message: String,
    left_out: u64,
    fields: String,
}

impl Visit for Words {
    fn record_u64(&mut self, field: &Field, value: u64) {
        if field.name() == "left_out" {
            self.left_out = value;
        } else {
            self.record_debug(field, &value);
        }
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.record_debug(field, &format_args!("{value}"));
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        use fmt::Write;
        let _ = match field.name() {
            "message" => write!(self.message, "{value:?}"),
            name => write!(self.fields, " {name}={value:?}"),
        };
    }
}

impl<S: Subscriber + for<'a> LookupSpan<'a>, N: for<'a> FormatFields<'a> + 'static> FormatEvent<S, N>
    for Text
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut out: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut words = Words::default();
        event.record(&mut words);
        write!(out, "gingerwick: {}", words.message)?;
        if words.left_out > 0 {
            write!(out, " ({} like this left out)", words.left_out)?;
        }
        writeln!(out, "{}", words.fields)
    }
}

/// Once a process. Before it, and where it was never called, nothing is written.
pub fn start(style: &Style) {
    QUEUE.get_or_init(|| Queue::start(style.waiting));
    let fmt = tracing_subscriber::fmt().with_max_level(style.level).with_writer(Lines).with_ansi(false);
    // A second call finds the first one's in place: that one stays.
    let _ = if style.json {
        tracing::subscriber::set_global_default(fmt.json().flatten_event(true).finish())
    } else {
        tracing::subscriber::set_global_default(fmt.event_format(Text).finish())
    };
}

/// Waits a moment for what was logged to be written, before the process ends.
pub fn flush() {
    let Some(queue) = QUEUE.get() else { return };
    let (done, written) = sync_channel(0);
    queue.send(Entry::Flush(done));
    let _ = written.recv_timeout(Duration::from_millis(100));
}

/// An event of a level, `log!(INFO, rpc = 7; "words")`; from one place five a second at most.
#[macro_export]
macro_rules! log {
    ($level:ident $(, $field:ident = $value:expr)*; $($words:tt)*) => {{
        static LIMIT: $crate::log::Limit = $crate::log::Limit::new();
        match LIMIT.pass() {
            Some(0) => tracing::event!(
                tracing::Level::$level, $($field = tracing::field::display(&$value),)* $($words)*
            ),
            Some(left_out) => tracing::event!(
                tracing::Level::$level, left_out, $($field = tracing::field::display(&$value),)* $($words)*
            ),
            None => {}
        }
    }};
}
