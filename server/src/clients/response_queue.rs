//! The response queue of one connection: responses arrive in any order and leave in the order of the queries.

use routing::RequestId;
use sessions::positions::GroupNumber;
use std::collections::VecDeque;

/// A request that is waiting for its response.
#[derive(Clone, Copy)]
pub struct PendingRequest {
    /// The process-internal id of the request.
    pub request: RequestId,
    /// The group to which the request is addressed.
    pub group: GroupNumber,
    /// The memory that is reserved for it, in bytes.
    pub reserved_bytes: usize,
}

/// The response to one query.
enum Slot {
    /// The response has not arrived.
    Pending(PendingRequest),
    /// The response is encoded, and waits for the responses before it to be written.
    Ready(Vec<u8>),
}

/// The responses that have not yet been moved to the socket's outbox.
#[derive(Default)]
pub struct ResponseQueue {
    slots: VecDeque<Slot>,
    /// The memory that is reserved for all pending requests, in bytes.
    pending_bytes: usize,
}

impl ResponseQueue {
    /// Appends a request whose response will arrive later.
    pub fn push_pending(&mut self, pending: PendingRequest) {
        self.pending_bytes += pending.reserved_bytes;
        self.slots.push_back(Slot::Pending(pending));
    }

    /// Appends a response that is known already.
    pub fn push_ready(&mut self, response: Vec<u8>) {
        self.slots.push_back(Slot::Ready(response));
    }

    /// The number of responses in the queue, pending ones included.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether there is neither a pending nor a ready response.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// The requests that are waiting for their responses, in order.
    pub fn pending(&self) -> impl Iterator<Item = PendingRequest> + '_ {
        self.slots.iter().filter_map(|slot| match slot {
            Slot::Pending(pending) => Some(*pending),
            Slot::Ready(_) => None,
        })
    }

    /// Completes a pending request with the response that `encode` returns for its group; returns false if the
    /// request is not pending.
    pub fn complete(&mut self, request: RequestId, encode: impl FnOnce(GroupNumber) -> Vec<u8>) -> bool {
        for slot in &mut self.slots {
            if let Slot::Pending(pending) = slot {
                if pending.request == request {
                    self.pending_bytes -= pending.reserved_bytes;
                    *slot = Slot::Ready(encode(pending.group));
                    return true;
                }
            }
        }
        false
    }

    /// Completes all pending requests with the same response, and returns those requests.
    pub fn complete_all(&mut self, response: &[u8]) -> Vec<PendingRequest> {
        let pending: Vec<PendingRequest> = self.pending().collect();
        self.pending_bytes = 0;
        for slot in &mut self.slots {
            if matches!(slot, Slot::Pending(_)) {
                *slot = Slot::Ready(response.to_vec());
            }
        }
        pending
    }

    /// Removes the first response, if it is ready.
    pub fn pop_ready(&mut self) -> Option<Vec<u8>> {
        match self.slots.pop_front()? {
            Slot::Ready(response) => Some(response),
            pending @ Slot::Pending(_) => {
                self.slots.push_front(pending);
                None
            }
        }
    }

    /// The memory that is reserved for all pending requests, in bytes.
    pub fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// The allocated size of the ready responses in the queue, in bytes.
    pub fn ready_bytes(&self) -> usize {
        let bytes = |slot: &Slot| match slot {
            Slot::Ready(response) => response.capacity(),
            Slot::Pending(_) => 0,
        };
        self.slots.iter().map(bytes).sum()
    }
}
