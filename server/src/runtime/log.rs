//! The log: `tracing` events as lines of text or JSON on standard error, with a rate limit for each call site. A
//! separate thread writes the lines, so that a slow reader of standard error never blocks the coroutine runtime.

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

/// The maximum number of lines from one call site in a [`RATE_WINDOW`]. Without the limit, logging a frequent
/// failure would take much of the worker thread's time.
const MAX_LINES_PER_WINDOW: u32 = 5;
/// The window of the rate limit, which starts with the first line after the previous window.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// The timeout of [`flush`], which delays the exit of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// The format and limits of the log, from the operators' file.
#[derive(Clone, Debug)]
pub struct LogOptions {
    /// Whether each line is a JSON object instead of text.
    pub json: bool,
    /// The least severe level that is written.
    pub level: Level,
    /// The maximum size of the writer thread's queue in bytes; lines that exceed it are dropped.
    pub max_queued_bytes: usize,
}

/// The current window of a call site.
#[derive(Clone, Copy)]
struct RateWindow {
    started: Instant,
    /// The lines logged in the window, including dropped ones.
    lines: u32,
}

/// The rate limit of one call site.
pub struct RateLimit(Mutex<Option<RateWindow>>);

impl RateLimit {
    /// Creates a limit whose first window starts with the first line; `const` for use in a `static`.
    pub const fn new() -> RateLimit {
        RateLimit(Mutex::new(None))
    }

    /// Counts a line. If the line may be written, returns how many lines of the previous window were dropped; this is
    /// zero except for the first line of a window.
    pub fn admit(&self) -> Option<u32> {
        let mut window = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        match &mut *window {
            Some(current) if current.started.elapsed() < RATE_WINDOW => {
                current.lines += 1;
                (current.lines <= MAX_LINES_PER_WINDOW).then_some(0)
            }
            window => {
                let dropped =
                    window.map_or(0, |previous| previous.lines.saturating_sub(MAX_LINES_PER_WINDOW));
                *window = Some(RateWindow { started: Instant::now(), lines: 1 });
                Some(dropped)
            }
        }
    }
}

impl Default for RateLimit {
    fn default() -> RateLimit {
        RateLimit::new()
    }
}

/// An entry of the writer thread's queue.
enum Entry {
    /// A line to write, with its line feed.
    Line(Vec<u8>),
    /// Closes the channel once all lines before this entry have been written.
    Flush(SyncSender<()>),
}

/// The queue of the writer thread.
struct Queue {
    entries: Mutex<Sender<Entry>>,
    max_bytes: usize,
}

/// The queue of the writer thread, once [`start`] has been called.
static QUEUE: OnceLock<Queue> = OnceLock::new();
/// The size of all lines in the queue, in bytes.
static QUEUED_BYTES: AtomicUsize = AtomicUsize::new(0);

impl Queue {
    /// Starts the writer thread.
    fn start(max_bytes: usize) -> Queue {
        let (sender, entries) = channel();
        thread::spawn(move || {
            for entry in entries {
                match entry {
                    Entry::Line(line) => {
                        let _ = std::io::stderr().write_all(&line);
                        QUEUED_BYTES.fetch_sub(line.len(), Ordering::AcqRel);
                    }
                    Entry::Flush(done) => drop(done),
                }
            }
        });
        Queue { entries: Mutex::new(sender), max_bytes }
    }

    /// Queues a line, or drops it if the queue is full.
    fn push_line(&self, line: Vec<u8>) {
        let bytes = line.len();
        if QUEUED_BYTES.fetch_add(bytes, Ordering::AcqRel) + bytes > self.max_bytes {
            QUEUED_BYTES.fetch_sub(bytes, Ordering::AcqRel);
            return;
        }
        self.send(Entry::Line(line));
    }

    fn send(&self, entry: Entry) {
        let _ = self.entries.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).send(entry);
    }
}

/// The line of one event, which is queued for the writer thread when the `Line` is dropped.
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
            queue.push_line(std::mem::take(&mut self.0));
        }
    }
}

/// Gives `tracing` a new [`Line`] for each event.
struct QueueWriter;

impl MakeWriter<'_> for QueueWriter {
    type Writer = Line;

    fn make_writer(&self) -> Line {
        Line(Vec::new())
    }
}

/// The text format, such as `gingerwick: message (3 dropped) request_id=7 endpoint=s-1`.
struct TextFormat;

/// Collects the parts of a line in the text format from an event's fields.
#[derive(Default)]
struct TextVisitor {
    message: String,
    dropped: u64,
    fields: String,
}

impl Visit for TextVisitor {
    fn record_u64(&mut self, field: &Field, value: u64) {
        if field.name() == "dropped" {
            self.dropped = value;
        } else {
            self.record_debug(field, &value);
        }
    }

    // The default method would write strings in quotes.
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
    for TextFormat
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut out: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut visitor = TextVisitor::default();
        event.record(&mut visitor);
        write!(out, "gingerwick: {}", visitor.message)?;
        if visitor.dropped > 0 {
            write!(out, " ({} dropped)", visitor.dropped)?;
        }
        writeln!(out, "{}", visitor.fields)
    }
}

/// Starts the log. Events before this call are discarded; further calls have no effect.
pub fn start(options: &LogOptions) {
    QUEUE.get_or_init(|| Queue::start(options.max_queued_bytes));
    let fmt =
        tracing_subscriber::fmt().with_max_level(options.level).with_writer(QueueWriter).with_ansi(false);
    // Setting the subscriber fails on a second call, and the first subscriber stays in place.
    let _ = if options.json {
        tracing::subscriber::set_global_default(fmt.json().flatten_event(true).finish())
    } else {
        tracing::subscriber::set_global_default(fmt.event_format(TextFormat).finish())
    };
}

/// Waits until all queued lines have been written, but at most `FLUSH_TIMEOUT`. Called before the process exits.
pub fn flush() {
    let Some(queue) = QUEUE.get() else { return };
    let (done, written) = sync_channel(0);
    queue.send(Entry::Flush(done));
    let _ = written.recv_timeout(FLUSH_TIMEOUT);
}

/// Logs an event, as in `log!(INFO, request_id = 7; "message")`: a level, fields, and a message with its arguments.
/// Each call site logs at most five events a second; the next event that is logged carries the number of dropped ones.
#[macro_export]
macro_rules! log {
    ($level:ident $(, $field:ident = $value:expr)*; $($message:tt)*) => {{
        static LIMIT: $crate::runtime::log::RateLimit = $crate::runtime::log::RateLimit::new();
        match LIMIT.admit() {
            Some(0) => tracing::event!(
                tracing::Level::$level, $($field = tracing::field::display(&$value),)* $($message)*
            ),
            Some(dropped) => tracing::event!(
                tracing::Level::$level, dropped, $($field = tracing::field::display(&$value),)* $($message)*
            ),
            None => {}
        }
    }};
}
