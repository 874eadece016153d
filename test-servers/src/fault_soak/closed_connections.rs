//! The connections of clients that an instance has closed, from the trace of the fault library.

use crate::arrival_clock::monotonic_now;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A connection that was closed.
#[derive(Clone, Copy, Debug)]
struct ClosedConnection {
    /// When, on the monotonic clock, in whole milliseconds.
    at: Duration,
    /// The number of bytes that had been read from it.
    read_bytes: u64,
}

/// The closed connections by the client's port, in their order. Clients use the same port again.
#[derive(Clone, Debug, Default)]
pub struct ClosedConnections(HashMap<u16, Vec<ClosedConnection>>);

impl ClosedConnections {
    /// Reads the closed connections from a trace.
    pub fn from_trace(trace: &str) -> ClosedConnections {
        let mut closed = ClosedConnections::default();
        for (port, connection) in trace.lines().filter_map(parse_close) {
            closed.0.entry(port).or_default().push(connection);
        }
        closed
    }

    /// The number of bytes that were read from the connection that a client had opened by `opened_at`; `None` if the
    /// instance has not closed it.
    pub fn read_bytes(&self, port: u16, opened_at: Instant) -> Option<u64> {
        let opened_at = monotonic_now().saturating_sub(opened_at.elapsed()).as_millis();
        let closed = self.0.get(&port)?;
        closed.iter().find(|closed| closed.at.as_millis() >= opened_at).map(|closed| closed.read_bytes)
    }
}

/// Parses a line such as `1200 close port=40001 read=57`: the time in milliseconds, the client's port and the number of
/// bytes that were read.
fn parse_close(line: &str) -> Option<(u16, ClosedConnection)> {
    let (at, fields) = line.split_once(" close port=")?;
    let (port, read_bytes) = fields.split_once(" read=")?;
    let at = Duration::from_millis(at.parse().ok()?);
    Some((port.parse().ok()?, ClosedConnection { at, read_bytes: read_bytes.parse().ok()? }))
}
