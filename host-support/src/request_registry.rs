//! Registry of the requests of a host. A request stays registered until it is closed and its last attempt has ended.

use routing::RequestId;
use std::collections::HashMap;

struct Entry<T> {
    value: T,
    /// Number of attempts started so far.
    attempts: u32,
    /// Number of attempts in flight.
    in_flight: u32,
    /// Whether the request was answered or its client has disconnected.
    closed: bool,
}

/// The host's data of each registered request. The data of a request is returned exactly once: when the request is
/// closed and none of its attempts is in flight.
pub struct RequestRegistry<T> {
    entries: HashMap<RequestId, Entry<T>>,
}

impl<T> Default for RequestRegistry<T> {
    fn default() -> Self {
        RequestRegistry { entries: HashMap::new() }
    }
}

impl<T> RequestRegistry<T> {
    /// Registers an open request with the host's data.
    pub fn insert(&mut self, request: RequestId, value: T) {
        self.entries.insert(request, Entry { value, attempts: 0, in_flight: 0, closed: false });
    }

    /// The data of a request, if it is registered.
    pub fn get(&self, request: RequestId) -> Option<&T> {
        self.entries.get(&request).map(|entry| &entry.value)
    }

    /// The data of a request for modification, if it is registered.
    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut T> {
        self.entries.get_mut(&request).map(|entry| &mut entry.value)
    }

    /// All registered requests, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &T)> {
        self.entries.iter().map(|(request, entry)| (*request, &entry.value))
    }

    /// Whether a request is registered and its client is still waiting for an answer.
    pub fn is_open(&self, request: RequestId) -> bool {
        self.entries.get(&request).is_some_and(|entry| !entry.closed)
    }

    /// Records the start of an attempt and returns its number within the request, from 0. Without effect if the request
    /// is not registered.
    pub fn start_attempt(&mut self, request: RequestId) -> u32 {
        let Some(entry) = self.entries.get_mut(&request) else { return 0 };
        let number = entry.attempts;
        entry.attempts += 1;
        entry.in_flight += 1;
        number
    }

    /// Records the end of an attempt. `closed` closes the request as well, because its client needs no further answer.
    /// Returns the data of the request if the end of the attempt removes the request from the registry.
    pub fn end_attempt(&mut self, request: RequestId, closed: bool) -> Option<T> {
        let entry = self.entries.get_mut(&request)?;
        entry.in_flight = entry.in_flight.saturating_sub(1);
        entry.closed |= closed;
        self.remove_if_finished(request)
    }

    /// Closes a request that was answered or whose client has disconnected. Returns the data of the request if closing
    /// it removes the request from the registry.
    pub fn close(&mut self, request: RequestId) -> Option<T> {
        self.entries.get_mut(&request)?.closed = true;
        self.remove_if_finished(request)
    }

    fn remove_if_finished(&mut self, request: RequestId) -> Option<T> {
        let entry = self.entries.get(&request)?;
        if !entry.closed || entry.in_flight > 0 {
            return None;
        }
        self.entries.remove(&request).map(|entry| entry.value)
    }

    /// Number of registered requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is registered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
