//! The rules that decide which calls may fail.
//!
//! A plan is a list of rules separated by semicolons. A rule has the form `CALL:FAULT:RATE`, or
//! `CALL:FAULT:RATE:FROM-TO` if it applies only from `FROM` to `TO` milliseconds after the start of the process.
//! `CALL` is the name of a [`Call`], `RATE` the probability of the fault, and `FAULT` an errno's name, `SHORT` for a
//! call that transfers fewer bytes than requested, or `STEP+N` or `STEP-N` for a wall clock that is off by N seconds.

use std::ops::Range;

/// The calls that can fail. Reads and writes are distinguished by what their descriptor refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// accept4(2).
    Accept,
    /// socket(2) for a TCP socket.
    Socket,
    /// connect(2).
    Connect,
    /// epoll_wait(2).
    EpollWait,
    /// poll(2).
    Poll,
    /// A read from a connection that was accepted.
    ClientRecv,
    /// A write to a connection that was accepted.
    ClientSend,
    /// A read from a connection that the process has opened.
    PeerRecv,
    /// A write to a connection that the process has opened.
    PeerSend,
    /// A write to a Unix socket, such as the one by which a signal handler wakes a thread.
    UnixSend,
    /// A write to an eventfd or a pipe.
    EventSend,
    /// A write to a regular file.
    FileWrite,
    /// fsync(2) or fdatasync(2).
    FileSync,
    /// clock_gettime(2) of the wall clock.
    WallClock,
}

/// The names of the calls in a plan.
const CALL_NAMES: [(&str, Call); 14] = [
    ("accept", Call::Accept),
    ("socket", Call::Socket),
    ("connect", Call::Connect),
    ("epoll_wait", Call::EpollWait),
    ("poll", Call::Poll),
    ("client_recv", Call::ClientRecv),
    ("client_send", Call::ClientSend),
    ("peer_recv", Call::PeerRecv),
    ("peer_send", Call::PeerSend),
    ("unix_send", Call::UnixSend),
    ("event_send", Call::EventSend),
    ("file_write", Call::FileWrite),
    ("file_sync", Call::FileSync),
    ("wall_clock", Call::WallClock),
];

/// The names of the errnos in a plan.
const ERRNO_NAMES: [(&str, libc::c_int); 18] = [
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("ECONNREFUSED", libc::ECONNREFUSED),
    ("ECONNRESET", libc::ECONNRESET),
    ("EHOSTUNREACH", libc::EHOSTUNREACH),
    ("EINTR", libc::EINTR),
    ("EIO", libc::EIO),
    ("EMFILE", libc::EMFILE),
    ("ENETDOWN", libc::ENETDOWN),
    ("ENETUNREACH", libc::ENETUNREACH),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENOMEM", libc::ENOMEM),
    ("ENOSPC", libc::ENOSPC),
    ("EPERM", libc::EPERM),
    ("EPIPE", libc::EPIPE),
    ("EPROTO", libc::EPROTO),
    ("ETIMEDOUT", libc::ETIMEDOUT),
];

/// The prefix of a fault of the wall clock.
const STEP_PREFIX: &str = "STEP";

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails with this errno.
    Errno(libc::c_int),
    /// The call transfers one byte.
    Short,
    /// The wall clock is off by this many seconds.
    ClockStep(i64),
}

/// A rule of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// The call that may fail.
    pub call: Call,
    /// What happens to it.
    pub fault: Fault,
    /// The probability of the fault.
    pub rate: f64,
    /// When the rule applies, in milliseconds since the start of the process.
    pub window_ms: Range<u64>,
}

impl Rule {
    /// Parses a rule; `None` if it is malformed.
    fn parse(text: &str) -> Option<Rule> {
        let mut fields = text.split(':');
        let name = fields.next()?;
        let call = CALL_NAMES.iter().find(|(known, _)| *known == name)?.1;
        let fault = Fault::parse(fields.next()?)?;
        let rate = fields.next()?.parse().ok()?;
        let window_ms = match fields.next() {
            Some(window) => parse_window(window)?,
            None => 0..u64::MAX,
        };
        Some(Rule { call, fault, rate, window_ms })
    }
}

impl Fault {
    /// Parses a fault; `None` if it is unknown.
    fn parse(text: &str) -> Option<Fault> {
        if text == "SHORT" {
            return Some(Fault::Short);
        }
        if let Some(seconds) = text.strip_prefix(STEP_PREFIX) {
            return seconds.parse().ok().map(Fault::ClockStep);
        }
        ERRNO_NAMES.iter().find(|(known, _)| *known == text).map(|(_, errno)| Fault::Errno(*errno))
    }
}

/// Parses a window such as `500-2000`; `None` if it is malformed.
fn parse_window(text: &str) -> Option<Range<u64>> {
    let (from, to) = text.split_once('-')?;
    Some(from.parse().ok()?..to.parse().ok()?)
}

/// Parses a plan.
///
/// # Errors
/// The first rule that is malformed.
pub fn parse(text: &str) -> Result<Vec<Rule>, String> {
    let rules = text.split(';').map(str::trim).filter(|rule| !rule.is_empty());
    rules.map(|rule| Rule::parse(rule).ok_or_else(|| rule.to_string())).collect()
}
