//! Open requests: each is known until it is answered and its last attempt has ended.

use routing::RequestId;
use std::collections::HashMap;

struct Entry<T> {
    value: T,
    /// Attempts started.
    attempts: u32,
    in_flight: u32,
    closed: bool,
}

/// What a host keeps of each request. It is given back exactly once, when nothing more can come of the request.
pub struct RequestRegistry<T> {
    entries: HashMap<RequestId, Entry<T>>,
}

impl<T> Default for RequestRegistry<T> {
    fn default() -> Self {
        RequestRegistry { entries: HashMap::new() }
    }
}

impl<T> RequestRegistry<T> {
    /// Registers a request.
    pub fn insert(&mut self, request: RequestId, value: T) {
        self.entries.insert(request, Entry { value, attempts: 0, in_flight: 0, closed: false });
    }

    /// What is kept of a request.
    pub fn get(&self, request: RequestId) -> Option<&T> {
        self.entries.get(&request).map(|entry| &entry.value)
    }

    /// What is kept of a request.
    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut T> {
        self.entries.get_mut(&request).map(|entry| &mut entry.value)
    }

    /// All requests that are open, or whose last attempt has not ended, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &T)> {
        self.entries.iter().map(|(request, entry)| (*request, &entry.value))
    }

    /// Whether its client still waits for an answer.
    pub fn is_open(&self, request: RequestId) -> bool {
        self.entries.get(&request).is_some_and(|entry| !entry.closed)
    }

    /// Registers the start of an attempt; its number among those of the request, from 0.
    pub fn start_attempt(&mut self, request: RequestId) -> u32 {
        let Some(entry) = self.entries.get_mut(&request) else { return 0 };
        let number = entry.attempts;
        entry.attempts += 1;
        entry.in_flight += 1;
        number
    }

    /// An attempt has ended; `closed` if its client needs no answer any more.
    pub fn end_attempt(&mut self, request: RequestId, closed: bool) -> Option<T> {
        let entry = self.entries.get_mut(&request)?;
        entry.in_flight = entry.in_flight.saturating_sub(1);
        entry.closed |= closed;
        self.remove_if_over(request)
    }

    /// The request was answered, or its client is gone.
    pub fn close(&mut self, request: RequestId) -> Option<T> {
        self.entries.get_mut(&request)?.closed = true;
        self.remove_if_over(request)
    }

    fn remove_if_over(&mut self, request: RequestId) -> Option<T> {
        let entry = self.entries.get(&request)?;
        if !entry.closed || entry.in_flight > 0 {
            return None;
        }
        self.entries.remove(&request).map(|entry| entry.value)
    }

    /// Requests registered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is registered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
