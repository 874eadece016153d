//! The log: events of `tracing`, as text or JSON lines on standard error, a few a second from each place in the code. A thread
//! writes them, so that a reader of the log that stalls never stalls the worker.

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

/// Lines a second from one place in the code; more would cost the worker time when everything fails alike.
const MAX_LINES_PER_SECOND: u32 = 5;
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// How the log is written, from the operators' file.
#[derive(Clone, Debug)]
pub struct LogStyle {
    /// As JSON.
    pub json: bool,
    /// The least severe level that is written.
    pub level: Level,
    /// Bytes that wait for the writer at most; what comes beyond is dropped.
    pub max_queued_bytes: usize,
}

/// The limit on lines from one place in the code.
pub struct RateLimit(Mutex<Option<(Instant, u32)>>);

impl RateLimit {
    /// A limit that no line has used yet.
    pub const fn new() -> RateLimit {
        RateLimit(Mutex::new(None))
    }

    /// How many lines were dropped before this one, if this one may be written.
    pub fn admit(&self) -> Option<u32> {
        let mut state = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        match &mut *state {
            Some((since, written)) if since.elapsed() < Duration::from_secs(1) => {
                *written += 1;
                (*written <= MAX_LINES_PER_SECOND).then_some(0)
            }
            state => {
                let dropped = state.map_or(0, |(_, written)| written.saturating_sub(MAX_LINES_PER_SECOND));
                *state = Some((Instant::now(), 1));
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

enum Entry {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// The queue to the thread that writes.
struct Queue {
    entries: Mutex<Sender<Entry>>,
    max_bytes: usize,
}

static QUEUE: OnceLock<Queue> = OnceLock::new();
/// Bytes in the queue.
static QUEUED_BYTES: AtomicUsize = AtomicUsize::new(0);

impl Queue {
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

/// Collects one event's bytes and queues them when it is dropped.
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

struct QueueWriter;

impl MakeWriter<'_> for QueueWriter {
    type Writer = Line;

    fn make_writer(&self) -> Line {
        Line(Vec::new())
    }
}

/// `gingerwick: message (3 dropped) request_id=7 endpoint=s-1`
struct TextFormat;

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

/// Starts the log, once per process. Before that nothing is written.
pub fn start(style: &LogStyle) {
    QUEUE.get_or_init(|| Queue::start(style.max_queued_bytes));
    let fmt = tracing_subscriber::fmt().with_max_level(style.level).with_writer(QueueWriter).with_ansi(false);
    // A second call finds the first one's in place: that one stays.
    let _ = if style.json {
        tracing::subscriber::set_global_default(fmt.json().flatten_event(true).finish())
    } else {
        tracing::subscriber::set_global_default(fmt.event_format(TextFormat).finish())
    };
}

/// Waits a short time for what was logged to be written, before the process ends.
pub fn flush() {
    let Some(queue) = QUEUE.get() else { return };
    let (done, written) = sync_channel(0);
    queue.send(Entry::Flush(done));
    let _ = written.recv_timeout(FLUSH_TIMEOUT);
}

/// Logs an event, `log!(INFO, request_id = 7; "message")`; from one place in the code five a second at most.
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
