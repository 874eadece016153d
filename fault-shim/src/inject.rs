//! Decides whether a call fails, and traces the faults.

use crate::descriptors::{bytes_read, kind_of, peer_port, DescriptorKind};
use crate::plan::{self, Call, Fault, Rule};
use crate::raw;
use libc::c_int;
use std::ffi::CString;
use std::io::{Cursor, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// 2^64 divided by the golden ratio, rounded to an odd number: the increment of the generator `splitmix64`.
const GOLDEN_RATIO_64: u64 = 0x9e37_79b9_7f4a_7c15;
/// The maximum length of a line of the trace.
const TRACE_LINE_BYTES: usize = 160;
/// The descriptor of a trace that is not written.
const NO_TRACE: c_int = -1;

/// The configuration, read once when the library is loaded.
struct Configuration {
    rules: Vec<Rule>,
    seed: u64,
    switch: Option<CString>,
    trace: c_int,
    started_ms: u64,
}

static CONFIGURATION: OnceLock<Configuration> = OnceLock::new();
/// The number of random numbers drawn so far.
static DRAWN: AtomicU64 = AtomicU64::new(0);

/// Reads the configuration when the library is loaded, before the program's own code runs.
#[used]
#[link_section = ".init_array"]
static INITIALIZE: extern "C" fn() = initialize;

extern "C" fn initialize() {
    let variable = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
    let text = variable("FAULT_PLAN").unwrap_or_default();
    let rules = plan::parse(&text).unwrap_or_else(|rule| {
        eprintln!("fault-shim: malformed rule {rule:?}");
        std::process::abort();
    });
    let path = |name: &str| variable(name).and_then(|path| CString::new(path).ok());
    let configuration = Configuration {
        rules,
        seed: variable("FAULT_SEED").and_then(|seed| seed.parse().ok()).unwrap_or(1),
        switch: path("FAULT_SWITCH"),
        trace: path("FAULT_TRACE").map_or(NO_TRACE, |path| open_trace(&path)),
        started_ms: raw::monotonic_ms(),
    };
    let _ = CONFIGURATION.set(configuration);
}

fn open_trace(path: &CString) -> c_int {
    let flags = libc::O_WRONLY | libc::O_CREAT | libc::O_APPEND | libc::O_CLOEXEC;
    // SAFETY: the path is a C string.
    unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), flags, 0o600) as c_int }
}

impl Configuration {
    fn is_switched_on(&self) -> bool {
        let Some(path) = &self.switch else { return true };
        let errno = raw::errno();
        // SAFETY: the path is a C string.
        let exists =
            unsafe { libc::syscall(libc::SYS_faccessat, libc::AT_FDCWD, path.as_ptr(), libc::F_OK) == 0 };
        raw::fail(errno);
        exists
    }

    /// A random number from 0 to 1.
    fn draw(&self) -> f64 {
        let count = DRAWN.fetch_add(1, Ordering::Relaxed).wrapping_add(1);
        let mut bits = self.seed.wrapping_add(count.wrapping_mul(GOLDEN_RATIO_64));
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (bits ^ (bits >> 31)) as f64 / u64::MAX as f64
    }
}

/// Decides whether a call on a descriptor fails, and traces the fault.
pub fn fault(call: Call, descriptor: c_int) -> Option<Fault> {
    let configuration = CONFIGURATION.get()?;
    let at_ms = raw::monotonic_ms() - configuration.started_ms;
    let applies = |rule: &&Rule| rule.call == call && rule.window_ms.contains(&at_ms);
    let rule = configuration.rules.iter().filter(applies).find(|rule| configuration.draw() < rule.rate)?;
    if !configuration.is_switched_on() {
        return None;
    }
    if call != Call::WallClock {
        trace(configuration.trace, rule, descriptor);
    }
    Some(rule.fault)
}

/// Whether any rule concerns a call.
pub fn has_rule(is_concerned: impl Fn(Call) -> bool) -> bool {
    let rules = CONFIGURATION.get().map(|configuration| &configuration.rules);
    rules.is_some_and(|rules| rules.iter().any(|rule| is_concerned(rule.call)))
}

/// Traces an injected fault: the monotonic clock in milliseconds, the call, the descriptor and the fault.
fn trace(file: c_int, rule: &Rule, descriptor: c_int) {
    let (call, fault) = (rule.call, rule.fault);
    append_line(file, format_args!("{} {call:?} descriptor={descriptor} {fault:?}", raw::monotonic_ms()));
}

/// Traces that a client's connection is about to be closed, and how many bytes were read from it, so that a test can
/// tell whether a request was read.
pub fn trace_close(descriptor: c_int) {
    let Some(configuration) = CONFIGURATION.get().filter(|configuration| configuration.trace >= 0) else {
        return;
    };
    if kind_of(descriptor) != DescriptorKind::Client {
        return;
    }
    // A connection that the client has reset has no peer any more, and nobody to whom it matters what was read.
    let Some(port) = peer_port(descriptor) else { return };
    let (now, read) = (raw::monotonic_ms(), bytes_read(descriptor));
    append_line(configuration.trace, format_args!("{now} close port={port} read={read}"));
}

/// Appends a line to the trace, without changing errno.
fn append_line(file: c_int, text: std::fmt::Arguments) {
    if file < 0 {
        return;
    }
    let errno = raw::errno();
    let mut line = [0; TRACE_LINE_BYTES];
    let mut cursor = Cursor::new(&mut line[..]);
    let _ = writeln!(cursor, "{text}");
    let length = cursor.position();
    // SAFETY: the line is valid for its length.
    unsafe { libc::syscall(libc::SYS_write, file, line.as_ptr(), length) };
    raw::fail(errno);
}
