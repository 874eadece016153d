//! Estimates when bytes that are read from a client's socket had arrived, so that the time for which they waited unread
//! counts towards the timeouts of the requests in them.
//!
//! The kernel tells only when the last bytes arrived. Earlier ones are bounded by what is known of the socket: that it was
//! empty at some time, or that a number of bytes were unread at some time.

use routing::time::{TimeDelta, Timestamp};

/// Bytes of a stream that are known to have arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Marker {
    /// When they were unread in the socket.
    at: Timestamp,
    /// The offset in the stream behind the last of them.
    end: u64,
}

/// What is known of the arrival of one client's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArrivalTime {
    /// The number of bytes that were read.
    read_bytes: u64,
    /// The bytes that are read next count as arrived at this time or later.
    earliest: Timestamp,
    /// The unread bytes at the time when they first had to wait; `None` if none had to wait.
    marker: Option<Marker>,
    /// Whether the bytes that are read next may have arrived at any time since `earliest`: they arrived while others
    /// before them waited.
    is_behind_waiting: bool,
    /// Whether the next bytes wait behind earlier queries of their client.
    is_behind_own_queries: bool,
}

impl ArrivalTime {
    /// The state of a new connection, whose first bytes may have arrived long ago.
    pub fn new() -> ArrivalTime {
        ArrivalTime {
            read_bytes: 0,
            earliest: Timestamp::DISTANT_PAST,
            marker: None,
            is_behind_waiting: false,
            is_behind_own_queries: false,
        }
    }

    /// Records that all bytes were read.
    pub fn set_none_waiting(&mut self, now: Timestamp) {
        *self = ArrivalTime { read_bytes: self.read_bytes, earliest: now, ..ArrivalTime::new() };
    }

    /// Records that nothing is read because of earlier queries of the client. The time until bytes are read again, or have
    /// to wait for another reason, does not count.
    pub fn set_behind_own_queries(&mut self) {
        self.is_behind_own_queries = true;
    }

    /// Ends the wait behind earlier queries of the client.
    fn end_wait_behind_own_queries(&mut self, now: Timestamp) {
        if self.is_behind_own_queries {
            self.set_none_waiting(now);
        }
    }

    /// Records that bytes have to wait, although their client allows them to be read. `unread_bytes` returns how many
    /// are unread, or `None` if that is unknown; it is called only if it matters.
    pub fn set_waiting(&mut self, now: Timestamp, unread_bytes: impl FnOnce() -> Option<usize>) {
        self.end_wait_behind_own_queries(now);
        if self.marker.is_some() {
            return;
        }
        match unread_bytes() {
            Some(0) => self.set_none_waiting(now),
            Some(bytes) => self.marker = Some(Marker { at: now, end: self.read_bytes + bytes as u64 }),
            None => {}
        }
    }

    /// Records that `bytes` were read, and returns when the first of them had arrived, or an earlier time if that is
    /// unknown. The last bytes in the socket arrived `since_last_data` ago; `unread_bytes` is as for
    /// [`set_waiting`](Self::set_waiting).
    pub fn record_read(
        &mut self,
        now: Timestamp,
        bytes: usize,
        since_last_data: TimeDelta,
        unread_bytes: impl FnOnce() -> Option<usize>,
    ) -> Timestamp {
        self.end_wait_behind_own_queries(now);
        let last_arrival = now - since_last_data;
        let arrival = match self.marker {
            Some(marker) => last_arrival.min(marker.at),
            None => last_arrival,
        };
        let arrival = if self.is_behind_waiting { self.earliest } else { arrival.max(self.earliest) };
        self.read_bytes += bytes as u64;
        if let Some(marker) = self.marker.take_if(|marker| marker.end <= self.read_bytes) {
            self.earliest = marker.at;
            self.is_behind_waiting = true;
            self.set_waiting(now, unread_bytes);
        }
        arrival
    }
}

impl Default for ArrivalTime {
    fn default() -> ArrivalTime {
        ArrivalTime::new()
    }
}
