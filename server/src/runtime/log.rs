//! The log: `tracing` events as lines of text or JSON on standard error, rate-limited for each call site. A
//! separate thread writes them, so that a slow reader of standard error never blocks the coroutine runtime.

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

/// Lines from one call site in a [`RATE_WINDOW`]. Without a limit, a common failure would take much of the worker's
/// time.
const MAX_LINES_PER_WINDOW: u32 = 5;
/// The window of the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// The timeout of a flush, at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// The format and limits of the log, from the operators' file.
#[derive(Clone, Debug)]
pub struct LogStyle {
    /// Lines are JSON objects instead of text.
    pub json: bool,
    /// The least severe level that is written.
    pub level: Level,
    /// The limit on bytes that wait for the writer; further lines are dropped.
    pub max_queued_bytes: usize,
}

/// The lines of one call site in the present window.
#[derive(Clone, Copy)]
struct RateWindow {
    started: Instant,
    /// The lines that were requested, dropped ones included.
    lines: u32,
}

/// The limit on lines from one call site.
pub struct RateLimit(Mutex<Option<RateWindow>>);

impl RateLimit {
    /// Creates an unused limit.
    pub const fn new() -> RateLimit {
        RateLimit(Mutex::new(None))
    }

    /// Counts a line. If it may be written, returns the number of lines that were dropped in the window before.
    pub fn admit(&self) -> Option<u32> {
        let mut window = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        match &mut *window {
            Some(present) if present.started.elapsed() < RATE_WINDOW => {
                present.lines += 1;
                (present.lines <= MAX_LINES_PER_WINDOW).then_some(0)
            }
            window => {
                let dropped = window.map_or(0, |last| last.lines.saturating_sub(MAX_LINES_PER_WINDOW));
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
    /// A line to write.
    Line(Vec<u8>),
    /// Closes the channel once all lines before it were written.
    Flush(SyncSender<()>),
}

/// The queue of the writer thread.
struct Queue {
    entries: Mutex<Sender<Entry>>,
    max_bytes: usize,
}

/// The queue of the writer thread, once the log was started.
static QUEUE: OnceLock<Queue> = OnceLock::new();
/// Bytes in the queue.
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
    fn put(&self, line: Vec<u8>) {
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

/// The bytes of one event, queued when it is dropped.
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

/// Creates a [`Line`] for each event.
struct QueueWriter;

impl MakeWriter<'_> for QueueWriter {
    type Writer = Line;

    fn make_writer(&self) -> Line {
        Line(Vec::new())
    }
}

/// The text format: `gingerwick: message (3 dropped) request_id=7 endpoint=s-1`.
struct TextFormat;

/// Collects the parts of a line of text from an event's fields.
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

/// Starts the log. Before that, nothing is written; later calls have no effect.
pub fn start(style: &LogStyle) {
    QUEUE.get_or_init(|| Queue::start(style.max_queued_bytes));
    let fmt = tracing_subscriber::fmt().with_max_level(style.level).with_writer(QueueWriter).with_ansi(false);
    // Fails on a second call, in which case the first subscriber stays.
    let _ = if style.json {
        tracing::subscriber::set_global_default(fmt.json().flatten_event(true).finish())
    } else {
        tracing::subscriber::set_global_default(fmt.event_format(TextFormat).finish())
    };
}

/// Waits until all queued lines were written, `FLUSH_TIMEOUT` at most. Called before the process exits.
pub fn flush() {
    let Some(queue) = QUEUE.get() else { return };
    let (done, written) = sync_channel(0);
    queue.send(Entry::Flush(done));
    let _ = written.recv_timeout(FLUSH_TIMEOUT);
}

/// Logs an event, as in `log!(INFO, request_id = 7; "message")`, at most five a second from each call site.
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
